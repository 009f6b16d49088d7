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
	// defaultRunTime is the run time of a task whose job declares none. Like defaultSize, it applies only while the
	// operator has configured no kinds of jobs.
	defaultRunTime = time.Minute
	// maxListedNames is the maximum number of allowed values that the text of a refused request lists.
	maxListedNames = 20
)

// defaultSize is the size of a task whose job declares none, while the operator has configured no kinds of jobs. It is
// one processor and 1 GiB of memory.
var defaultSize = resource.Amount{MilliProcessors: 1000, MemoryBytes: 1 << 30}

type (
	// policies holds the sequencer, placer, estimator, attributor and governor, which decide about scheduling, and the
	// data that they need. It is used with the mutex of the owner held.
	policies struct {
		configuration *inventory.Inventory
		sequencer     *sequencer.Sequencer
		// foreignTasks orders the waiting tasks of the shards of other entries by the score of the sequencer. While an
		// unstarted task of this entry has a score below minScore, it is not started, unless resources are reserved for
		// it, so that a more important task in foreignTasks can use the free resources. firstSince is when a task
		// became the first in foreignTasks that is not passed over, by task. A task is passed over once it has been
		// first for longer than maxYieldDuration. firstSince holds the passed-over tasks and the current first one.
		foreignTasks *sequencer.Sequencer
		minScore     float64
		firstSince   map[string]time.Time
		placer       *placer.Placer
		estimator    *estimator.Estimator
		attributor   *attributor.Attributor
		governor     *governor.Governor
		// capacities is the set of the capacities of all VMs, both of the configured ones and of those that sent
		// heartbeats.
		capacities map[resource.Amount]bool
		// usages holds the resource usage of the running attempts of all shards, by task.
		usages map[string]*usage
		// failedVMs holds the names of the VMs on which attempts of a task have failed, and failureCounts the number of
		// its failures, both by task. delayedRetries holds the failed tasks whose retry delay has not passed yet.
		failedVMs      map[string][]string
		failureCounts  map[string]int
		delayedRetries []delayedRetry
		// pendingParks holds the decisions to park jobs, whichever entries own their shards, by job. The owner of the
		// shard of a job appends the record that parks it.
		pendingParks map[string]pendingPark
		// quarantinedSince is when each quarantined VM was quarantined, by VM name.
		quarantinedSince map[string]time.Time
		// baselines holds the baseline of each service, by service. The measured latencies of the service are compared
		// with it.
		baselines map[string]baseline
	}

	// baseline is the lowest latency of a service, which is raised slowly while no lower one is measured. updatedAt is
	// when it was last changed.
	baseline struct {
		latency   time.Duration
		updatedAt time.Time
	}

	// delayedRetry is a failed task that is added to the sequencer again at retryAt.
	delayedRetry struct {
		id      task.Identity
		retryAt time.Time
	}

	// usage is the resource usage of a running attempt. size counts against the quota of its team. peak is the highest
	// usage that was reported so far. declared is the demand that its job declares.
	usage struct {
		team, kind string
		size, peak resource.Amount
		declared   estimator.Demand
		startedAt  time.Time
		throttled  bool
		// runTimeUnknown is true if the attempt resumed from a checkpoint, or had already made progress when this entry
		// first saw it. The time since startedAt then tells nothing about the run time of the task.
		runTimeUnknown bool
	}

	// logClock is the clock of the log service, as this entry estimates it. The sequencers use it, because the
	// submission times of jobs are also times of the log service.
	logClock struct{ owner *Owner }
)

// Now returns the estimated time of the log service. Before the first record was received, it returns the time of this
// entry's own clock.
func (c logClock) Now() time.Time {
	now := c.owner.Clock.Now()
	if at := c.owner.estimatedLogTime(now); !at.IsZero() {
		return at
	}
	return now
}

// Configure applies the configuration that the operator has made: rules, quotas, defaults of kinds, capacities and
// target latencies.
func (o *Owner) Configure(configuration *inventory.Inventory) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.ensureInitialized()
	o.policies.configuration = configuration
	o.applyConfiguration()
}

// newPolicies returns the policies of the owner, without a configuration.
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

