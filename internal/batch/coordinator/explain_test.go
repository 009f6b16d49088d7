package coordinator_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/batch/dispatcher"
	"bamboohook/internal/batch/job"
	"bamboohook/internal/fleet/messenger"
)

var _ = Describe("An explanation", func() {
	explain := func(c *testCluster, j job.Job) messenger.JobResponse {
		return c.coordinator.Explain(context.Background(), messenger.JobRequest{Job: j, Queue: "q"})
	}
	local := rackStep(3, 5*time.Second)
	gang := rackStep(3, 5*time.Second)
	gang.Gang, gang.SameRack = true, true
	waiting := job.Step{TaskCount: 2, Size: taskSize(4000), Label: "none"}

	for name, steps := range map[string][]job.Step{
		"tasks that start":                     {{TaskCount: 5, Size: taskSize(1000), Estimate: time.Second}},
		"tasks that wait for their rack":       {local},
		"a gang":                               {gang},
		"more tasks than fit":                  {{TaskCount: 12, Size: taskSize(1000)}},
		"best-effort tasks":                    {{TaskCount: 6, Size: taskSize(1500), BestEffort: true, Program: "p"}},
		"long-running tasks of a new program":  {{TaskCount: 2, Size: taskSize(1000), LongRunning: true, Program: "new", TailTarget: time.Second}},
		"several steps, of which one is ready": {{TaskCount: 2, Size: taskSize(500)}, {TaskCount: 3, Size: taskSize(500), After: []int{0}}},
	} {
		// Guards against an explanation that reserves, starts or records something, or that differs from what the owner does.
		It("of "+name+" changes nothing and equals what a submission gets", func() {
			c := newRackCluster()
			c.queue.Stretch = 20
			c.configure()
			submitJob(c.testCluster, job.Job{ID: "other", Occurrences: 1, Steps: []job.Step{rackStep(2, 5*time.Second)}})
			submitJob(c.testCluster, job.Job{ID: "filling", Occurrences: 1, Steps: []job.Step{{TaskCount: 2, Size: taskSize(500), BestEffort: true, Program: "b"}}})
			c.simulate(100 * time.Millisecond)
			j := job.Job{ID: "j", Occurrences: 1, Steps: steps}
			before, records := c.coordinator.Fingerprint(), len(c.journal.records)
			response := explain(c.testCluster, j)
			Expect(response.Outcome).To(Equal(messenger.OutcomeDone))
			Expect(c.coordinator.Fingerprint()).To(Equal(before))
			c.journal.flush()
			Expect([]int{len(c.journal.records), c.journal.countPendingWrites()}).To(Equal([]int{records, 0}))

			submitJob(c.testCluster, j)
			c.coordinator.PlanOnce(context.Background())
			started := map[string]int{}
			for task, n := range c.countRuns() {
				if id, ok := job.ParseTask(task); ok && id.Job == "j" && n > 0 {
					started[c.agentWith(task).name]++
				}
			}
			explained := map[string]int{}
			tasks := 0
			for _, o := range response.Explanation.Steps {
				for _, p := range o.Places {
					explained[p.VM] += p.Tasks
					tasks += p.Tasks
				}
				for _, w := range o.Waits {
					tasks += w.Tasks
				}
				if tasks += o.NotStarted; len(o.After) > 0 {
					tasks += o.Tasks
				}
			}
			Expect(explained).To(Equal(started))
			total := 0
			for _, s := range steps {
				total += s.TaskCount
			}
			Expect(tasks).To(Equal(total), "each task starts, waits, starts nowhere or comes later")
		})
	}

	It("tells on which rack tasks wait, and for how long", func() {
		c := newRackCluster()
		c.queue.Stretch = 20
		c.configure()
		o := explain(c.testCluster, job.Job{Occurrences: 1, Steps: []job.Step{local}}).Explanation.Steps[0]
		Expect(o.Waits).To(HaveLen(3))
		Expect([]any{o.Waits[0].Rack, o.Waits[0].LimitMS, o.Waits[0].Ahead, o.Waits[2].Ahead}).To(Equal([]any{"r1", int64(2000), 0, 2}))
		Expect(o.Waits[0].ExpectedMS).To(BeNumerically("~", 300, 200))
	})

	It("tells on how many VMs a task must not start, and why", func() {
		c := newTestCluster(3)
		c.agents["vm-0"].state = messenger.VMDraining
		c.simulate(time.Second)
		submitJob(c, job.Job{ID: "a", Occurrences: 1, Steps: []job.Step{{TaskCount: 2, Size: taskSize(4000)}}})
		c.simulate(time.Second)
		explanation := explain(c, job.Job{Occurrences: 1, Steps: []job.Step{{TaskCount: 2, Size: taskSize(1000)}}}).Explanation
		Expect([]int{explanation.VMs, explanation.UsableVMs, explanation.Steps[0].NotStarted}).To(Equal([]int{3, 2, 2}))
		Expect(explanation.Steps[0].Refusals).To(Equal(map[string]int{dispatcher.RefusedUnschedulable: 1, dispatcher.RefusedRoom: 2}))
	})

	It("of a job in an advised queue says that no VM has a ticket yet", func() {
		c := newTestCluster(2)
		c.queue.Advised = true
		c.configure()
		c.simulate(time.Second)
		o := explain(c, job.Job{Occurrences: 1, Steps: []job.Step{{TaskCount: 1, Size: taskSize(1000)}}}).Explanation.Steps[0]
		Expect([]any{o.NotStarted, o.Refusals}).To(Equal([]any{1, map[string]int{dispatcher.RefusedExcluded: 2}}))
	})

	It("leaves out places beyond a limit", func() {
		c := newTestCluster(40)
		c.simulate(time.Second)
		var steps []job.Step
		for range 60 {
			steps = append(steps, job.Step{TaskCount: 40, MaxPerVM: 1, Size: taskSize(10)})
		}
		explanation := explain(c, job.Job{Occurrences: 1, Steps: steps}).Explanation
		Expect(explanation.OmittedPlaces).To(Equal(400))
	})

	for name, c := range map[string]struct {
		change func(*testCluster)
		step   job.Step
		queue  string
		want   string
	}{
		"an unknown queue":                       {func(*testCluster) {}, job.Step{TaskCount: 1}, "unknown", messenger.OutcomeNoQueue},
		"an invalid job":                         {func(*testCluster) {}, job.Step{}, "q", messenger.OutcomeInvalid},
		"a job that no VM can run":               {func(*testCluster) {}, waiting, "q", messenger.OutcomeNotExecuted},
		"a job while the store does not answer":  {func(c *testCluster) { c.journal.degraded = true }, job.Step{TaskCount: 1}, "q", messenger.OutcomeNotExecuted},
		"a job while another entry may own them": {func(c *testCluster) { c.mayGrantLeases = false }, job.Step{TaskCount: 1}, "q", messenger.OutcomeNotExecuted},
		"a job after the end of the ownership":   {func(c *testCluster) { c.coordinator.Resign(1, "test") }, job.Step{TaskCount: 1}, "q", messenger.OutcomeNotOwner},
	} {
		It("is refused for "+name, func() {
			cluster := newTestCluster(2)
			cluster.simulate(time.Second)
			c.change(cluster)
			response := cluster.coordinator.Explain(context.Background(), messenger.JobRequest{Job: job.Job{Occurrences: 1, Steps: []job.Step{c.step}}, Queue: c.queue})
			Expect([]any{response.Outcome, response.Explanation}).To(Equal([]any{c.want, (*messenger.Explanation)(nil)}))
		})
	}
})
