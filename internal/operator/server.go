// Package operator provides the HTTP server by which operators read the counters, the health and the readiness of a
// process.
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
	// MaxHeaderBytes limits the size of the headers of a request to a Server.
	MaxHeaderBytes  = 64 << 10
	shutdownTimeout = 5 * time.Second
)

// Server is the HTTP server for operators. GET /debug/vars returns the counters, GET /healthz returns status
// 200 while the process is running, and GET /readyz returns status 200 only after SetReady(true), and status 503
// otherwise. Further routes can be added through Echo before Run.
type Server struct {
	echo  *echo.Echo
	ready atomic.Bool
}

// NewServer returns a Server whose readiness is false.
func NewServer() *Server {
	s := &Server{echo: echo.New()}
	s.echo.HideBanner, s.echo.HidePort = true, true
	s.echo.GET("/debug/vars", echo.WrapHandler(expvar.Handler()))
	s.echo.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	s.echo.GET("/readyz", s.handleReadiness)
	return s
}

// Echo returns the router, to which routes can be added before Run.
func (s *Server) Echo() *echo.Echo { return s.echo }

// SetReady sets whether /readyz reports that the process is ready. It is safe for concurrent use.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// Ready returns the last value passed to SetReady.
func (s *Server) Ready() bool { return s.ready.Load() }

// Run serves requests on l until ctx is done. It then waits up to 5 s for open requests to complete and returns nil.
func (s *Server) Run(ctx context.Context, l net.Listener) error {
	return Serve(ctx, l, s.echo, MaxHeaderBytes)
}

// Serve runs an HTTP server with handler h on l until ctx is done. It then waits up to 5 s for open requests to complete
// and returns nil. It rejects requests with headers larger than maxHeaderBytes.
func Serve(ctx context.Context, l net.Listener, h http.Handler, maxHeaderBytes int) error {
	server := &http.Server{
		Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: exchange.ServerIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	shutdownDone := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(shutdownDone)
		timeoutCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(timeoutCtx)
	})
	err := server.Serve(l)
	if !stop() {
		<-shutdownDone
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
