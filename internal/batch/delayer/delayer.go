// Package delayer decides how long a task waits for a place on its preferred rack instead of starting on another one, where it takes longer (delay
// scheduling). It does no I/O and has no clock.
package delayer

import (
	"math"
	"math/bits"
	"time"

	"bamboohook/internal/batch/job"
	"bamboohook/resource"
)

const (
	// rateTime is the time after which an end of a run counts 1/e as much. Demand may swing within 17 s, so older ends say little about the next ones.
	rateTime = 5 * time.Second
	// minRateWindow is the shortest time over which ends are averaged, so that the first ends after a takeover give no extreme rate.
	minRateWindow = time.Second
	// minEnds is the weight of the ends below which the rate at a rack is unknown. With rateTime, it corresponds to one end in 2.5 s, and longer waits are
	// not allowed to a job without runs.
	minEnds = 2
	// outcomeTime is the time after which the outcome of a wait counts 1/e as much, so that a rack where waits have failed is tried again.
	outcomeTime = 10 * time.Second
	// priorOutcomes is the weight of the assumption that places become free as often as runs end, in outcomes of waits.
	priorOutcomes = 3
	// maxIdleWait is how long a job may have nothing running, less idleMargin for the start itself: it must not reach 3 s.
	maxIdleWait = 2500 * time.Millisecond
	idleMargin  = 500 * time.Millisecond
	// durationWeight is the weight of a new duration in the mean for its kind, and minDurations the number of durations from which on that mean replaces
	// the estimate.
	durationWeight = 1.0 / 8
	minDurations   = 3
	// maxEstimateError limits the ratio of a duration to its estimate that one run can teach.
	maxEstimateError = 20
	// maxKinds and maxRacks limit the memory. Callers choose the names of programs, and operators those of racks.
	maxKinds = 1024
	maxRacks = 1024
)

// Reasons why a task does not wait.
const (
	// NothingSaved means that the settings state no penalty for other racks, or that the duration of the task is unknown.
	NothingSaved = "nothing-saved"
	// RateUnknown means that too few runs have ended on the rack.
	RateUnknown = "rate-unknown"
	// WaitedEnough means that the task has waited as long as it may.
	WaitedEnough = "waited-enough"
	// TooSlow means that a place is expected too late to gain from it.
	TooSlow = "too-slow"
	// TooCostly means that a start on the rack gains less time than the wait would cost this task and, since it takes a place from them, later ones.
	TooCostly = "too-costly"
)

type (
	// Rack identifies the VMs of a service on a rack.
	Rack struct{ Service, Name string }

	// Request asks whether tasks that could start off the rack now should wait for places on it.
	Request struct {
		Rack Rack
		// Size is the size of each task. The processors of a best-effort task are not reserved.
		Size       resource.Amount
		BestEffort bool
		// Places is the number of places that must become free: 1 for a task, and for a gang as many as are missing. Ahead is the number of places
		// for which tasks with precedence wait.
		Places int
		Ahead  int
		// Group is the number of tasks of the step that are not done. The step only ends with all of them, so they count as one delay.
		Group int
		// Use is the share of the processors of the fleet that is taken, from 0 to 1.
		Use float64
		// Duration is the remaining duration of a task on the rack, Chain that of the longest chain of dependent steps that begins with the task.
		Duration time.Duration
		Chain    time.Duration
		// Left is the time until the end of the job's objective, which may be negative.
		Left time.Duration
		// Waited is how long the task has waited. JobRuns reports whether another task of the job has a run.
		Waited  time.Duration
		JobRuns bool
	}

	// Decision is the answer to a Request.
	Decision struct {
		// Wait reports whether the task should wait now. If it should not, Reason says why. If it should, it should start anywhere after Limit.
		Wait   bool
		Reason string
		Limit  time.Duration
		// Saved is the time that a start on the rack saves, Expected the expected time until the places become free, or 0 if it is unknown.
		Saved    time.Duration
		Expected time.Duration
		// Cost is the expected delay of this task and of all later ones that prefer the rack, or 0 if it is unknown.
		Cost time.Duration
		// RateAge is the time since the last end of a run that the expectation is based on.
		RateAge time.Duration
	}

	// Delayer learns how often runs end on each rack and how long tasks take, and decides which tasks wait. Without RemoteFactor, none waits. Set the
	// exported field before the first use. It is not safe for concurrent use.
	Delayer struct {
		// RemoteFactor is the ratio of the duration of a task off its preferred rack to that on it.
		RemoteFactor float64

		// learningSince is the time of the first call.
		learningSince time.Time
		racks         map[Rack]*rackState
		kinds         map[string]*kindState
	}

	// rackState is what is known about a rack. ends holds the runs that have ended there, demand the started tasks that prefer it, wherever they started.
	rackState struct {
		lastEndAt time.Time
		ends      flow
		demand    flow
		// found is the number of waits that ended with a place, and exposure the sum of the times that tasks have waited, each divided by the
		// expected time. Both decay from outcomesAt on.
		found, exposure float64
		outcomesAt      time.Time
	}

	// flow counts events by the size of their tasks.
	flow map[sizeClass]*sizeSum

	// sizeClass groups tasks of similar size: by the binary logarithm of the processors.
	sizeClass struct {
		logProcessors int
		bestEffort    bool
	}

	// sizeSum holds the number of tasks and the sums of their sizes, which decay from at on.
	sizeSum struct {
		count, processors, memory, accelerators float64
		at                                      time.Time
	}

	// kindState holds the number of the durations of a kind and the mean of the logarithms of their ratios to the estimates. The mean of logarithms is
	// hardly moved by a few runs that take several times as long as the others.
	kindState struct {
		count   int
		meanLog float64
		at      time.Time
	}
)

