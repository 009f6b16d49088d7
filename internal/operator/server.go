// Package operator serves the operators' HTTP port of a process: counters, health, readiness and events.
package operator

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"

	"bamboohook/internal/exchange"
)

const (
	readHeaderTimeout = 5 * time.Second
	// MaxHeaderBytes bounds the headers on the operators' port.
	MaxHeaderBytes  = 64 << 10
	shutdownTimeout = 5 * time.Second
)

// Server answers on the operators' port. GET /debug/vars returns the counters, /healthz is 200 while the
// process runs and /readyz is 200 only while it should receive work. Add routes through Echo before Run.
type Server struct {
	echo  *echo.Echo
	ready atomic.Bool
}

// NewServer returns a server that is not ready yet.
func NewServer() *Server {
	s := &Server{echo: echo.New()}
	s.echo.HideBanner, s.echo.HidePort = true, true
	s.echo.GET("/debug/vars", echo.WrapHandler(expvar.Handler()))
	s.echo.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	s.echo.GET("/readyz", s.handleReadiness)
	return s
}

// Echo returns the router, to which routes may be added before Run.
func (s *Server) Echo() *echo.Echo { return s.echo }

// SetReady changes what /readyz answers. Concurrent use is safe.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// Ready returns the last value given to SetReady.
func (s *Server) Ready() bool { return s.ready.Load() }

// Run serves on l until ctx ends and then returns nil after open requests have been answered, for at most 5 s.
func (s *Server) Run(ctx context.Context, l net.Listener) error {
	return Serve(ctx, l, s.echo, MaxHeaderBytes)
}

// Serve runs an HTTP server with handler h on l until ctx ends. Requests with headers beyond maxHeaderBytes are refused.
// Open requests are answered, for at most 5 s.
func Serve(ctx context.Context, l net.Listener, h http.Handler, maxHeaderBytes int) error {
	server := &http.Server{
		Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: exchange.ServerIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	stopped := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		timeoutCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(timeoutCtx)
	})
	err := server.Serve(l)
	if !stop() {
		<-stopped
		return nil
	}
	return eris.Wrap(err, "operator: server failed")
}

func (s *Server) handleReadiness(c echo.Context) error {
	if !s.ready.Load() {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}
