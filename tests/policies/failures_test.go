package policies_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/launcher"
	"bamboohook/internal/message"
	"bamboohook/internal/standin/worker"
	"bamboohook/scheduler"
)

const (
	goodJobCount   = 8
	jobTimeout     = 90 * time.Second
	inventoryRules = `[service.preview]
urgency = urgent
share = 50%
target-latency = 50ms
[team.design]
processors = 100
[kind.face-build]
processors = 8
memory = 1GiB
run-time = 1s
attempts = 4
[kind.broken]
processors = 1
memory = 1GiB
run-time = 1s
`
)

var _ = Describe("The scheduler", func() {
	var i *launcher.Installation

	BeforeEach(func() {
		i = &launcher.Installation{
			Launcher: &launcher.Launcher{ProgramDir: programDir, OutputDir: GinkgoT().TempDir()},
			VMs:      6, Entries: 2, Services: []string{"preview=2ms/0.3"},
		}
		Expect(i.ReserveNetwork()).To(Succeed())
		DeferCleanup(func() { i.Release(20 * time.Second) })
		Expect(i.StartLogService()).To(Succeed())
		for n := range i.Entries {
			_, err := i.StartEntry(n)
			Expect(err).NotTo(HaveOccurred())
		}
		for n := range i.VMs {
			var args []string
			if n == 1 {
				args = []string{"--fail-starts"}
			}
			_, err := i.StartWorker(n, args...)
			Expect(err).NotTo(HaveOccurred())
			_, err = i.StartEndpoint(n)
			Expect(err).NotTo(HaveOccurred())
			_, err = i.StartAgent(n)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(launcher.Await("readiness of the first entry", 30*time.Second, func() bool {
			status, _ := launcher.Get(i.EntryOperatorAddress(0), "/readyz")
			return status == 200
		})).To(Succeed())
		file, err := i.WriteInventory(inventoryRules)
		Expect(err).NotTo(HaveOccurred())
		_, err = i.RunCommand("publish", "--operator="+i.EntryOperatorAddress(0), "--author=test", file)
		Expect(err).NotTo(HaveOccurred())
	})

	job := func(entry int, id string) (status message.JobStatus) {
		_, body := launcher.Get(i.EntryCallerAddress(entry), "/v1/jobs/"+id)
		_ = json.Unmarshal([]byte(body), &status)
		return status
	}
	submit := func(id string, args ...string) (string, error) {
		return i.RunCommand(append([]string{"job", "submit", "--caller=" + i.EntryCallerAddress(0), "--id=" + id}, args...)...)
	}

	// Guards against a faulty VM that makes healthy jobs fail, and a faulty job that makes healthy VMs be quarantined.
	It("stops retrying (parks) a job that always fails and quarantines a VM on which every start fails", func() {
		Expect(launcher.Await("configuration at both entries", 10*time.Second, func() bool {
			_, err := submit("typo", "--team=desing", "--kind=face-build")
			return err != nil && strings.Contains(err.Error(), "allowed are design")
		})).To(Succeed())
		_, err := submit("large", "--team=design", "--kind=face-build", "--processors=65")
		Expect(err).To(MatchError(ContainSubstring("fits no VM")))
		start := time.Now()
		_, err = submit("bad", "--team=design", "--kind=broken", "--tasks=12", "--payload="+worker.PayloadFail)
		Expect(err).NotTo(HaveOccurred())
		for n := range goodJobCount {
			_, err := submit(fmt.Sprint("good-", n), "--team=design", "--kind=face-build", "--tasks=12")
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(launcher.Await("end of the good jobs", jobTimeout, func() bool {
			for n := range goodJobCount {
				if job(0, fmt.Sprint("good-", n)).Done < 12 {
					return false
				}
			}
			return true
		})).To(Succeed())
		AddReportEntry("good jobs done after", time.Since(start).Round(100*time.Millisecond).String())
		for n := range i.Entries {
			Eventually(func() message.JobStatus { return job(n, "bad") }).WithTimeout(30 * time.Second).Should(
				And(HaveField("State", scheduler.StateParked), HaveField("Reason", ContainSubstring("failed-on-healthy-vms"))))
		}
		AddReportEntry("bad job parked after", time.Since(start).Round(100*time.Millisecond).String())
		timeline, err := i.RunCommand("timeline", "--operator="+i.EntryOperatorAddress(0))
		Expect(err).NotTo(HaveOccurred())
		Expect(timeline).To(MatchRegexp("vm-quarantined.*vm-2"))
		Expect(timeline).NotTo(MatchRegexp("vm-quarantined.*vm-[13456]"))
		Expect(timeline).To(MatchRegexp("job-parked.*bad"))
		AddReportEntry("starts at the failing VM", strings.Count(timeline, "started=yes vm=vm-2"))
	})
})
