package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"bamboohook/internal/batch/bookkeeper"
	"bamboohook/internal/batch/dispatcher"
	"bamboohook/internal/batch/job"
	"bamboohook/resource"
)

// Guards against a backlog that takes all starts at a VM, so that new jobs wait behind it, and against a gang that never starts because it is larger than the
// window.
func TestStartWindow(t *testing.T) {
	now := time.Unix(1000, 0)
	size := resource.Amount{MilliProcessors: 10, MemoryBytes: 1}
	for name, c := range map[string]struct {
		window, pending, backlog int
		gang                     bool
		want                     map[string]int
	}{
		"the job with less work left comes first":  {window: 4, backlog: 20, want: map[string]int{"backlog": 6, "new": 2}},
		"starts that are pending count":            {window: 4, pending: 3, backlog: 20, want: map[string]int{"new": 2}},
		"nothing starts beyond a full window":      {window: 4, pending: 4, backlog: 20, want: map[string]int{}},
		"without a window there is no limit":       {pending: 4, backlog: 20, want: map[string]int{"backlog": 20, "new": 2}},
		"a gang starts beyond the window at once":  {window: 4, backlog: 20, gang: true, want: map[string]int{"backlog": 20, "new": 2}},
		"a gang starts also if the window is full": {window: 4, pending: 4, backlog: 20, gang: true, want: map[string]int{"backlog": 20}},
	} {
		t.Run(name, func(t *testing.T) {
			jobs := bookkeeper.New()
			var steps []*bookkeeper.Step
			for id, step := range map[string]job.Step{
				"backlog": {TaskCount: c.backlog, Size: size, Gang: c.gang, Estimate: time.Hour}, "new": {TaskCount: 2, Size: size, Estimate: time.Second},
			} {
				jobs.OpenDueOccurrences(jobs.Accept(job.Job{ID: id, Queue: "q", Occurrences: 1, AcceptedAt: now, Steps: []job.Step{step}}), now)
			}
			jobs.VisitReadySteps(func(s *bookkeeper.Step) { steps = append(steps, s) })
			var vms []*dispatcher.VM
			for n := range 2 {
				vms = append(vms, &dispatcher.VM{
					Name: fmt.Sprint("vm-", n), Service: "s", Capacity: resource.Amount{MilliProcessors: 32_000, MemoryBytes: 1000}, Schedulable: true,
					StartWindow: c.window, PendingStarts: c.pending,
				})
			}
			queue := dispatcher.Queue{Service: "s", Stretch: 2, Target: time.Second}
			d := &dispatcher.Dispatcher{}
			placed := map[string]int{}
			for _, p := range d.Plan(now, now, steps, map[string]dispatcher.Queue{"q": queue}, vms) {
				placed[p.Task.Step.Job.ID]++
			}
			if fmt.Sprint(placed) != fmt.Sprint(c.want) {
				t.Errorf("placed %v, want %v", placed, c.want)
			}
			if c.window == 0 || c.gang || c.pending == 0 {
				return
			}
			for _, s := range steps {
				if got := d.Refusals(now, s.Tasks[0], "s", vms); got[dispatcher.RefusedPendingStarts] != 2 {
					t.Errorf("the reasons are %v", got)
				}
			}
		})
	}
}
