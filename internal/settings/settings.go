// Package settings reads the INI settings file of a process and reports all its mistakes at once.
package settings

import (
	"os"
	"time"

	"github.com/rotisserie/eris"
)

// Roles of a process. The section of the settings file has the name of the role.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// maxFileBytes bounds the size of a settings file.
const maxFileBytes = 1 << 20

type (
	// Role is the part that a process plays.
	Role string

	// Common holds the settings of both roles.
	Common struct {
		// Name identifies the process; for an agent it is the name of the VM in the inventory.
		Name       string `ini:"name" validate:"required,identifier"`
		Region     string `ini:"region" validate:"required,identifier"`
		DataCentre string `ini:"data-centre" validate:"required,identifier"`
		Rack       string `ini:"rack" validate:"omitempty,identifier"`
		// PeerAddress is announced to other processes, so it must not be an unspecified address.
		PeerAddress     string `ini:"peer-address" validate:"required,reachable"`
		OperatorAddress string `ini:"operator-address" validate:"required,listen"`
		// Entries are the peer addresses of entries to contact first; further ones are learned from them.
		Entries []string `ini:"entries" validate:"max=64,dive,reachable"`
		// LogLevel is debug, info, warn or error.
		LogLevel string `ini:"log-level" validate:"oneof=debug info warn error"`
		// HeartbeatInterval is the time between two heartbeats of an agent or two presence messages of an entry. A VM
		// is suspect after 2 s of silence, so that a longer interval would take VMs out of use.
		HeartbeatInterval time.Duration `ini:"heartbeat-interval" validate:"min=50ms,max=1s"`
		// DrainTime bounds how long a draining process waits for requests in flight.
		DrainTime time.Duration `ini:"drain-time" validate:"min=1s,max=1h"`
		// MaxBodyBytes and MaxHeaderBytes bound a request.
		MaxBodyBytes   int64 `ini:"max-body-bytes" validate:"min=1024,max=1073741824"`
		MaxHeaderBytes int   `ini:"max-header-bytes" validate:"min=1024,max=1048576"`
	}

	// Entry holds the settings of an entry.
	Entry struct {
		Common
		CallerAddress string `ini:"caller-address" validate:"required,listen"`
		LogAddress    string `ini:"log-address" validate:"required,reachable"`
		// LogRetention is how long the log service keeps records. Snapshots are appended well before it ends.
		LogRetention time.Duration `ini:"log-retention" validate:"min=2s,max=8760h"`
		// Shards is the number of shards of the region's batch tasks. It is the same for all entries of a region.
		Shards int `ini:"shards" validate:"min=1,max=1024"`
		// DrainReadyTime is how long a draining entry fails its readiness path before it refuses callers.
		DrainReadyTime time.Duration `ini:"drain-ready-time" validate:"min=0s,max=10m"`
	}

	// Agent holds the settings of an agent.
	Agent struct {
		Common
		RequestAddress string `ini:"request-address" validate:"required,reachable"`
		// AnnounceAddress receives the announcements of the endpoint beside the agent.
		AnnounceAddress string `ini:"announce-address" validate:"required,listen"`
		WorkerAddress   string `ini:"worker-address" validate:"required,reachable"`
	}
)

// DefaultEntry returns the settings of an entry without its required keys.
func DefaultEntry() Entry {
	return Entry{
		Common:         defaultCommon(),
		LogRetention:   time.Hour,
		Shards:         8,
		DrainReadyTime: 3 * time.Second,
	}
}

// DefaultAgent returns the settings of an agent without its required keys.
func DefaultAgent() Agent {
	return Agent{Common: defaultCommon()}
}

// Load reads the file at path. The settings are a *Entry or a *Agent according to the role. If the
// file has mistakes, the error is a Problems value with all of them and the settings are nil.
func Load(path string) (Role, any, error) {
	info, err := os.Stat(path)
	if err != nil {
		return "", nil, eris.Wrap(err, "settings: cannot read")
	}
	if !info.Mode().IsRegular() || info.Size() > maxFileBytes {
		return "", nil, eris.Errorf("settings: %s is not a settings file; allowed is a regular file of at most %d bytes", path, maxFileBytes)
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return "", nil, eris.Wrap(err, "settings: cannot read")
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
