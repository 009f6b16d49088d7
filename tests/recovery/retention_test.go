package recovery_test

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/launcher"
)

const timeout = 20 * time.Second

var _ = Describe("An entry that starts after log records have expired", func() {
	// Guards against a restarted entry that has lost the jobs and the configuration, or that waits forever for a snapshot
	// that it would have to write itself.
	It("recovers jobs and configuration from snapshots", func() {
		i := &launcher.Installation{
			Launcher: &launcher.Launcher{ProgramDir: programDir, OutputDir: GinkgoT().TempDir()},
			VMs:      1, Entries: 2, Services: []string{"preview=2ms"},
		}
		Expect(i.ReserveNetwork()).To(Succeed())
		DeferCleanup(func() { i.Release(timeout) })
		Expect(i.StartLogService("--retention=6s")).To(Succeed())
		first, err := i.StartEntry(0)
		Expect(err).NotTo(HaveOccurred())
		_, err = i.StartEntry(1)
		Expect(err).NotTo(HaveOccurred())
		Expect(i.StartVM(0)).To(Succeed())
		file, err := i.WriteInventory("[service.preview]\nurgency = urgent\nshare = 50%\n[team.t]\nprocessors = 64\n[kind.k]\nprocessors = 1\nmemory = 1GB\nrun-time = 1s\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(launcher.Await("publication", timeout, func() bool {
			_, err := i.RunCommand("publish", "--operator="+i.EntryOperatorAddress(0), file)
			return err == nil
		})).To(Succeed())
		Expect(launcher.Await("submission", timeout, func() bool {
			_, err := i.RunCommand("job", "submit", "--caller="+i.EntryCallerAddress(0), "--id=early", "--team=t", "--kind=k", "--run-time=1s")
			return err == nil
		})).To(Succeed())
		_, err = i.RunCommand("job", "watch", "--caller="+i.EntryCallerAddress(0), "early")
		Expect(err).NotTo(HaveOccurred())
		// The wait exceeds the retention, so that the records of the job and of the publication are removed.
		time.Sleep(10 * time.Second)
		first.Kill()
		_, err = i.StartEntry(0)
		Expect(err).NotTo(HaveOccurred())
		Expect(launcher.Await("recovered state", timeout, func() bool {
			status, err := i.RunCommand("job", "status", "--caller="+i.EntryCallerAddress(0), "early")
			return err == nil && strings.Contains(status, "done")
		})).To(Succeed(), "the job from before the restart is unknown")
		configuration, err := i.RunCommand("show", "--operator="+i.EntryOperatorAddress(0))
		Expect(err).NotTo(HaveOccurred())
		Expect(configuration).To(And(ContainSubstring("revision 1"), ContainSubstring("[kind.k]")), fmt.Sprint(configuration))
	})
})
