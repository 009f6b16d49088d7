package owner

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"bamboohook/attributor"
	"bamboohook/estimator"
	"bamboohook/governor"
	"bamboohook/internal/inventory"
	"bamboohook/internal/message"
	"bamboohook/placer"
	"bamboohook/resource"
	"bamboohook/scheduler"
	"bamboohook/sequencer"
	"bamboohook/task"
)

const (
	// defaultRunTime and defaultSize apply while the configuration has no kinds.
	defaultRunTime = time.Minute
	// maxNamed bounds the names listed in a refusal.
	maxListedNames = 20
)

// defaultSize is one processor and 1 GiB.
var defaultSize = resource.Amount{MilliProcessors: 1000, MemoryBytes: 1 << 30}

type (
	// policies are the decision packages, used with the owner's mutex.
	policies struct {
		configuration *inventory.Inventory
		sequencer     *sequencer.Sequencer
		// others holds the tasks of shards of other entries that have not started; limit and first belong to yield.
		others     *sequencer.Sequencer
		minScore   float64
		firstSince map[string]time.Time
		placer     *placer.Placer
		estimator  *estimator.Estimator
		attributor *attributor.Attributor
		governor   *governor.Governor
		// capacities are the different capacities of the VMs, declared or announced.
		capacities map[resource.Amount]bool
		// used is what the running attempts of all shards use, by task.
		usages map[string]*usage
		// failedAt are the VMs at which a task has failed, failures how often it has, and delayed the tasks that wait
		// for the time of their retry.
		failedVMs      map[string][]string
		failureCounts  map[string]int
		delayedRetries []delayedRetry
		// parking are the jobs to be parked, with the reason; the owner of the shard records it.
		pendingParks map[string]pendingPark
		// quarantined is since when each VM is.
		quarantinedSince map[string]time.Time
		// lowest is the lowest latency of each service, against which slowdowns are measured.
		baselines map[string]baseline
	}

	// lowest is the lowest latency of a service, and when it was last raised.
	baseline struct {
		latency  time.Duration
		raisedAt time.Time
	}

	delayedRetry struct {
		id task.Identity
		at time.Time
	}

	// usage is what an attempt uses. Size is what it counts for its team, peak the highest that was reported.
	usage struct {
		team, kind string
		size, peak resource.Amount
		declared   estimator.Demand
		startedAt  time.Time
		throttled  bool
		// resumed marks an attempt whose run time is not that of a complete task.
		resumed bool
	}

	// logClock tells the log service's time, in which submissions are stamped.
	logClock struct{ owner *Owner }
)

// Now returns the time of the log as far as it is known, otherwise the own time.
func (c logClock) Now() time.Time {
	now := c.owner.Clock.Now()
	if at := c.owner.estimatedLogTime(now); !at.IsZero() {
		return at
	}
	return now
}

// Configure puts the operator's configuration into effect: rules, quotas, defaults, capacities and targets.
func (o *Owner) Configure(configuration *inventory.Inventory) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.ensureInitialized()
	o.policies.configuration = configuration
	o.applyConfiguration()
}

func newPolicies(o *Owner) *policies {
	p := &policies{
		configuration: &inventory.Inventory{}, capacities: map[resource.Amount]bool{}, usages: map[string]*usage{}, failedVMs: map[string][]string{}, failureCounts: map[string]int{},
		pendingParks: map[string]pendingPark{}, quarantinedSince: map[string]time.Time{}, baselines: map[string]baseline{},
	}
	p.sequencer = sequencer.New(sequencer.Options{Clock: logClock{o}})
	p.others = sequencer.New(sequencer.Options{Clock: logClock{o}})
	p.estimator = estimator.New(estimator.Options{Clock: o.Clock})
	p.placer = placer.New(placer.Options{Interference: p.estimator, MaxChoices: vmsPerAttempt + 1})
	p.attributor = attributor.New(attributor.Options{Clock: o.Clock})
	p.governor = governor.New(governor.Options{Clock: o.Clock})
	return p
}

// configure derives what depends on the configuration and on the VMs that were announced.
func (o *Owner) applyConfiguration() {
	p := o.policies
	total := resource.Amount{}
	clear(p.capacities)
	for _, v := range p.configuration.VMs {
		total = total.Add(v.Capacity)
		p.capacities[v.Capacity] = true
	}
	for _, v := range o.vmsByName {
		p.capacities[v.Capacity] = true
		if len(p.configuration.VMs) == 0 {
			total = total.Add(v.Capacity)
		}
	}
	quotas := make(map[string]float64, len(p.configuration.Teams))
	for name, t := range p.configuration.Teams {
		quotas[name] = quotaShare(t, total)
	}
	p.sequencer.Configure(sequencerRules(p.configuration.Rules), quotas, total)
	p.others.Configure(sequencerRules(p.configuration.Rules), quotas, total)
}

