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
	// grantLength, runLength, contactLength and driftLength bound how long a run outlives the contact of its VM to an owner. Their
	// sum is the time after which a VM counts as lost; the second must cover the restart of an agent.
	grantDuration       = 2500 * time.Millisecond
	runLeaseDuration    = 4 * time.Second
	storeContactTimeout = 2 * time.Second
	maxClockDrift       = 500 * time.Millisecond
	// drainLength is how long a stopping entry serves on: the platform notices within two questions a second apart.
	drainDuration = 2600 * time.Millisecond
	// shutdownMargin is left of the grace time for the end of the process.
	shutdownMargin = 700 * time.Millisecond
	// memoryShare is the part of the memory limit at which the collector works harder.
	memoryLimitRatio = 0.6
	// logLines bounds the lines waiting to be written; more are dropped and counted.
	maxQueuedLogLines = 4096
	// serveTimeout bounds what this entry does for another one.
	peerCallTimeout = 3 * time.Second
	// linkWeight is the share of a processor that 1 Mbit/s of link counts for when an owner is chosen.
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

	// wallClock is the time of day, which may jump.
	wallClock struct{}
)

// Now returns the time of day.
func (wallClock) Now() time.Time { return time.Now() }

// Run prints the settings, or what is wrong with them.
func (c *platformCheckCommand) Run(s *session) error {
	settings, err := platform.LoadSettings(c.File)
	if err != nil {
		return exitError{ExitUsage, err.Error()}
	}
	encoder := json.NewEncoder(s.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(settings)
}

// prepare loads the settings and sets the process up.
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

// reload reads the settings again on SIGHUP. What can change while a process runs is the memory limit; a file that is wrong changes
// nothing.
func reloadOnHangup(ctx context.Context, file string, log zerolog.Logger) {
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
			log.Error().Err(err).Msg("settings not reloaded")
			continue
		}
		setMemoryLimit(settings)
		log.Info().Int64("memory", settings.MemoryBytes).Msg("settings reloaded")
	}
}

func setMemoryLimit(settings platform.Settings) {
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitRatio * float64(settings.MemoryBytes)))
	}
}

// serveUntil serves HTTP until ctx ends and then finishes the requests in progress within the limit.
func serveHTTP(ctx context.Context, h http.Handler, l net.Listener, shutdownTimeout time.Duration) error {
	server := platform.NewServer(h)
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(l) }()
	select {
	case err := <-serveErr:
		return eris.Wrap(err, "cli: server ended")
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	return eris.Wrap(server.Shutdown(shutdownCtx), "cli: requests were cut off")
}
