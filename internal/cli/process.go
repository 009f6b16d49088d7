package cli

import (
	"net"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"bamboohook/internal/agent"
	"bamboohook/internal/entry"
	"bamboohook/internal/settings"
)

type (
	entryCommand struct {
		File string `arg:"" help:"Settings file with an [entry] section." type:"existingfile"`
	}

	agentCommand struct {
		File string `arg:"" help:"Settings file with an [agent] section." type:"existingfile"`
	}
)

// Run runs an entry until SIGTERM or SIGINT. The entry then finishes its requests in flight and exits.
func (c *entryCommand) Run(s *session) error {
	entrySettings, err := loadSettings[*settings.Entry](c.File)
	if err != nil {
		return err
	}
	listeners, err := listen(entrySettings.CallerAddress, entrySettings.PeerAddress, entrySettings.OperatorAddress)
	if err != nil {
		return err
	}
	e := &entry.Entry{
		Settings: *entrySettings, Logger: newLogger(s, entrySettings.LogLevel, entrySettings.Name),
		CallerListener: listeners[0], PeerListener: listeners[1], OperatorListener: listeners[2],
	}
	return e.Run(s.ctx)
}

// Run runs an agent until SIGTERM or SIGINT. The agent then stops its tasks, finishes its requests in flight and exits.
func (c *agentCommand) Run(s *session) error {
	agentSettings, err := loadSettings[*settings.Agent](c.File)
	if err != nil {
		return err
	}
	listeners, err := listen(agentSettings.RequestAddress, agentSettings.PeerAddress, agentSettings.AnnounceAddress, agentSettings.OperatorAddress)
	if err != nil {
		return err
	}
	a := &agent.Agent{
		Settings: *agentSettings, Logger: newLogger(s, agentSettings.LogLevel, agentSettings.Name),
		RequestListener: listeners[0], PeerListener: listeners[1], AnnounceListener: listeners[2], OperatorListener: listeners[3],
	}
	return a.Run(s.ctx)
}

// loadSettings loads a settings file. T is *settings.Entry or *settings.Agent. If the file is for the other role,
// loadSettings returns an error.
func loadSettings[T any](file string) (T, error) {
	var zero T
	role, anySettings, err := settings.Load(file)
	if err != nil {
		return zero, exitError{ExitUsage, err.Error()}
	}
	roleSettings, ok := anySettings.(T)
	if !ok {
		return zero, exitError{ExitUsage, "settings: " + file + " is for the role " + string(role) + ", which another command runs"}
	}
	return roleSettings, nil
}

// listen opens a TCP listener on each address. If it fails for one address, it closes the listeners that are already open.
func listen(addresses ...string) ([]net.Listener, error) {
	var listeners []net.Listener
	for _, address := range addresses {
		l, err := net.Listen("tcp", address)
		if err != nil {
			for _, o := range listeners {
				_ = o.Close()
			}
			return nil, eris.Wrap(err, "cli: cannot listen")
		}
		listeners = append(listeners, l)
	}
	return listeners, nil
}

// newLogger returns a logger that writes JSON lines with the name of the process to standard error. If the level is unknown,
// the logger uses the level info.
func newLogger(s *session, levelName, name string) zerolog.Logger {
	level, err := zerolog.ParseLevel(levelName)
	if err != nil {
		level = zerolog.InfoLevel
	}
	return zerolog.New(s.stderr).Level(level).With().Timestamp().Str("process", name).Logger()
}
