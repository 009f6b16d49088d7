package coordinator_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/batch/coordinator"
	"bamboohook/internal/batch/job"
	"bamboohook/internal/fleet/messenger"
	"bamboohook/resource"
)

// taskSize returns the size of a task that needs the thousandths of processors and hardly any memory.
func taskSize(milliProcessors int64) resource.Amount {
	return resource.Amount{MilliProcessors: milliProcessors, MemoryBytes: 10}
}

// smallTasks submits small jobs to a queue, so that some always wait, and ends each run after a time.
type smallTasks struct {
	cluster   *testCluster
	queue     string
	submitted int
	startedAt map[string]time.Time
}

// step ends the runs of the small jobs that have lasted for the given time, and submits jobs until 10 wait or run for each VM.
func (s *smallTasks) step(duration time.Duration) {
	now, live := s.cluster.clock.Now(), 0
	for n := range s.submitted {
		name := fmt.Sprint("small-", n)
		if s.cluster.state(name, s.queue) == "completed" {
			continue
		}
		live++
		task := name + ".0.0.0"
		if s.cluster.countRuns()[task] == 0 {
			continue
		}
		if s.startedAt[task].IsZero() {
			s.startedAt[task] = now.Add(time.Duration(n%7) * 300 * time.Millisecond)
		}
		if now.Sub(s.startedAt[task]) >= duration {
			s.cluster.agentWith(task).finishRun(task, messenger.RunDone)
		}
	}
	for ; live < 10*len(s.cluster.agents); live++ {
		response := s.cluster.await(func() messenger.JobResponse {
			return s.cluster.coordinator.Submit(context.Background(), messenger.JobRequest{Queue: s.queue, Job: job.Job{
				ID: fmt.Sprint("small-", s.submitted), Occurrences: 1, Steps: []job.Step{{TaskCount: 1, Size: taskSize(1000), Estimate: duration}},
			}})
		})
		Expect(response.Outcome).To(Equal(messenger.OutcomeDone))
		s.submitted++
	}
}

// state returns the visible state of a job.
func (c *testCluster) state(id, queue string) string {
	// With such a context, JobState does not wait until the start of the job is recorded. That would take real time.
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return c.coordinator.JobState(ctx, messenger.JobRequest{ID: id, Queue: queue}).State
}

