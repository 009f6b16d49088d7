package policies_test

import (
	"encoding/json"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/launcher"
	"bamboohook/internal/message"
)

var _ = Describe("Batch tasks", func() {
	// Guards against a measured latency that does not reach the governor, and a throttle command that does not reach the worker.
	It("are throttled while a service on the same VM exceeds its target latency", func() {
		i := &launcher.Installation{
			Launcher: &launcher.Launcher{ProgramDir: programDir, OutputDir: GinkgoT().TempDir()},
			VMs:      1, Entries: 1, Services: []string{"preview=80ms/0.3"},
		}
		Expect(i.ReserveNetwork()).To(Succeed())
		DeferCleanup(func() { i.Release(5 * time.Second) })
		Expect(i.StartAll()).To(Succeed())
		file, err := i.WriteInventory(inventoryRules)
		Expect(err).NotTo(HaveOccurred())
		_, err = i.RunCommand("publish", "--operator="+i.EntryOperatorAddress(0), "--author=test", file)
		Expect(err).NotTo(HaveOccurred())
		_, err = i.RunCommand("job", "submit", "--caller="+i.EntryCallerAddress(0), "--id=a", "--team=design", "--kind=face-build",
			"--tasks=4", "--processors=8", "--run-time=10m")
		Expect(err).NotTo(HaveOccurred())
		start := time.Now()
		Expect(launcher.Await("throttle of a task", 30*time.Second, func() bool {
			if status, _ := launcher.Get(i.EntryCallerAddress(0), "/v1/services/preview/x"); status != http.StatusOK {
				return false
			}
			var list message.WorkerTasks
			_, body := launcher.Get(i.WorkerAddress(0), message.PathTasks)
			_ = json.Unmarshal([]byte(body), &list)
			for _, t := range list.Tasks {
				if t.State == message.TaskRunning && t.Share < 1 {
					return true
				}
			}
			return false
		})).To(Succeed())
		AddReportEntry("first throttle after", time.Since(start).Round(100*time.Millisecond).String())
	})
})