// KindOf returns the kind of the step's tasks, whose durations are learnt together: their program, or equal steps of the queue if they name none.
func KindOf(queue string, s job.Step) string {
	if s.Program != "" {
		return "program " + s.Program
	}
	return "queue " + queue + " " + s.Size.String() + " " + s.Estimate.String()
}

// Clone returns a copy, or nil if d is nil.
func (d *Delayer) Clone() *Delayer {
	if d == nil {
		return nil
	}
	clone := *d
	clone.racks, clone.kinds = map[Rack]*rackState{}, map[string]*kindState{}
	for rack, s := range d.racks {
		copied := *s
		copied.ends, copied.demand = s.ends.clone(), s.demand.clone()
		clone.racks[rack] = &copied
	}
	for kind, k := range d.kinds {
		copied := *k
		clone.kinds[kind] = &copied
	}
	return &clone
}

// RunEnded records that a run of the size has ended on a VM of the rack where tasks may start.
func (d *Delayer) RunEnded(now time.Time, rack Rack, size resource.Amount, bestEffort bool) {
	if !d.enabled() {
		return
	}
	d.begin(now)
	s := d.rack(now, rack)
	s.ends.add(now, size, bestEffort)
	s.lastEndAt = now
}

// TaskStarted records the start of a task that prefers the rack, wherever it has started.
func (d *Delayer) TaskStarted(now time.Time, rack Rack, size resource.Amount, bestEffort bool) {
	if !d.enabled() {
		return
	}
	d.begin(now)
	d.rack(now, rack).demand.add(now, size, bestEffort)
}

// TaskDone records how long a run took that has done a task of the kind from its beginning. remote reports whether it ran off its preferred rack.
func (d *Delayer) TaskDone(now time.Time, kind string, estimate, took time.Duration, remote bool) {
	if !d.enabled() || took <= 0 {
		return
	}
	k := d.kinds[kind]
	if k == nil {
		if d.kinds == nil {
			d.kinds = map[string]*kindState{}
		}
		if len(d.kinds) >= maxKinds {
			removeOldest(d.kinds, func(k *kindState) time.Time { return k.at })
		}
		k = &kindState{}
		d.kinds[kind] = k
	}
	ratio := float64(took) / float64(baseEstimate(estimate))
	if remote {
		ratio /= d.RemoteFactor
	}
	k.count++
	k.at = now
	logRatio := math.Log(min(max(ratio, 1.0/maxEstimateError), maxEstimateError))
	k.meanLog += (logRatio - k.meanLog) * max(durationWeight, 1/float64(k.count))
}

// Duration returns the expected duration of a task of the kind on its preferred rack. It is the estimate until enough durations are known.
func (d *Delayer) Duration(kind string, estimate time.Duration) time.Duration {
	k := d.kinds[kind]
	if k == nil || k.count < minDurations {
		return estimate
	}
	return min(time.Duration(float64(baseEstimate(estimate))*math.Exp(k.meanLog)), job.MaxTime)
}

