package inventory

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"bamboohook/resource"
)

// allowedKeys maps each type of section, which is the part of its name before the dot, to the keys that are allowed in it.
var allowedKeys = map[string][]string{
	"vm":      {"data-centre", "rack", "processors", "memory", "accelerators", "slots", "connections", "services"},
	"service": {"urgency", "share", "target-latency"},
	"team":    {"processors", "memory", "accelerators"},
	"kind":    {"processors", "memory", "accelerators", "run-time", "attempts"},
	"rule":    {"kinds", "importance", "from", "until", "days", "hours", "utc-offset"},
}

// builder builds an Inventory from sections and collects the problems of the sections.
type builder struct {
	inventory *Inventory
	problems  Problems
}

// sectionReader parses the values of one section and adds the problems to the builder. values maps the keys of the section to their
// values. A method that parses the value of a key returns the zero value or a default if the key is missing or its value is
// invalid.
type sectionReader struct {
	builder *builder
	section string
	values  map[string]string
}

// build returns the inventory that the sections define and the problems found. The inventory is incomplete if there are problems.
func build(sections Sections) (*Inventory, Problems) {
	b := &builder{inventory: &Inventory{
		VMs: map[string]VM{}, Services: map[string]Service{}, Teams: map[string]Team{}, Kinds: map[string]Kind{}, Rules: map[string]Rule{},
	}}
	for _, section := range slices.Sorted(maps.Keys(sections)) {
		r := sectionReader{b, section, sections[section]}
		sectionType, name, _ := strings.Cut(section, ".")
		allowedInSection, found := allowedKeys[sectionType]
		if !found || !isName(name) {
			r.addProblem("", "unknown section; allowed are [%s] with a name", strings.Join(slices.Sorted(maps.Keys(allowedKeys)), ".name], [")+".name")
			continue
		}
		for _, key := range slices.Sorted(maps.Keys(r.values)) {
			if !slices.Contains(allowedInSection, key) {
				r.addProblem(key, "unknown key; allowed are %s", strings.Join(allowedInSection, ", "))
			} else if !isPlainValue(r.values[key]) {
				r.addProblem(key, "%s", valueRequirement)
			}
		}
		b.addSection(r, sectionType, name)
	}
	b.checkConsistency()
	return b.inventory, b.problems
}

// addSection parses the section that r reads and adds the result to the inventory under name.
func (b *builder) addSection(r sectionReader, sectionType, name string) {
	switch sectionType {
	case "vm":
		b.inventory.VMs[name] = VM{
			Name: name, DataCentre: r.requiredValue("data-centre"), Rack: r.requiredValue("rack"), Capacity: r.amount("processors", "memory"),
			Slots: r.integer("slots", 0, 1e6), Connections: r.integer("connections", 0, 1e6), Services: r.list("services"),
		}
	case "service":
		b.inventory.Services[name] = Service{name, r.urgency(), r.share(), r.duration("target-latency")}
	case "team":
		limitedResources := map[string]bool{}
		for key := range r.values {
			limitedResources[key] = true
		}
		if len(limitedResources) == 0 {
			r.addProblem("", "at least one of processors, memory and accelerators is required")
		}
		b.inventory.Teams[name] = Team{name, r.amount(), limitedResources}
	case "kind":
		b.inventory.Kinds[name] = Kind{name, r.amount(), r.duration("run-time"), r.integer("attempts", 1, 100)}
	case "rule":
		b.inventory.Rules[name] = r.rule(name)
	}
}

// checkConsistency adds a problem for each reference to an unknown service or kind, for each VM that has services but no slots or
// connections, and if the shares of all services together exceed 100%.
func (b *builder) checkConsistency() {
	for _, name := range slices.Sorted(maps.Keys(b.inventory.VMs)) {
		r := sectionReader{builder: b, section: "vm." + name}
		vm := b.inventory.VMs[name]
		for _, service := range vm.Services {
			if _, found := b.inventory.Services[service]; !found {
				r.addProblem("services", "unknown service %q; it needs a section [service.%s]", service, service)
			}
		}
		if len(vm.Services) > 0 && (vm.Slots == 0 || vm.Connections == 0) {
			r.addProblem("", "a VM with services needs slots and connections of 1 or more")
		}
	}
	for _, name := range slices.Sorted(maps.Keys(b.inventory.Rules)) {
		for _, kindOrService := range b.inventory.Rules[name].KindsAndServices {
			_, isKind := b.inventory.Kinds[kindOrService]
			if _, isService := b.inventory.Services[kindOrService]; !isKind && !isService {
				sectionReader{builder: b, section: "rule." + name}.addProblem("kinds", "unknown kind or service %q", kindOrService)
			}
		}
	}
	b.checkShares()
}

