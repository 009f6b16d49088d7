package launcher

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"runtime"
	"time"

	"github.com/rotisserie/eris"
)

// callTimeout exceeds the longest time that an entry waits for the log service.
const callTimeout = 15 * time.Second

// transport opens a connection for each call, because a connection kept alive may lead to a process that was killed or paused.
var transport = &http.Transport{DisableKeepAlives: true}

// Call sends an HTTP request and returns the status code of the response. If request is not nil, it is sent as JSON; if
// result is not nil, the body of the response is decoded into it. The error reports a response that is missing,
// incomplete or malformed.
func Call(method, address, path string, request, result any) (int, error) {
	var body io.Reader
	if request != nil {
		encoded, err := json.Marshal(request)
		if err != nil {
			return 0, eris.Wrap(err, "launcher: cannot encode the request")
		}
		body = bytes.NewReader(encoded)
	}
	r, err := http.NewRequest(method, "http://"+address+path, body)
	if err != nil {
		return 0, eris.Wrap(err, "launcher: malformed request")
	}
	r.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: callTimeout, Transport: transport}
	response, err := client.Do(r)
	if err != nil {
		return 0, eris.Wrap(err, "launcher: no response")
	}
	defer func() { _ = response.Body.Close() }()
	responseBody, err := io.ReadAll(response.Body)
	if err == nil && result != nil && len(responseBody) > 0 {
		err = json.Unmarshal(responseBody, result)
	}
	return response.StatusCode, eris.Wrapf(err, "launcher: response with status %d to %s", response.StatusCode, path)
}

// RunInBackground runs f in a goroutine, so that scenarios with an installation each can run concurrently. A call of fail
// ends f, and the returned channel receives the message of that call. The channel receives an empty message if f
// returns normally. It receives after the deferred calls of f, so that no process is left running when the test
// program exits.
func RunInBackground(f func(fail func(message string, callerSkip ...int))) <-chan string {
	failures := make(chan string, 1)
	go func() {
		var failure string
		defer func() {
			if r := recover(); r != nil {
				failure = eris.Errorf("launcher: panic: %v", r).Error()
			}
			failures <- failure
		}()
		f(func(message string, _ ...int) {
			failure = message
			runtime.Goexit()
		})
	}()
	return failures
}
