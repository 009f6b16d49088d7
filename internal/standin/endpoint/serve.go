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
	if conn, ok := request.Context().Value(connectionKey{}).(net.Conn); ok && !e.stats.openConnection(conn, e.options.Connections) {
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
	e.stats.requestReceived(service.Name, e.options.Slots)
	defer e.stats.requestEnded(service.Name)
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
		e.stats.requestAbandoned()
		return nil
	}
	id := c.Request().Header.Get(message.HeaderRequestID)
	e.stats.processingStarted(id, c.Request().Header.Get(message.HeaderKey))
	defer e.stats.processingEnded()
	f := e.faults.get(service.Name)
	if e.sampler.hit(f.CloseRate) {
		e.stats.faultInjected()
		panic(http.ErrAbortHandler)
	}
	if e.sampler.hit(f.HangRate) {
		e.stats.faultInjected()
		<-ctx.Done()
		e.stats.requestAbandoned()
		return nil
	}
	if !e.sleep(ctx, f.slowDown(e.sampler.processingTime(service))) {
		e.stats.requestAbandoned()
		return nil
	}
	return e.respond(c, id, size, f)
}

func (e *Endpoint) respond(c echo.Context, id string, size int, f Faults) error {
	c.Response().Header().Set(message.HeaderRequestID, id)
	if e.sampler.hit(f.FailRate) {
		e.stats.faultInjected()
		return echo.NewHTTPError(http.StatusInternalServerError, "endpoint: injected failure")
	}
	body := Body(id, size)
	c.Response().Header().Set(echo.HeaderContentType, "application/octet-stream")
	c.Response().Header().Set(echo.HeaderContentLength, strconv.Itoa(len(body)))
	c.Response().WriteHeader(http.StatusOK)
	if e.sampler.hit(f.TruncateRate) {
		e.stats.faultInjected()
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
