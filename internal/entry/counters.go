package entry

import (
	"expvar"
	"strings"

	"bamboohook/appender"
)

// counters holds the numbers of submitted jobs, of publications of configuration changes and of calls to
// agents, each by outcome, and the values that exportCounters adds.
var counters = expvar.NewMap("entry")

// exportCounters adds to counters: the counters of the appenders of both streams, whether the batch stream was
// read to its end, and the applied revision of the configuration.
func (e *Entry) exportCounters() {
	counters.Set("batch-stream", expvar.Func(func() any { return appenderCounters(e.batchAppender.Counters()) }))
	counters.Set("configuration-stream", expvar.Func(func() any { return appenderCounters(e.configuration.appender.Counters()) }))
	counters.Set("batch-stream-complete", expvar.Func(func() any { return e.batchReader.replayer.CaughtUp() }))
	counters.Set("revision", expvar.Func(func() any {
		revision, _ := e.configuration.appliedRevision()
		return revision
	}))
}

// appenderCounters returns the counters of an appender, by the names under which they are exported.
func appenderCounters(c appender.Counters) map[string]uint64 {
	return map[string]uint64{"appends": c.Appends, "read-backs": c.ReadBacks, "ambiguous": c.Ambiguous}
}

// countCall increments the counter for the method and the outcome of a call to an agent. reason says why the
// agent did not accept the call, and err is set if it did not respond.
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
