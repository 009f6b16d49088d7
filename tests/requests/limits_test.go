package requests_test

import (
	"encoding/json"
	"os"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/launcher"
	"bamboohook/internal/message"
)

var _ = Describe("A published inventory", func() {
	// Guards against declared slot counts that do not reach the agents, which then use the count that the endpoint announces.
	It("limits the slots of the endpoints", func() {
		i := startInstallation(2, 2, "preview=50ms", "download=50ms")
		rules := "[service.preview]\nurgency = urgent\nshare = 60%\n[service.download]\nurgency = deferrable\nshare = 40%\n"
		file, err := i.WriteInventory(rules)
		Expect(err).NotTo(HaveOccurred())
		text, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		Expect(os.WriteFile(file, []byte(strings.ReplaceAll(string(text), "slots = 8", "slots = 3")), 0o600)).To(Succeed())
		_, err = i.RunCommand("publish", "--operator="+i.EntryOperatorAddress(0), "--author=test", file)
		Expect(err).NotTo(HaveOccurred())
		for n := range i.Entries {
			Expect(launcher.Await("the declared slots at "+i.EntryName(n), timeout, func() bool {
				_, body := launcher.Get(i.EntryOperatorAddress(n), message.PathFleet)
				var fleet []message.FleetVM
				_ = json.Unmarshal([]byte(body), &fleet)
				for _, vm := range fleet {
					for _, s := range vm.Services {
						if s.Slots != 3 {
							return false
						}
					}
				}
				return len(fleet) == i.VMs
			})).To(Succeed())
		}
		results := append(i.sendAtRate("preview", "p", 200, time.Second, nil), i.sendAtRate("download", "d", 200, time.Second, nil)...)
		GinkgoWriter.Println(countOutcomes(results))
		for n := range i.VMs {
			Expect(i.endpointCounters(n).MaxConcurrency).To(BeNumerically("==", 3))
		}
	})
})
