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

// callTimeout is the timeout of a call. It is longer than an entry waits for the log service before it responds.
const callTimeout = 15 * time.Second

// transport opens a new connection for each call, because a connection that is kept alive may belong to a process that was killed
// or paused since the last call.
var transport = &http.Transport{DisableKeepAlives: true}

// Call sends an HTTP request and returns the status code of the response. It sends request as JSON unless request is nil, and
// decodes the JSON body of the response into result unless result is nil or the body is empty. It returns an error if the
// response is missing, incomplete or malformed, but not for the status code of an error.
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
	return response.StatusCode, eris.Wrapf(err, "launcher: cannot read or decode the response with status %d to %s", response.StatusCode, path)
}

// RunInBackground runs f in a goroutine, so that tests with separate installations can run concurrently. A call of fail ends f.
// The returned channel receives one message after f and its deferred calls have ended: the message passed to fail, the
// panic of f, or "" if f has returned normally. A test program that waits for the message leaves no process running. fail has
// the signature of a Gomega fail handler; its second parameter is ignored.
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