// applyConfiguration updates the set of capacities, and passes the rules, quotas and total capacity to the sequencers.
// It is called when the configuration or the capacity of a VM has changed.
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
	for name, team := range p.configuration.Teams {
		quotas[name] = quotaShare(team, total)
	}
	p.sequencer.Configure(sequencerRules(p.configuration.Rules), quotas, total)
	p.foreignTasks.Configure(sequencerRules(p.configuration.Rules), quotas, total)
}

// quotaShare returns the share of the total capacity that the team may use. If several resources are limited, it is
// the smallest of their shares, because the sequencer compares it with the largest share that the team uses of any
// resource.
func quotaShare(team inventory.Team, total resource.Amount) float64 {
	share := 1.0
	for name, amounts := range map[string][2]int64{
		"processors": {team.Quota.MilliProcessors, total.MilliProcessors}, "memory": {team.Quota.MemoryBytes, total.MemoryBytes},
		"accelerators": {team.Quota.Accelerators, total.Accelerators},
	} {
		if team.LimitedResources[name] && amounts[1] > 0 {
			share = min(share, float64(amounts[0])/float64(amounts[1]))
		}
	}
	return share
}

// sequencerRules converts the configured rules to rules of the sequencer. The most important rule comes first, because
// the sequencer uses the first active rule of a kind.
func sequencerRules(declared map[string]inventory.Rule) []sequencer.Rule {
	sorted := slices.SortedFunc(maps.Values(declared), func(a, b inventory.Rule) int {
		return cmp.Or(cmp.Compare(b.Importance, a.Importance), strings.Compare(a.Name, b.Name))
	})
	var converted []sequencer.Rule
	for _, r := range sorted {
		for _, kind := range r.KindsAndServices {
			converted = append(converted, sequencer.Rule{
				Kind: kind, Importance: r.Importance, Days: r.Days, From: r.Begin, To: r.End, Since: r.From, Until: r.Until,
				Location: time.FixedZone("", int(r.UTCOffset/time.Second)),
			})
		}
	}
	return converted
}

// applyDefaults sets the size and run time that the request does not declare to the defaults of its kind. retries is
// how many times a failed task is started again. If the job must be refused, refusal tells why.
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

// joinNames returns the sorted names as text. It lists at most maxListedNames of them and the number of the others.
func joinNames[V any](allowed map[string]V) string {
	sorted := slices.Sorted(maps.Keys(allowed))
	if len(sorted) > maxListedNames {
		return fmt.Sprintf("%s and %d more", strings.Join(sorted[:maxListedNames], ", "), len(sorted)-maxListedNames)
	}
	return strings.Join(sorted, ", ")
}

// listCapacities returns the capacities as text, at most maxListedNames of them.
func (p *policies) listCapacities() string {
	var texts []string
	for c := range p.capacities {
		texts = append(texts, "("+c.String()+")")
	}
	slices.Sort(texts)
	return strings.Join(texts[:min(len(texts), maxListedNames)], ", ")
}

// fitsAnyVM reports whether any VM has the capacity for a task of this size, even if the VM is silent.
func (p *policies) fitsAnyVM(size resource.Amount) bool {
	for c := range p.capacities {
		if size.Fits(c) {
			return true
		}
	}
	return false
}

// withExpectedDemand returns the task with the size and run time that the estimator expects. If the expected size fits
// on no VM, the declared size stays, because the task would never start otherwise.
func (p *policies) withExpectedDemand(t scheduler.Task) scheduler.Task {
	demand := p.estimator.Correct(t.Kind, estimator.Demand{Size: t.DeclaredSize, RunTime: t.RunTime})
	if p.fitsAnyVM(demand.Size) {
		t.Size = demand.Size
	}
	t.RunTime = demand.RunTime
	return t
}

// updatePlacer passes the capacity, the free resources and the state of the VM to the placer.
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

// emitEvent passes an event to OnEvent, unless OnEvent is nil.
func (o *Owner) emitEvent(kind, subject string, details map[string]string) {
	if o.OnEvent != nil {
		o.OnEvent(kind, subject, details)
	}
}