// WaitEnded records that a task has waited for a place on the rack that was expected after the time expected, and whether it has found one there.
func (d *Delayer) WaitEnded(now time.Time, rack Rack, waited, expected time.Duration, found bool) {
	s := d.racks[rack]
	if s == nil || expected <= 0 {
		return
	}
	s.decayOutcomes(now)
	if found {
		s.found++
	}
	s.exposure += float64(waited) / float64(expected)
}

// Decide decides whether the task of the request waits now. Long-running, overdue and starving tasks must not be asked for, nor racks where the end of no
// run would make room.
func (d *Delayer) Decide(now time.Time, r Request) Decision {
	if !d.enabled() {
		return Decision{Reason: NothingSaved}
	}
	d.begin(now)
	decision := Decision{Saved: time.Duration(min(float64(r.Duration)*(d.RemoteFactor-1), float64(job.MaxTime)))}
	if decision.Saved <= 0 {
		decision.Reason = NothingSaved
		return decision
	}
	decision.Limit = r.limit(decision.Saved)
	if decision.Limit <= 0 {
		decision.Limit, decision.Reason = 0, WaitedEnough
		return decision
	}
	rate, demand, age, ok := d.rates(now, r)
	if !ok {
		decision.Reason = RateUnknown
		return decision
	}
	places := r.Places + r.Ahead
	decision.Expected, decision.RateAge = expectedTime(float64(places), rate), age
	group := float64(max(r.Group, 1))
	groupRate := rate / group
	// A start elsewhere takes a place there for longer, which is missing to others, the more so the less is free.
	gain := time.Duration(float64(decision.Saved) * (1 + min(max(r.Use, 0), 1)))
	decision.Cost = expectedTime(delaySum(float64(places)/group, demand/rate, groupRate*gain.Seconds()), groupRate)
	switch {
	case decision.Expected > decision.Saved, r.Places > 1 && decision.Expected > decision.Limit:
		// A single place often becomes free much earlier than expected, so a task may wait for it if it must start soon. Several hardly ever do.
		decision.Reason = TooSlow
	case decision.Cost > gain:
		decision.Reason = TooCostly
	default:
		decision.Wait = true
	}
	return decision
}

// delaySum returns the expected delay, in times between two places, that the task at the position of the queue for a rack causes to itself and to later
// ones: the sum of (position-k)*load^k over k below the position. load is the ratio of the demand to the places. The rule that a task joins the queue
// while this is below its gain maximises the total gain of all tasks (P. Naor, The regulation of queue size by levying tolls, 1969). A rule that counts
// only the own delay makes the queue of an overloaded rack so long that nobody gains. Sums above most are not completed.
func delaySum(position, load, most float64) float64 {
	sum, power := 0.0, 1.0
	for ; position > 0 && sum <= most; position-- {
		sum += position * power
		power *= load
	}
	return sum
}

// limit returns how much longer the task may wait if a start on the rack saves the given time.
func (r Request) limit(saved time.Duration) time.Duration {
	total := saved
	if !r.JobRuns {
		total = min(total, maxIdleWait-idleMargin)
	}
	limit := total - r.Waited
	local := r.Left - r.Chain
	remote := local - saved
	switch {
	case remote >= 0:
		// A start elsewhere is in time now and must still be in time after the wait.
		limit = min(limit, remote)
	case local >= 0:
		// Only a start on the rack can be in time.
		limit = min(limit, local)
	}
	return limit
}

// rates returns how many places for the task become free on the rack per second, how many are demanded there, and the age of the last end of a run. It
// returns false if that is unknown.
func (d *Delayer) rates(now time.Time, r Request) (places, demand float64, age time.Duration, ok bool) {
	s := d.racks[r.Rack]
	if s == nil {
		return 0, 0, 0, false
	}
	window := max(rateTime.Seconds()*(1-decay(now.Sub(d.learningSince), rateTime)), minRateWindow.Seconds())
	ends, places := s.ends.count(now, r)
	if ends < minEnds {
		return 0, 0, 0, false
	}
	_, demand = s.demand.count(now, r)
	s.decayOutcomes(now)
	places *= (s.found + priorOutcomes) / (s.exposure + priorOutcomes)
	return places / window, demand / window, now.Sub(s.lastEndAt), true
}

