// Package workerclient calls the worker interface of a VM over HTTP.
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
	// maxAnswerBytes bounds an answer; a list of thousands of tasks stays below it.
	maxAnswerBytes = 16 << 20
	maxErrorBytes  = 512
)

var (
	// ErrRefused reports that a call certainly had no effect.
	ErrRefused = eris.New("workerclient: call was refused")
	// ErrNotFound reports that the worker doesn't know the task. The call had no effect.
	ErrNotFound = eris.New("workerclient: task is not known to the worker")
	// ErrOutcomeUnknown reports that a call may have had its effect.
	ErrOutcomeUnknown = eris.New("workerclient: effect of the call is unclear")
)

// Client calls one worker. Every error is one of ErrRefused, ErrNotFound and ErrOutcomeUnknown for errors.Is. It repeats
// no call by itself; all calls of the interface may be repeated. Set the exported fields before use. Concurrent use is safe.
type Client struct {
	// Address is the IP address and port of the worker interface.
	Address string
	// Timeout bounds one call; 0 means 2 s.
	Timeout time.Duration
	// HTTPClient defaults to a client without proxies and redirects.
	HTTPClient *http.Client
}

var defaultHTTP = &http.Client{
	Transport: &http.Transport{
		Proxy:               nil,
		DialContext:         (&net.Dialer{Timeout: defaultTimeout}).DialContext,
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     time.Minute,
	},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// Start starts a task. A repeat returns the present state of the task.
func (c *Client) Start(ctx context.Context, s message.WorkerStart) (message.WorkerTask, error) {
	return call[message.WorkerTask](ctx, c, http.MethodPost, message.PathTasks, s)
}

// List returns the capacity of the VM and its tasks, also ended ones that the worker still knows.
func (c *Client) List(ctx context.Context) (message.WorkerTasks, error) {
	return call[message.WorkerTasks](ctx, c, http.MethodGet, message.PathTasks, nil)
}

// Usage returns the capacity of the VM and its running tasks with their usage.
func (c *Client) Usage(ctx context.Context) (message.WorkerTasks, error) {
	return call[message.WorkerTasks](ctx, c, http.MethodGet, message.PathUsage, nil)
}

// Task returns the state of a task.
func (c *Client) Task(ctx context.Context, id string) (message.WorkerTask, error) {
	return call[message.WorkerTask](ctx, c, http.MethodGet, taskPath(id, ""), nil)
}

// Renew extends the lease of a running task, counted from the receipt of the call.
func (c *Client) Renew(ctx context.Context, id string, lease time.Duration) (message.WorkerTask, error) {
	return call[message.WorkerTask](ctx, c, http.MethodPost, taskPath(id, "/renew"), message.WorkerRenew{Lease: lease})
}

// Checkpoint makes a checkpoint of a running task; the task goes on.
func (c *Client) Checkpoint(ctx context.Context, id string) (message.WorkerTask, error) {
	return call[message.WorkerTask](ctx, c, http.MethodPost, taskPath(id, "/checkpoint"), nil)
}

// Throttle sets the share of its processors, from 0 to 1, that a running task keeps.
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
	var zero, answer T
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
	response, err := c.http().Do(request)
	if err != nil {
		return zero, transportError(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return zero, statusError(response)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(&answer); err != nil {
		return zero, eris.Wrap(ErrOutcomeUnknown, "answer is not valid: "+err.Error())
	}
	return answer, nil
}

func (c *Client) http() *http.Client {
	if c.HTTPClient != nil {
		return c.HTTPClient
	}
	return defaultHTTP
}

// transportError takes only a failed dial as proof that the worker didn't receive the call.
func transportError(err error) error {
	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
		return eris.Wrap(ErrRefused, err.Error())
	}
	return eris.Wrap(ErrOutcomeUnknown, err.Error())
}

// statusError takes only the 4xx statuses as a refusal; 408 may follow a call that was read in full.
func statusError(r *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(r.Body, maxErrorBytes))
	detail := r.Status + ": " + string(bytes.TrimSpace(text))
	switch {
	case r.StatusCode == http.StatusNotFound:
		return eris.Wrap(ErrNotFound, detail)
	case r.StatusCode >= 400 && r.StatusCode < 500 && r.StatusCode != http.StatusRequestTimeout:
		return eris.Wrap(ErrRefused, detail)
	}
	return eris.Wrap(ErrOutcomeUnknown, detail)
}