var _ = Describe("Accepted work beside a limit that holds on all VMs", func() {
	// starvationTime is the wait after which room is kept for a task.
	const (
		starvationTime    = 15 * time.Second
		smallTaskDuration = 4 * time.Second
		// longestSmallTask is how long a small task may occupy its VM, with the time until its end is reported.
		longestSmallTask = smallTaskDuration + 2*time.Second + time.Second
	)
	// bad is the number of jobs that fail everywhere, more than can be tried on 3 VMs within starvationTime.
	const bad = 24
	whole := job.Step{TaskCount: 1, Size: taskSize(4000), Estimate: 5 * time.Second}

	// firstStart lets time pass until a run of the task exists, or for the given time. It returns the time that has passed.
	firstStart := func(cluster *testCluster, small *smallTasks, task string, limit time.Duration) time.Duration {
		for passed := time.Duration(0); passed < limit; passed += 200 * time.Millisecond {
			if cluster.countRuns()[task] > 0 {
				return passed
			}
			small.step(smallTaskDuration)
			cluster.simulate(200 * time.Millisecond)
		}
		return limit
	}

	// Guards against a task that never starts: each refusal of a start set its wait back to nought, and while a start was under way that was then refused,
	// other tasks filled the room that another VM had kept.
	for name, estimate := range map[string]time.Duration{"after": time.Second / 2, "before": 5 * time.Second} {
		It("starts although the VM with most room refuses all starts, and other tasks that fill the rest go "+name+" it", func() {
			cluster := newTestCluster(3)
			// All jobs meet their objective, so that the order depends on the estimates.
			cluster.queue.Target = time.Hour
			cluster.configure()
			cluster.simulate(time.Second)
			cluster.agents["vm-0"].refusalReason = "no-grant"
			small := &smallTasks{cluster: cluster, queue: "q", startedAt: map[string]time.Time{}}
			for range 20 {
				small.step(smallTaskDuration)
				cluster.simulate(200 * time.Millisecond)
			}
			step := whole
			step.Estimate = estimate
			submitJob(cluster, job.Job{ID: "whole", Occurrences: 1, Steps: []job.Step{step}})
			Expect(firstStart(cluster, small, "whole.0.0.0", 2*time.Minute)).To(BeNumerically("<=", starvationTime+longestSmallTask))
		})
	}

	// advisedCluster returns a cluster with an advised queue "q" that may only use one VM, and tasks of the queue "plain" that fill all VMs.
	advisedCluster := func() (*testCluster, *advisor, *smallTasks) {
		cluster := newTestCluster(3)
		advised := cluster.queue
		advised.Advised = true
		a := &advisor{allowed: []string{"i-vm-1"}, asked: map[string]int{}}
		cluster.coordinator.Advisor, cluster.deferCalls = a, true
		cluster.configurationVersion++
		cluster.coordinator.Configure(cluster.configurationVersion, map[string]coordinator.Queue{"q": advised, "plain": cluster.queue})
		cluster.simulate(time.Second)
		small := &smallTasks{cluster: cluster, queue: "plain", startedAt: map[string]time.Time{}}
		for range 20 {
			small.step(smallTaskDuration)
			cluster.simulate(200 * time.Millisecond)
		}
		return cluster, a, small
	}
	// Whether a VM is allowed is only asked when it has room.
	const longestSearch = 3 * (longestSmallTask + time.Second)

	// Guards against a task of an advised queue that never starts: tickets are requested for VMs with room, and room was kept only for steps with a ticket.
	It("starts in an advised queue although tasks of other queues fill all VMs", func() {
		cluster, _, small := advisedCluster()
		submitJob(cluster, job.Job{ID: "whole", Occurrences: 1, Steps: []job.Step{whole}})
		Expect(firstStart(cluster, small, "whole.0.0.0", 3*time.Minute)).To(BeNumerically("<=", starvationTime+longestSearch))
	})

	// Guards against room that is kept for a task of an advised queue all the time while the advice service does not answer.
	It("starts in other queues while the advice service fails, and in the advised one afterwards", func() {
		cluster, a, small := advisedCluster()
		a.err = errNoResponse
		submitJob(cluster, job.Job{ID: "advised", Occurrences: 1, Steps: []job.Step{whole}})
		cluster.simulate(time.Second)
		response := cluster.await(func() messenger.JobResponse {
			return cluster.coordinator.Submit(context.Background(), messenger.JobRequest{
				Queue: "plain", Job: job.Job{ID: "whole", Occurrences: 1, Steps: []job.Step{whole}},
			})
		})
		Expect(response.Outcome).To(Equal(messenger.OutcomeDone))
		Expect(firstStart(cluster, small, "whole.0.0.0", 3*time.Minute)).To(BeNumerically("<=", starvationTime+2*longestSmallTask+time.Second))
		cluster.agentWith("whole.0.0.0").finishRun("whole.0.0.0", messenger.RunDone)
		a.err = nil
		Expect(firstStart(cluster, small, "advised.0.0.0", 3*time.Minute)).To(BeNumerically("<=", starvationTime+longestSearch))
	})

	// Guards against VMs that all stay out of use because the store rejects the record of one.
	It("starts on all VMs but the one whose record the store rejects", func() {
		cluster := newTestCluster(4)
		cluster.journal.rejectedKey = "vm/vm-2"
		submitJob(cluster, job.Job{ID: "a", Occurrences: 1, Steps: []job.Step{{TaskCount: 16, Size: taskSize(1000)}}})
		cluster.simulate(time.Second)
		for _, name := range []string{"vm-0", "vm-1", "vm-3"} {
			Expect(cluster.agents[name].runs).To(HaveLen(4), name)
		}
		Expect(cluster.agents["vm-2"].runs).To(BeEmpty())
		cluster.journal.rejectedKey = ""
		// A rejected write is tried again after 5 s.
		cluster.simulate(6 * time.Second)
		Expect(cluster.agents["vm-2"].runs).To(HaveLen(4))
	})

	// Guards against jobs that fail on a VM that fails all runs: its circuit breaker allowed as many probes as there was room for in one plan.
	It("starts one run at a time on a VM whose circuit breaker is open", func() {
		cluster := newTestCluster(1)
		cluster.queue.Attempts = 0
		cluster.configure()
		for n := range 8 {
			submitJob(cluster, job.Job{ID: fmt.Sprint("job-", n), Occurrences: 1, Steps: []job.Step{{TaskCount: 1, Size: taskSize(1000)}}})
		}
		a := cluster.agents["vm-0"]
		cluster.simulate(time.Second)
		Expect(a.runs).To(HaveLen(4))
		cluster.finishAllRuns(messenger.RunFailed)
		started := len(a.starts)
		// The circuit breaker allows probes after 1 s, 2 s, 4 s and 8 s.
		for range 160 {
			cluster.simulate(100 * time.Millisecond)
			Expect(len(a.runs)).To(BeNumerically("<=", 1))
			cluster.simulate(200 * time.Millisecond)
			cluster.finishAllRuns(messenger.RunFailed)
		}
		Expect(len(a.starts) - started).To(BeNumerically("~", 6, 2))
		// The last failure keeps the VM out of use for at most 8 s. After that, a probe that is done puts it into use again.
		for range 50 {
			cluster.simulate(200 * time.Millisecond)
			cluster.finishAllRuns(messenger.RunDone)
		}
		for n := range 8 {
			Expect(cluster.state(fmt.Sprint("job-", n), "q")).To(Equal("completed"))
		}
	})

	// Guards against a gang that never starts because the VMs that it needs are probed one by one.
	It("starts a gang that needs all VMs after runs of other jobs have opened their circuit breakers", func() {
		cluster := newTestCluster(3)
		for n := range 2 {
			submitJob(cluster, job.Job{ID: fmt.Sprint("bad-", n), Occurrences: 1, Steps: []job.Step{{TaskCount: 6, Size: taskSize(1000)}}})
		}
		cluster.simulate(time.Second)
		Expect(cluster.countRuns()).To(HaveLen(12))
		submitJob(cluster, job.Job{ID: "gang", Occurrences: 1, Steps: []job.Step{{TaskCount: 6, Size: taskSize(2000), Gang: true}}})
		for range 2 {
			cluster.finishAllRuns(messenger.RunFailed)
			cluster.simulate(3 * time.Second)
		}
		cluster.finishAllRuns(messenger.RunFailed)
		cluster.simulate(9 * time.Second)
		runs := cluster.countRuns()
		for n := range 6 {
			Expect(runs).To(HaveKey(fmt.Sprint("gang.0.0.", n)))
		}
	})

	// Guards against jobs that never start because jobs that fail everywhere, without a limit of failures, use all probes.
	for name, longRunning := range map[string]bool{"jobs": false, "long-running jobs": true} {
		It("starts on VMs whose circuit breakers are open because of "+name+" that fail everywhere", func() {
			cluster := newTestCluster(3)
			cluster.queue.Attempts = 0
			cluster.configure()
			for n := range bad {
				submitJob(cluster, job.Job{ID: fmt.Sprint("bad-", n), Occurrences: 1, Steps: []job.Step{{TaskCount: 1, Size: taskSize(1000), LongRunning: longRunning}}})
			}
			failBad := func() {
				for _, a := range cluster.agents {
					for task := range a.runs {
						if task[:3] == "bad" {
							a.finishRun(task, messenger.RunFailed)
						}
					}
				}
			}
			for range 50 {
				cluster.simulate(200 * time.Millisecond)
				failBad()
			}
			Expect(len(cluster.countRuns())).To(BeNumerically("<=", len(cluster.agents)), "only probes run")
			const good = 6
			for n := range good {
				submitJob(cluster, job.Job{ID: fmt.Sprint("good-", n), Occurrences: 1, Steps: []job.Step{{TaskCount: 1, Size: taskSize(1000), Estimate: time.Hour}}})
			}
			// Each circuit breaker allows a probe within 8 s, and the job that has waited longest gets it.
			for range int((starvationTime + (bad+good)/3*(8*time.Second+200*time.Millisecond)) / (200 * time.Millisecond)) {
				cluster.simulate(200 * time.Millisecond)
				failBad()
			}
			started := 0
			for task := range cluster.countRuns() {
				if task[0] == 'g' {
					started++
				}
			}
			Expect(started).To(Equal(good))
		})
	}

	// Guards against a gang that never starts because the circuit breakers of the VMs that it needs never allow starts at the same time: jobs that fail
	// everywhere used the probe of each VM.
	It("starts a gang that needs all VMs although jobs that fail everywhere keep their circuit breakers open", func() {
		cluster := newTestCluster(3)
		cluster.queue.Attempts = 0
		cluster.configure()
		for n := range bad {
			submitJob(cluster, job.Job{ID: fmt.Sprint("bad-", n), Occurrences: 1, Steps: []job.Step{{TaskCount: 1, Size: taskSize(1000)}}})
		}
		ages := map[string]int{}
		failBad := func() {
			cluster.simulate(200 * time.Millisecond)
			for n := range len(cluster.agents) {
				// The runs last longer on each further VM, so that the circuit breakers open at different times.
				a := cluster.agents[fmt.Sprint("vm-", n)]
				for task := range a.runs {
					if ages[task]++; task[:3] == "bad" && ages[task] > 3*n {
						delete(ages, task)
						a.finishRun(task, messenger.RunFailed)
					}
				}
			}
		}
		for range 50 {
			failBad()
		}
		Expect(len(cluster.countRuns())).To(BeNumerically("<=", len(cluster.agents)), "only probes run")
		submitJob(cluster, job.Job{ID: "gang", Occurrences: 1, Steps: []job.Step{{TaskCount: 6, Size: taskSize(2000), Gang: true, Estimate: time.Hour}}})
		// The jobs that have waited longer get probes first. Then all VMs are held, and the last failures keep them out of use for at most 8 s.
		for range int((starvationTime + (bad/3+1)*(8*time.Second+2*time.Second)) / (200 * time.Millisecond)) {
			failBad()
		}
		runs := cluster.countRuns()
		for n := range 6 {
			Expect(runs).To(HaveKey(fmt.Sprint("gang.0.0.", n)))
		}
	})

	// Guards against tasks that never start elsewhere while the agent of their VM goes on reporting without a list of its runs: the endpoint answers no
	// list request, or the agent process was restarted and has not got its first list.
	for name, restarted := range map[string]bool{"the same agent process": false, "a new agent process": true} {
		It("starts elsewhere although "+name+" reports without a list for a long time", func() {
			cluster := newTestCluster(2)
			cluster.simulate(time.Second)
			submitJob(cluster, job.Job{ID: "a", Occurrences: 1, Steps: []job.Step{{TaskCount: 1, Size: taskSize(1000)}}})
			cluster.simulate(time.Second)
			a := cluster.agentWith("a.0.0.0")
			if a.runsUnlisted = true; restarted {
				a.restart("h")
			}
			leases := 2*time.Second + 3*time.Second + 500*time.Millisecond
			cluster.simulate(leases - 500*time.Millisecond)
			Expect(cluster.countRuns()["a.0.0.0"]).To(Equal(1), "the leases have not expired for certain")
			cluster.simulate(1500 * time.Millisecond)
			Expect(cluster.countRuns()["a.0.0.0"]).To(Equal(2))
		})
	}
})
