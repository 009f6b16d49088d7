package batch_test

import (
	"fmt"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/gomega"

	"bamboohook/internal/standin/logservice"
	"bamboohook/internal/standin/worker"
)

// takeoverTarget is the maximum time until other entries start tasks of the shards of a lost entry.
const takeoverTarget = 15 * time.Second

// submitLoad submits 48 tasks, waits until 24 of them have started, and returns the owner of one of the jobs. A VM of 9
// processors can run 8 of the tasks at a time, and has some capacity left for the small jobs of submitProbes.
func (i *installation) submitLoad(runTime time.Duration) int {
	for n := range 6 {
		i.submit(n%i.Entries, fmt.Sprintf("load-%d", n), 8, 1.1, runTime)
	}
	i.await("start of 24 tasks", 10*time.Second, func() bool { return len(i.intervals()) >= 24 })
	return i.ownerOf("load-0")
}

// submitProbes submits small jobs, which are spread over the shards, through the entry. The returned function waits until all of them
// have started and returns the time from since to the last start.
func (i *installation) submitProbes(entry int, since time.Time) func() time.Duration {
	const count = 24
	for n := range count {
		i.submit(entry, fmt.Sprintf("probe-%d", n), 1, 0.01, time.Second)
	}
	return func() time.Duration {
		var lastStart time.Time
		i.await("start of all probes", 2*takeoverTarget, func() bool {
			started := 0
			for name, intervals := range i.byTask() {
				if strings.HasPrefix(name, "probe-") {
					started++
					if intervals[0].Start.After(lastStart) {
						lastStart = intervals[0].Start
					}
				}
			}
			return started == count
		})
		return lastStart.Sub(since)
	}
}

// Guards against tasks that are lost, run twice or wait too long after the owner of their shard was killed.
func ownerKilled(i *installation) {
	i.startAndWait(9)
	owner := i.submitLoad(8 * time.Second)
	other := (owner + 1) % i.Entries
	killed := time.Now()
	i.Process(i.EntryName(owner)).Kill()
	takeover := i.submitProbes(other, killed)()
	recordResult("owner killed: time until tasks of all shards start", takeover)
	i.Expect(takeover).To(BeNumerically("<", takeoverTarget))
	i.awaitDone(other, 60*time.Second)
	recordResult("owner killed: time until all tasks are done", time.Since(killed))
	i.checkExecution()
	i.recordEarlyEnds("owner killed")
}

// Guards against an entry that was paused while others took over its shards, and afterwards still grants leases, starts tasks or
// records results for them.
func ownerPaused(i *installation) {
	i.startAndWait(9)
	owner := i.submitLoad(8 * time.Second)
	other := (owner + 1) % i.Entries
	paused := time.Now()
	i.Process(i.EntryName(owner)).Signal(syscall.SIGSTOP)
	takeover := i.submitProbes(other, paused)()
	recordResult("owner paused: time until tasks of all shards start", takeover)
	i.Expect(takeover).To(BeNumerically("<", takeoverTarget))
	time.Sleep(time.Until(paused.Add(17 * time.Second)))
	// Many short tasks end around the time at which the paused entry resumes.
	for n := range 6 {
		i.submit(other, fmt.Sprintf("short-%d", n), 40, 1.1, 400*time.Millisecond)
	}
	time.Sleep(time.Until(paused.Add(20 * time.Second)))
	// With a slow log, the resumed entry learns only after a second or two that it no longer owns the shards.
	i.setLogFaults(logservice.Faults{Delay: time.Second})
	i.Process(i.EntryName(owner)).Signal(syscall.SIGCONT)
	time.Sleep(2 * time.Second)
	i.setLogFaults(logservice.Faults{})
	i.awaitDone(other, 45*time.Second)
	i.awaitDone(owner, 15*time.Second)
	i.checkExecution()
	i.recordEarlyEnds("owner paused")
}

// Guards against tasks that run twice after their owner was killed and their VM was lost. The new owner can ask neither
// the old owner nor the agent of the VM about the tasks.
func ownerAndAgentLost(i *installation) {
	i.startAndWait(9)
	i.submit(0, "pair", 6, 1, 10*time.Second)
	owner := i.ownerOf("pair")
	other := (owner + 1) % i.Entries
	time.Sleep(time.Second)
	vm, _ := i.busiest()
	i.Process(i.EntryName(owner)).Kill()
	i.Process(i.VMName(vm)).Signal(syscall.SIGSTOP)
	time.Sleep(25 * time.Second)
	i.Process(i.VMName(vm)).Signal(syscall.SIGCONT)
	i.awaitDone(other, 45*time.Second)
	i.checkExecution()
	i.recordEarlyEnds("owner and agent lost")
}

// recordEarlyEnds records how many attempts ended without completing their task, by reason.
func (i *installation) recordEarlyEnds(scenario string) {
	reasons := map[string]int{}
	for _, v := range i.intervals() {
		if v.EndState != worker.StateDone {
			reasons[v.EndState]++
		}
	}
	recordResult(scenario+": attempts that ended early", reasons)
}
