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

	"bamboohook/internal/fleet/limiter"
	"bamboohook/internal/peer"
	"bamboohook/platform"
)

const (
	// A run is one execution of a task on a VM. It has a lease, which the agent on the VM renews. The owner is the entry that
	// schedules all jobs. These four durations limit how long a run continues after its VM has lost contact with the owner:
	// the agent renews leases for grantDuration after it has sent a report to which the owner responded with permission to renew;
	// a run ends runLeaseDuration after the last renewal of its lease; the owner gives that permission for storeContactTimeout after its last
	// contact with the store; maxClockDrift covers the error of clocks and timers. A VM counts as lost after the sum of
	// the four. runLeaseDuration must be longer than the restart of an agent, so that runs survive it.
	grantDuration       = 2500 * time.Millisecond
	runLeaseDuration    = 4 * time.Second
	storeContactTimeout = 2 * time.Second
	maxClockDrift       = 500 * time.Millisecond
	// notReadyDuration is how long a draining entry fails its readiness check before it stops accepting callers' requests. In
	// that time, the platform notices the failed check and sends callers to other entries; it needs two checks, which are
	// one second apart.
	notReadyDuration = 2600 * time.Millisecond
	// shutdownMargin is the time that is left for the shutdown of the process after the last request. It is part of the grace
	// period, after which the platform kills a process that has received SIGTERM. The servers for readiness checks, metrics and
	// announcements also wait this long for their requests in progress.
	shutdownMargin = 700 * time.Millisecond
	// leaveTimeout bounds the removal of a stopped entry from the store's list. Callers' requests get that much less of the grace period.
	leaveTimeout = 300 * time.Millisecond
	// memoryLimitRatio is the share of the memory allowed by the platform that is set as the soft memory limit of the Go runtime.
	// Near that limit, the runtime collects garbage more often.
	memoryLimitRatio = 0.6
	// maxQueuedLogLines is the maximum number of log lines that wait to be written. Lines beyond it are dropped, and their number
	// is logged.
	maxQueuedLogLines = 4096
	// peerCallTimeout is the maximum time for handling a call from another entry or an agent, and for an agent's read of the list
	// of entries from the store.
	peerCallTimeout = 3 * time.Second
	// processorsPerMbps converts the bandwidth of an entry's network link to a number of processors: 1,000 Mbit/s count as much as
	// one processor. The weight of an entry in the election of the owner is this number plus its number of processors.
	processorsPerMbps = 0.001
	// configurationMargin is how much earlier than the platform permits an entry stops answering from a configuration of which it does not know
	// whether it is the newest one. It covers the way of the request.
	configurationMargin = 250 * time.Millisecond
	// evacuationMargin is how much earlier than the platform permits an owner that has not read the operators' topic places nothing more. It covers the
	// orders under way. minEvacuationAge is the lowest age from which that holds, since reads that are lost now and then take that long.
	evacuationMargin = time.Second
	minEvacuationAge = 5 * time.Second
	// congestionMegabits and congestionProcessorSeconds are the data and the work that may wait on the link and the processors of a process
	// before a message: the largest configuration, the records of the jobs and a burst of requests. Messages wait at most for
	// maxCongestionTime, because a process that is slower than that must be replaced like one that has failed.
	congestionMegabits         = 16
	congestionProcessorSeconds = 0.05
	maxCongestionTime          = 1200 * time.Millisecond
)

type (
	platformCommand struct {
		Entry platformEntryCommand `cmd:"" help:"Run an entry on the platform: callers' requests and ownership of jobs."`
		Agent platformAgentCommand `cmd:"" help:"Run an agent on the platform, beside an endpoint."`
		Check platformCheckCommand `cmd:"" help:"Check a settings file of the platform and print what is used of it."`
		Story jobLogCommand        `cmd:"" help:"Print what the logs of several processes tell of one job."`

		Explain platformExplainCommand `cmd:"" help:"Show where a job would start now and why, without submitting it."`
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

	// wallClock is a clock that returns the wall clock time of the machine, which may be set forward or back.
	wallClock struct{}
)

// Now returns the current wall clock time.
func (wallClock) Now() time.Time { return time.Now() }

// Run prints the settings that a process would use with the file as JSON, or returns an error that says why the file is invalid.
func (c *platformCheckCommand) Run(s *session) error {
	settings, err := platform.LoadSettings(c.File)
	if err != nil {
		return exitError{ExitUsage, err.Error()}
	}
	encoder := json.NewEncoder(s.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(settings)
}

// setUpProcess loads the settings from file, sets the memory limit, creates the logger and starts the reload of the settings at
// SIGHUP. The returned function writes the buffered log lines; call it before the process exits.
func setUpProcess(s *session, file, role string) (platform.Settings, zerolog.Logger, func(), error) {
	settings, err := platform.LoadSettings(file)
	if err != nil {
		return settings, zerolog.Nop(), nil, exitError{ExitUsage, err.Error()}
	}
	setMemoryLimit(settings)
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	zerolog.DurationFieldInteger = true
	var logger zerolog.Logger
	writer := diode.NewWriter(s.stdout, maxQueuedLogLines, 0, func(droppedCount int) {
		logger.Warn().Int("lines", droppedCount).Msg("log lines dropped")
	})
	logger = zerolog.New(writer).With().Timestamp().Str("process", settings.Name).Logger()
	go reloadOnHangup(s.ctx, file, logger)
	logger.Info().Str("role", role).Str("version", version).Str("settings", file).Int("pid", os.Getpid()).Msg("started")
	return settings, logger, func() { _ = writer.Close() }, nil
}

// reloadOnHangup loads the settings file again at each SIGHUP until ctx is done. Of the settings, only the memory limit takes
// effect in a running process. If the file cannot be loaded, the error is logged and the limit remains as it is.
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
		logger.Info().Int64("memory", settings.MemoryBytes).Msg("memory limit reloaded from the settings")
	}
}

func setMemoryLimit(settings platform.Settings) {
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitRatio * float64(settings.MemoryBytes)))
	}
}

// newPeerServer returns a server for calls from other processes, which logs unexpected failures of its handlers.
func newPeerServer(logger zerolog.Logger) *peer.Server {
	return &peer.Server{OnPanic: func(method string, value any, stack []byte) {
		logger.Error().Str("method", method).Interface("panic", value).Bytes("stack", stack).Msg("handler of a call has failed unexpectedly")
	}}
}

// serveHTTP serves HTTP requests on the listener, within the limits, until ctx is done. It then closes the listener and waits at most
// shutdownTimeout for the requests in progress.
func serveHTTP(ctx context.Context, h http.Handler, l net.Listener, limits *limiter.Limiter, shutdownTimeout time.Duration) error {
	server := platform.NewServer(h)
	limits.ConfigureServer(server, platform.BodyTimeout)
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(limits.Listen(l)) }()
	select {
	case err := <-serveErr:
		return eris.Wrap(err, "cli: HTTP server failed")
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	return eris.Wrap(server.Shutdown(shutdownCtx), "cli: requests in progress did not finish before the shutdown timeout")
}
