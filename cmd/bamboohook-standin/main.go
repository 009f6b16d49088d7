// Command bamboohook-standin runs stand-ins for the log service, the workers and the endpoints that the scheduler uses, and a load
// generator. They serve for tests and the demo.
package main

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
)

const readHeaderTimeout = 10 * time.Second

type commands struct {
	Log      logCommand      `cmd:"" help:"Run a fake of the append-only log service."`
	Worker   workerCommand   `cmd:"" help:"Run a fake worker interface."`
	Endpoint endpointCommand `cmd:"" help:"Run a fake endpoint service that announces itself to an agent."`
	Load     loadCommand     `cmd:"" help:"Send requests at a fixed rate and report latencies and outcomes."`
}

func main() {
	var c commands
	kongCtx := kong.Parse(&c,
		kong.Name("bamboohook-standin"),
		kong.Description("Fakes of the platform for tests and the demo, and a load generator."),
		kong.UsageOnError(),
	)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	logger := zerolog.New(os.Stderr).With().Timestamp().Logger()
	kongCtx.BindTo(ctx, (*context.Context)(nil))
	kongCtx.FatalIfErrorf(kongCtx.Run(logger))
}

// listen opens a TCP listener on the address, which must be an IP address and port, and logs the address of the listener. If the
// port is 0, the operating system chooses a free port.
func listen(logger zerolog.Logger, address string) (net.Listener, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, eris.Errorf("standin: invalid address %q; expected an IP address and port, such as 127.0.0.1:7401", address)
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "standin: cannot listen")
	}
	logger.Info().Str("address", l.Addr().String()).Msg("listening")
	return l, nil
}

// serve serves HTTP requests on the address until ctx is done. It then closes all connections without waiting for the requests in
// progress.
func serve(ctx context.Context, logger zerolog.Logger, address string, h http.Handler) error {
	l, err := listen(logger, address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(l) }()
	select {
	case err := <-serveErr:
		return eris.Wrap(err, "standin: HTTP server failed")
	case <-ctx.Done():
		return server.Close()
	}
}
