package batch_test

import (
	"fmt"
	"slices"
	"syscall"
	"time"

	. "github.com/onsi/gomega"

	"bamboohook/internal/standin/worker"
)

const (
	// lostTarget is how soon the tasks of a lost VM run elsewhere: two short leases.
	lostTarget = 20 * time.Second
	// pause exceeds the short lease of 10 s and the time in which its VM counts as lost.
	pause = 18 * time.Second
)

// awaitElsewhere waits until all tasks run at another VM and returns the time from begin to the last start.
func (r *region) awaitElsewhere(tasks []interval, begin time.Time) time.Duration {
	var last time.Time
	r.await("start of the tasks elsewhere", 2*lostTarget, func() bool {
		all := r.byTask()
		for _, t := range tasks {
			again := slices.IndexFunc(all[t.task], func(v interval) bool { return v.vm != t.vm && v.Start.After(begin) })
			if again < 0 {
				return false
			}
			if start := all[t.task][again].Start; start.After(last) {
				last = start
			}
		}
		return true
	})
	return last.Sub(begin)
}

// Guards against tasks of a lost VM that are never started again, too late, or while they may still run there.
func vmLost(r *region) {
	r.begin(16)
	for n := range 4 {
		r.submit(n%r.Entries, fmt.Sprintf("lost-%d", n), 3, 1, 12*time.Second)
	}
	time.Sleep(4 * time.Second)
	vm, running := r.busiest()
	history := r.at(vm)
	killed := time.Now()
	for _, name := range []string{"", "-worker", "-endpoint"} {
		r.Process(r.VMName(vm) + name).Signal(syscall.SIGKILL)
	}
	for _, v := range history {
		if v.End.IsZero() {
			v.End, v.EndState = time.Now(), "killed"
		}
		r.lost = append(r.lost, v)
	}
	elsewhere := r.awaitElsewhere(running, killed)
	measured(fmt.Sprintf("VM lost: until its %d tasks run elsewhere", len(running)), elsewhere)
	r.Expect(elsewhere).To(BeNumerically("<", lostTarget))
	r.awaitDone(0, 40*time.Second)
	r.check()
}

// Guards against an agent that acts on leases that ended while it was paused.
func agentPaused(r *region) {
	r.begin(16)
	for n := range 4 {
		r.submit(n%r.Entries, fmt.Sprintf("paused-%d", n), 3, 1, 20*time.Second)
	}
	time.Sleep(4 * time.Second)
	vm, running := r.busiest()
	paused := time.Now()
	r.Process(r.VMName(vm)).Signal(syscall.SIGSTOP)
	elsewhere := r.awaitElsewhere(running, paused)
	measured(fmt.Sprintf("agent paused: until its %d tasks run elsewhere", len(running)), elsewhere)
	r.Expect(elsewhere).To(BeNumerically("<", lostTarget))
	time.Sleep(time.Until(paused.Add(pause)))
	r.Process(r.VMName(vm)).Signal(syscall.SIGCONT)
	r.awaitDone(0, 45*time.Second)
	r.check()
}

// Guards against a drain that loses progress, or resumes a task never or more than once.
func agentDrained(r *region) {
	r.begin(16)
	for n := range 4 {
		r.submit(n%r.Entries, fmt.Sprintf("drained-%d", n), 3, 1, 15*time.Second)
	}
	time.Sleep(6 * time.Second)
	vm, running := r.busiest()
	began := time.Now()
	agent := r.Process(r.VMName(vm))
	agent.Signal(syscall.SIGTERM)
	elsewhere := r.awaitElsewhere(running, began)
	measured(fmt.Sprintf("agent drained: until its %d tasks run elsewhere", len(running)), elsewhere)
	r.Expect(agent.Wait(30 * time.Second)).To(BeTrue())
	measured("agent drained: until its end", time.Since(began))
	r.Expect(agent.ExitCode()).To(BeZero())
	r.awaitDone(0, 45*time.Second)
	r.check()
	moved := map[string]bool{}
	for _, v := range running {
		moved[v.task] = true
	}
	for name, intervals := range r.byTask() {
		if !moved[name] {
			r.Expect(intervals).To(HaveLen(1), name)
			continue
		}
		r.Expect(intervals).To(HaveLen(2), name)
		before, after := intervals[0], intervals[1]
		r.Expect(before.EndProgress).To(BeNumerically(">", 0.2), name)
		// The checkpoint is made right before the stop; 0.1 of the run time is 1.5 s.
		r.Expect(after.StartProgress).To(BeNumerically("~", before.EndProgress, 0.1), name)
	}
}

// Guards against an agent that forgets, starts again or lets lapse the tasks that run when it is killed and restarted.
func agentRestarted(r *region) {
	r.begin(16)
	for n := range 4 {
		r.submit(n%r.Entries, fmt.Sprintf("adopted-%d", n), 3, 1, 20*time.Second)
	}
	time.Sleep(4 * time.Second)
	for n := range r.VMs {
		r.Process(r.VMName(n)).Kill()
		_, err := r.StartAgent(n)
		r.Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Second)
	}
	r.awaitDone(0, 45*time.Second)
	r.check()
	for name, intervals := range r.byTask() {
		r.Expect(intervals).To(HaveLen(1), "%s: %s", name, r.describe(name))
		r.Expect(intervals[0].EndState).To(Equal(worker.StateDone))
	}
}
