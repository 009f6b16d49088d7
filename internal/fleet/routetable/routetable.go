// Package routetable finds the route of a caller's request in one version of the configuration.
package routetable

import (
	"net"
	"strings"
	"time"
)

type (
	// Route is a queue of jobs that callers reach by host and path.
	Route struct {
		Name    string `json:"name"`
		Host    string `json:"host"`
		Prefix  string `json:"prefix"`
		Service string `json:"service"`
		// Priority 0 comes first.
		Priority int `json:"priority"`
		// Attempts is how often a task may fail by itself.
		MaxAttempts int `json:"attempts"`
		// Stretch and Target form the objective of a job: Stretch times its longest chain of work, and Target more.
		Stretch float64       `json:"stretch"`
		Target  time.Duration `json:"target"`
		Timeout time.Duration `json:"timeout"`
		// Advised tells that a policy restricts where the tasks may run.
		Advised bool `json:"advised,omitempty"`
	}

	// Table is one version of the configuration. It is a value that is not changed.
	Table struct {
		Version int64   `json:"version"`
		Routes  []Route `json:"routes"`
		// MaxBodyBytes bounds the body of a request.
		MaxBodyBytes int64 `json:"max-body-bytes"`
	}
)

// Lookup returns the route with the host and the longest prefix of the path, and what follows the prefix.
func (t *Table) Lookup(host, path string) (Route, string, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	best := -1
	for n, r := range t.Routes {
		if strings.EqualFold(r.Host, host) && strings.HasPrefix(path, r.Prefix) && (best < 0 || len(r.Prefix) > len(t.Routes[best].Prefix)) {
			best = n
		}
	}
	if best < 0 {
		return Route{}, "", false
	}
	return t.Routes[best], path[len(t.Routes[best].Prefix):], true
}
