// Package settings reads the INI settings file of a process and reports all problems of the file at once.
package settings

import (
	"os"
	"time"

	"github.com/rotisserie/eris"
)

// Roles of a process. The settings file of a process has one section, whose name is the role.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// maxFileBytes is the maximum size of a settings file.
const maxFileBytes = 1 << 20

type (
	// Role is the role of a process: RoleEntry or RoleAgent.
	Role string

	// Common holds the settings of both roles.
	Common struct {
		// Name identifies the process. The name of an agent is the name of its VM in the inventory.
		Name       string `ini:"name" validate:"required,identifier"`
		Region     string `ini:"region" validate:"required,identifier"`
		DataCentre string `ini:"data-centre" validate:"required,identifier"`
		Rack       string `ini:"rack" validate:"omitempty,identifier"`
		// PeerAddress is where the process listens for calls from other processes. It is sent to them, so it must not be an
		// unspecified address such as 0.0.0.0.
		PeerAddress string `ini:"peer-address" validate:"required,reachable"`
		// OperatorAddress is where the process listens for requests of operators.
		OperatorAddress string `ini:"operator-address" validate:"required,listen"`
		// Entries holds the peer addresses of the entries that the process contacts first. It learns the addresses of the other
		// entries from them.
		Entries []string `ini:"entries" validate:"max=64,dive,reachable"`
		// LogLevel is debug, info, warn or error.
		LogLevel string `ini:"log-level" validate:"oneof=debug info warn error"`
		// HeartbeatInterval is the time between two heartbeats of an agent or two presence messages of an entry. A VM
		// becomes suspect 2 s after its last heartbeat, so an interval above the allowed 1 s could take healthy VMs out of use.
		HeartbeatInterval time.Duration `ini:"heartbeat-interval" validate:"min=50ms,max=1s"`
		// DrainTime is the maximum time for which a process drains after SIGTERM: it finishes its requests in flight, and hands over
		// or stops its other work.
		DrainTime time.Duration `ini:"drain-time" validate:"min=1s,max=1h"`
		// MaxBodyBytes and MaxHeaderBytes are the maximum sizes of the body and the header of a request.
		MaxBodyBytes   int64 `ini:"max-body-bytes" validate:"min=1024,max=1073741824"`
		MaxHeaderBytes int   `ini:"max-header-bytes" validate:"min=1024,max=1048576"`
	}

	// Entry holds the settings of an entry.
	Entry struct {
		Common
		// CallerAddress is where the entry listens for requests of callers.
		CallerAddress string `ini:"caller-address" validate:"required,listen"`
		// LogAddress is the address of the log service.
		LogAddress string `ini:"log-address" validate:"required,reachable"`
		// LogRetention is how long the log service keeps records. The entry appends a snapshot of the state well before the
		// records from which the state is built are deleted.
		LogRetention time.Duration `ini:"log-retention" validate:"min=2s,max=8760h"`
		// Shards is the number of shards into which the batch tasks of the region are divided. It must be the same for all
		// entries of the region.
		Shards int `ini:"shards" validate:"min=1,max=1024"`
		// DrainReadyTime is how long a draining entry fails its readiness check before it refuses callers' requests.
		DrainReadyTime time.Duration `ini:"drain-ready-time" validate:"min=0s,max=10m"`
	}

	// Agent holds the settings of an agent.
	Agent struct {
		Common
		// RequestAddress is where the agent listens for the callers' requests that entries forward to it.
		RequestAddress string `ini:"request-address" validate:"required,reachable"`
		// AnnounceAddress is where the agent listens for the announcements that the endpoint on its VM sends.
		AnnounceAddress string `ini:"announce-address" validate:"required,listen"`
		// WorkerAddress is the address of the worker interface of the VM, through which the agent runs batch tasks.
		WorkerAddress string `ini:"worker-address" validate:"required,reachable"`
	}
)

// DefaultEntry returns the default settings of an entry. Settings that a file must contain are empty.
func DefaultEntry() Entry {
	return Entry{
		Common:         defaultCommon(),
		LogRetention:   time.Hour,
		Shards:         8,
		DrainReadyTime: 3 * time.Second,
	}
}

// DefaultAgent returns the default settings of an agent. Settings that a file must contain are empty.
func DefaultAgent() Agent {
	return Agent{Common: defaultCommon()}
}

// Load reads the settings file at path and returns its role and settings. The settings are an *Entry or an *Agent, depending on
// the role. If the content is invalid, the settings are nil and the error is a Problems value with all problems.
func Load(path string) (Role, any, error) {
	info, err := os.Stat(path)
	if err != nil {
		return "", nil, eris.Wrap(err, "settings: cannot read the file")
	}
	if !info.Mode().IsRegular() || info.Size() > maxFileBytes {
		return "", nil, eris.Errorf("settings: %s is not a settings file; allowed is a regular file of at most %d bytes", path, maxFileBytes)
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return "", nil, eris.Wrap(err, "settings: cannot read the file")
	}
	return Parse(path, content)
}

func defaultCommon() Common {
	return Common{
		LogLevel:          "info",
		HeartbeatInterval: 500 * time.Millisecond,
		DrainTime:         30 * time.Second,
		MaxBodyBytes:      16 << 20,
		MaxHeaderBytes:    64 << 10,
	}
}
