// Package governor throttles batch tasks that slow latency-critical services on the same VM down, evicts
// them if throttling is not enough, and restores their processor shares afterwards.
package governor

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Actions of a Decision.
const (
	// Throttle lowers the share of its processors that a task may use.
	Throttle Action = "throttle"
	// Restore raises that share.
	Restore Action = "restore"
	// Evict makes a checkpoint of the task and then stops it.
	Evict Action = "evict"
)

type (
	// Clock returns the current time.
	Clock interface {
		Now() time.Time
	}

	// Action is the kind of a Decision.
	Action string

	// Options configures a Governor. Zero fields take their defaults.
	Options struct {
		// Clock is the system clock by default.
		Clock Clock
		// RestoreDelay is the time for which a VM must have met its latency target before the share of
		// a throttled task is raised, by default 1 minute. If the VM exceeds its target within that
		// time after a restore, its delay doubles, up to 16 times RestoreDelay.
		RestoreDelay time.Duration
		// MinShare is the smallest share of its processors that a task is throttled to, by default 0.25.
		MinShare float64
		// MaxViolatingShare is a fraction of the VMs, by default 0.5. While more VMs than that exceed
		// their latency targets, no task is evicted: a slowdown of most VMs at once has a common
		// cause, not the batch tasks on each of them.
		MaxViolatingShare float64
		// VMEvictionInterval is the minimum time between two evictions from one VM, by default 1 minute.
		VMEvictionInterval time.Duration
		// FleetEvictionsPerMinute limits the average rate of evictions in the fleet, by default 2.
		FleetEvictionsPerMinute float64
		// FleetEvictionBurst limits the number of evictions in the fleet at once, by default 4.
		FleetEvictionBurst float64
	}

	// Task is a batch task on a VM. Contribution is the estimated increase of the logarithm of the
	// reported latency that the task causes if it uses all its processors. Share is the fraction of
	// its processors that the task may currently use, from 0 to 1.
	Task struct {
		ID           string  `json:"id"`
		Contribution float64 `json:"contribution"`
		Share        float64 `json:"share"`
	}

	// LatencyReport is the latency of the service on a VM that exceeds its target most, or comes
	// closest to it, with that target. It was measured Age ago. Tasks are the batch tasks on the VM.
	LatencyReport struct {
		VM      string        `json:"vm"`
		Latency time.Duration `json:"latency"`
		Target  time.Duration `json:"target"`
		Age     time.Duration `json:"age"`
		Tasks   []Task        `json:"tasks"`
	}

	// Decision is an action on one task. Share is the fraction of its processors that the task may use
	// from then on. The caller carries the decision out.
	Decision struct {
		VM     string  `json:"vm"`
		Task   string  `json:"task"`
		Action Action  `json:"action"`
		Share  float64 `json:"share"`
		Reason string  `json:"reason"`
	}

	// Governor holds the recent history of each VM and the eviction budget of the fleet. It is not
	// safe for concurrent use.
	Governor struct {
		options Options
		vms     map[string]*vmHistory
		// violatingVMs is the number of VMs whose last report was above the latency target.
		violatingVMCount int
		// evictionTokens is the eviction budget of the fleet as of refilledAt. Each eviction takes one
		// token. Tokens are added at the rate FleetEvictionsPerMinute, up to FleetEvictionBurst.
		evictionTokens float64
		refilledAt     time.Time
	}

	// vmHistory holds the times of the last measurement, decision, eviction and restore on a VM.
	// restoredAt is zero if the VM has exceeded its target since. compliantSince is when the VM started
	// to meet its target, or zero while it exceeds the target. restoreDelayFactor is the factor by
	// which Options.RestoreDelay is multiplied for the VM.
	vmHistory struct {
		measuredAt         time.Time
		decidedAt          time.Time
		evictedAt          time.Time
		restoredAt         time.Time
		compliantSince     time.Time
		restoreDelayFactor int
		violating          bool
	}

	systemClock struct{}
)

func (systemClock) Now() time.Time { return time.Now() }

// New returns a Governor with a full eviction budget.
func New(options Options) *Governor {
	if options.Clock == nil {
		options.Clock = systemClock{}
	}
	options.RestoreDelay = cmp.Or(options.RestoreDelay, time.Minute)
	options.MinShare = cmp.Or(options.MinShare, 0.25)
	options.MaxViolatingShare = cmp.Or(options.MaxViolatingShare, 0.5)
	options.VMEvictionInterval = cmp.Or(options.VMEvictionInterval, time.Minute)
	options.FleetEvictionsPerMinute = cmp.Or(options.FleetEvictionsPerMinute, 2)
	options.FleetEvictionBurst = cmp.Or(options.FleetEvictionBurst, 4)
	return &Governor{options: options, vms: map[string]*vmHistory{}, evictionTokens: options.FleetEvictionBurst, refilledAt: options.Clock.Now()}
}

// Observe processes a report and returns the decisions for the VM, in most cases none. A report is
// ignored unless it was measured after the previous report of the VM and after the last decision for the
// VM. An older one may show a violation of the target that the decision already addresses.
func (g *Governor) Observe(report LatencyReport) []Decision {
	now := g.options.Clock.Now()
	h := g.findOrAddHistory(report.VM)
	measuredAt := now.Add(-report.Age)
	if !measuredAt.After(h.measuredAt) || !measuredAt.After(h.decidedAt) {
		return nil
	}
	h.measuredAt = measuredAt
	wasViolating := h.violating
	g.setViolating(h, report.Latency > report.Target)
	if h.violating {
		h.compliantSince = time.Time{}
		return g.decideThrottleOrEvict(h, report, now, wasViolating)
	}
	if h.compliantSince.IsZero() {
		h.compliantSince = measuredAt
	}
	return g.decideRestore(h, report, now)
}

