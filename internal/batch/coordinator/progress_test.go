package coordinator_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/batch/dispatcher"
	"bamboohook/internal/batch/job"
	"bamboohook/internal/fleet/messenger"
	"bamboohook/resource"
)

const (
	worldStep         = 100 * time.Millisecond
	worldTolerance    = 4 * time.Second
	worldTarget       = 45 * time.Millisecond
	unloadedLatency   = 10 * time.Millisecond
	worldTaskWork     = 2200 * time.Millisecond
	worldProcessors   = 4000
	fillerProcessors  = 700
	fillersPerVM      = 4
	worldInterference = 3.0
)

// interferenceWorld simulates VMs with victims whose own load moves, and best-effort tasks that interfere with all of them.
type interferenceWorld struct {
	cluster *testCluster
	// reportInterval is the time between two reports of an agent, a multiple of worldStep.
	reportInterval time.Duration
	// ownLoad returns the own load of the victims on the VM. worked is the time since a best-effort task last worked there.
	ownLoad   func(now time.Duration, vm int, worked time.Duration) float64
	now       time.Duration
	lastWork  map[string]time.Duration
	latencies map[string][]float64
	done      map[string]time.Duration
	numbers   map[string]int
	doneAt    map[string]time.Duration
	// missedFor is how long each VM has been without a break in a state in which its victims miss their target only because of best-effort tasks
	// that work, longestMissed the longest such time, and missedTime the sum of all.
	missedFor     map[string]time.Duration
	longestMissed time.Duration
	missedTime    time.Duration
	// idleFor is how long each job has had no run, longestIdle the longest such time.
	idleFor     map[string]time.Duration
	longestIdle time.Duration
}

func newInterferenceWorld(vms int, ownLoad func(time.Duration, int, time.Duration) float64) *interferenceWorld {
	w := &interferenceWorld{
		cluster: newTestCluster(vms), ownLoad: ownLoad, lastWork: map[string]time.Duration{}, latencies: map[string][]float64{}, done: map[string]time.Duration{},
		reportInterval: 2 * worldStep, numbers: map[string]int{}, doneAt: map[string]time.Duration{}, missedFor: map[string]time.Duration{}, idleFor: map[string]time.Duration{},
	}
	for name := range w.cluster.agents {
		w.lastWork[name] = -time.Hour
	}
	return w
}

// reaction returns the longest time from a measurement to the effect of a pace: the time between two reports, and until a pace is in force.
func (w *interferenceWorld) reaction() time.Duration { return w.reportInterval + worldStep }

// step lets worldStep pass.
func (w *interferenceWorld) step() {
	c := w.cluster
	for n := range len(c.agents) {
		w.stepVM(c.agents[fmt.Sprint("vm-", n)], n)
	}
	c.clock.Advance(worldStep)
	w.now += worldStep
	if w.now%w.reportInterval == 0 {
		for n := range len(c.agents) {
			c.sendReport(c.agents[fmt.Sprint("vm-", n)])
		}
	}
	c.coordinator.Tick()
	c.coordinator.PlanOnce(context.Background())
	c.journal.flush()
}

// stepVM lets the runs on the VM work and measures the latency of its victims.
func (w *interferenceWorld) stepVM(a *agent, n int) {
	wanted := 0.0
	paces := map[string]float64{}
	for task, r := range a.runs {
		if task[0] == 's' {
			continue
		}
		if w.numbers[task] != r.Number {
			// A new run of a task without checkpoints works at full pace from the beginning.
			w.numbers[task], w.done[task] = r.Number, 0
			delete(a.paces, task)
		}
		percent, ok := a.paces[task]
		if !ok {
			percent = 100
		}
		paces[task] = float64(percent) / 100
		wanted += paces[task] * fillerProcessors
	}
	victims := 0
	for task := range a.runs {
		if task[0] == 's' {
			victims++
		}
	}
	granted := min(1, (worldProcessors-float64(victims)*300)/max(wanted, 1))
	load := w.ownLoad(w.now, n, w.now-w.lastWork[a.name])
	utilisation := load + worldInterference*wanted*granted/worldProcessors
	if wanted > 0 {
		w.lastWork[a.name] = w.now
	}
	latency := unloadedLatency.Seconds() / (1 - min(utilisation, 0.98))
	limit := 1 - float64(unloadedLatency)/float64(worldTarget)
	if victims > 0 && utilisation > limit && load < limit && wanted > 0 {
		w.missedFor[a.name] += worldStep
		w.missedTime += worldStep
		w.longestMissed = max(w.longestMissed, w.missedFor[a.name])
	} else {
		w.missedFor[a.name] = 0
	}
	recent := append(w.latencies[a.name], latency)
	w.latencies[a.name] = recent[max(len(recent)-5, 0):]
	measured := 0.0
	for _, l := range w.latencies[a.name] {
		measured += l / float64(len(w.latencies[a.name]))
	}
	for task, r := range a.runs {
		if task[0] == 's' {
			r.Progress, r.LatencyOrUsage = 100, int(math.Round(measured*1000))
			a.runs[task] = r
			continue
		}
		w.done[task] += time.Duration(paces[task] * granted * float64(worldStep))
		r.Progress, r.LatencyOrUsage = int(100*w.done[task]/worldTaskWork), int(paces[task]*granted*fillerProcessors)
		a.runs[task] = r
		if w.done[task] >= worldTaskWork {
			a.finishRun(task, messenger.RunDone)
			w.doneAt[task] = w.now
		}
	}
}

