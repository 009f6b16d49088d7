package requests_test

import (
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/launcher"
)

var _ = Describe("Drain", func() {
	var i *launcher.Installation

	BeforeEach(func() {
		i = &launcher.Installation{
			Launcher: &launcher.Launcher{ProgramDir: programDir, OutputDir: GinkgoT().TempDir()},
			VMs:      3, Entries: 2, Services: []string{"preview=30ms/0.3"},
		}
		Expect(i.ReserveNetwork()).To(Succeed())
		DeferCleanup(func() { i.Release(20 * time.Second) })
		Expect(i.StartLogService()).To(Succeed())
	})

	// Guards against a planned stop that interrupts requests in flight or loses new ones.
	It("of an agent and an entry interrupts no request", func() {
		var agent, entry *launcher.Process
		for n := range i.Entries {
			p, err := i.StartEntry(n)
			Expect(err).NotTo(HaveOccurred())
			entry = p
		}
		for n := range i.VMs {
			_, err := i.StartWorker(n)
			Expect(err).NotTo(HaveOccurred())
			_, err = i.StartEndpoint(n)
			Expect(err).NotTo(HaveOccurred())
			agent, err = i.StartAgent(n)
			Expect(err).NotTo(HaveOccurred())
		}
		for n := range i.Entries {
			Expect(launcher.Await("first response", 15*time.Second, func() bool {
				status, _ := launcher.Get(i.EntryCallerAddress(n), "/v1/services/preview/x")
				return status == 200
			})).To(Succeed())
		}
		var failed, done atomic.Int64
		var callers sync.WaitGroup
		stop := make(chan struct{})
		for range 6 {
			callers.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					default:
					}
					// Like the platform's load balancer, the callers use only entries whose readiness check returns status 200.
					target := n % i.Entries
					if ready, _ := launcher.Get(i.EntryOperatorAddress(target), "/readyz"); ready != 200 {
						continue
					}
					status, body := launcher.Get(i.EntryCallerAddress(target), "/v1/services/preview/x?size=4096")
					if status == 200 && len(body) == 4096 {
						done.Add(1)
					} else if failed.Add(1) <= 5 {
						_, _ = GinkgoWriter.Write([]byte(body + "\n"))
					}
				}
			})
		}
		time.Sleep(500 * time.Millisecond)
		agent.Signal(syscall.SIGTERM)
		Expect(agent.Wait(15 * time.Second)).To(BeTrue())
		Expect(agent.ExitCode()).To(BeZero())
		entry.Signal(syscall.SIGTERM)
		Expect(entry.Wait(15 * time.Second)).To(BeTrue())
		Expect(entry.ExitCode()).To(BeZero())
		close(stop)
		callers.Wait()
		Expect(done.Load()).To(BeNumerically(">", 100))
		Expect(failed.Load()).To(BeZero())
	})
})
