package launcher_test

import (
	"net"
	"os/exec"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/launcher"
)

var _ = Describe("Installation", func() {
	// Guards against a log service that cannot listen on its port, because a process that is being started elsewhere in the test program still has a copy
	// of the listener that has tried whether the port is free.
	It("reserves a network whose ports are free at once while other processes are started", func() {
		done := make(chan struct{})
		var group sync.WaitGroup
		for range 4 {
			group.Go(func() {
				for {
					select {
					case <-done:
						return
					default:
						_ = exec.Command("true").Run()
					}
				}
			})
		}
		for end := time.Now().Add(2 * time.Second); time.Now().Before(end); {
			i := launcher.Installation{Launcher: &launcher.Launcher{}}
			Expect(i.ReserveNetwork()).To(Succeed())
			l, err := net.Listen("tcp", i.LogAddress())
			if err == nil {
				// The listener is of the same kind as that of the log service, so its copies must have gone before the next round.
				_ = l.Close()
				Eventually(func() error {
					probe, err := net.Listen("tcp", i.LogAddress())
					if err == nil {
						_ = probe.Close()
					}
					return err
				}).WithPolling(time.Millisecond).Should(Succeed())
			}
			i.Release(0)
			if err != nil {
				close(done)
				group.Wait()
				Expect(err).NotTo(HaveOccurred())
			}
		}
		close(done)
		group.Wait()
	})
})