// runUntilDone lets time pass until the tasks of the jobs are done, or for the given time. It returns whether they are done.
func (w *interferenceWorld) runUntilDone(jobs, tasksPerJob int, limit time.Duration) bool {
	for begin := w.now; w.now-begin < limit; {
		w.step()
		for n := range jobs {
			name, waiting, running := fmt.Sprint("f", n), false, false
			for i := range tasksPerJob {
				task := fmt.Sprintf("%s.0.0.%d", name, i)
				_, isDone := w.doneAt[task]
				waiting = waiting || !isDone
				for _, a := range w.cluster.agents {
					_, runs := a.runs[task]
					running = running || runs
				}
			}
			if !waiting || running {
				w.idleFor[name] = 0
				continue
			}
			w.idleFor[name] += worldStep
			w.longestIdle = max(w.longestIdle, w.idleFor[name])
		}
		if len(w.doneAt) == jobs*tasksPerJob {
			return true
		}
	}
	return false
}

var _ = Describe("Progress beside victims at their limits on all VMs", func() {
	const (
		vms         = 4
		tasksPerJob = 2
	)
	// expectProgress runs the jobs beside three victims on each VM, which reserve the given thousandths of processors. It expects that all tasks are done
	// within the bound, and that no target is missed for worldTolerance because of them.
	expectProgress := func(w *interferenceWorld, victimProcessors int64, jobs int) {
		victimStep := job.Step{
			TaskCount: 3 * vms, MaxPerVM: 3, Size: resource.Amount{MilliProcessors: victimProcessors, MemoryBytes: 100},
			LongRunning: true, Program: "x", TailTarget: worldTarget,
		}
		submitJob(w.cluster, job.Job{ID: "s", Occurrences: 1, Steps: []job.Step{victimStep}})
		for range 100 {
			w.step()
		}
		accepted := w.now
		for n := range jobs {
			submitJob(w.cluster, job.Job{ID: fmt.Sprint("f", n), Occurrences: 1, Steps: []job.Step{{
				TaskCount: tasksPerJob, Size: resource.Amount{MilliProcessors: fillerProcessors, MemoryBytes: 100}, BestEffort: true, Program: fmt.Sprint("p", n%3),
				Estimate: worldTaskWork,
			}}})
		}
		// A work period lasts workPeriod, of which the reaction may pass before it has an effect, and is followed by three times as long a rest. So a task
		// that has lost MaxInterferenceWait is done after a number of periods that follows from its work.
		workPeriod := time.Duration(0.4 * float64(worldTolerance))
		cycle := 4*workPeriod + 2*w.reaction()
		taskBound := cycle * (2 + worldTaskWork/(workPeriod-w.reaction()))
		rounds := time.Duration((jobs*tasksPerJob + vms*fillersPerVM - 1) / (vms * fillersPerVM))
		bound := dispatcher.MaxInterferenceWait + rounds*taskBound
		Expect(w.runUntilDone(jobs, tasksPerJob, bound)).To(BeTrue(), "%d of %d tasks are done after %s", len(w.doneAt), jobs*tasksPerJob, bound)
		elapsed := w.now - accepted
		GinkgoWriter.Printf("all done after %s of %s, longest missed %s, missed %s, job idle %s\n", elapsed, bound, w.longestMissed, w.missedTime, w.longestIdle)
		Expect(w.longestMissed).To(BeNumerically("<", worldTolerance), "targets must not be missed for so long because of best-effort tasks")
		if 2*3*victimProcessors < worldProcessors && jobs <= vms*fillersPerVM {
			// There is room for a task of each job, so one starts anywhere after 2 s.
			Expect(w.longestIdle).To(BeNumerically("<=", 2*time.Second+w.reaction()))
		}
	}

	// Guards against accepted tasks that never complete: at low paces they were stopped as stuck and waited anew, as often as that happened.
	for name, ownLoad := range map[string]func(time.Duration, int, time.Duration) float64{
		"that are near their limits":                     func(time.Duration, int, time.Duration) float64 { return 0.765 },
		"that are beyond their limits by their own load": func(time.Duration, int, time.Duration) float64 { return 0.85 },
		"whose own load rises as soon as a task works and falls when none does": func(_ time.Duration, _ int, worked time.Duration) float64 {
			if worked < time.Second {
				return 0.77
			}
			return 0.5
		},
		"whose own load swings": func(now time.Duration, vm int, _ time.Duration) float64 {
			return 0.62 + 0.3*math.Sin(2*math.Pi*now.Seconds()/14+float64(vm))
		},
		"whose own load jumps each second": func(now time.Duration, vm int, _ time.Duration) float64 {
			return 0.5 + 0.05*float64((int(now.Seconds())*7+vm*3)%8)
		},
	} {
		for _, c := range []struct {
			victimProcessors int64
			jobs             int
			text             string
		}{
			{600, 6, "less than half of the processors reserved"},
			{900, 6, "more than half of the processors reserved"},
			{600, 14, "less than half reserved and more tasks than fit"},
			{900, 14, "more than half reserved and more tasks than fit"},
		} {
			It(fmt.Sprintf("is made by each task within the bound beside victims %s, with %s", name, c.text), func() {
				expectProgress(newInterferenceWorld(vms, ownLoad), c.victimProcessors, c.jobs)
			})
		}
	}

	It("is made by each task within the bound beside victims whose own loads jump at random", func() {
		for seed := range uint64(20) {
			random := rand.New(rand.NewPCG(seed, 35))
			loads, until := make([]float64, vms), make([]time.Duration, vms)
			w := newInterferenceWorld(vms, func(now time.Duration, vm int, _ time.Duration) float64 {
				if now >= until[vm] {
					loads[vm], until[vm] = 0.3+0.6*random.Float64(), now+time.Duration(200+random.IntN(5000))*time.Millisecond
				}
				return loads[vm]
			})
			By(fmt.Sprint("seed ", seed))
			expectProgress(w, 600+300*int64(seed%2), 6+8*int(seed/2%2))
		}
	})

	// In a large fleet, agents report less often, so a work period ends later.
	It("is made by each task within the bound while agents report every 600 ms", func() {
		w := newInterferenceWorld(vms, func(_ time.Duration, _ int, worked time.Duration) float64 {
			if worked < time.Second {
				return 0.77
			}
			return 0.5
		})
		w.reportInterval = 600 * time.Millisecond
		expectProgress(w, 900, 14)
	})

	// Guards against tasks that stand still for as long as the time of day is set forward. Waits were measured from the time of day to another clock.
	for name, offset := range map[string]time.Duration{"forward": time.Hour, "back": -time.Hour} {
		It("is made by each task within the bound after the time of day of the owner was set "+name, func() {
			w := newInterferenceWorld(vms, func(time.Duration, int, time.Duration) float64 { return 0.765 })
			w.cluster.wallOffset = offset
			expectProgress(w, 900, 6)
		})
	}

	// Guards against a task that goes on at full pace, and makes a target be missed, because the owner takes a pace for confirmed that was not set.
	It("is limited by paces that are sent again until the endpoint has confirmed them", func() {
		w := newInterferenceWorld(1, func(time.Duration, int, time.Duration) float64 { return 0.765 })
		submitJob(w.cluster, job.Job{ID: "s", Occurrences: 1, Steps: []job.Step{{
			TaskCount: 3, Size: resource.Amount{MilliProcessors: 600, MemoryBytes: 100}, LongRunning: true, Program: "x", TailTarget: worldTarget,
		}}})
		for range 20 {
			w.step()
		}
		a := w.cluster.agents["vm-0"]
		a.pacesFail = true
		submitJob(w.cluster, job.Job{ID: "f", Occurrences: 1, Steps: []job.Step{{
			TaskCount: 1, Size: resource.Amount{MilliProcessors: fillerProcessors, MemoryBytes: 100}, BestEffort: true, Program: "p", Estimate: time.Hour,
		}}})
		for range 35 {
			w.step()
		}
		Expect(a.runs).To(HaveKey("f.0.0.0"))
		Expect(a.paces).NotTo(HaveKey("f.0.0.0"))
		a.pacesFail = false
		for range 6 {
			w.step()
		}
		Expect(a.paces).To(HaveKeyWithValue("f.0.0.0", BeNumerically("<", 100)))
	})
})
