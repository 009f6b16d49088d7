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

// shardTarget is how soon the shards of a lost entry are served again.
const shardTarget = 15 * time.Second

// load submits 48 tasks, of which 8 fit at a VM of 9 processors with a little room for probes, waits until 24 run and
// returns the owner of one of the jobs.
func (r *region) load(runTime time.Duration) int {
	for n := range 6 {
		r.submit(n%r.Entries, fmt.Sprintf("load-%d", n), 8, 1.1, runTime)
	}
	r.await("start of 24 tasks", 10*time.Second, func() bool { return len(r.intervals()) >= 24 })
	return r.ownerOf("load-0")
}

// probe submits small jobs for all shards through the entry and returns a function that waits until all started and
// returns the time from begin to the last start.
func (r *region) probe(entry int, begin time.Time) func() time.Duration {
	const count = 24
	for n := range count {
		r.submit(entry, fmt.Sprintf("probe-%d", n), 1, 0.01, time.Second)
	}
	return func() time.Duration {
		var last time.Time
		r.await("start of all probes", 2*shardTarget, func() bool {
			started := 0
			for name, intervals := range r.byTask() {
				if strings.HasPrefix(name, "probe-") {
					started++
					if intervals[0].Start.After(last) {
						last = intervals[0].Start
					}
				}
			}
			return started == count
		})
		return last.Sub(begin)
	}
}

// Guards against tasks that are lost, run twice or wait too long after the owner of their shards is killed.
func ownerKilled(r *region) {
	r.begin(9)
	owner := r.load(8 * time.Second)
	other := (owner + 1) % r.Entries
	killed := time.Now()
	r.Process(r.EntryName(owner)).Kill()
	served := r.probe(other, killed)()
	measured("owner killed: until all its shards are served", served)
	r.Expect(served).To(BeNumerically("<", shardTarget))
	r.awaitDone(other, 60*time.Second)
	measured("owner killed: until all tasks are done", time.Since(killed))
	r.check()
	r.countRepeats("owner killed")
}

// Guards against an entry that goes on granting, starting or recording after others took its shards while it was paused.
func ownerPaused(r *region) {
	r.begin(9)
	owner := r.load(8 * time.Second)
	other := (owner + 1) % r.Entries
	paused := time.Now()
	r.Process(r.EntryName(owner)).Signal(syscall.SIGSTOP)
	served := r.probe(other, paused)()
	measured("owner paused: until all its shards are served", served)
	r.Expect(served).To(BeNumerically("<", shardTarget))
	time.Sleep(time.Until(paused.Add(17 * time.Second)))
	// Many short tasks end around the time at which the paused entry goes on.
	for n := range 6 {
		r.submit(other, fmt.Sprintf("short-%d", n), 40, 1.1, 400*time.Millisecond)
	}
	time.Sleep(time.Until(paused.Add(20 * time.Second)))
	// With a slow log it learns only after a second or two that it was superseded.
	r.setLog(logservice.Faults{Delay: time.Second})
	r.Process(r.EntryName(owner)).Signal(syscall.SIGCONT)
	time.Sleep(2 * time.Second)
	r.setLog(logservice.Faults{})
	r.awaitDone(other, 45*time.Second)
	r.awaitDone(owner, 15*time.Second)
	r.check()
	r.countRepeats("owner paused")
}

// Guards against tasks of a killed owner and a lost VM running twice: the successor cannot ask either about them.
func ownerAndAgentLost(r *region) {
	r.begin(9)
	r.submit(0, "pair", 6, 1, 10*time.Second)
	owner := r.ownerOf("pair")
	other := (owner + 1) % r.Entries
	time.Sleep(time.Second)
	vm, _ := r.busiest()
	r.Process(r.EntryName(owner)).Kill()
	r.Process(r.VMName(vm)).Signal(syscall.SIGSTOP)
	time.Sleep(25 * time.Second)
	r.Process(r.VMName(vm)).Signal(syscall.SIGCONT)
	r.awaitDone(other, 45*time.Second)
	r.check()
	r.countRepeats("owner killed and agent paused")
}

// countRepeats notes how many attempts ended before their task was completed.
func (r *region) countRepeats(what string) {
	reasons := map[string]int{}
	for _, v := range r.intervals() {
		if v.EndState != worker.StateDone {
			reasons[v.EndState]++
		}
	}
	measured(what+": attempts that ended early", reasons)
}
