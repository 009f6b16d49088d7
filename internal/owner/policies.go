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
	// defaultRunTime and defaultSize apply as long as no kinds are configured.
	defaultRunTime = time.Minute
	// maxListedNames bounds the names listed in a refusal.
	maxListedNames = 20
)

var defaultSize = resource.Amount{MilliProcessors: 1000, MemoryBytes: 1 << 30}

type (
	// policies holds the packages that make scheduling decisions, and their inputs. It is used with the owner's mutex
	// held.
	policies struct {
		configuration *inventory.Inventory
		sequencer     *sequencer.Sequencer
		// others holds the tasks of other entries' shards that were not seen running. updateMinScore maintains
		// minScore and firstSince.
		foreignTasks *sequencer.Sequencer
		minScore     float64
		firstSince   map[string]time.Time
		placer       *placer.Placer
		estimator    *estimator.Estimator
		attributor   *attributor.Attributor
		governor     *governor.Governor
		// capacities is the set of capacities of all VMs, both configured and reported.
		capacities map[resource.Amount]bool
		// usages holds what the running attempts of all shards use, by task.
		usages map[string]*usage
		// failedVMs are the VMs on which a task has failed, failureCounts is how often it has failed, and
		// delayedRetries holds the tasks whose retry delay is not over.
		failedVMs      map[string][]string
		failureCounts  map[string]int
		delayedRetries []delayedRetry
		// pendingParks are the jobs to be parked, with the reason. The owner of the job's shard records it.
		pendingParks map[string]pendingPark
		// quarantinedSince is when each quarantined VM was quarantined.
		quarantinedSince map[string]time.Time
		// baselines holds the lowest latency of each service, against which slowdowns are measured.
		baselines map[string]baseline
	}

	// baseline is the lowest latency of a service, and when the value was last changed.
	baseline struct {
		latency   time.Duration
		updatedAt time.Time
	}

	delayedRetry struct {
		id task.Identity
		at time.Time
	}

	// usage is what an attempt uses. size counts for the team's quota, and peak is the highest reported usage.
	usage struct {
		team, kind string
		size, peak resource.Amount
		declared   estimator.Demand
		startedAt  time.Time
		throttled  bool
		// resumed is true if the run time of the attempt is not that of a whole task.
		runTimeUnknown bool
	}

	// logClock returns the time of the log service, which also stamps submissions.
	logClock struct{ owner *Owner }
)

// Now returns the estimated log time, or the time of this entry's clock before any record was received.
func (c logClock) Now() time.Time {
	now := c.owner.Clock.Now()
	if at := c.owner.estimatedLogTime(now); !at.IsZero() {
		return at
	}
	return now
}

// Configure applies the operator's configuration: rules, quotas, defaults, capacities and latency targets.
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
	p.foreignTasks = sequencer.New(sequencer.Options{Clock: logClock{o}})
	p.estimator = estimator.New(estimator.Options{Clock: o.Clock})
	p.placer = placer.New(placer.Options{Interference: p.estimator, MaxChoices: vmsPerAttempt + 1})
	p.attributor = attributor.New(attributor.Options{Clock: o.Clock})
	p.governor = governor.New(governor.Options{Clock: o.Clock})
	return p
}

// applyConfiguration updates what depends on the configuration and on the reported VMs.
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
	p.foreignTasks.Configure(sequencerRules(p.configuration.Rules), quotas, total)
}

// quotaShare returns the share of the total capacity that the team may use. It is that of the most limited dimension,
// because the sequencer compares it with the largest share that the team uses in any dimension.
func quotaShare(t inventory.Team, total resource.Amount) float64 {
	share := 1.0
	for name, amounts := range map[string][2]int64{
		"processors": {t.Quota.MilliProcessors, total.MilliProcessors}, "memory": {t.Quota.MemoryBytes, total.MemoryBytes},
		"accelerators": {t.Quota.Accelerators, total.Accelerators},
	} {
		if t.LimitedResources[name] && amounts[1] > 0 {
			share = min(share, float64(amounts[0])/float64(amounts[1]))
		}
	}
	return share
}

// sequencerRules converts the rules and sorts them so that the most important of several active rules comes first.
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

// applyDefaults fills in what the request does not declare from the defaults of its kind. If the job must be refused,
// refusal says why.
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

// fitsAnyVM reports whether any VM is large enough, whether or not it is responsive.
func (p *policies) fitsAnyVM(size resource.Amount) bool {
	for c := range p.capacities {
		if size.Fits(c) {
			return true
		}
	}
	return false
}

// withExpectedDemand returns the task with its expected size and run time. An expected size that fits no VM is not
// used, because the task would never start.
func (p *policies) withExpectedDemand(t scheduler.Task) scheduler.Task {
	demand := p.estimator.Correct(t.Kind, estimator.Demand{Size: t.DeclaredSize, RunTime: t.RunTime})
	if p.fitsAnyVM(demand.Size) {
		t.Size = demand.Size
	}
	t.RunTime = demand.RunTime
	return t
}

// updatePlacer passes the state of the VM to the placer.
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

// emitEvent reports an event to OnEvent.
func (o *Owner) emitEvent(kind, subject string, details map[string]string) {
	if o.OnEvent != nil {
		o.OnEvent(kind, subject, details)
	}
}
