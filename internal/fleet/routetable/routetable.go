// Package routetable looks up the route of a caller's request in one version of the configuration.
package routetable

import (
	"net"
	"strings"
	"time"
)

type (
	// Route maps callers' requests with a host and a path prefix to a queue of jobs. Service is the service whose endpoints run the
	// tasks of these jobs.
	Route struct {
		Queue   string `json:"name"`
		Host    string `json:"host"`
		Prefix  string `json:"prefix"`
		Service string `json:"service"`
		// Priority is the rank of the queue. 0 is the highest priority.
		Priority int `json:"priority"`
		// MaxAttempts is the number of failed runs of one task after which its job fails. Runs that end for another reason, such as
		// the loss of the VM, are not counted. 0 means no limit.
		MaxAttempts int `json:"attempts"`
		// Stretch and Target define the target completion time of a job: Stretch times the duration of its critical path, plus
		// Target. The critical path is the longest chain of steps that depend on each other.
		Stretch float64       `json:"stretch"`
		Target  time.Duration `json:"target"`
		// Timeout is the timeout that operators publish for the route. It has no effect.
		Timeout time.Duration `json:"timeout"`
		// Advised reports whether a task needs a permission of the advice service, which decides on which VMs it may run.
		Advised bool `json:"advised,omitempty"`
		// AdviceTime and AdviceTimePerVM are how long the advice service takes for a request and for each VM in it.
		AdviceTime      time.Duration `json:"advice-time,omitempty"`
		AdviceTimePerVM time.Duration `json:"advice-time-per-vm,omitempty"`
	}

	// Configuration is one version of the configuration that operators publish. It is immutable.
	Configuration struct {
		Version int64   `json:"version"`
		Routes  []Route `json:"routes"`
		// MaxBodyBytes is the maximum size of the body of a caller's request. 0 means the default.
		MaxBodyBytes int64 `json:"max-body-bytes"`
	}
)

// Lookup returns the route that matches the host and has the longest matching path prefix, and the rest of the path after the prefix. It
// returns false if no route matches. The host may contain a port, which is ignored.
func (c *Configuration) Lookup(host, path string) (Route, string, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	best := -1
	for n, r := range c.Routes {
		if strings.EqualFold(r.Host, host) && strings.HasPrefix(path, r.Prefix) && (best < 0 || len(r.Prefix) > len(c.Routes[best].Prefix)) {
			best = n
		}
	}
	if best < 0 {
		return Route{}, "", false
	}
	return c.Routes[best], path[len(c.Routes[best].Prefix):], true
}