// checkShares sums the shares of the services in the order of their names. It adds a problem for each service with which the sum
// exceeds 100%.
func (b *builder) checkShares() {
	shareSum := 0.0
	for _, name := range slices.Sorted(maps.Keys(b.inventory.Services)) {
		share := b.inventory.Services[name].Share
		// The tolerance of 1e-9 accepts decimal shares that add up to 100%. Their sum as floating-point numbers may be slightly
		// larger because of rounding.
		if shareSum+share > 1+1e-9 {
			sectionReader{builder: b, section: "service." + name}.addProblem("share", "shares add up to %.4g%% here; at most 100%% are allowed", 100*(shareSum+share))
		}
		shareSum += share
	}
}

func (r sectionReader) addProblem(key, format string, arguments ...any) {
	r.builder.problems = append(r.builder.problems, Problem{Section: r.section, Key: key, Message: fmt.Sprintf(format, arguments...)})
}

func (r sectionReader) requiredValue(key string) string {
	value := r.values[key]
	if value == "" {
		r.addProblem(key, "a value is required")
	}
	return value
}

// list parses a list of values that are separated by commas. It leaves out empty values and adds a problem for a repeated one.
func (r sectionReader) list(key string) []string {
	var items []string
	for item := range strings.SplitSeq(r.values[key], ",") {
		item = strings.TrimSpace(item)
		if item == "" {
			continue
		}
		if slices.Contains(items, item) {
			r.addProblem(key, "%q is listed twice", item)
			continue
		}
		items = append(items, item)
	}
	return items
}

func (r sectionReader) integer(key string, lowest, highest int) int {
	text, found := r.values[key]
	if !found {
		return 0
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < lowest || n > highest {
		r.addProblem(key, "%q must be a whole number from %d to %d", text, lowest, highest)
		return 0
	}
	return n
}

// amount parses the keys processors, memory and accelerators. It adds a problem for each of requiredKeys that is missing.
func (r sectionReader) amount(requiredKeys ...string) resource.Amount {
	for _, key := range requiredKeys {
		r.requiredValue(key)
	}
	var a resource.Amount
	if text := r.values["processors"]; text != "" {
		n, err := strconv.ParseFloat(text, 64)
		if err != nil || !(n >= 0 && n <= 1e6) {
			r.addProblem("processors", "%q must be a number of processors from 0 to 1000000, such as 64 or 0.5", text)
		} else {
			a.MilliProcessors = int64(n*1000 + 0.5)
		}
	}
	if text := r.values["memory"]; text != "" {
		a.MemoryBytes = r.bytes("memory", text)
	}
	a.Accelerators = int64(r.integer("accelerators", 0, 1e6))
	return a
}

// bytes parses a size, such as 250GB, and returns it in bytes. It accepts decimal units, because asset registers use them, and
// binary units, because the settings of programs use them.
func (r sectionReader) bytes(key, text string) int64 {
	for unit, unitBytes := range map[string]float64{"MB": 1e6, "GB": 1e9, "TB": 1e12, "MiB": 1 << 20, "GiB": 1 << 30, "TiB": 1 << 40} {
		numberText, found := strings.CutSuffix(text, unit)
		if !found {
			continue
		}
		if n, err := strconv.ParseFloat(strings.TrimSpace(numberText), 64); err == nil && n >= 0 && n <= 1e6 {
			return int64(n * unitBytes)
		}
	}
	r.addProblem(key, "%q must be a size such as 250GB, 512MiB or 1.5TiB", text)
	return 0
}

func (r sectionReader) duration(key string) time.Duration {
	text, found := r.values[key]
	if !found {
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		r.addProblem(key, "%q must be a positive duration such as 90s, 20m or 1h30m", text)
		return 0
	}
	return d
}

func (r sectionReader) urgency() string {
	value := r.requiredValue("urgency")
	if value != "" && value != UrgencyUrgent && value != UrgencyStandard && value != UrgencyDeferrable {
		r.addProblem("urgency", "%q must be urgent, standard or deferrable", value)
	}
	return value
}

// share parses the percentage in the key share and returns it as a number from 0 to 1.
func (r sectionReader) share() float64 {
	text := r.values["share"]
	if text == "" {
		return 0
	}
	numberText, found := strings.CutSuffix(text, "%")
	n, err := strconv.ParseFloat(strings.TrimSpace(numberText), 64)
	if err != nil || !found || !(n >= 0 && n <= 100) {
		r.addProblem("share", "%q must be a percentage from 0%% to 100%%, such as 40%%", text)
		return 0
	}
	return n / 100
}
