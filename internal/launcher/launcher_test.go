package launcher_test

import (
	"os/exec"
	"path/filepath"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/launcher"
)

var _ = Describe("Launcher", func() {
	// Guards against the report of a failed run that does not tell a paused process from one that runs or was killed.
	It("describes the states of its processes", func() {
		path, err := exec.LookPath("sleep")
		Expect(err).NotTo(HaveOccurred())
		l := &launcher.Launcher{ProgramDir: filepath.Dir(path), OutputDir: GinkgoT().TempDir()}
		DeferCleanup(func() { l.Close(0) })
		first, err := l.Start("first", "sleep", "60")
		Expect(err).NotTo(HaveOccurred())
		second, err := l.Start("second", "sleep", "60")
		Expect(err).NotTo(HaveOccurred())
		first.Signal(syscall.SIGSTOP)
		Eventually(l.States).Should(HaveExactElements("first: T (stopped)", "second: S (sleeping)"))
		first.Signal(syscall.SIGCONT)
		second.Kill()
		Eventually(l.States).Should(HaveExactElements("first: S (sleeping)", "second: signal: killed"))
	})
})