// add counts a task of the size.
func (f flow) add(now time.Time, size resource.Amount, bestEffort bool) {
	class := sizeClass{bits.Len64(uint64(max(size.MilliProcessors, 0))), bestEffort}
	e := f[class]
	if e == nil {
		e = &sizeSum{at: now}
		f[class] = e
	}
	weight := decay(now.Sub(e.at), rateTime)
	e.count, e.processors = e.count*weight+1, e.processors*weight+float64(size.MilliProcessors)
	e.memory, e.accelerators = e.memory*weight+float64(size.MemoryBytes), e.accelerators*weight+float64(size.Accelerators)
	e.at = now
}

// clone returns a copy.
func (f flow) clone() flow {
	copied := flow{}
	for class, e := range f {
		sum := *e
		copied[class] = &sum
	}
	return copied
}

// count returns the decayed number of tasks that make or take room for the requested one, and how many tasks like the requested one they make up.
func (f flow) count(now time.Time, r Request) (tasks, places float64) {
	for class, e := range f {
		if class.bestEffort && !r.BestEffort {
			// A best-effort run reserves no processors.
			continue
		}
		weight := decay(now.Sub(e.at), rateTime)
		tasks += e.count * weight
		places += e.count * weight * e.placesPerTask(r.Size)
	}
	return tasks, places
}

// placesPerTask returns how many tasks of the size fit into the room of a mean counted one. It is a fraction if several of those are needed.
func (e *sizeSum) placesPerTask(size resource.Amount) float64 {
	places := math.Inf(1)
	for _, r := range [][2]float64{
		{float64(size.MilliProcessors), e.processors}, {float64(size.MemoryBytes), e.memory}, {float64(size.Accelerators), e.accelerators},
	} {
		if r[0] > 0 {
			places = min(places, r[1]/e.count/r[0])
		}
	}
	switch {
	case math.IsInf(places, 1):
		return 1
	case places > 1:
		return math.Floor(places)
	}
	return places
}

// decayOutcomes applies the decay of the outcomes until now.
func (s *rackState) decayOutcomes(now time.Time) {
	weight := decay(now.Sub(s.outcomesAt), outcomeTime)
	s.found, s.exposure, s.outcomesAt = s.found*weight, s.exposure*weight, now
}

// rack returns the state of the rack, which it creates if it is missing.
func (d *Delayer) rack(now time.Time, rack Rack) *rackState {
	s := d.racks[rack]
	if s == nil {
		if d.racks == nil {
			d.racks = map[Rack]*rackState{}
		}
		if len(d.racks) >= maxRacks {
			removeOldest(d.racks, func(s *rackState) time.Time { return s.lastEndAt })
		}
		s = &rackState{ends: flow{}, demand: flow{}, outcomesAt: now}
		d.racks[rack] = s
	}
	return s
}

// enabled reports whether a task can take longer off its preferred rack.
func (d *Delayer) enabled() bool { return d != nil && d.RemoteFactor > 1 }

// begin sets learningSince at the first call.
func (d *Delayer) begin(now time.Time) {
	if d.learningSince.IsZero() {
		d.learningSince = now
	}
}

// baseEstimate returns the estimate, or a second if there is none.
func baseEstimate(estimate time.Duration) time.Duration {
	if estimate <= 0 {
		return time.Second
	}
	return estimate
}

// expectedTime returns the time in which the number of places becomes free at the rate per second.
func expectedTime(places, rate float64) time.Duration {
	seconds := places / rate
	if !(seconds < math.MaxInt64/float64(time.Second)) {
		return math.MaxInt64
	}
	return time.Duration(seconds * float64(time.Second))
}

// decay returns the weight after the elapsed time if it falls to 1/e in the time constant.
func decay(elapsed, constant time.Duration) float64 {
	return math.Exp(-max(elapsed.Seconds(), 0) / constant.Seconds())
}

// removeOldest removes the entry with the earliest time.
func removeOldest[K comparable, V any](entries map[K]V, at func(V) time.Time) {
	var oldest K
	found := false
	for k, v := range entries {
		if !found || at(v).Before(at(entries[oldest])) {
			oldest, found = k, true
		}
	}
	delete(entries, oldest)
}
