// Package logclient is the HTTP client of the platform's log service.
package logclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"bamboohook/appender"
	"bamboohook/internal/message"
	"bamboohook/stream"

	"github.com/rotisserie/eris"
)

const (
	// DefaultTimeout bounds a request, in addition to the wait of a long poll.
	DefaultTimeout = 5 * time.Second
	// maxPageBytes bounds the body of a page, maxAnswerBytes any other body.
	maxPageBytes     = 8 << 20
	maxResponseBytes = 64 << 10
)

// ErrAnswer reports an answer of the log service that is an error, too large or malformed.
var ErrUnexpectedResponse = eris.New("logclient: unexpected answer of the log service")

// Client satisfies the Log interfaces of the appender and the follower. Concurrent use is safe.
type Client struct {
	// Address is the base address of the log service, such as http://10.0.0.5:7000.
	Address string
	// HTTP defaults to http.DefaultClient.
	HTTPClient *http.Client
	// Timeout bounds each request; 0 means DefaultTimeout.
	Timeout time.Duration
}

// Append adds value to the stream and returns its offset. The error wraps appender.ErrNotAppended if the
// request was not received or was refused, and appender.ErrRejected if the service will never accept
// the value. After any other error the value may have been appended.
func (c *Client) Append(ctx context.Context, name string, value json.RawMessage) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout())
	defer cancel()
	body, status, err := c.do(ctx, http.MethodPost, c.streamURL(name), value, maxResponseBytes)
	if err != nil {
		if opError := new(net.OpError); errors.As(err, &opError) && opError.Op == "dial" {
			return 0, eris.Wrap(appender.ErrNotAppended, err.Error())
		}
		return 0, err
	}
	switch status {
	case http.StatusOK:
	case http.StatusBadRequest, http.StatusNotFound, http.StatusRequestEntityTooLarge:
		return 0, eris.Wrapf(appender.ErrRejected, "logclient: status %d: %s", status, excerpt(body))
	case http.StatusTooManyRequests:
		return 0, eris.Wrapf(appender.ErrNotAppended, "logclient: status %d: %s", status, excerpt(body))
	default:
		return 0, eris.Wrapf(ErrUnexpectedResponse, "logclient: append to %s: status %d: %s", name, status, excerpt(body))
	}
	var response message.AppendResponse
	if err := json.Unmarshal(body, &response); err != nil || response.Offset == 0 {
		return 0, eris.Wrapf(ErrUnexpectedResponse, "logclient: append to %s: no offset in %s", name, excerpt(body))
	}
	return response.Offset, nil
}

// Read returns up to limit entries of the stream from the offset on, and waits up to wait for the first.
func (c *Client) Read(ctx context.Context, name string, from uint64, limit int, wait time.Duration) (stream.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout()+wait)
	defer cancel()
	query := url.Values{"from": {strconv.FormatUint(from, 10)}, "limit": {strconv.Itoa(limit)}}
	if wait > 0 {
		query.Set("wait", wait.String())
	}
	body, status, err := c.do(ctx, http.MethodGet, c.streamURL(name)+"?"+query.Encode(), nil, maxPageBytes)
	if err != nil {
		return stream.Page{}, err
	}
	if status != http.StatusOK {
		return stream.Page{}, eris.Wrapf(ErrUnexpectedResponse, "logclient: read of %s: status %d: %s", name, status, excerpt(body))
	}
	var page stream.Page
	if err := json.Unmarshal(body, &page); err != nil {
		return stream.Page{}, eris.Wrapf(ErrUnexpectedResponse, "logclient: read of %s: %s", name, err)
	}
	if page.First == 0 || page.Next < page.First || len(page.Entries) > limit {
		return stream.Page{}, eris.Wrapf(ErrUnexpectedResponse, "logclient: read of %s: first %d, next %d and %d entries are inconsistent",
			name, page.First, page.Next, len(page.Entries))
	}
	return page, nil
}

func (c *Client) do(ctx context.Context, method, address string, value []byte, limit int64) ([]byte, int, error) {
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(value))
	if err != nil {
		return nil, 0, eris.Wrap(err, "logclient: invalid address")
	}
	request.Header.Set("Content-Type", "application/json")
	client := c.HTTPClient
	if client == nil {
		client = http.DefaultClient
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, 0, eris.Wrap(err, "logclient: no answer")
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return nil, 0, eris.Wrap(err, "logclient: answer is incomplete")
	}
	if int64(len(body)) > limit {
		return nil, 0, eris.Wrapf(ErrUnexpectedResponse, "logclient: body is larger than %d bytes", limit)
	}
	return body, response.StatusCode, nil
}

func (c *Client) streamURL(name string) string {
	return c.Address + message.PathStreams + url.PathEscape(name)
}

func (c *Client) timeout() time.Duration {
	if c.Timeout > 0 {
		return c.Timeout
	}
	return DefaultTimeout
}

func excerpt(body []byte) string {
	const length = 200
	return string(body[:min(len(body), length)])
}
