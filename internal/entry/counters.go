package entry

import (
	"expvar"
	"strings"

	"bamboohook/appender"
)

// counters holds the numbers of calls to agents, jobs and publications by outcome.
var counters = expvar.NewMap("entry")

// publishCounters exports the counters of the appenders and the state of the streams.
func (e *Entry) exportCounters() {
	counters.Set("batch-stream", expvar.Func(func() any { return appendCounters(e.batchAppender.Counters()) }))
	counters.Set("configuration-stream", expvar.Func(func() any { return appendCounters(e.configuration.appender.Counters()) }))
	counters.Set("batch-stream-complete", expvar.Func(func() any { return e.batchReader.replayer.CaughtUp() }))
	counters.Set("revision", expvar.Func(func() any {
		revision, _ := e.configuration.effective()
		return revision
	}))
}

func appendCounters(c appender.Counters) map[string]uint64 {
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
