// Package governor throttles and evicts batch tasks that slow latency-critical services down.
package governor

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Actions of a Decision.
const (
	Throttle Action = "throttle"
	Restore  Action = "restore"
	Evict    Action = "evict"
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
		// RestoreDelay is how long a VM has to meet its latency target before the share of a throttled
		// task is raised, by default 1 minute. If a violation follows a restore within that time, the
		// delay of the VM doubles, up to 16 times RestoreDelay.
		RestoreDelay time.Duration
		// MinShare is the smallest share of its processors that a task is throttled to, by default 0.25.
		MinShare float64
		// MaxViolatingShare is the share of VMs above their latency target beyond which no task is
		// evicted, by default 0.5. A slowdown of most VMs at once has a common cause that is not the
		// batch tasks on each of them.
		MaxViolatingShare float64
		// VMEvictionInterval is the minimum time between two evictions from one VM, by default 1 minute.
		VMEvictionInterval time.Duration
		// FleetEvictionsPerMinute limits the average rate of evictions in the fleet, by default 2.
		FleetEvictionsPerMinute float64
		// FleetEvictionBurst limits the number of evictions in the fleet at once, by default 4.
		FleetEvictionBurst float64
	}

	// Task is a batch task on the VM. Contribution is the estimated increase of the logarithm of
	// latency that the task causes at its full share. Share is the share of its processors that it
	// currently has, from 0 to 1.
	Task struct {
		ID           string  `json:"id"`
		Contribution float64 `json:"contribution"`
		Share        float64 `json:"share"`
	}

	// LatencyReport is the latency of the most affected service on a VM, measured Age ago.
	LatencyReport struct {
		VM      string        `json:"vm"`
		Latency time.Duration `json:"latency"`
		Target  time.Duration `json:"target"`
		Age     time.Duration `json:"age"`
		Tasks   []Task        `json:"tasks"`
	}

	// Decision is an action on one task. Share is the share of its processors that the task keeps. An
	// evicted task is checkpointed before it is stopped.
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
		violatingVMs   int
		evictionTokens float64
		refilledAt     time.Time
	}

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

// Observe processes a report and returns the decisions for the VM, in most cases none. A report that
// was measured before the last decision for the VM is ignored, because it may show a violation that
// the decision already addresses.
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
		return g.throttleOrEvict(h, report, now, wasViolating)
	}
	if h.compliantSince.IsZero() {
		h.compliantSince = measuredAt
	}
	return g.restore(h, report, now)
}

// Remove deletes the history of the VM.
func (g *Governor) Remove(vm string) {
	if h, ok := g.vms[vm]; ok {
		g.setViolating(h, false)
		delete(g.vms, vm)
	}
}

func (g *Governor) setViolating(h *vmHistory, violating bool) {
	switch {
	case violating && !h.violating:
		g.violatingVMs++
	case !violating && h.violating:
		g.violatingVMs--
	}
	h.violating = violating
}

// throttleOrEvict throttles the tasks with the largest contributions as far as their estimates say is
// needed to meet the target. It evicts a task only if no task can be throttled further.
func (g *Governor) throttleOrEvict(h *vmHistory, report LatencyReport, now time.Time, wasViolating bool) []Decision {
	if !h.restoredAt.IsZero() && now.Sub(h.restoredAt) <= g.restoreDelay(h)+report.Age {
		h.restoreDelayFactor = min(2*h.restoreDelayFactor, 16)
	}
	h.restoredAt = time.Time{}
	contributing := contributors(report.Tasks)
	excessLogLatency := math.Log(float64(report.Latency) / float64(report.Target))
	needed, totalContribution := excessLogLatency, 0.0
	var decisions []Decision
	for _, t := range contributing {
		totalContribution += t.Contribution * t.Share
		if needed > 0 && t.Share > g.options.MinShare {
			share := max(g.options.MinShare, t.Share-max(needed/t.Contribution, t.Share/2))
			needed -= t.Contribution * (t.Share - share)
			decisions = append(decisions, Decision{report.VM, t.ID, Throttle, share, "latency-above-target"})
		}
	}
	// A violation larger than all contributions together has another cause, and an eviction cannot end
	// it. After the first violation no task is evicted, because most VMs may be slowed down at once and
	// the others may not have reported yet.
	if len(decisions) == 0 && wasViolating && len(contributing) > 0 && excessLogLatency <= totalContribution {
		decisions = g.evict(h, report.VM, contributing[0], now)
	}
	if len(decisions) > 0 {
		h.decidedAt = now
	}
	return decisions
}

// evict evicts the task if the budgets of the VM and of the fleet allow it, so that noise on many VMs
// at once does not cause as many evictions.
func (g *Governor) evict(h *vmHistory, vm string, t Task, now time.Time) []Decision {
	if float64(g.violatingVMs) > g.options.MaxViolatingShare*float64(len(g.vms)) && len(g.vms) > 2 {
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

// restore doubles the share of the throttled task with the smallest contribution, once the VM has met
// its target for the restore delay.
func (g *Governor) restore(h *vmHistory, report LatencyReport, now time.Time) []Decision {
	since := h.compliantSince
	if h.restoredAt.After(since) {
		since = h.restoredAt
	}
	if h.measuredAt.Sub(since) < g.restoreDelay(h) {
		return nil
	}
	var smallest *Task
	for i, t := range report.Tasks {
		if t.Share < 1 && (smallest == nil || t.Contribution < smallest.Contribution) {
			smallest = &report.Tasks[i]
		}
	}
	if smallest == nil {
		h.restoreDelayFactor = 1
		return nil
	}
	h.restoredAt, h.decidedAt = now, now
	return []Decision{{report.VM, smallest.ID, Restore, min(1, 2*smallest.Share), "calm"}}
}

// contributors returns the tasks that increase latency, sorted by decreasing contribution at their
// current share.
func contributors(tasks []Task) []Task {
	var contributing []Task
	for _, t := range tasks {
		if t.Contribution > 0 {
			contributing = append(contributing, t)
		}
	}
	slices.SortStableFunc(contributing, func(a, b Task) int { return cmp.Compare(b.Contribution*b.Share, a.Contribution*a.Share) })
	return contributing
}

func (g *Governor) restoreDelay(h *vmHistory) time.Duration {
	return time.Duration(h.restoreDelayFactor) * g.options.RestoreDelay
}

func (g *Governor) findOrAddHistory(vm string) *vmHistory {
	h, ok := g.vms[vm]
	if !ok {
		h = &vmHistory{restoreDelayFactor: 1}
		g.vms[vm] = h
	}
	return h
}
