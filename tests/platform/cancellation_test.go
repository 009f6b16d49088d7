package platform_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/standin/estate"
)

const (
	// ownerPause is too short for another entry to become the owner.
	ownerPause = 600 * time.Millisecond
	// leaveAfter is the time after which a caller closes the connection of a submission without a response.
	leaveAfter = 100 * time.Millisecond
	// cancelTime is the time after the response to a cancellation from which no task of the job may run.
	cancelTime = 3 * time.Second
	// leavingCallers is the number of callers that leave while the owner is paused.
	leavingCallers = 20
)

var _ = Describe("Callers that leave before the response to their submission and cancel the job", func() {
	// Guards against a job that runs on although its cancellation was acknowledged, because a copy of its submission reached the owner later.
	It("find that no task runs after the cancellation was acknowledged, while the owner is paused", func(ctx SpecContext) {
		subnet, err := estate.ReserveSubnet()
		Expect(err).NotTo(HaveOccurred())
		i := &estate.Installation{ProgramDir: programDir, OutputDir: GinkgoT().TempDir(), Subnet: subnet, Entries: entryCount, VMs: vmCount, Grace: 5 * time.Second}
		DeferCleanup(i.Stop)
		Expect(i.Start(ctx)).To(Succeed())
		// Agents that have just started may refuse starts for two seconds.
		time.Sleep(3 * time.Second)
		owner := i.JobsOwner()
		Expect(owner).NotTo(Equal(-1))
		pausedOwner := i.Process(estate.EntryName(owner))
		pausedOwner.Signal(syscall.SIGSTOP)
		time.AfterFunc(ownerPause, func() { pausedOwner.Signal(syscall.SIGCONT) })
		var (
			group     sync.WaitGroup
			mutex     sync.Mutex
			cancelled = map[string]bool{}
		)
		for n := range leavingCallers {
			group.Go(func() {
				id := fmt.Sprintf("%016x", 0xdef000+n)
				callCtx, leave := context.WithTimeout(ctx, leaveAfter)
				defer leave()
				i.SubmitStatus(callCtx, (owner+1)%entryCount, id, time.Minute, estate.Step{Tasks: 1, MilliProcessors: 100})
				status, _, _, err := i.Call(ctx, (owner+2)%entryCount, http.MethodDelete, id, nil)
				if err == nil && (status == http.StatusOK || status == http.StatusGone) {
					mutex.Lock()
					defer mutex.Unlock()
					cancelled[id] = true
				}
			})
			time.Sleep(10 * time.Millisecond)
		}
		group.Wait()
		Expect(cancelled).To(HaveLen(leavingCallers))
		time.Sleep(cancelTime)
		running := map[string]bool{}
		for _, e := range i.Events() {
			running[e.Task] = e.Kind == "start"
		}
		for task, runs := range running {
			Expect(runs).To(BeFalse(), "task %s runs after the cancellation of its job", task)
		}
	}, NodeTimeout(time.Minute))
})
