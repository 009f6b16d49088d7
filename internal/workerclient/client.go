// Package workerclient provides a client for the worker interface of a VM, an HTTP interface that starts, stops and lists batch tasks.
package workerclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"bamboohook/internal/message"
)

const (
	defaultTimeout = 2 * time.Second
	// maxResponseBytes is the maximum size of the body of a response. A list of several thousand tasks is smaller.
	maxResponseBytes = 16 << 20
	// maxErrorBytes is how much of the body of an error response becomes part of the error text.
	maxErrorBytes = 512
)

var (
	// ErrRefused reports that a call certainly had no effect, because it could not be sent, did not reach the worker or was rejected
	// by it.
	ErrRefused = eris.New("workerclient: call was refused")
	// ErrNotFound reports that a call had no effect, because the worker doesn't know the task.
	ErrNotFound = eris.New("workerclient: task is not known to the worker")
	// ErrOutcomeUnknown reports that a call may or may not have taken effect, because there was no valid response.
	ErrOutcomeUnknown = eris.New("workerclient: outcome of the call is unknown")
)

// Client calls the worker interface of one VM. Every error that it returns matches ErrRefused, ErrNotFound or ErrOutcomeUnknown with
// errors.Is. Client doesn't retry calls, but repeating any of them is safe. Set the exported fields before use. Client is
// safe for concurrent use.
type Client struct {
	// Address is the IP address and port of the worker interface.
	Address string
	// Timeout is the timeout of one call. Zero means 2 s.
	Timeout time.Duration
	// HTTPClient sends the requests. If it is nil, the requests are sent without a proxy, and redirects are not followed.
	HTTPClient *http.Client
}

var defaultHTTPClient = &http.Client{
	Transport: &http.Transport{
		Proxy:               nil,
		DialContext:         (&net.Dialer{Timeout: defaultTimeout}).DialContext,
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     time.Minute,
	},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// Start starts a task and returns its state. If the worker already knows the task, it does not start it again.
func (c *Client) Start(ctx context.Context, s message.WorkerStart) (message.WorkerTask, error) {
	return call[message.WorkerTask](ctx, c, http.MethodPost, message.PathTasks, s)
}

// List returns the capacity of the VM and all tasks that the worker knows, including tasks that have ended.
func (c *Client) List(ctx context.Context) (message.WorkerTasks, error) {
	return call[message.WorkerTasks](ctx, c, http.MethodGet, message.PathTasks, nil)
}

// Usage returns the capacity of the VM and its running tasks with the resources that they use.
func (c *Client) Usage(ctx context.Context) (message.WorkerTasks, error) {
	return call[message.WorkerTasks](ctx, c, http.MethodGet, message.PathUsage, nil)
}

// Task returns the state of a task.
func (c *Client) Task(ctx context.Context, id string) (message.WorkerTask, error) {
	return call[message.WorkerTask](ctx, c, http.MethodGet, taskPath(id, ""), nil)
}

// Renew renews the lease of a running task: the task may run for the duration lease from the moment at which the worker receives
// the call.
func (c *Client) Renew(ctx context.Context, id string, lease time.Duration) (message.WorkerTask, error) {
	return call[message.WorkerTask](ctx, c, http.MethodPost, taskPath(id, "/renew"), message.WorkerRenew{Lease: lease})
}

// Checkpoint makes a running task save a checkpoint. The task continues to run.
func (c *Client) Checkpoint(ctx context.Context, id string) (message.WorkerTask, error) {
	return call[message.WorkerTask](ctx, c, http.MethodPost, taskPath(id, "/checkpoint"), nil)
}

// Throttle limits a running task to a share, from 0 to 1, of the processors that it may use.
func (c *Client) Throttle(ctx context.Context, id string, share float64) (message.WorkerTask, error) {
	return call[message.WorkerTask](ctx, c, http.MethodPost, taskPath(id, "/throttle"), message.WorkerThrottle{Share: share})
}

// Stop ends a task and returns its final state. It succeeds for a task that has already ended.
func (c *Client) Stop(ctx context.Context, id string) (message.WorkerTask, error) {
	return call[message.WorkerTask](ctx, c, http.MethodPost, taskPath(id, "/stop"), nil)
}

func taskPath(id, action string) string {
	return message.PathTasks + "/" + url.PathEscape(id) + action
}

func call[T any](ctx context.Context, c *Client, method, path string, body any) (T, error) {
	var zero, result T
	encoded, err := json.Marshal(body)
	if err != nil {
		return zero, eris.Wrap(ErrRefused, err.Error())
	}
	timeout := c.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, bytes.NewReader(encoded))
	if err != nil {
		return zero, eris.Wrap(ErrRefused, err.Error())
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.httpClient().Do(request)
	if err != nil {
		return zero, transportError(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return zero, statusError(response)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&result); err != nil {
		return zero, eris.Wrap(ErrOutcomeUnknown, "response is not valid: "+err.Error())
	}
	return result, nil
}

func (c *Client) httpClient() *http.Client {
	if c.HTTPClient != nil {
		return c.HTTPClient
	}
	return defaultHTTPClient
}

// transportError returns the error for a call without a response. Only if the connection could not be opened is it certain that
// the worker has not received the call.
func transportError(err error) error {
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		return eris.Wrap(ErrRefused, err.Error())
	}
	return eris.Wrap(ErrOutcomeUnknown, err.Error())
}

// statusError returns the error for a response whose status is not 200. A 4xx status means that the worker has rejected the call,
// except for 408 (request timeout), which a worker may send after it has read the whole request.
func statusError(r *http.Response) error {
	body, _ := io.ReadAll(io.LimitReader(r.Body, maxErrorBytes))
	detail := r.Status + ": " + string(bytes.TrimSpace(body))
	switch {
	case r.StatusCode == http.StatusNotFound:
		return eris.Wrap(ErrNotFound, detail)
	case r.StatusCode >= 400 && r.StatusCode < 500 && r.StatusCode != http.StatusRequestTimeout:
		return eris.Wrap(ErrRefused, detail)
	}
	return eris.Wrap(ErrOutcomeUnknown, detail)
}
