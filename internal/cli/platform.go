package cli

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"bamboohook/platform"
)

const (
	// These four durations limit how long a run continues after its VM has lost contact with the owner: the agent renews
	// leases for grantDuration after the owner's last response, a run ends runLeaseDuration after its last renewal, the owner grants
	// leases for storeContactTimeout without contact with the store, and maxClockDrift covers the error of clocks and timers.
	// A VM counts as lost after their sum. runLeaseDuration must cover the restart of an agent.
	grantDuration       = 2500 * time.Millisecond
	runLeaseDuration    = 4 * time.Second
	storeContactTimeout = 2 * time.Second
	maxClockDrift       = 500 * time.Millisecond
	// drainDuration is how long a draining entry keeps serving. The platform detects the draining within two readiness checks
	// that are one second apart.
	notReadyDuration = 2600 * time.Millisecond
	// shutdownMargin is the part of the grace period that is reserved for the shutdown of the process after the last request.
	shutdownMargin = 700 * time.Millisecond
	// memoryLimitRatio is the ratio of the Go runtime's soft memory limit, above which garbage is collected more often, to the memory
	// that the platform allows the process.
	memoryLimitRatio = 0.6
	// maxQueuedLogLines is the capacity of the log buffer. Lines that do not fit are dropped, and their number is logged.
	maxQueuedLogLines = 4096
	// peerCallTimeout limits the handling of a call from another process, and an agent's read of the list of entries.
	peerCallTimeout = 3 * time.Second
	// processorsPerMbps converts the bandwidth of an entry's network link to processors, for its weight in the election of the owner.
	processorsPerMbps = 0.001
)

type (
	platformCommand struct {
		Entry platformEntryCommand `cmd:"" help:"Run an entry on the platform: callers' requests and ownership of jobs."`
		Agent platformAgentCommand `cmd:"" help:"Run an agent on the platform, beside an endpoint."`
		Check platformCheckCommand `cmd:"" help:"Check a settings file of the platform and print what is used of it."`
		Story jobLogCommand        `cmd:"" help:"Print what the logs of several processes tell of one job."`
	}

	platformEntryCommand struct {
		File string `arg:"" optional:"" help:"Settings file; by default the one named by the environment." env:"BAMBOOHOOK_BOOT"`
	}

	platformAgentCommand struct {
		File string `arg:"" optional:"" help:"Settings file; by default the one named by the environment." env:"BAMBOOHOOK_BOOT"`
	}

	platformCheckCommand struct {
		File string `arg:"" help:"Settings file."`
	}

	// wallClock returns the system time, which may be set forward or back.
	wallClock struct{}
)

// Now returns the system time.
func (wallClock) Now() time.Time { return time.Now() }

// Run prints the effective settings as JSON, or returns what is wrong with the file.
func (c *platformCheckCommand) Run(s *session) error {
	settings, err := platform.LoadSettings(c.File)
	if err != nil {
		return exitError{ExitUsage, err.Error()}
	}
	encoder := json.NewEncoder(s.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(settings)
}

// setUpProcess loads the settings, sets the memory limit and opens the log. The returned function writes the buffered log
// lines; it must be called before the process exits.
func setUpProcess(s *session, file, role string) (platform.Settings, zerolog.Logger, func(), error) {
	settings, err := platform.LoadSettings(file)
	if err != nil {
		return settings, zerolog.Nop(), nil, exitError{ExitUsage, err.Error()}
	}
	setMemoryLimit(settings)
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	zerolog.DurationFieldInteger = true
	var logger zerolog.Logger
	writer := diode.NewWriter(s.stdout, maxQueuedLogLines, 0, func(dropped int) {
		logger.Warn().Int("lines", dropped).Msg("log lines dropped")
	})
	logger = zerolog.New(writer).With().Timestamp().Str("process", settings.Name).Logger()
	go reloadOnHangup(s.ctx, file, logger)
	logger.Info().Str("role", role).Str("version", version).Str("settings", file).Int("pid", os.Getpid()).Msg("started")
	return settings, logger, func() { _ = writer.Close() }, nil
}

// reloadOnHangup reads the settings file again at each SIGHUP until ctx is done. Only a changed memory limit takes effect in a
// running process. A file that cannot be loaded is logged and changes nothing.
func reloadOnHangup(ctx context.Context, file string, logger zerolog.Logger) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		settings, err := platform.LoadSettings(file)
		if err != nil {
			logger.Error().Err(err).Msg("cannot reload the settings; keeping the current ones")
			continue
		}
		setMemoryLimit(settings)
		logger.Info().Int64("memory", settings.MemoryBytes).Msg("settings reloaded")
	}
}

func setMemoryLimit(settings platform.Settings) {
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitRatio * float64(settings.MemoryBytes)))
	}
}

// serveHTTP serves HTTP until ctx is done. It then waits at most shutdownTimeout for the requests in progress.
func serveHTTP(ctx context.Context, h http.Handler, l net.Listener, shutdownTimeout time.Duration) error {
	server := platform.NewServer(h)
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(l) }()
	select {
	case err := <-serveErr:
		return eris.Wrap(err, "cli: HTTP server failed")
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	return eris.Wrap(server.Shutdown(shutdownCtx), "cli: requests in progress did not finish before the shutdown timeout")
}
