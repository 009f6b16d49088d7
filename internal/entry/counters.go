package entry

import (
	"expvar"
	"strings"

	"bamboohook/appender"
)

// counters holds the numbers of jobs, of publications of configuration changes and of calls to agents, each by
// outcome, the state of the streams, and the revision of the configuration.
var counters = expvar.NewMap("entry")

// exportCounters adds the counters of the appenders, whether the batch stream was read to its end, and the
// applied revision of the configuration to counters.
func (e *Entry) exportCounters() {
	counters.Set("batch-stream", expvar.Func(func() any { return appenderCounters(e.batchAppender.Counters()) }))
	counters.Set("configuration-stream", expvar.Func(func() any { return appenderCounters(e.configuration.appender.Counters()) }))
	counters.Set("batch-stream-complete", expvar.Func(func() any { return e.batchReader.replayer.CaughtUp() }))
	counters.Set("revision", expvar.Func(func() any {
		revision, _ := e.configuration.appliedRevision()
		return revision
	}))
}

// appendCounters returns the counters of an appender under the names by which they are exported.
func appenderCounters(c appender.Counters) map[string]uint64 {
	return map[string]uint64{"appends": c.Appends, "read-backs": c.ReadBacks, "ambiguous": c.Ambiguous}
}

// countCall increments the counter for the outcome of a call to an agent.
func countCall(method string, accepted bool, reason string, err error) {
	name := strings.TrimPrefix(method, "agent.")
	switch {
	case err != nil:
		counters.Add(name+"-unanswered", 1)
	case accepted:
		counters.Add(name+"-accepted", 1)
	default:
		counters.Add(name+"-refused-"+reason, 1)
	}
}
