package dispatcher_test

import (
	"cmp"
	"testing"
	"time"

	"bamboohook/internal/batch/bookkeeper"
	"bamboohook/internal/batch/dispatcher"
	"bamboohook/internal/batch/job"
	"bamboohook/resource"
)

// The load is that of a fleet whose reserved room is short: long-running tasks and tasks that take a second wait for it at the same time.

// Guards against long-running tasks that take all room which becomes free before the shorter ones, which then wait ever longer, and against a long-running
// step that never begins because shorter tasks always wait.
func TestLongRunningTasksLeaveRoomToShortOnes(t *testing.T) {
	const (
		vmProcessors = 16_000
		shortSize    = 3_000
		longSize     = 6_000
	)
	for name, c := range map[string]struct {
		longWaited, shortWaited time.Duration
		shortPriority           int
		stepRuns                bool
		// shortService, shortProcessors and rack are those of the large short task, if they are not the usual ones.
		shortService    string
		shortProcessors int64
		rack            string
		// held reports whether the VM is held for the long-running task, so that the fitting short task does not start.
		held bool
	}{
		"short ones wait": {longWaited: 5 * time.Second, shortWaited: time.Second, stepRuns: true},
		"short ones wait, and the step has no run yet":            {longWaited: 5 * time.Second, shortWaited: time.Second},
		"the step has had no run for long":                        {longWaited: 16 * time.Second, shortWaited: time.Second, held: true},
		"the step has runs, and one more has waited for 30 s":     {longWaited: 30 * time.Second, shortWaited: time.Second, stepRuns: true},
		"the step has runs, and one more has waited for a minute": {longWaited: time.Minute, shortWaited: time.Second, stepRuns: true, held: true},
		"the short ones wait for VMs of another service":          {longWaited: 5 * time.Second, shortWaited: time.Second, stepRuns: true, shortService: "t", held: true},
		"the short ones fit on no VM":                             {longWaited: 5 * time.Second, shortWaited: time.Second, stepRuns: true, shortProcessors: 2 * vmProcessors, held: true},
		"the short ones may wait for a rack":                      {longWaited: 5 * time.Second, shortWaited: time.Second, stepRuns: true, rack: "r", held: true},
		"short ones have only just become ready":                  {longWaited: 5 * time.Second, shortWaited: 100 * time.Millisecond, stepRuns: true, held: true},
		"short ones have a lower priority":                        {longWaited: 5 * time.Second, shortWaited: time.Second, shortPriority: 2, stepRuns: true, held: true},
	} {
		t.Run(name, func(t *testing.T) {
			start := time.UnixMilli(1_000_000)
			b, d := bookkeeper.New(), &dispatcher.Dispatcher{}
			clock := &fixedClock{start}
			b.WaitingClock = clock
			v := &dispatcher.VM{Name: "v", Service: "s", Capacity: resource.Amount{MilliProcessors: vmProcessors, MemoryBytes: 100}, Schedulable: true}
			accept := func(id string, s job.Step, at time.Time) {
				clock.now = at
				s.Size.MemoryBytes = 1
				b.OpenDueOccurrences(b.Accept(job.Job{ID: id, Queue: id, Occurrences: 1, AcceptedAt: at, Steps: []job.Step{s}}), at)
			}
			run := func(id string) {
				task := b.Task(job.Task{Job: id})
				v.Add(task)
				b.RunStarted(task, 1)
			}
			short := dispatcher.Queue{Service: "s", Priority: c.shortPriority, Stretch: 2, Target: time.Hour}
			large := short
			large.Service = cmp.Or(c.shortService, "s")
			queues := map[string]dispatcher.Queue{"other": short, "filler": short, "large": large, "small": short, "long": {Service: "s"}}
			now := start.Add(time.Hour)
			// What runs leaves too little room for a long-running task and for the large short one.
			accept("other", job.Step{TaskCount: 1, Size: resource.Amount{MilliProcessors: vmProcessors - longSize - 1000}, Estimate: time.Hour}, start)
			run("other")
			accept("long", job.Step{TaskCount: 2, Size: resource.Amount{MilliProcessors: longSize}, LongRunning: true, Estimate: time.Second}, now.Add(-c.longWaited))
			if c.stepRuns {
				run("long")
			} else {
				accept("filler", job.Step{TaskCount: 1, Size: resource.Amount{MilliProcessors: longSize}, Estimate: time.Hour}, start)
				run("filler")
			}
			accept("large", job.Step{
				TaskCount: 1, Size: resource.Amount{MilliProcessors: cmp.Or(c.shortProcessors, shortSize)}, Estimate: time.Second, PreferredRack: c.rack,
			}, now.Add(-c.shortWaited))
			accept("small", job.Step{TaskCount: 1, Size: resource.Amount{MilliProcessors: 500}, Estimate: time.Second}, now)
			var steps []*bookkeeper.Step
			b.VisitReadySteps(func(s *bookkeeper.Step) { steps = append(steps, s) })
			started := false
			for _, p := range d.Plan(now, now, steps, queues, []*dispatcher.VM{v}) {
				started = started || p.Task.Step.Job.ID == "small"
			}
			if started == c.held {
				t.Errorf("the small task has started: %v, want %v", started, !c.held)
			}
		})
	}
}

// fixedClock returns the time that a test has set.
type fixedClock struct{ now time.Time }

func (c *fixedClock) Now() time.Time { return c.now }
