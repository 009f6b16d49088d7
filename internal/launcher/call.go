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

// callTimeout exceeds the longest time for which an entry waits for the log service.
const callTimeout = 15 * time.Second

// transport opens a connection for each call, because a kept one may lead to a process that was killed or paused.
var transport = &http.Transport{DisableKeepAlives: true}

// Call sends request as JSON, unless it is nil, and decodes the body of the response into answer, unless that is nil.
// It returns the status code, and an error if there is no complete response or it does not parse.
func Call(method, address, path string, request, answer any) (int, error) {
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
	received, err := io.ReadAll(response.Body)
	if err == nil && answer != nil && len(received) > 0 {
		err = json.Unmarshal(received, answer)
	}
	return response.StatusCode, eris.Wrapf(err, "launcher: response with status %d to %s", response.StatusCode, path)
}

// RunInBackground runs f in a goroutine. The first call of fail ends f, and the channel receives its message; it receives an
// empty message if f returns. It does so after the deferred calls of f, so that no process is left when the
// test program ends. Scenarios with an installation each run side by side in this way.
func RunInBackground(f func(fail func(message string, skip ...int))) <-chan string {
	outcome := make(chan string, 1)
	go func() {
		var first string
		defer func() {
			if r := recover(); r != nil {
				first = eris.Errorf("launcher: panic: %v", r).Error()
			}
			outcome <- first
		}()
		f(func(message string, _ ...int) {
			first = message
			runtime.Goexit()
		})
	}()
	return outcome
}
