package history_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/standin/history"
	"bamboohook/internal/standin/instance"
)

var _ = Describe("Check of the history of runs", func() {
	const job = "0000000000000001"
	const task = job + ".0.0.0"
	event := func(endpoint string, run int, kind string) instance.Event {
		return instance.Event{Instance: endpoint, Task: task, Run: run, Kind: kind}
	}
	for name, c := range map[string]struct {
		events     []instance.Event
		violations int
	}{
		"a start after a completion":                           {[]instance.Event{event("a", 1, "start"), event("a", 1, "done"), event("b", 2, "start")}, 1},
		"a start after a completion whose result was lost":     {[]instance.Event{event("a", 1, "start"), event("a", 1, "done"), event("a", 1, "result-lost"), event("b", 1, "start")}, 0},
		"a start after a completion and the loss of a failure": {[]instance.Event{event("b", 1, "start"), event("b", 1, "failed"), event("a", 2, "start"), event("a", 2, "done"), event("b", 1, "result-lost"), event("b", 3, "start")}, 1},
		"a start while an earlier end is taken note of":        {[]instance.Event{event("a", 1, "start"), event("a", 1, "failed"), event("a", 2, "start"), event("a", 1, "noted"), event("b", 3, "start")}, 1},
		"two runs at the same time":                            {[]instance.Event{event("a", 1, "start"), event("b", 2, "start")}, 1},
		"a start after a crash":                                {[]instance.Event{event("a", 1, "start"), event("a", 1, "crash"), event("b", 2, "start")}, 0},
		"a start of a task that nobody submitted":              {[]instance.Event{{Instance: "a", Task: "0000000000000002.0.0.0", Run: 1, Kind: "start"}}, 1},
	} {
		It("finds the violations in "+name, func() {
			Expect(history.Violations(c.events, map[string]bool{job: true})).To(HaveLen(c.violations))
		})
	}
})
