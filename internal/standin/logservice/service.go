package logservice

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"bamboohook/internal/message"

	"github.com/labstack/echo/v4"
)

// Paths that only the fake serves, for tests.
const (
	// PathFaults is the path of the faults. A POST replaces them, and a GET returns them.
	PathFaults = "/v1/faults"
	// PathCounters is the path of the Counters. A GET returns them.
	PathCounters = "/v1/counters"

	maxFaultBytes    = 64 << 10
	defaultReadLimit = 100
)

// Service serves a Store over HTTP. It is safe for concurrent use.
type Service struct {
	store *Store
	echo  *echo.Echo
}

// New returns a Service with an empty Store.
func New(options Options) *Service {
	s := &Service{store: NewStore(options), echo: echo.New()}
	s.echo.POST(message.PathStreams+":stream", s.append)
	s.echo.GET(message.PathStreams+":stream", s.read)
	s.echo.POST(PathFaults, s.setFaults)
	s.echo.GET(PathFaults, func(c echo.Context) error { return c.JSON(http.StatusOK, s.store.Faults()) })
	s.echo.GET(PathCounters, func(c echo.Context) error { return c.JSON(http.StatusOK, s.store.Counters()) })
	return s
}

// Handler returns the HTTP API of the service.
func (s *Service) Handler() http.Handler { return s.echo }

// Store returns the store of the service.
func (s *Service) Store() *Store { return s.store }

func (s *Service) append(c echo.Context) error {
	request := c.Request()
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), request.Body, int64(s.store.options.MaxEntryBytes)+1))
	if tooLarge := new(http.MaxBytesError); errors.As(err, &tooLarge) {
		return echo.NewHTTPError(http.StatusRequestEntityTooLarge, "entry is larger than "+strconv.Itoa(s.store.options.MaxEntryBytes)+" bytes")
	}
	if err != nil {
		return err
	}
	offset, err := s.store.Append(request.Context(), c.Param("stream"), body)
	if errors.Is(err, ErrResponseLost) {
		return closeConnection(c)
	}
	if err != nil {
		return statusError(err)
	}
	return c.JSON(http.StatusOK, message.AppendResponse{Offset: offset})
}

func (s *Service) read(c echo.Context) error {
	from, limit, wait := uint64(1), defaultReadLimit, time.Duration(0)
	var errs [3]error
	if text := c.QueryParam("from"); text != "" {
		from, errs[0] = strconv.ParseUint(text, 10, 64)
	}
	if text := c.QueryParam("limit"); text != "" {
		limit, errs[1] = strconv.Atoi(text)
	}
	if text := c.QueryParam("wait"); text != "" {
		wait, errs[2] = time.ParseDuration(text)
	}
	if err := errors.Join(errs[:]...); err != nil || limit < 1 {
		return echo.NewHTTPError(http.StatusBadRequest, "from and limit must be positive integers and wait a duration such as 2s")
	}
	page, err := s.store.Read(c.Request().Context(), c.Param("stream"), from, limit, wait)
	if err != nil {
		return statusError(err)
	}
	return c.JSON(http.StatusOK, page)
}

func (s *Service) setFaults(c echo.Context) error {
	var faults Faults
	decoder := json.NewDecoder(io.LimitReader(c.Request().Body, maxFaultBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "faults are malformed: "+err.Error())
	}
	s.store.SetFaults(faults)
	return c.NoContent(http.StatusNoContent)
}

func statusError(err error) error {
	status := http.StatusInternalServerError
	switch {
	case errors.Is(err, ErrRejected):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, ErrNotAppended):
		status = http.StatusTooManyRequests
	case errors.Is(err, ErrDown):
		status = http.StatusServiceUnavailable
	}
	return echo.NewHTTPError(status, err.Error())
}

func closeConnection(c echo.Context) error {
	conn, _, err := c.Response().Hijack()
	if err != nil {
		return err
	}
	return conn.Close()
}
