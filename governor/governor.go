// Package governor decides which batch tasks to throttle because they slow down latency-critical services
// on the same VM, which to evict because throttling is not enough, and when to restore the processors of
// throttled tasks.
package governor

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Actions of a Decision.
const (
	// Throttle lowers the fraction of its processors that a task may use.
	Throttle Action = "throttle"
	// Restore raises the fraction of its processors that a throttled task may use.
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
		// RestoreDelay is the time for which a VM must have met its latency target before a throttled task
		// on it may use more processors again, by default 1 minute. If the VM exceeds the target within
		// this time after such a restore, the delay for the VM doubles, up to 16 times RestoreDelay.
		RestoreDelay time.Duration
		// MinShare is the smallest fraction of its processors to which a task is throttled, by default 0.25.
		MinShare float64
		// MaxViolatingShare is a fraction of the VMs, by default 0.5. While there are at least three VMs
		// and more than this fraction of them exceed their latency targets, no task is evicted: if most VMs
		// are slowed down at once, the cause is a common one rather than the batch tasks on each VM.
		MaxViolatingShare float64
		// VMEvictionInterval is the minimum time between two evictions from one VM, by default 1 minute.
		VMEvictionInterval time.Duration
		// FleetEvictionsPerMinute limits the average rate of evictions from all VMs together, by default 2.
		FleetEvictionsPerMinute float64
		// FleetEvictionBurst is how many tasks on all VMs together may be evicted at once after a time without
		// evictions, by default 4.
		FleetEvictionBurst float64
	}

	// Task is a batch task on a VM. Contribution estimates by how much the task increases the logarithm of
	// LatencyReport.Latency when it uses all its processors. Share is the fraction of its processors that
	// the task may use at present, from 0 to 1.
	Task struct {
		ID           string  `json:"id"`
		Contribution float64 `json:"contribution"`
		Share        float64 `json:"share"`
	}

	// LatencyReport reports on one service of a VM: the one whose latency is highest in relation to its
	// target. Latency is the latency of the service, measured Age ago, and Target is the highest latency
	// that the service should have. Tasks lists the batch tasks on the VM.
	LatencyReport struct {
		VM      string        `json:"vm"`
		Latency time.Duration `json:"latency"`
		Target  time.Duration `json:"target"`
		Age     time.Duration `json:"age"`
		Tasks   []Task        `json:"tasks"`
	}

	// Decision is an action that the caller should perform on one task. Share is the fraction of its
	// processors that the task may use after a Throttle or Restore. It is 0 for an Evict.
	Decision struct {
		VM     string  `json:"vm"`
		Task   string  `json:"task"`
		Action Action  `json:"action"`
		Share  float64 `json:"share"`
		Reason string  `json:"reason"`
	}

	// Governor decides on throttling, restores and evictions from the latency reports of all VMs (the
	// fleet). It is not safe for concurrent use.
	Governor struct {
		options Options
		vms     map[string]*vmHistory
		// violatingVMCount is the number of VMs whose last report showed a latency above the target.
		violatingVMCount int
		// evictionTokens is the number of tasks on all VMs together that may still be evicted, as of
		// refilledAt. Each eviction takes one token. Tokens are added at the rate FleetEvictionsPerMinute,
		// up to FleetEvictionBurst.
		evictionTokens float64
		refilledAt     time.Time
	}

	// vmHistory holds the times of the last measurement, decision, eviction and restore on a VM. restoredAt
	// is zero if the VM has exceeded its latency target since the last restore. compliantSince is when the
	// VM began to meet the target, or zero while it exceeds it. restoreDelayFactor is the factor by which
	// Options.RestoreDelay is multiplied for the VM. violating says whether the last report showed a
	// latency above the target.
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

// New returns a Governor that knows no VM and may evict Options.FleetEvictionBurst tasks at once.
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

// Observe processes a report and returns the decisions for the tasks of the VM, in most cases none. It
// ignores a report that was not measured after both the previous report and the last decision for the VM,
// because an older report may show a high latency to which that decision already reacts.
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

// setViolating records in h whether the VM exceeds its latency target, and updates violatingVMCount.
func (g *Governor) setViolating(h *vmHistory, violating bool) {
	switch {
	case violating && !h.violating:
		g.violatingVMCount++
	case !violating && h.violating:
		g.violatingVMCount--
	}
	h.violating = violating
}

// decideThrottleOrEvict returns the decisions for a VM that exceeds its latency target. It throttles
// tasks in the order of decreasing Contribution*Share until the sum of the reductions is expected to meet the
// target. A throttled task loses at least half of its share, but keeps at least Options.MinShare. If no
// task can be throttled further, one task may be evicted. wasViolating says whether the previous report
// was above the target too. If the target is exceeded so soon after a restore that the restore may be the
// cause, the restore delay of the VM doubles.
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
	// If the latency exceeds the target by more than all contributions together, it has another cause, and
	// an eviction would not be enough. The first report above the target does not lead to an eviction
	// either: if most VMs are slowed down at once, the reports of the other VMs may still be missing.
	if len(decisions) == 0 && wasViolating && len(contributingTasks) > 0 && excessLogLatency <= totalContribution {
		decisions = g.decideEviction(h, report.VM, contributingTasks[0], now)
	}
	if len(decisions) > 0 {
		h.decidedAt = now
	}
	return decisions
}

// decideEviction returns the decision to evict the task from the VM. It returns none if there are at least
// three VMs and more than Options.MaxViolatingShare of them exceed their targets, if the last eviction from
// the VM was less than Options.VMEvictionInterval ago, or if no eviction token is left. Without these
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

// decideRestore returns the decision for a VM that meets its latency target. If the VM has done so for
// its restore delay, and the last restore is at least as long ago, the share of the throttled task with
// the smallest contribution is doubled, up to 1. If no task is throttled any more, the restore delay of
// the VM is reset to Options.RestoreDelay.
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

// contributors returns the tasks with a positive contribution, sorted by decreasing Contribution*Share,
// which is the contribution at the present share.
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

// restoreDelay returns how long the VM must meet its latency target before a throttled task on it may use
// more processors.
func (g *Governor) restoreDelay(h *vmHistory) time.Duration {
	return time.Duration(h.restoreDelayFactor) * g.options.RestoreDelay
}

// findOrAddHistory returns the history of the VM. For an unknown VM, it adds an empty history.
func (g *Governor) findOrAddHistory(vm string) *vmHistory {
	h, ok := g.vms[vm]
	if !ok {
		h = &vmHistory{restoreDelayFactor: 1}
		g.vms[vm] = h
	}
	return h
}
