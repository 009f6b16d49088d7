package endpoint

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"bamboohook/internal/message"
)

func (e *Endpoint) handleRequest(c echo.Context) error {
	service, ok := e.findService(c.Param("service"))
	if !ok {
		return echo.NewHTTPError(http.StatusNotFound, "endpoint: unknown service")
	}
	request := c.Request()
	if conn, ok := request.Context().Value(connectionKey{}).(net.Conn); ok && !e.counters.registerConnection(conn, e.options.Connections) {
		c.Response().Header().Set("Connection", "close")
		return echo.NewHTTPError(http.StatusServiceUnavailable, "endpoint: too many connections")
	}
	size := defaultResponseBytes
	if s := c.QueryParam("size"); s != "" {
		n, err := strconv.Atoi(s)
		if err != nil || n < 0 || n > maxResponseBytes {
			return echo.NewHTTPError(http.StatusBadRequest, "endpoint: size is not a number from 0 to "+strconv.Itoa(maxResponseBytes))
		}
		size = n
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "endpoint: request body is incomplete")
	}
	e.counters.requestReceived(service.Name, e.options.Slots)
	defer e.counters.requestEnded(service.Name)
	return e.process(c, service, size)
}

// process waits for a slot, as real endpoints do, and processes the request. The agent on the same VM should never send
// more requests than there are slots.
func (e *Endpoint) process(c echo.Context, service Service, size int) error {
	ctx := c.Request().Context()
	select {
	case e.slots <- struct{}{}:
		defer func() { <-e.slots }()
	case <-ctx.Done():
		e.counters.requestAbandoned()
		return nil
	}
	id := c.Request().Header.Get(message.HeaderRequestID)
	e.counters.processingStarted(id, c.Request().Header.Get(message.HeaderKey))
	defer e.counters.processingEnded()
	f := e.faults.get(service.Name)
	if e.random.decide(f.CloseRate) {
		e.counters.faultInjected()
		panic(http.ErrAbortHandler)
	}
	if e.random.decide(f.HangRate) {
		e.counters.faultInjected()
		<-ctx.Done()
		e.counters.requestAbandoned()
		return nil
	}
	if !e.sleep(ctx, f.slowDown(e.random.processingTime(service))) {
		e.counters.requestAbandoned()
		return nil
	}
	return e.respond(c, id, size, f)
}

func (e *Endpoint) respond(c echo.Context, id string, size int, f Faults) error {
	c.Response().Header().Set(message.HeaderRequestID, id)
	if e.random.decide(f.FailRate) {
		e.counters.faultInjected()
		return echo.NewHTTPError(http.StatusInternalServerError, "endpoint: injected failure")
	}
	body := Body(id, size)
	c.Response().Header().Set(echo.HeaderContentType, "application/octet-stream")
	c.Response().Header().Set(echo.HeaderContentLength, strconv.Itoa(len(body)))
	c.Response().WriteHeader(http.StatusOK)
	if e.random.decide(f.TruncateRate) {
		e.counters.faultInjected()
		_ = writeChunks(c.Response(), body[:len(body)/2])
		c.Response().Flush()
		panic(http.ErrAbortHandler)
	}
	return writeChunks(c.Response(), body)
}

func (e *Endpoint) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-e.options.Clock.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

func (e *Endpoint) findService(name string) (Service, bool) {
	for _, s := range e.options.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}
