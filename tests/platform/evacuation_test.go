package platform_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/standin/estate"
	"bamboohook/internal/standin/history"
	"bamboohook/internal/standin/metastore"
)

const (
	// evacuationTime is the platform's bound from the acknowledgement of a request to the last start.
	evacuationTime = 5 * time.Second
	// evacuationObservedFor is how long the data centre is observed after that.
	evacuationObservedFor = 5 * time.Second
	evacuatedDataCentre   = "z0"
)

// startsIn returns the number of starts in the data centre after the time.
func startsIn(i *estate.Installation, dataCentre string, after time.Time) int {
	zones := map[string]string{}
	for n, e := range i.Instances {
		zones[e.ID] = i.DataCentre(n)
	}
	starts := 0
	for _, e := range i.Events() {
		if e.Kind == "start" && zones[e.Instance] == dataCentre && e.Time.After(after) {
			starts++
		}
	}
	return starts
}

// These tests guard against starts in an evacuated data centre by processes that have not learned of the request in time.
var _ = Describe("Evacuation of a data centre", func() {
	for name, fault := range map[string]func(i *estate.Installation){
		"no fault": func(*estate.Installation) {},
		"the owner killed": func(i *estate.Installation) {
			n := i.JobsOwner()
			i.Process(estate.EntryName(n)).Kill()
			time.Sleep(time.Second)
			Expect(i.StartProcess(estate.EntryName(n))).To(Succeed())
		},
		"an agent killed": func(i *estate.Installation) {
			i.Process(estate.AgentName(0)).Kill()
			time.Sleep(700 * time.Millisecond)
			Expect(i.StartProcess(estate.AgentName(0))).To(Succeed())
		},
		"an entry cut off from the store": func(i *estate.Installation) {
			i.Store.SetFault(i.EntryStoreIP((i.JobsOwner()+1)%entryCount), metastore.FaultUnresponsive)
		},
		"records deleted": func(i *estate.Installation) { i.Store.Compact("keyed.op") },
	} {
		It("starts nothing there from the bound on, and again after the withdrawal, with "+name, func(ctx SpecContext) {
			subnet, err := estate.ReserveSubnet()
			Expect(err).NotTo(HaveOccurred())
			i := &estate.Installation{
				ProgramDir: programDir, OutputDir: GinkgoT().TempDir(), Subnet: subnet, Entries: entryCount, VMs: vmCount, Grace: 5 * time.Second,
				DataCentres: 2, EvacuationTime: evacuationTime,
			}
			DeferCleanup(i.Stop)
			Expect(i.Start(ctx)).To(Succeed())
			l := &jobLoad{installation: i, submitted: map[string]bool{}}
			loadCtx, stopLoad := context.WithCancel(ctx)
			var group sync.WaitGroup
			group.Go(func() {
				for n := 0; loadCtx.Err() == nil; n++ {
					group.Go(func() { l.submit(ctx, n) })
					time.Sleep(2 * submitInterval)
				}
			})
			Eventually(func() int { return startsIn(i, evacuatedDataCentre, time.Time{}) }).WithTimeout(20 * time.Second).Should(BeNumerically(">", 3))
			requestedAt := i.Evacuate(evacuatedDataCentre, true)
			fault(i)
			time.Sleep(time.Until(requestedAt.Add(evacuationTime + evacuationObservedFor)))
			last := time.Duration(0)
			for d := time.Duration(0); d < evacuationTime+evacuationObservedFor; d += 100 * time.Millisecond {
				if startsIn(i, evacuatedDataCentre, requestedAt.Add(d)) > 0 {
					last = d + 100*time.Millisecond
				}
			}
			AddReportEntry(fmt.Sprintf("last start at most %v after the acknowledgement", last))
			Expect(last).To(BeNumerically("<=", evacuationTime))
			Expect(startsIn(i, "z1", requestedAt.Add(evacuationTime))).To(BeNumerically(">", 3), "the other data centre goes on")
			withdrawnAt := i.Evacuate(evacuatedDataCentre, false)
			Eventually(func() int { return startsIn(i, evacuatedDataCentre, withdrawnAt) }).WithTimeout(evacuationTime+time.Second).Should(BeNumerically(">", 0), "starts after the withdrawal")
			stopLoad()
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
