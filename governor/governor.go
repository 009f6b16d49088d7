// Package governor decides how to respond when batch tasks slow latency-critical work down.
package governor

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Actions of an Order.
const (
	Throttle Action = "throttle"
	Restore  Action = "restore"
	Evict    Action = "evict"
)

type (
	// Clock tells the time.
	Clock interface {
		Now() time.Time
	}

	// Action is what an Order asks for.
	Action string

	// Options configures a Governor. Zero fields take their defaults.
	Options struct {
		// Clock is the system clock by default.
		Clock Clock
		// RestoreDelay is how long a VM has to meet its target before a task gets processors back, by default 1
		// minute. It doubles, up to 16 times, each time a violation follows within RestoreDelay of that.
		RestoreDelay time.Duration
		// MinShare is the lowest share of its processors that a task is throttled to, by default 0.25.
		MinShare float64
		// MaxViolatingShare is the part of the VMs in violation above which nothing is evicted, by default
		// 0.5: what slows down most VMs at once is not the batch tasks of each of them.
		MaxViolatingShare float64
		// VMEvictionInterval is the least time between two evictions from one VM, by default 1 minute.
		VMEvictionInterval time.Duration
		// FleetEvictionsPerMinute bounds evictions over the fleet on average, by default 2.
		FleetEvictionsPerMinute float64
		// FleetEvictionBurst bounds evictions over the fleet at once, by default 4.
		FleetEvictionBurst float64
	}

	// Task is a batch task on the VM. Contribution is the estimated growth of the logarithm of
	// latency that it causes at its full share, and Share the processors it keeps, from 0 to 1.
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

	// Decision is one decision. Share is the share of its processors that the task keeps; an evicted
	// task is checkpointed before it stops.
	Decision struct {
		VM     string  `json:"vm"`
		Task   string  `json:"task"`
		Action Action  `json:"action"`
		Share  float64 `json:"share"`
		Reason string  `json:"reason"`
	}

	// Governor holds the recent history of each VM. It is not safe for concurrent use.
	Governor struct {
		options Options
		vms     map[string]*history
		// violating counts the VMs whose last report was above the target.
		violating int
		tokens    float64
		filled    time.Time
	}

	history struct {
		measured   time.Time
		acted      time.Time
		evicted    time.Time
		restored   time.Time
		calmSince  time.Time
		calmFactor int
		violating  bool
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
	return &Governor{options: options, vms: map[string]*history{}, tokens: options.FleetEvictionBurst, filled: options.Clock.Now()}
}

// Observe takes a report and returns the orders that follow from it, none in most cases. A report
// that was measured before the last order for the VM took effect is ignored, because it shows the
// violation that the order already answers.
func (g *Governor) Observe(report LatencyReport) []Decision {
	now := g.options.Clock.Now()
	h := g.history(report.VM)
	measured := now.Add(-report.Age)
	if !measured.After(h.measured) || !measured.After(h.acted) {
		return nil
	}
	h.measured = measured
	repeated := h.violating
	g.mark(h, report.Latency > report.Target)
	if h.violating {
		h.calmSince = time.Time{}
		return g.relieve(h, report, now, repeated)
	}
	if h.calmSince.IsZero() {
		h.calmSince = measured
	}
	return g.restore(h, report, now)
}

// Remove forgets the VM.
func (g *Governor) Remove(vm string) {
	if h, ok := g.vms[vm]; ok {
		g.mark(h, false)
		delete(g.vms, vm)
	}
}

func (g *Governor) mark(h *history, violating bool) {
	switch {
	case violating && !h.violating:
		g.violating++
	case !violating && h.violating:
		g.violating--
	}
	h.violating = violating
}

// relieve lowers the shares of the largest contributors by as much as the violation needs by their
// estimates, and evicts only when none can be throttled further.
func (g *Governor) relieve(h *history, report LatencyReport, now time.Time, repeated bool) []Decision {
	if !h.restored.IsZero() && now.Sub(h.restored) <= g.calm(h)+report.Age {
		h.calmFactor = min(2*h.calmFactor, 16)
	}
	h.restored = time.Time{}
	tasks := contributors(report.Tasks)
	excess := math.Log(float64(report.Latency) / float64(report.Target))
	needed, present := excess, 0.0
	var orders []Decision
	for _, t := range tasks {
		present += t.Contribution * t.Share
		if needed > 0 && t.Share > g.options.MinShare {
			share := max(g.options.MinShare, t.Share-max(needed/t.Contribution, t.Share/2))
			needed -= t.Contribution * (t.Share - share)
			orders = append(orders, Decision{report.VM, t.ID, Throttle, share, "latency-above-target"})
		}
	}
	// A violation larger than all contributions has another cause, and an eviction cannot end it.
	// The first violation after calm may be the start of a wave that other VMs have yet to report.
	if len(orders) == 0 && repeated && len(tasks) > 0 && excess <= present {
		orders = g.evict(h, report.VM, tasks[0], now)
	}
	if len(orders) > 0 {
		h.acted = now
	}
	return orders
}

// evict spends the budgets of the VM and of the fleet, so that noise on many VMs at once does not
// cause as many evictions.
func (g *Governor) evict(h *history, vm string, t Task, now time.Time) []Decision {
	if float64(g.violating) > g.options.MaxViolatingShare*float64(len(g.vms)) && len(g.vms) > 2 {
		return nil
	}
	if !h.evicted.IsZero() && now.Sub(h.evicted) < g.options.VMEvictionInterval {
		return nil
	}
	g.tokens = min(g.options.FleetEvictionBurst, g.tokens+g.options.FleetEvictionsPerMinute*now.Sub(g.filled).Minutes())
	g.filled = now
	if g.tokens < 1 {
		return nil
	}
	g.tokens--
	h.evicted = now
	return []Decision{{vm, t.ID, Evict, 0, "throttling-not-enough"}}
}

// restore doubles the share of the least contributing throttled task.
func (g *Governor) restore(h *history, report LatencyReport, now time.Time) []Decision {
	since := h.calmSince
	if h.restored.After(since) {
		since = h.restored
	}
	if h.measured.Sub(since) < g.calm(h) {
		return nil
	}
	var least *Task
	for i, t := range report.Tasks {
		if t.Share < 1 && (least == nil || t.Contribution < least.Contribution) {
			least = &report.Tasks[i]
		}
	}
	if least == nil {
		h.calmFactor = 1
		return nil
	}
	h.restored, h.acted = now, now
	return []Decision{{report.VM, least.ID, Restore, min(1, 2*least.Share), "calm"}}
}

// contributors returns the tasks that add to latency, the largest present contribution first.
func contributors(tasks []Task) []Task {
	var found []Task
	for _, t := range tasks {
		if t.Contribution > 0 {
			found = append(found, t)
		}
	}
	slices.SortStableFunc(found, func(a, b Task) int { return cmp.Compare(b.Contribution*b.Share, a.Contribution*a.Share) })
	return found
}

func (g *Governor) calm(h *history) time.Duration {
	return time.Duration(h.calmFactor) * g.options.RestoreDelay
}

func (g *Governor) history(vm string) *history {
	h, ok := g.vms[vm]
	if !ok {
		h = &history{calmFactor: 1}
		g.vms[vm] = h
	}
	return h
}
