// Package logclient provides an HTTP client for the platform's log service.
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
	// DefaultTimeout limits the duration of a request, not counting the time for which a read may wait for an entry.
	DefaultTimeout = 5 * time.Second
	// maxPageBytes limits the size of the response body of a read, and maxResponseBytes that of any other request.
	maxPageBytes     = 8 << 20
	maxResponseBytes = 64 << 10
)

// ErrUnexpectedResponse reports a response from the log service that is an error, too large or malformed.
var ErrUnexpectedResponse = eris.New("logclient: unexpected response from the log service")

// Client implements appender.Log and follower.Log. It is safe for concurrent use.
type Client struct {
	// Address is the base URL of the log service, such as http://10.0.0.5:7000.
	Address string
	// HTTPClient sends the requests; nil means http.DefaultClient.
	HTTPClient *http.Client
	// Timeout limits the duration of each request, not counting the time for which a read may wait for an entry; 0 means
	// DefaultTimeout.
	Timeout time.Duration
}

// Append appends value to the stream and returns its offset. The error wraps appender.ErrNotAppended if no connection
// could be made or the service refused the request temporarily, and appender.ErrRejected if the service will never
// accept the value. After any other error, the value may have been appended.
func (c *Client) Append(ctx context.Context, streamName string, value json.RawMessage) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout())
	defer cancel()
	body, status, err := c.do(ctx, http.MethodPost, c.streamURL(streamName), value, maxResponseBytes)
	if err != nil {
		if opError := new(net.OpError); errors.As(err, &opError) && opError.Op == "dial" {
			return 0, eris.Wrap(appender.ErrNotAppended, err.Error())
		}
		return 0, err
	}
	switch status {
	case http.StatusOK:
	case http.StatusBadRequest, http.StatusNotFound, http.StatusRequestEntityTooLarge:
		return 0, eris.Wrapf(appender.ErrRejected, "logclient: append failed with status %d: %s", status, excerpt(body))
	case http.StatusTooManyRequests:
		return 0, eris.Wrapf(appender.ErrNotAppended, "logclient: append failed with status %d: %s", status, excerpt(body))
	default:
		return 0, eris.Wrapf(ErrUnexpectedResponse, "logclient: append to %s: status %d: %s", streamName, status, excerpt(body))
	}
	var response message.AppendResponse
	if err := json.Unmarshal(body, &response); err != nil || response.Offset == 0 {
		return 0, eris.Wrapf(ErrUnexpectedResponse, "logclient: append to %s: no offset in %s", streamName, excerpt(body))
	}
	return response.Offset, nil
}

// Read returns up to limit entries of the stream, starting at firstOffset. If the stream has no entry at firstOffset or
// later, Read waits for one for up to the duration wait.
func (c *Client) Read(ctx context.Context, streamName string, firstOffset uint64, limit int, wait time.Duration) (stream.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout()+wait)
	defer cancel()
	query := url.Values{"from": {strconv.FormatUint(firstOffset, 10)}, "limit": {strconv.Itoa(limit)}}
	if wait > 0 {
		query.Set("wait", wait.String())
	}
	body, status, err := c.do(ctx, http.MethodGet, c.streamURL(streamName)+"?"+query.Encode(), nil, maxPageBytes)
	if err != nil {
		return stream.Page{}, err
	}
	if status != http.StatusOK {
		return stream.Page{}, eris.Wrapf(ErrUnexpectedResponse, "logclient: read of %s: status %d: %s", streamName, status, excerpt(body))
	}
	var page stream.Page
	if err := json.Unmarshal(body, &page); err != nil {
		return stream.Page{}, eris.Wrapf(ErrUnexpectedResponse, "logclient: read of %s: %s", streamName, err)
	}
	if page.First == 0 || page.Next < page.First || len(page.Entries) > limit {
		return stream.Page{}, eris.Wrapf(ErrUnexpectedResponse, "logclient: read of %s: first %d, next %d and %d entries are inconsistent",
			streamName, page.First, page.Next, len(page.Entries))
	}
	return page, nil
}

// do sends a request with value as its body and returns the body and the status code of the response. It returns an
// error if the response body is larger than limit bytes.
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
		return nil, 0, eris.Wrap(err, "logclient: request failed")
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return nil, 0, eris.Wrap(err, "logclient: cannot read the response body")
	}
	if int64(len(body)) > limit {
		return nil, 0, eris.Wrapf(ErrUnexpectedResponse, "logclient: response body is larger than %d bytes", limit)
	}
	return body, response.StatusCode, nil
}

func (c *Client) streamURL(streamName string) string {
	return c.Address + message.PathStreams + url.PathEscape(streamName)
}

func (c *Client) timeout() time.Duration {
	if c.Timeout > 0 {
		return c.Timeout
	}
	return DefaultTimeout
}

// excerpt returns the start of a response body for an error text.
func excerpt(body []byte) string {
	const length = 200
	return string(body[:min(len(body), length)])
}
