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
	"bamboohook/internal/standin/metastore"
)

const (
	entries = 3
	vms     = 4
	// jobs are submitted at this distance while the fault comes and goes.
	jobs     = 24
	distance = 120 * time.Millisecond
	// finish is what all jobs need at most after the last fault has ended: the longest lease and a few steps.
	finish = 25 * time.Second
)

// load submits jobs at all entries in turn, repeating calls as callers do, and remembers the ids.
type load struct {
	estate    *estate.Installation
	mutex     sync.Mutex
	submitted map[string]bool
	accepted  []string
	refused   int
}

func (l *load) submit(ctx context.Context, n int) {
	id := fmt.Sprintf("%016x", 0xabc000+n)
	l.mutex.Lock()
	l.submitted[id] = true
	l.mutex.Unlock()
	for try := range 12 {
		if l.estate.Submit(ctx, (n+try)%entries, id, 150*time.Millisecond, estate.Step{Tasks: 3, MilliProcessors: 500}, estate.Step{Tasks: 2, MilliProcessors: 1000, After: []int{0}}) {
			l.mutex.Lock()
			l.accepted = append(l.accepted, id)
			l.mutex.Unlock()
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.refused++
}

// state returns the state of a job as some entry shows it, or "".
func (l *load) state(ctx context.Context, id string) string {
	for n := range entries {
		if state := l.estate.State(ctx, n, id); state != "" {
			return state
		}
	}
	return ""
}

var _ = Describe("Jobs on the platform", func() {
	number := 0
	for name, fault := range map[string]func(ctx context.Context, e *estate.Installation){
		"no fault": func(context.Context, *estate.Installation) {},
		"the owner killed": func(_ context.Context, e *estate.Installation) {
			n := e.Owner()
			e.Process(estate.EntryName(n)).Kill()
			time.Sleep(time.Second)
			Expect(e.StartProcess(estate.EntryName(n))).To(Succeed())
		},
		"the owner frozen": func(_ context.Context, e *estate.Installation) {
			p := e.Process(estate.EntryName(e.Owner()))
			p.Signal(syscall.SIGSTOP)
			time.Sleep(2 * time.Second)
			p.Signal(syscall.SIGCONT)
		},
		"the owner stopped": func(_ context.Context, e *estate.Installation) {
			n := e.Owner()
			e.Process(estate.EntryName(n)).Signal(syscall.SIGTERM)
			Expect(e.Process(estate.EntryName(n)).Wait(6 * time.Second)).To(BeTrue())
			Expect(e.StartProcess(estate.EntryName(n))).To(Succeed())
		},
		"all entries killed": func(_ context.Context, e *estate.Installation) {
			for n := range entries {
				e.Process(estate.EntryName(n)).Kill()
			}
			for n := range entries {
				Expect(e.StartProcess(estate.EntryName(n))).To(Succeed())
			}
		},
		"everything killed": func(_ context.Context, e *estate.Installation) {
			for n := range entries {
				e.Process(estate.EntryName(n)).Kill()
			}
			for n := range vms {
				e.Process(estate.AgentName(n)).Kill()
				e.Instances[n].Restart()
			}
			for n := range entries {
				Expect(e.StartProcess(estate.EntryName(n))).To(Succeed())
			}
			for n := range vms {
				Expect(e.StartProcess(estate.AgentName(n))).To(Succeed())
			}
		},
		"an agent killed": func(_ context.Context, e *estate.Installation) {
			e.Process(estate.AgentName(1)).Kill()
			time.Sleep(700 * time.Millisecond)
			Expect(e.StartProcess(estate.AgentName(1))).To(Succeed())
		},
		"an agent frozen": func(_ context.Context, e *estate.Installation) {
			p := e.Process(estate.AgentName(2))
			p.Signal(syscall.SIGSTOP)
			time.Sleep(3 * time.Second)
			p.Signal(syscall.SIGCONT)
		},
		"an endpoint replaced": func(_ context.Context, e *estate.Installation) {
			e.Instances[0].Kill()
			time.Sleep(time.Second)
			e.Instances[0].Restart()
		},
		"orders carried out late": func(_ context.Context, e *estate.Installation) {
			for _, i := range e.Instances {
				i.DelayStarts(0.15)
			}
			time.Sleep(2 * time.Second)
			for _, i := range e.Instances {
				i.DelayStarts(0)
			}
		},
		"a store that is busy":           storeFault(metastore.FaultBusy),
		"a store that is silent":         storeFault(metastore.FaultUnresponsive),
		"a store whose answers are lost": storeFault(metastore.FaultResponseLost),
		"a store that appends late":      storeFault(metastore.FaultLateAppend),
		"the owner killed while the store is silent": func(_ context.Context, e *estate.Installation) {
			n := e.Owner()
			e.Store.SetFault("", metastore.FaultUnresponsive)
			e.Process(estate.EntryName(n)).Kill()
			time.Sleep(2 * time.Second)
			Expect(e.StartProcess(estate.EntryName(n))).To(Succeed())
			e.Store.SetFault("", "")
		},
	} {
		number++
		net := 20 + number
		It("accepts, runs once and completes with "+name, func(ctx SpecContext) {
			e := &estate.Installation{ProgramDir: programs, OutputDir: GinkgoT().TempDir(), Subnet: net, Entries: entries, VMs: vms, Grace: 5 * time.Second}
			DeferCleanup(e.Stop)
			Expect(e.Start(ctx)).To(Succeed())
			l := &load{estate: e, submitted: map[string]bool{}}
			var group sync.WaitGroup
			for n := range jobs {
				group.Go(func() { l.submit(ctx, n) })
				if n == jobs/3 {
					group.Go(func() {
						defer GinkgoRecover()
						fault(ctx, e)
					})
				}
				time.Sleep(distance)
			}
			group.Wait()
			Expect(l.refused).To(BeZero())
			for _, id := range l.accepted {
				Eventually(func() string { return l.state(ctx, id) }).WithTimeout(finish).WithPolling(50*time.Millisecond).
					Should(Equal("completed"), "job %s", id)
			}
			Expect(violations(e.Events(), l.submitted)).To(BeEmpty())
		}, NodeTimeout(2*time.Minute))
	}
})

func storeFault(kind string) func(context.Context, *estate.Installation) {
	return func(_ context.Context, e *estate.Installation) {
		e.Store.SetFault("", kind)
		time.Sleep(1500 * time.Millisecond)
		e.Store.SetFault("", "")
	}
}
