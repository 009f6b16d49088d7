package owner_test

import (
	"context"
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/inventory"
	"bamboohook/internal/message"
	"bamboohook/resource"
	"bamboohook/scheduler"
)

// testConfiguration returns a configuration with six VMs, two teams and three kinds. The kind alert is more important
// than the others, and the kind bare has no defaults.
func testConfiguration() *inventory.Inventory {
	configuration := &inventory.Inventory{
		VMs: map[string]inventory.VM{},
		Teams: map[string]inventory.Team{
			"design": {Name: "design", Quota: resource.Amount{MilliProcessors: 5400}, LimitedResources: map[string]bool{"processors": true}},
			"search": {Name: "search", Quota: resource.Amount{MilliProcessors: 600}, LimitedResources: map[string]bool{"processors": true}},
		},
		Kinds: map[string]inventory.Kind{
			"build": {Name: "build", Size: resource.Amount{MilliProcessors: 500, MemoryBytes: 30}, RunTime: 5 * time.Second, Attempts: 4},
			"alert": {Name: "alert", Size: resource.Amount{MilliProcessors: 500, MemoryBytes: 30}, RunTime: 5 * time.Second},
			"bare":  {Name: "bare"},
		},
		Rules:    map[string]inventory.Rule{"alerts": {Name: "alerts", KindsAndServices: []string{"alert"}, Importance: 50}},
		Services: map[string]inventory.Service{"preview": {Name: "preview", TargetLatency: 20 * time.Millisecond}},
	}
	for i := range 6 {
		name := fmt.Sprint("vm-", i)
		configuration.VMs[name] = inventory.VM{Name: name, Capacity: resource.Amount{MilliProcessors: 1000, MemoryBytes: 100, Accelerators: 1}}
	}
	return configuration
}

// newConfiguredRegion returns a region of three entries and six VMs that uses testConfiguration.
func newConfiguredRegion(seed uint64) *region {
	r := newRegion(seed, 3, 6)
	r.configuration = testConfiguration()
	for _, e := range r.entries {
		e.startProcess()
	}
	return r
}

// failuresAt counts failures of attempts on the VM. uncounted is the number of failures that do not count against
// their tasks, because the VM was quarantined. failedTwice is the number of tasks with more than one failure that
// counts.
func failuresAt(r *region, vm string) (uncounted, failedTwice int) {
	failed := map[string]int{}
	for _, d := range r.records {
		var end struct {
			scheduler.Interruption
			Outcome string `json:"outcome"`
		}
		decode(d.Record, &end)
		switch {
		case end.VM != vm:
		case end.Reason == "vm-quarantined":
			uncounted++
		case end.Outcome == scheduler.OutcomeFailed:
			failed[fmt.Sprint(end.Job, "/", end.Task)]++
		}
	}
	for _, count := range failed {
		if count > 1 {
			failedTwice++
		}
	}
	return uncounted, failedTwice
}

// request returns a request for a job that leaves its size and run time to the defaults of its kind.
func request(id, team, kind string, tasks int) message.JobRequest {
	return message.JobRequest{ID: id, Team: team, Kind: kind, Tasks: tasks}
}

