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
	// restartTarget is the maximum time until the tasks of a lost VM run on other VMs: two leases of 10 s.
	restartTarget = 20 * time.Second
	// pauseTime exceeds the lease of 10 s and the time after which a silent VM counts as lost.
	pauseTime = 18 * time.Second
)

// awaitRestartElsewhere waits until all tasks have started on another VM and returns the time from since to the last of these
// starts.
func (i *installation) awaitRestartElsewhere(tasks []interval, since time.Time) time.Duration {
	var lastStart time.Time
	i.await("start of the tasks on other VMs", 2*restartTarget, func() bool {
		byTask := i.byTask()
		for _, t := range tasks {
			restart := slices.IndexFunc(byTask[t.task], func(v interval) bool { return v.vm != t.vm && v.Start.After(since) })
			if restart < 0 {
				return false
			}
			if start := byTask[t.task][restart].Start; start.After(lastStart) {
				lastStart = start
			}
		}
		return true
	})
	return lastStart.Sub(since)
}

// Guards against tasks of a lost VM that are not restarted, are restarted too late, or are restarted while they may still run on
// the lost VM.
func vmLost(i *installation) {
	i.startAndWait(16)
	for n := range 4 {
		i.submit(n%i.Entries, fmt.Sprintf("lost-%d", n), 3, 1, 12*time.Second)
	}
	time.Sleep(4 * time.Second)
	vm, running := i.busiest()
	history := i.intervalsAt(vm)
	killed := time.Now()
	for _, name := range []string{"", "-worker", "-endpoint"} {
		i.Process(i.VMName(vm) + name).Signal(syscall.SIGKILL)
	}
	for _, v := range history {
		if v.End.IsZero() {
			v.End, v.EndState = time.Now(), "killed"
		}
		i.lostIntervals = append(i.lostIntervals, v)
	}
	duration := i.awaitRestartElsewhere(running, killed)
	recordResult(fmt.Sprintf("VM lost: time until its %d tasks run on other VMs", len(running)), duration)
	i.Expect(duration).To(BeNumerically("<", restartTarget))
	i.awaitDone(0, 40*time.Second)
	i.checkExecution()
}

// Guards against an agent that uses leases that expired while it was paused.
func agentPaused(i *installation) {
	i.startAndWait(16)
	for n := range 4 {
		i.submit(n%i.Entries, fmt.Sprintf("paused-%d", n), 3, 1, 20*time.Second)
	}
	time.Sleep(4 * time.Second)
	vm, running := i.busiest()
	paused := time.Now()
	i.Process(i.VMName(vm)).Signal(syscall.SIGSTOP)
	duration := i.awaitRestartElsewhere(running, paused)
	recordResult(fmt.Sprintf("agent paused: time until its %d tasks run on other VMs", len(running)), duration)
	i.Expect(duration).To(BeNumerically("<", restartTarget))
	time.Sleep(time.Until(paused.Add(pauseTime)))
	i.Process(i.VMName(vm)).Signal(syscall.SIGCONT)
	i.awaitDone(0, 45*time.Second)
	i.checkExecution()
}

// Guards against a drain after which a task loses its progress, is not resumed, or is resumed more than once.
func agentDrained(i *installation) {
	i.startAndWait(16)
	for n := range 4 {
		i.submit(n%i.Entries, fmt.Sprintf("drained-%d", n), 3, 1, 15*time.Second)
	}
	time.Sleep(6 * time.Second)
	vm, running := i.busiest()
	start := time.Now()
	agent := i.Process(i.VMName(vm))
	agent.Signal(syscall.SIGTERM)
	duration := i.awaitRestartElsewhere(running, start)
	recordResult(fmt.Sprintf("agent drained: time until its %d tasks run on other VMs", len(running)), duration)
	i.Expect(agent.Wait(30 * time.Second)).To(BeTrue())
	recordResult("agent drained: time until its process ends", time.Since(start))
	i.Expect(agent.ExitCode()).To(BeZero())
	i.awaitDone(0, 45*time.Second)
	i.checkExecution()
	restarted := map[string]bool{}
	for _, v := range running {
		restarted[v.task] = true
	}
	for name, intervals := range i.byTask() {
		if !restarted[name] {
			i.Expect(intervals).To(HaveLen(1), name)
			continue
		}
		i.Expect(intervals).To(HaveLen(2), name)
		before, after := intervals[0], intervals[1]
		i.Expect(before.EndProgress).To(BeNumerically(">", 0.2), name)
		// The checkpoint is made immediately before the stop. The tolerance of 0.1 is 1.5 s of the run time.
		i.Expect(after.StartProgress).To(BeNumerically("~", before.EndProgress, 0.1), name)
	}
}

// Guards against a killed and restarted agent that loses its running tasks, starts them again, or lets their leases expire.
func agentRestarted(i *installation) {
	i.startAndWait(16)
	for n := range 4 {
		i.submit(n%i.Entries, fmt.Sprintf("adopted-%d", n), 3, 1, 20*time.Second)
	}
	time.Sleep(4 * time.Second)
	for n := range i.VMs {
		i.Process(i.VMName(n)).Kill()
		_, err := i.StartAgent(n)
		i.Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Second)
	}
	i.awaitDone(0, 45*time.Second)
	i.checkExecution()
	for name, intervals := range i.byTask() {
		i.Expect(intervals).To(HaveLen(1), "%s: %s", name, i.describe(name))
		i.Expect(intervals[0].EndState).To(Equal(worker.StateDone))
	}
}