// quota returns the share of the capacity that the team may use: that of its scarcest limited dimension, because the
// sequencer compares it with the largest share that the team uses in any dimension.
func quotaShare(t inventory.Team, total resource.Amount) float64 {
	share := 1.0
	for name, d := range map[string][2]int64{
		"processors": {t.Quota.MilliProcessors, total.MilliProcessors}, "memory": {t.Quota.MemoryBytes, total.MemoryBytes},
		"accelerators": {t.Quota.Accelerators, total.Accelerators},
	} {
		if t.Limited[name] && d[1] > 0 {
			share = min(share, float64(d[0])/float64(d[1]))
		}
	}
	return share
}

// rules returns the rules in the order in which they apply: of several that are active, the most important one.
func sequencerRules(declared map[string]inventory.Rule) []sequencer.Rule {
	sorted := slices.SortedFunc(maps.Values(declared), func(a, b inventory.Rule) int {
		return cmp.Or(cmp.Compare(b.Importance, a.Importance), strings.Compare(a.Name, b.Name))
	})
	var converted []sequencer.Rule
	for _, r := range sorted {
		for _, kind := range r.Kinds {
			converted = append(converted, sequencer.Rule{
				Kind: kind, Importance: r.Importance, Days: r.Days, From: r.Begin, To: r.End, Since: r.From, Until: r.Until,
				Location: time.FixedZone("", int(r.UTCOffset/time.Second)),
			})
		}
	}
	return converted
}

// complete fills what the request does not declare from its kind, and returns why the job is refused, if it is.
func (o *Owner) applyDefaults(r *message.JobRequest) (retries int, refusal string) {
	configuration := o.policies.configuration
	if _, ok := configuration.Teams[r.Team]; !ok && len(configuration.Teams) > 0 {
		return 0, fmt.Sprintf("owner: unknown team %q; allowed are %s", r.Team, joinNames(configuration.Teams))
	}
	kind, ok := configuration.Kinds[r.Kind]
	if !ok && len(configuration.Kinds) > 0 {
		return 0, fmt.Sprintf("owner: unknown kind %q; allowed are %s", r.Kind, joinNames(configuration.Kinds))
	}
	if !ok {
		kind.RunTime = defaultRunTime
		if r.Size == (resource.Amount{}) {
			kind.Size = defaultSize
		}
	}
	r.Size = resource.Amount{
		MilliProcessors: cmp.Or(r.Size.MilliProcessors, kind.Size.MilliProcessors),
		MemoryBytes:     cmp.Or(r.Size.MemoryBytes, kind.Size.MemoryBytes),
		Accelerators:    cmp.Or(r.Size.Accelerators, kind.Size.Accelerators),
	}
	r.RunTime = cmp.Or(r.RunTime, kind.RunTime)
	switch {
	case r.Size == (resource.Amount{}):
		return 0, fmt.Sprintf("owner: kind %q has no default size; processors, memory or accelerators must be declared", r.Kind)
	case r.RunTime == 0:
		return 0, fmt.Sprintf("owner: kind %q has no default run time; it must be declared", r.Kind)
	case len(o.policies.capacities) > 0 && !o.policies.fitsAnyVM(r.Size):
		return 0, fmt.Sprintf("owner: a task of %s fits no VM; the capacities are %s", r.Size, o.policies.listCapacities())
	case kind.Attempts > 0:
		return kind.Attempts - 1, ""
	}
	return o.DefaultRetries, ""
}

func joinNames[V any](allowed map[string]V) string {
	sorted := slices.Sorted(maps.Keys(allowed))
	if len(sorted) > maxListedNames {
		return fmt.Sprintf("%s and %d more", strings.Join(sorted[:maxListedNames], ", "), len(sorted)-maxListedNames)
	}
	return strings.Join(sorted, ", ")
}

func (p *policies) listCapacities() string {
	var texts []string
	for c := range p.capacities {
		texts = append(texts, "("+c.String()+")")
	}
	slices.Sort(texts)
	return strings.Join(texts[:min(len(texts), maxListedNames)], ", ")
}

// fitsSome reports whether a VM is large enough, whether or not it is heard from.
func (p *policies) fitsAnyVM(size resource.Amount) bool {
	for c := range p.capacities {
		if size.Fits(c) {
			return true
		}
	}
	return false
}

// correct returns the task with the size and run time expected of it. A correction that fits no VM is not used, because
// the task would never start.
func (p *policies) withExpectedDemand(t scheduler.Task) scheduler.Task {
	demand := p.estimator.Correct(t.Kind, estimator.Demand{Size: t.DeclaredSize, RunTime: t.RunTime})
	if p.fitsAnyVM(demand.Size) {
		t.Size = demand.Size
	}
	t.RunTime = demand.RunTime
	return t
}

// index tells the placer what is known of the VM.
func (o *Owner) updatePlacer(v *VM) {
	state := placer.Up
	switch {
	case v.draining:
		state = placer.Draining
	case v.silent:
		state = placer.Suspect
	case o.policies.attributor.Quarantined(v.Name):
		state = placer.Quarantined
	}
	o.policies.placer.Set(placer.VM{Name: v.Name, Capacity: v.Capacity, Free: v.Free, State: state})
}

// note reports a change of state to the entry.
func (o *Owner) emitEvent(kind, subject string, details map[string]string) {
	if o.OnEvent != nil {
		o.OnEvent(kind, subject, details)
	}
}