var _ = Describe("Owner with policies", func() {
	ctx := context.Background()
	submit := func(r *region, request message.JobRequest) {
		_, failure := r.entries[0].owner.Submit(ctx, request)
		ExpectWithOffset(1, failure).To(BeNil())
	}
	status := func(e *entry, job string) message.JobStatus {
		jobStatus, _ := e.owner.Status(job)
		return jobStatus
	}
	// lastStart returns when the last task of the job was started, as the time since the start of the simulation.
	lastStart := func(r *region, job string) time.Duration {
		latest := time.Duration(0)
		for _, v := range r.vms {
			for id, w := range v.tasks {
				if strings.HasPrefix(id, job+"/") {
					latest = max(latest, w.startedAt.Sub(start))
				}
			}
		}
		return latest
	}

	// Guards against starting tasks in the order of their submission, in which important tasks wait for everything
	// submitted earlier. Also guards against less important attempts that start first because they were already
	// assigned.
	It("starts important tasks first although all VMs are full and other tasks are already assigned", func() {
		r := newConfiguredRegion(1)
		r.run(ctx, 5*time.Second)
		submit(r, request("builds", "design", "build", 150))
		r.run(ctx, 10*time.Second)
		submittedAfter := r.now.Sub(start)
		submit(r, request("alert", "design", "alert", 3))
		r.run(ctx, 8*time.Second)
		wait := lastStart(r, "alert") - submittedAfter
		AddReportEntry("waiting time of the important job", wait.String())
		Expect(wait).To(And(BeNumerically(">", 0), BeNumerically("<", 5*time.Second)))
	})

	// Guards against a team that gets all VMs by submitting first. The team search has a quota of 10% of the processors
	// and uses 33%. The team design has a quota of 90% and uses 67%.
	It("starts tasks of a team over its quota after those of other teams", func() {
		r := newConfiguredRegion(1)
		r.run(ctx, 5*time.Second)
		r.taskDuration = time.Hour
		submit(r, request("held", "design", "build", 8))
		r.run(ctx, 5*time.Second)
		r.taskDuration = 5 * time.Second
		submit(r, request("large", "search", "build", 100))
		r.run(ctx, 10*time.Second)
		submit(r, request("small", "design", "build", 2))
		r.run(ctx, 15*time.Second)
		jobStatus := status(r.entries[0], "small")
		Expect(jobStatus.Running + jobStatus.Done).To(Equal(2))
		Expect(lastStart(r, "small")).To(BeNumerically(">", 0))
	})

	// Guards against accepting jobs that can't run: with an unknown team or kind, without tasks, with tasks that fit on
	// no VM, or without a size or run time if the kind has no default. Also guards against ignoring the defaults of a
	// kind.
	It("refuses jobs that can't run and applies defaults to those that can", func() {
		r := newConfiguredRegion(1)
		r.run(ctx, 2*time.Second)
		oversized := request("a", "design", "build", 1)
		oversized.Size.Accelerators = 2
		for text, refused := range map[string]message.JobRequest{
			"fits no VM":                                   oversized,
			"allowed are design, search":                   request("a", "desing", "build", 1),
			"allowed are alert, bare, build":               request("a", "design", "biuld", 1),
			"kind \"bare\" has no default size":            request("a", "design", "bare", 1),
			"has no default run time; it must be declared": {ID: "a", Team: "design", Kind: "bare", Tasks: 1, Size: oversized.Size},
			"allowed are 1 to 100000 tasks of a size":      request("a", "design", "build", 0),
		} {
			_, failure := r.entries[0].owner.Submit(ctx, refused)
			Expect(failure).To(And(HaveField("Reason", message.ReasonBadRequest), HaveField("Message", ContainSubstring(text))))
		}
		submit(r, request("a", "design", "build", 1))
		Expect(string(r.records[len(r.records)-1].Record.Body)).To(And(ContainSubstring(`"milli-processors":500`), ContainSubstring(`"retries":3`)))
	})

	// Guards against sizes that are never corrected. The tasks declare 0.5 processors but use 0.3, so a VM with one
	// processor can run three of them instead of two.
	It("assigns tasks with the size learned from completed tasks", func() {
		r := newConfiguredRegion(1)
		r.usageFactor = 0.6
		r.run(ctx, 5*time.Second)
		submit(r, request("first", "design", "build", 120))
		r.run(ctx, 3*time.Minute)
		submit(r, request("second", "design", "build", 1))
		r.run(ctx, 5*time.Second)
		for _, v := range r.vms {
			for id, w := range v.tasks {
				if strings.HasPrefix(id, "second/") {
					AddReportEntry("corrected size", w.Size.String())
					Expect(w.Size.MilliProcessors).To(BeNumerically("~", 300, 30))
					return
				}
			}
		}
		Fail("the second job did not start")
	})

	// Guards against a failing job that causes the quarantine of healthy VMs, and against a failing VM that causes the
	// parking of healthy jobs.
	It("parks a failing job while it quarantines a failing VM, and probes the VM", func() {
		r := newConfiguredRegion(3)
		r.failingKind = "alert"
		r.vms[2].failsTasks = true
		r.run(ctx, 5*time.Second)
		submit(r, request("bad", "design", "alert", 20))
		for i := range 8 {
			submit(r, request(fmt.Sprint("good", i), "design", "build", 10))
		}
		r.run(ctx, 3*time.Minute)
		for _, e := range r.entries {
			Expect(status(e, "bad")).To(And(HaveField("State", scheduler.StateParked), HaveField("Reason", ContainSubstring("vm-"))))
			for i := range 8 {
				Expect(status(e, fmt.Sprint("good", i))).To(And(HaveField("Done", 10), HaveField("Failed", 0)))
			}
			Expect(r.events).To(ContainElements(e.name+" job-parked bad", e.name+" vm-quarantined vm-2"))
		}
		AddReportEntry("tasks started on the failing VM", r.vms[2].startedTaskCount)
		uncounted, failedTwice := failuresAt(r, "vm-2")
		Expect(uncounted).To(BeNumerically(">", 0), "failures on the quarantined VM that do not count against their tasks")
		Expect(failedTwice).To(BeZero(), "tasks that failed twice on the VM")
		r.vms[2].failsTasks = false
		for i := range 10 {
			submit(r, request(fmt.Sprint("later", i), "design", "build", 100))
		}
		r.run(ctx, 8*time.Minute)
		Expect(r.events).To(ContainElement(ContainSubstring("vm-released vm-2")))
		Expect(r.events).NotTo(ContainElement(ContainSubstring("vm-quarantined vm-1")))
	})

	// Guards against batch tasks that keep slowing down a service, and against throttling that never ends.
	It("throttles tasks on the VM of a slow service and ends the throttling when the service recovers", func() {
		r := newConfiguredRegion(1)
		r.taskDuration = time.Hour
		recovered := false
		r.latency = func(v *vm) time.Duration {
			load := 0.0
			for _, w := range v.tasks {
				if w.State == "running" && !recovered && v == r.vms[0] {
					load += w.Share
				}
			}
			return time.Duration(10*(1+load)) * time.Millisecond
		}
		smallestShare := func() (smallest float64) {
			smallest = 1
			for _, w := range r.vms[0].tasks {
				if w.State == "running" {
					smallest = min(smallest, w.Share)
				}
			}
			return smallest
		}
		r.run(ctx, 5*time.Second)
		submit(r, request("a", "design", "build", 12))
		r.run(ctx, time.Minute)
		AddReportEntry("smallest processor share while the service is slow", smallestShare())
		Expect(smallestShare()).To(BeNumerically("<", 1))
		recovered = true
		r.run(ctx, 12*time.Minute)
		Expect(smallestShare()).To(Equal(1.0))
		Expect(r.violations).To(BeEmpty())
	})
})
