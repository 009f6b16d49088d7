package apportioner_test

import (
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/apportioner"
	"bamboohook/internal/inventory"
)

const inventoryText = `
[service.preview]
urgency = urgent
share = 40%
[service.download]
urgency = deferrable
share = 20%
[service.alert]
urgency = urgent
[service.publish]
urgency = standard
[rule.evening]
kinds = download
importance = 50
hours = 18:00-23:00
utc-offset = -05:00
[rule.festival]
kinds = download, preview
importance = 100
from = 2027-08-06T18:00:00-05:00
until = 2027-08-06T20:00:00-05:00
`

// Guards against an active rule that does not change the shares, and against a rule that changes them while it is not
// active.
var _ = Describe("Shares", func() {
	for name, c := range map[string]struct {
		at                                string
		preview, download, alert, publish float64
	}{
		"no active rule":  {"2027-08-05T12:00:00-05:00", 0.4, 0.2, 0.2, 0.2},
		"one active rule": {"2027-08-05T19:00:00-05:00", 0.4 / 1.1, 0.3 / 1.1, 0.2 / 1.1, 0.2 / 1.1},
		"two active rules of different importance":                     {"2027-08-06T19:00:00-05:00", 0.8 / 1.6, 0.4 / 1.6, 0.2 / 1.6, 0.2 / 1.6},
		"after the end of one rule and outside the hours of the other": {"2027-08-06T23:00:00-05:00", 0.4, 0.2, 0.2, 0.2},
	} {
		It("follow the declared shares and the active rules: "+name, func() {
			inv, _, err := inventory.Parse(inventory.Source{Name: "inventory.ini", Data: []byte(inventoryText)})
			Expect(err).NotTo(HaveOccurred())
			at, err := time.Parse(time.RFC3339, c.at)
			Expect(err).NotTo(HaveOccurred())
			shares := apportioner.New(inv).Shares(clockwork.NewFakeClockAt(at).Now())
			Expect(shares).To(HaveLen(4))
			for service, share := range map[string]float64{"preview": c.preview, "download": c.download, "alert": c.alert, "publish": c.publish} {
				Expect(shares[service]).To(BeNumerically("~", share, 1e-9), service)
			}
		})
	}

	It("are empty if the inventory has no services", func() {
		Expect(apportioner.New(&inventory.Inventory{}).Shares(time.Time{})).To(BeEmpty())
	})
})
