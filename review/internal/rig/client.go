package rig

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// deadline is how long a client waits for a response.
	deadline = 3 * time.Second
	// maxAttempts is the number of times that a client sends a request: once, and four retries.
	maxAttempts = 5
	retryPause  = 200 * time.Millisecond
)

type (
	// Job is a job as a client hands it in.
	Job struct {
		Spec        string
		Steps       []Step
		RepeatCount int   `json:",omitempty"`
		StartAtMs   int64 `json:",omitempty"`
		IntervalMs  int64 `json:",omitempty"`
	}

	// Step is a step of a Job.
	Step struct {
		Count         int
		CPU           int64 `json:"Cpu"`
		MemMb         int64
		EstimateMs    int64 `json:",omitempty"`
		After         []int `json:",omitempty"`
		Checkpointing bool  `json:",omitempty"`
		LongRunning   bool  `json:",omitempty"`
		AntiAffinity  int   `json:",omitempty"`
	}
)

// NewID returns the ID of a job.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Submit hands a job in, at another entry with each attempt, until it is accepted or the attempts are used up. It records each attempt and
// reports whether the job was accepted.
func (i *Installation) Submit(ctx context.Context, path, id string, j Job) bool {
	for attempt := range maxAttempts {
		entry := attempt % i.Entries
		status, _ := i.call(ctx, entry, http.MethodPost, path+id, j)
		i.Record.Printf("client: POST %s%s at entry %d: %s", path, id, entry, describe(status))
		if status == http.StatusOK {
			return true
		}
		time.Sleep(retryPause)
	}
	return false
}

// SubmitOnce hands a job in at an entry, and leaves after the patience if there is no response. It records and returns the status, or 0.
func (i *Installation) SubmitOnce(ctx context.Context, entry int, path, id string, j Job, patience time.Duration) int {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	status, _ := i.call(ctx, entry, http.MethodPost, path+id, j)
	i.Record.Printf("client: POST %s%s at entry %d, waiting for %s: %s", path, id, entry, patience, describe(status))
	return status
}

// Cancel cancels a job. It sends the request to each entry once, first to the given one, records the responses and reports whether there was a 2xx or
// a 410.
func (i *Installation) Cancel(ctx context.Context, first int, path, id string) bool {
	for n := range i.Entries {
		entry := (first + n) % i.Entries
		status, _ := i.call(ctx, entry, http.MethodDelete, path+id, nil)
		i.Record.Printf("client: DELETE %s%s at entry %d: %s", path, id, entry, describe(status))
		if status == http.StatusOK || status == http.StatusGone {
			return true
		}
	}
	return false
}

// State returns the state of a job, or a description of the response if it contains none. It asks up to maxAttempts times.
func (i *Installation) State(ctx context.Context, path, id string) string {
	answer := ""
	for attempt := range maxAttempts {
		status, body := i.call(ctx, attempt%i.Entries, http.MethodGet, path+id, nil)
		var job struct{ State string }
		if status == http.StatusOK && json.Unmarshal(body, &job) == nil {
			answer = job.State
			break
		}
		answer = describe(status)
		time.Sleep(retryPause)
	}
	i.Record.Printf("client: GET %s%s: %s", path, id, answer)
	return answer
}

// call sends a request and returns the status and the body of the response. The status is 0 if there is none.
func (i *Installation) call(ctx context.Context, entry int, method, path string, body any) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	var content io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			panic("rig: cannot encode a request: " + err.Error())
		}
		content = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+i.address(1, entry+1, portFrontend)+path, content)
	if err != nil {
		return 0, nil
	}
	request.Host = Host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	responseBody, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, responseBody
}

func describe(status int) string {
	if status == 0 {
		return "no response"
	}
	return fmt.Sprint(status)
}
