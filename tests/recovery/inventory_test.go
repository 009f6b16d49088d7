package recovery_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/launcher"
	"bamboohook/internal/standin/endpoint"
)

var _ = Describe("A VM that leaves the inventory", func() {
	// Guards against requests to a VM that the inventory does not declare or no longer declares.
	It("gets no new requests and is shown as undeclared", func() {
		i := &launcher.Installation{
			Launcher: &launcher.Launcher{ProgramDir: programDir, OutputDir: GinkgoT().TempDir()},
			VMs:      2, Entries: 1, Services: []string{"preview=2ms"},
		}
		Expect(i.ReserveNetwork()).To(Succeed())
		DeferCleanup(func() { i.Release(timeout) })
		Expect(i.StartAll()).To(Succeed())
		preview := func() bool {
			status, _ := launcher.Get(i.EntryCallerAddress(0), "/v1/services/preview/x")
			return status == 200
		}
		Expect(launcher.Await("first response", timeout, preview)).To(Succeed())
		file := filepath.Join(i.OutputDir, "one.ini")
		Expect(os.WriteFile(file, []byte("[vm."+i.VMName(0)+"]\ndata-centre = a\nrack = r\nprocessors = 64\nmemory = 250GB\nslots = 8\nconnections = 64\nservices = preview\n"+
			"[service.preview]\nurgency = urgent\nshare = 50%\n"), 0o600)).To(Succeed())
		_, err := i.RunCommand("publish", "--operator="+i.EntryOperatorAddress(0), file)
		Expect(err).NotTo(HaveOccurred())
		// A publication takes effect within 3 s.
		time.Sleep(3 * time.Second)
		before := startCounts(i)
		for range 40 {
			Expect(preview()).To(BeTrue())
		}
		Expect(startCounts(i)).To(Equal(before))
		fleet, err := i.RunCommand("fleet", "--operator="+i.EntryOperatorAddress(0))
		Expect(err).NotTo(HaveOccurred())
		Expect(fleet).To(MatchRegexp(i.VMName(1) + `\s.*undeclared`))
	})
})

// startCounts returns the number of starts of each request ID at the endpoint of the second VM.
func startCounts(i *launcher.Installation) map[string]int {
	_, body := launcher.Get(i.EndpointAddress(1), endpoint.PathCounters)
	var counters endpoint.Counters
	Expect(json.Unmarshal([]byte(body), &counters)).To(Succeed())
	Expect(counters.Unrecorded).To(BeZero())
	return counters.Starts
}
