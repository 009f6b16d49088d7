package inventory_test

import (
	"strings"
	"testing"
	"time"

	"bamboohook/internal/inventory"
	"bamboohook/resource"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const validInventory = `# Bureau
[vm.g1]
data-centre = kingston-a ; first hall
rack = r1
processors = 64
memory = 250GiB
accelerators = 2
slots = 8
connections = 64
services = preview, download
[service.preview]
urgency = urgent
share = 60%
[service.download]
urgency = standard
share = 40%
[team.design]
processors = 100
[kind.face-build]
processors = 0.5
memory = 512MiB
run-time = 20m
attempts = 3
[rule.parish-festival]
kinds = face-build, preview
importance = 80
days = fri-sat
hours = 18:00-02:00
utc-offset = -05:00
[rule.launch]
kinds = preview
importance = 90
from = 2027-08-06T18:00:00-05:00
until = 2027-08-07T00:00:00-05:00
`

func parse(text string) (*inventory.Inventory, inventory.Sections, error) {
	return inventory.Parse(inventory.Source{Name: "a.ini", Data: []byte(text)})
}

var _ = Describe("Parse", func() {
	It("parses all values, and returns the same sections for their formatted text", func() {
		i, sections, err := parse(validInventory)
		Expect(err).NotTo(HaveOccurred())
		Expect(i.VMs["g1"]).To(Equal(inventory.VM{
			Name: "g1", DataCentre: "kingston-a", Rack: "r1", Slots: 8, Connections: 64, Services: []string{"preview", "download"},
			Capacity: resource.Amount{MilliProcessors: 64000, MemoryBytes: 250 << 30, Accelerators: 2},
		}))
		Expect(i.Services["preview"]).To(Equal(inventory.Service{Name: "preview", Urgency: "urgent", Share: 0.6}))
		Expect(i.Teams["design"].LimitedResources).To(Equal(map[string]bool{"processors": true}))
		Expect(i.Kinds["face-build"].RunTime).To(Equal(20 * time.Minute))
		_, reparsed, err := parse(inventory.Format(sections))
		Expect(err).NotTo(HaveOccurred())
		Expect(reparsed).To(Equal(sections))
		Expect(inventory.New(sections)).To(Equal(i))
	})

	// Guards against mistakes in a file that are accepted, which may cause an outage, or that are reported without the file and line.
	for name, t := range map[string]struct{ text, want string }{
		"unknown section":             {validInventory + "[host.a]\n", "a.ini:35: [host.a] unknown section"},
		"unknown key":                 {validInventory + "[team.a]\nprocessor = 1\n", "a.ini:36: [team.a] processor: unknown key"},
		"duplicate VM":                {validInventory + "[vm.g1]\n", "a.ini:35: [vm.g1] section is already defined at a.ini:2"},
		"duplicate key":               {validInventory + "[team.a]\nmemory = 1GiB\nmemory = 1GiB\n", "a.ini:37: [team.a] memory: key is already defined at a.ini:36"},
		"unknown service":             {strings.Replace(validInventory, "preview, download", "preview, upload", 1), `a.ini:10: [vm.g1] services: unknown service "upload"`},
		"shares above 100%":           {strings.Replace(validInventory, "60%", "60.5%", 1), "a.ini:13: [service.preview] share: shares add up to 100.5%"},
		"missing value":               {strings.Replace(validInventory, "rack = r1\n", "", 1), "a.ini:2: [vm.g1] rack: a value is required"},
		"size in an unsupported unit": {strings.Replace(validInventory, "250GiB", "250kB", 1), `a.ini:6: [vm.g1] memory: "250kB" must be a size`},
		"size without unit":           {strings.Replace(validInventory, "250GiB", "250", 1), `a.ini:6: [vm.g1] memory: "250" must be a size`},
		"not a number":                {strings.Replace(validInventory, "= 64\n", "= NaN\n", 1), `a.ini:5: [vm.g1] processors: "NaN"`},
		"unknown kind":                {strings.Replace(validInventory, "face-build, preview", "route", 1), `a.ini:25: [rule.parish-festival] kinds: unknown kind or service "route"`},
		"wrong hours":                 {strings.Replace(validInventory, "02:00", "25:00", 1), "a.ini:28: [rule.parish-festival] hours:"},
		"until before from":           {strings.Replace(validInventory, "08-07T", "08-05T", 1), "a.ini:34: [rule.launch] until: must be after from"},
		"key before section":          {"a = 1\n" + validInventory, "a.ini:1: a: key must be in a section"},
		"malformed header":            {"[vm g1]\n" + validInventory, "a.ini:1: section must have the form"},
		"malformed line":              {"vm\n" + validInventory, "a.ini:1: line must be a section"},
		"quotes":                      {strings.Replace(validInventory, "r1", `"""r1`, 1), "a.ini:4: [vm.g1] rack: value must be plain text"},
	} {
		It("reports file, line and key: "+name, func() {
			i, _, err := parse(t.text)
			Expect(i).To(BeNil())
			Expect(err).To(MatchError(ContainSubstring(t.want)))
		})
	}

	It("reports the problems of all files at once", func() {
		_, _, err := inventory.Parse(
			inventory.Source{Name: "a.ini", Data: []byte(strings.Replace(validInventory, "slots = 8", "slots = x", 1))},
			inventory.Source{Name: "b.ini", Data: []byte("[vm.g1]\n[kind.x]\nrun-time = 5\nattempts = 0\n")},
		)
		Expect(err).To(HaveOccurred())
		Expect(strings.Split(err.Error(), "\n")).To(HaveExactElements(
			HavePrefix("a.ini:2: [vm.g1] a VM with services needs slots"), HavePrefix("a.ini:8: [vm.g1] slots:"),
			HavePrefix("b.ini:1: [vm.g1] section is already defined at a.ini:2"),
			HavePrefix("b.ini:3: [kind.x] run-time:"), HavePrefix("b.ini:4: [kind.x] attempts:"),
		))
	})
})

var _ = Describe("Rule", func() {
	// The rule applies on Fridays and Saturdays from 18:00 until 02:00 on the next day, at UTC-05:00. So Saturday 01:00 belongs to
	// Friday's window, and Sunday 01:00 to Saturday's.
	for name, t := range map[string]struct {
		utc    string
		active bool
	}{
		"friday before friday's window":              {"2027-08-06T22:59:00Z", false},
		"friday at the begin of friday's window":     {"2027-08-06T23:00:00Z", true},
		"friday night, as thursday has no window":    {"2027-08-06T06:00:00Z", false},
		"sunday before the end of saturday's window": {"2027-08-08T06:59:00Z", true},
		"sunday at the end of saturday's window":     {"2027-08-08T07:00:00Z", false},
	} {
		It("reports whether the rule is active at local time: "+name, func() {
			i, _, err := parse(validInventory)
			Expect(err).NotTo(HaveOccurred())
			at, err := time.Parse(time.RFC3339, t.utc)
			Expect(err).NotTo(HaveOccurred())
			Expect(i.Rules["parish-festival"].Active(at)).To(Equal(t.active))
		})
	}
	It("reports that the rule is active at From but no longer at Until", func() {
		i, _, _ := parse(validInventory)
		launch := i.Rules["launch"]
		Expect([]bool{launch.Active(launch.From.Add(-1)), launch.Active(launch.From), launch.Active(launch.Until)}).To(Equal([]bool{false, true, false}))
	})
})

var _ = Describe("Diff", func() {
	It("returns the differences, and Changes the sections to set and to remove", func() {
		oldSections := inventory.Sections{"team.a": {"processors": "1"}, "team.b": {"memory": "1GiB"}, "team.d": {"memory": "1GiB"}}
		newSections := inventory.Sections{"team.a": {"processors": "2"}, "team.c": {"memory": "1GiB"}, "team.d": {"memory": "1GiB"}}
		var lines []string
		for _, d := range inventory.Diff(oldSections, newSections) {
			lines = append(lines, d.String())
		}
		Expect(lines).To(Equal([]string{
			`[team.a] processors changed: "1" -> "2"`, `[team.b] removed`, `[team.b] memory removed: "1GiB" -> ""`,
			`[team.c] added`, `[team.c] memory added: "" -> "1GiB"`,
		}))
		changed, removed := inventory.Changes(oldSections, newSections)
		Expect(changed).To(Equal(inventory.Sections{"team.a": newSections["team.a"], "team.c": newSections["team.c"]}))
		Expect(removed).To(Equal([]string{"team.b"}))
	})
})

// FuzzParse guards against panics, and against sections that are different after Format has written and Parse has read them.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{validInventory, "[vm.a]\nmemory = %(x)s", "[team.a]\nmemory=1GiB\\\n", "[DEFAULT]\na=b", "=\n[]\n[.]", "[rule.a]\nutc-offset = -"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		_, sections, err := parse(string(data))
		if err != nil {
			return
		}
		_, reparsed, err := parse(inventory.Format(sections))
		if err != nil || len(inventory.Diff(sections, reparsed)) > 0 {
			t.Fatalf("formatted inventory differs: %v, %v", err, inventory.Diff(sections, reparsed))
		}
	})
}