// Remove deletes the history of the VM.
func (g *Governor) Remove(vm string) {
	if h, ok := g.vms[vm]; ok {
		g.setViolating(h, false)
		delete(g.vms, vm)
	}
}

// setViolating records whether the VM exceeds its target and updates the number of such VMs.
func (g *Governor) setViolating(h *vmHistory, violating bool) {
	switch {
	case violating && !h.violating:
		g.violatingVMCount++
	case !violating && h.violating:
		g.violatingVMCount--
	}
	h.violating = violating
}

// throttleOrEvict throttles the tasks with the largest contributions, as far as is needed to meet the
// target according to the contributions. A throttled task loses at least half of its share, but keeps at
// least Options.MinShare. A task is evicted only if no task can be throttled further.
func (g *Governor) decideThrottleOrEvict(h *vmHistory, report LatencyReport, now time.Time, wasViolating bool) []Decision {
	if !h.restoredAt.IsZero() && now.Sub(h.restoredAt) <= g.restoreDelay(h)+report.Age {
		h.restoreDelayFactor = min(2*h.restoreDelayFactor, 16)
	}
	h.restoredAt = time.Time{}
	contributingTasks := contributors(report.Tasks)
	excessLogLatency := math.Log(float64(report.Latency) / float64(report.Target))
	neededReduction, totalContribution := excessLogLatency, 0.0
	var decisions []Decision
	for _, t := range contributingTasks {
		totalContribution += t.Contribution * t.Share
		if neededReduction > 0 && t.Share > g.options.MinShare {
			share := max(g.options.MinShare, t.Share-max(neededReduction/t.Contribution, t.Share/2))
			neededReduction -= t.Contribution * (t.Share - share)
			decisions = append(decisions, Decision{report.VM, t.ID, Throttle, share, "latency-above-target"})
		}
	}
	// A violation that is larger than all contributions together has another cause, and an eviction
	// cannot end it. The first report of a violation does not lead to an eviction either: if most VMs are
	// slowed down at once, the reports of the other VMs may still be missing.
	if len(decisions) == 0 && wasViolating && len(contributingTasks) > 0 && excessLogLatency <= totalContribution {
		decisions = g.decideEviction(h, report.VM, contributingTasks[0], now)
	}
	if len(decisions) > 0 {
		h.decidedAt = now
	}
	return decisions
}

// evict returns the decision to evict the task. It returns none if more than Options.MaxViolatingShare of
// at least three VMs exceed their targets, if the last eviction from the VM was less than
// Options.VMEvictionInterval ago, or if the eviction budget of the fleet is used up. Without these
// limits, noisy measurements on many VMs would cause as many evictions.
func (g *Governor) decideEviction(h *vmHistory, vm string, t Task, now time.Time) []Decision {
	if float64(g.violatingVMCount) > g.options.MaxViolatingShare*float64(len(g.vms)) && len(g.vms) > 2 {
		return nil
	}
	if !h.evictedAt.IsZero() && now.Sub(h.evictedAt) < g.options.VMEvictionInterval {
		return nil
	}
	g.evictionTokens = min(g.options.FleetEvictionBurst, g.evictionTokens+g.options.FleetEvictionsPerMinute*now.Sub(g.refilledAt).Minutes())
	g.refilledAt = now
	if g.evictionTokens < 1 {
		return nil
	}
	g.evictionTokens--
	h.evictedAt = now
	return []Decision{{vm, t.ID, Evict, 0, "throttling-not-enough"}}
}

// restore doubles the share of the throttled task with the smallest contribution if the VM has met its
// target for the restore delay since the last restore. If no task is throttled any more, it resets the
// delay of the VM to Options.RestoreDelay.
func (g *Governor) decideRestore(h *vmHistory, report LatencyReport, now time.Time) []Decision {
	delayStart := h.compliantSince
	if h.restoredAt.After(delayStart) {
		delayStart = h.restoredAt
	}
	if h.measuredAt.Sub(delayStart) < g.restoreDelay(h) {
		return nil
	}
	var leastContributing *Task
	for i, t := range report.Tasks {
		if t.Share < 1 && (leastContributing == nil || t.Contribution < leastContributing.Contribution) {
			leastContributing = &report.Tasks[i]
		}
	}
	if leastContributing == nil {
		h.restoreDelayFactor = 1
		return nil
	}
	h.restoredAt, h.decidedAt = now, now
	return []Decision{{report.VM, leastContributing.ID, Restore, min(1, 2*leastContributing.Share), "calm"}}
}

// contributors returns the tasks with a positive contribution, sorted by decreasing contribution at their
// current shares.
func contributors(tasks []Task) []Task {
	var contributingTasks []Task
	for _, t := range tasks {
		if t.Contribution > 0 {
			contributingTasks = append(contributingTasks, t)
		}
	}
	slices.SortStableFunc(contributingTasks, func(a, b Task) int { return cmp.Compare(b.Contribution*b.Share, a.Contribution*a.Share) })
	return contributingTasks
}

// restoreDelay returns the restore delay that applies to the VM now.
func (g *Governor) restoreDelay(h *vmHistory) time.Duration {
	return time.Duration(h.restoreDelayFactor) * g.options.RestoreDelay
}

// findOrAddHistory returns the history of the VM, and adds an empty one for a new VM.
func (g *Governor) findOrAddHistory(vm string) *vmHistory {
	h, ok := g.vms[vm]
	if !ok {
		h = &vmHistory{restoreDelayFactor: 1}
		g.vms[vm] = h
	}
	return h
}
