package platform_test

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/standin/estate"
	"bamboohook/internal/standin/history"
	"bamboohook/internal/standin/metastore"
)

const (
	entryCount = 3
	vmCount    = 4
	// Jobs are submitted at intervals of submitInterval. With jobCount jobs, the submissions begin before the fault and end after it.
	jobCount       = 24
	submitInterval = 120 * time.Millisecond
	// completionTimeout is the maximum time until a job completes after the last fault: the longest lease and the time for the
	// remaining steps of the job.
	completionTimeout = 25 * time.Second
)

// jobLoad submits jobs through all entries in turn, retries failed calls as real callers do, and records the job IDs.
type jobLoad struct {
	installation *estate.Installation
	mutex        sync.Mutex
	submitted    map[string]bool
	accepted     []string
	notAccepted  int
}

func (l *jobLoad) submit(ctx context.Context, n int) {
	id := fmt.Sprintf("%016x", 0xabc000+n)
	l.mutex.Lock()
	l.submitted[id] = true
	l.mutex.Unlock()
	for attempt := range 12 {
		if l.installation.Submit(ctx, (n+attempt)%entryCount, id, 150*time.Millisecond, estate.Step{Tasks: 3, MilliProcessors: 500}, estate.Step{Tasks: 2, MilliProcessors: 1000, After: []int{0}}) {
			l.mutex.Lock()
			l.accepted = append(l.accepted, id)
			l.mutex.Unlock()
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.notAccepted++
}

// state returns the state of a job according to the first entry that returns one, or "".
func (l *jobLoad) state(ctx context.Context, id string) string {
	for n := range entryCount {
		if state := l.installation.State(ctx, n, id); state != "" {
			return state
		}
	}
	return ""
}

var _ = Describe("Jobs on the platform", func() {
	for name, fault := range map[string]func(ctx context.Context, i *estate.Installation){
		"no fault": func(context.Context, *estate.Installation) {},
		"the entry that owns the jobs killed": func(_ context.Context, i *estate.Installation) {
			n := i.JobsOwner()
			i.Process(estate.EntryName(n)).Kill()
			time.Sleep(time.Second)
			Expect(i.StartProcess(estate.EntryName(n))).To(Succeed())
		},
		"the entry that owns the jobs paused": func(_ context.Context, i *estate.Installation) {
			p := i.Process(estate.EntryName(i.JobsOwner()))
			p.Signal(syscall.SIGSTOP)
			time.Sleep(2 * time.Second)
			p.Signal(syscall.SIGCONT)
		},
		"the entry that owns the jobs drained": func(_ context.Context, i *estate.Installation) {
			n := i.JobsOwner()
			i.Process(estate.EntryName(n)).Signal(syscall.SIGTERM)
			Expect(i.Process(estate.EntryName(n)).Wait(6 * time.Second)).To(BeTrue())
			Expect(i.StartProcess(estate.EntryName(n))).To(Succeed())
		},
		"all entries killed": func(_ context.Context, i *estate.Installation) {
			for n := range entryCount {
				i.Process(estate.EntryName(n)).Kill()
			}
			for n := range entryCount {
				Expect(i.StartProcess(estate.EntryName(n))).To(Succeed())
			}
		},
		"all entries and agents killed and all endpoints restarted": func(_ context.Context, i *estate.Installation) {
			for n := range entryCount {
				i.Process(estate.EntryName(n)).Kill()
			}
			for n := range vmCount {
				i.Process(estate.AgentName(n)).Kill()
				i.Instances[n].Restart()
			}
			for n := range entryCount {
				Expect(i.StartProcess(estate.EntryName(n))).To(Succeed())
			}
			for n := range vmCount {
				Expect(i.StartProcess(estate.AgentName(n))).To(Succeed())
			}
		},
		"an agent killed": func(_ context.Context, i *estate.Installation) {
			i.Process(estate.AgentName(1)).Kill()
			time.Sleep(700 * time.Millisecond)
			Expect(i.StartProcess(estate.AgentName(1))).To(Succeed())
		},
		"an agent paused": func(_ context.Context, i *estate.Installation) {
			p := i.Process(estate.AgentName(2))
			p.Signal(syscall.SIGSTOP)
			time.Sleep(3 * time.Second)
			p.Signal(syscall.SIGCONT)
		},
		"an endpoint restarted": func(_ context.Context, i *estate.Installation) {
			i.Instances[0].Kill()
			time.Sleep(time.Second)
			i.Instances[0].Restart()
		},
		"starts of runs that are executed late": func(_ context.Context, i *estate.Installation) {
			for _, e := range i.Instances {
				e.DelayStarts(0.15)
			}
			time.Sleep(2 * time.Second)
			for _, e := range i.Instances {
				e.DelayStarts(0)
			}
		},
		"a store that is busy":             storeFault(metastore.FaultBusy),
		"a store that is unresponsive":     storeFault(metastore.FaultUnresponsive),
		"a store whose responses are lost": storeFault(metastore.FaultResponseLost),
		"a store that appends late":        storeFault(metastore.FaultLateAppend),
		"the entry that owns the jobs killed while the store is unresponsive": func(_ context.Context, i *estate.Installation) {
			n := i.JobsOwner()
			i.Store.SetFault("", metastore.FaultUnresponsive)
			i.Process(estate.EntryName(n)).Kill()
			time.Sleep(2 * time.Second)
			Expect(i.StartProcess(estate.EntryName(n))).To(Succeed())
			i.Store.SetFault("", "")
		},
	} {
		It("are accepted and complete without concurrent or repeated runs with "+name, func(ctx SpecContext) {
			subnet, err := estate.ReserveSubnet()
			Expect(err).NotTo(HaveOccurred())
			i := &estate.Installation{ProgramDir: programDir, OutputDir: GinkgoT().TempDir(), Subnet: subnet, Entries: entryCount, VMs: vmCount, Grace: 5 * time.Second}
			DeferCleanup(i.Stop)
			Expect(i.Start(ctx)).To(Succeed())
			l := &jobLoad{installation: i, submitted: map[string]bool{}}
			var group sync.WaitGroup
			for n := range jobCount {
				group.Go(func() { l.submit(ctx, n) })
				if n == jobCount/3 {
					group.Go(func() {
						defer GinkgoRecover()
						fault(ctx, i)
					})
				}
				time.Sleep(submitInterval)
			}
			group.Wait()
			Expect(l.notAccepted).To(BeZero())
			for _, id := range l.accepted {
				Eventually(func() string { return l.state(ctx, id) }).WithTimeout(completionTimeout).WithPolling(50*time.Millisecond).
					Should(Equal("completed"), "job %s", id)
			}
			Expect(history.Violations(i.Events(), l.submitted)).To(BeEmpty())
		}, NodeTimeout(2*time.Minute))
	}
})

// storeFault returns a function that injects a fault into all calls to the store for 1.5 s.
func storeFault(kind string) func(context.Context, *estate.Installation) {
	return func(_ context.Context, i *estate.Installation) {
		i.Store.SetFault("", kind)
		time.Sleep(1500 * time.Millisecond)
		i.Store.SetFault("", "")
	}
}
