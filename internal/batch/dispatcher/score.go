package dispatcher

import (
	"math"
	"time"

	"bamboohook/internal/batch/bookkeeper"
)

const (
	// maxMissingProcessorShare is the share of a best-effort task's processors that may be missing on the VM where the task starts. The
	// best-effort tasks on the VM then share the processors that are left.
	maxMissingProcessorShare = 0.15
	// utilisationMargin is the distance that is kept to the utilisation at which a victim misses its latency target. The own load of a victim
	// may rise by that much within the few seconds that a best-effort task takes.
	utilisationMargin = 0.06
	// deviationWeight is the part of the standard deviation of an estimated interference that is added to the mean, to be on the safe side.
	deviationWeight = 0.3
	// minRelevantRise and minStrongRise are the bounds between three classes of interference. A rise is the utilisation that a task adds to a
	// victim. A rise below minRelevantRise makes no victim miss its target, a rise below minStrongRise may make some victims miss theirs.
	minRelevantRise = 0.03
	minStrongRise   = 0.12
	// throttledClass is the class of a VM on which the task would be throttled. It is lower than the classes that interferenceClass returns.
	throttledClass = -1
	// maxKnownDeviation is the standard deviation above which an estimated interference counts as unknown.
	maxKnownDeviation = 0.6
	// A trial is the execution of a best-effort program beside victims for which its interference is unknown. maxTrialVMs is the number of
	// VMs on which a program may be on trial at the same time, and maxTrialShare the share of a VM's processors that it may use there.
	// Without these limits, a step with many tasks could cause missed targets on all VMs at once.
	maxTrialVMs   = 2
	maxTrialShare = 0.3
	// trialWait is how long a task waits for the result of a trial, which takes two measurements of half a second each.
	trialWait = 1200 * time.Millisecond
	// interferenceWait is how long a best-effort task waits for a VM on which it would cause no missed target. After that it starts on a VM
	// where it can work at minPaceShare of its full pace or more. A slower task would make little progress, but delay other tasks, because it
	// occupies memory that they need. While less than the share maxIdleShare of all processors is taken, a task only waits for
	// idleInterferenceWait and then starts at any pace, because users would not understand why it waits.
	interferenceWait     = 6 * time.Second
	idleInterferenceWait = 2 * time.Second
	maxIdleShare         = 0.5
	minPaceShare         = 0.5
	// processorWait is how long an overdue task of a job without runs waits for spare processors. It goes before all others then, and best-effort tasks
	// take seconds, so on a usual fleet a place becomes free in that time.
	processorWait = 500 * time.Millisecond
	// paceRelaxation is the time after interferenceWait in which the required share of the full pace falls from minPaceShare to 0. Some
	// programs interfere with the victims on all VMs. Within that time, the own loads of the victims change so much that each VM has room for
	// such a program at some moment.
	paceRelaxation = 12 * time.Second
)

// MaxInterferenceWait is the time that a best-effort task loses at most because of its interference, by waiting or by working slowly. After that it
// is overdue.
const MaxInterferenceWait = interferenceWait + paceRelaxation

type (
	// score is how suitable a VM is for a task. Earlier fields take precedence, and higher values are better.
	score struct {
		// onPreferredRack reports whether the VM is on the preferred rack of the task's step, or the step prefers none.
		onPreferredRack bool
		// interferenceClass is higher if less interference is expected. It is throttledClass if the task would be throttled. It is 0 for tasks
		// that are neither best-effort nor long-running.
		interferenceClass int
		// colocationClass is only set for long-running tasks. It is 0 for a VM without victims. Otherwise, it is minus the number of
		// programs that the victims on the VM run, plus 2 if the program of the task is one of them.
		colocationClass int
		// preference distinguishes VMs of the same classes. For a best-effort task, it is the share of the VM's processors that the task would
		// leave spare, or the paceShare of its impact if the task would be throttled. For a long-running task, it is the share that is reserved
		// minus the share of the best-effort tasks. For other tasks, it is the share that is spare before the start.
		preference float64
	}

	// request is the request to start a task.
	request struct {
		task *bookkeeper.Task
		// waited is how long the task has waited. overdue reports whether it may start whatever its interference is.
		waited  time.Duration
		overdue bool
		// processors is the number of spare processors that a best-effort task needs on a VM, in thousandths.
		processors float64
	}

	// impact is the effect that one more task would have on the victims on a VM.
	impact struct {
		// maxRise is the highest rise of a victim's utilisation. maxExcess is the highest excess of a victim's utilisation over the limit that
		// is reduced by utilisationMargin, or 0 if there is none. interferenceUnknown reports whether the task's interference with some victim
		// is unknown.
		maxRise             float64
		maxExcess           float64
		interferenceUnknown bool
		// paceShare is the share of its full pace at which the task could work without causing a missed target.
		paceShare float64
	}
)

// better reports whether s is a better score than other.
func (s score) better(other score) bool {
	switch {
	case s.onPreferredRack != other.onPreferredRack:
		return s.onPreferredRack
	case s.interferenceClass != other.interferenceClass:
		return s.interferenceClass > other.interferenceClass
	case s.colocationClass != other.colocationClass:
		return s.colocationClass > other.colocationClass
	}
	return s.preference > other.preference
}

// newRequest returns the request to start the task, without the field processors.
func (d *Dispatcher) newRequest(now time.Time, t *bookkeeper.Task) request {
	r := request{task: t, waited: now.Sub(t.WaitingSince())}
	r.overdue = t.Step.BestEffort && d.isOverdue(t, r.waited)
	return r
}

// neededProcessors returns the spare processors that the requested start needs on a VM of the service, in thousandths. An overdue task of a job without
// runs needs none after processorWait: it shares the processors with the other best-effort tasks, of which only one of each job does so.
func (d *Dispatcher) neededProcessors(r request, service string) float64 {
	s := r.task.Step
	if !s.BestEffort || r.overdue && r.waited >= idleInterferenceWait+processorWait && !d.jobHasRun(s.Job) {
		return math.Inf(-1)
	}
	needed := float64(s.Size.MilliProcessors) * (1 - maxMissingProcessorShare)
	if !r.overdue {
		return needed
	}
	// A task that needs more than the long-running tasks leave on any VM starts where they leave most.
	most := 0.0
	for _, v := range d.vms {
		if v.Service == service && !v.Evacuated && v.CanHost(s.Step) {
			most = max(most, d.processorsBesideLongRunning(v))
		}
	}
	return min(needed, most)
}

// isOverdue reports whether a best-effort task that has waited for the given time starts on any VM with room, even if it causes missed targets
// there. Without that, it would never start while it interferes with victims near their limits on all VMs. While less than the share maxIdleShare of
// all processors is reserved, one task of a job without runs is overdue earlier.
func (d *Dispatcher) isOverdue(t *bookkeeper.Task, waited time.Duration) bool {
	return waited >= MaxInterferenceWait || waited >= idleInterferenceWait && d.mostlyUnreserved() && !d.jobHasRun(t.Step.Job)
}

// jobHasRun reports whether a task of the job has a run or starts in the current plan.
func (d *Dispatcher) jobHasRun(j *bookkeeper.Job) bool {
	hasRun, ok := d.jobsWithRun[j]
	if !ok {
		hasRun = j.HasRun()
		d.jobsWithRun[j] = hasRun
	}
	return hasRun
}

// scoreVM returns the score of the VM for the requested start. If the task must not start there now, it returns the reason, which is empty otherwise.
func (d *Dispatcher) scoreVM(r request, v *VM) (score, string) {
	s := r.task.Step
	vmScore := score{onPreferredRack: s.PreferredRack == "" || s.PreferredRack == v.Rack}
	capacity := float64(max(v.Capacity.MilliProcessors, 1))
	switch {
	case s.BestEffort:
		spare, size := d.spareProcessors(v), float64(s.Size.MilliProcessors)
		if spare < r.processors {
			return score{}, RefusedProcessors
		}
		predicted := d.impactInPlan(s, v)
		if predicted.maxExcess > 0 && v.TargetMissed && !r.overdue {
			return score{}, RefusedTargetMissed
		}
		if predicted.maxExcess > 0 && !r.overdue && !d.mayStartThrottled(predicted, r.waited) {
			return score{}, RefusedInterference
		}
		if predicted.interferenceUnknown && r.waited < trialWait && !d.mayStartTrial(s, v) {
			return score{}, RefusedTrial
		}
		vmScore.interferenceClass, vmScore.preference = interferenceClass(predicted.maxRise), (spare-size)/capacity
		if predicted.maxExcess > 0 {
			vmScore.interferenceClass, vmScore.preference = throttledClass, predicted.paceShare
			if predicted.paceShare == 0 {
				// Without this, all tasks that could not work on any VM would start on the same one. The value is below all shares of a pace.
				vmScore.preference = (spare-size)/capacity - 1
			}
		}
	case s.LongRunning:
		vmScore.interferenceClass = interferenceClass(d.interferenceAt(s, v))
		// If each VM runs few different long-running programs, there are more VMs on which a best-effort program interferes with none.
		switch {
		case v.victimsByProgram[s.Program] > 0:
			vmScore.colocationClass = 2 - len(v.victimsByProgram)
		case len(v.victimsByProgram) > 0:
			vmScore.colocationClass = -len(v.victimsByProgram)
		}
		vmScore.preference = float64(v.reserved.MilliProcessors-v.bestEffortProcessors) / capacity
	default:
		vmScore.preference = d.spareProcessors(v) / capacity
	}
	return vmScore, ""
}

// mayStartThrottled reports whether a task that has waited for the given time may start on a VM where it would have to be throttled to avoid
// a missed target.
func (d *Dispatcher) mayStartThrottled(predicted impact, waited time.Duration) bool {
	if d.mostlyIdle() {
		return waited >= idleInterferenceWait
	}
	if waited < interferenceWait {
		return false
	}
	return predicted.paceShare >= minPaceShare*(1-float64(waited-interferenceWait)/float64(paceRelaxation))
}

// mostlyUnreserved reports whether less than the share maxIdleShare of all processors is reserved.
func (d *Dispatcher) mostlyUnreserved() bool {
	d.countProcessors()
	return float64(d.reservedProcessors) < maxIdleShare*float64(d.totalProcessors)
}

// mostlyIdle reports whether less than the share maxIdleShare of all processors is reserved, or needed by best-effort tasks at full pace.
func (d *Dispatcher) mostlyIdle() bool {
	d.countProcessors()
	return float64(d.reservedProcessors+d.bestEffortProcessors) < maxIdleShare*float64(d.totalProcessors)
}

// countProcessors counts the processors of all VMs, once after each placement.
func (d *Dispatcher) countProcessors() {
	if d.processorsCounted {
		return
	}
	d.reservedProcessors, d.bestEffortProcessors, d.totalProcessors, d.processorsCounted = 0, 0, 0, true
	for _, v := range d.vms {
		d.reservedProcessors += v.reserved.MilliProcessors
		d.bestEffortProcessors += v.bestEffortProcessors
		d.totalProcessors += v.Capacity.MilliProcessors
	}
}

// interferenceClass returns the class of the rise, the utilisation that is added to a victim: 2 for the weakest interference, 0 for the
// strongest.
func interferenceClass(rise float64) int {
	switch {
	case rise < minRelevantRise:
		return 2
	case rise < minStrongRise:
		return 1
	}
	return 0
}

// impactInPlan returns the same as predictImpact, but predicts only once in a plan, unless the VM changes.
func (d *Dispatcher) impactInPlan(s *bookkeeper.Step, v *VM) impact {
	if v.impacts == nil || v.impactsOfPlan != d.planNumber {
		v.impacts, v.impactsOfPlan = map[impactKey]impact{}, d.planNumber
	}
	key := impactKey{s.Program, s.Size.MilliProcessors}
	known, ok := v.impacts[key]
	if !ok {
		known = d.predictImpact(s, v)
		v.impacts[key] = known
	}
	return known
}

// predictImpact predicts the effect that one more task of the step would have on the victims on the VM.
func (d *Dispatcher) predictImpact(s *bookkeeper.Step, v *VM) impact {
	predicted := impact{paceShare: 1}
	if d.Model == nil || len(v.victimsByProgram) == 0 {
		return predicted
	}
	share := float64(s.Size.MilliProcessors) / float64(max(v.Capacity.MilliProcessors, 1))
	for program := range v.victimsByProgram {
		mean, deviation := d.Model.Interference(program, s.Program)
		predicted.maxRise = max(predicted.maxRise, mean*share)
		predicted.interferenceUnknown = predicted.interferenceUnknown || deviation > maxKnownDeviation
	}
	utilisation := d.predictUtilisation(v)
	for n, victim := range v.measuredVictims {
		mean, deviation := d.Model.Interference(victim.Program, s.Program)
		rise := (mean + deviationWeight*deviation) * share
		if rise < minRelevantRise {
			// So small a rise does not make the victim miss its target, even if other tasks have already raised its utilisation almost to its
			// limit.
			continue
		}
		predicted.maxExcess = max(predicted.maxExcess, utilisation[n]+rise+utilisationMargin-victim.Limit)
		predicted.paceShare = min(predicted.paceShare, max(victim.Limit-utilisationMargin-utilisation[n], 0)/rise)
	}
	return predicted
}

// predictUtilisation predicts the utilisation of each measured victim when all best-effort tasks on the VM work at full pace.
func (d *Dispatcher) predictUtilisation(v *VM) []float64 {
	if v.predictedUtilisation != nil {
		return v.predictedUtilisation
	}
	v.predictedUtilisation = make([]float64, len(v.measuredVictims))
	for n, victim := range v.measuredVictims {
		v.predictedUtilisation[n] = victim.OwnLoad
		for program, processors := range v.bestEffortProcessorsByProgram {
			mean, _ := d.Model.Interference(victim.Program, program)
			v.predictedUtilisation[n] += mean * float64(processors) / float64(max(v.Capacity.MilliProcessors, 1))
		}
	}
	return v.predictedUtilisation
}

// mayStartTrial reports whether the limits for trials allow a task of the step to start on the VM although its interference with a victim there
// is unknown.
func (d *Dispatcher) mayStartTrial(s *bookkeeper.Step, v *VM) bool {
	if runningProcessors := v.bestEffortProcessorsByProgram[s.Program]; runningProcessors > 0 {
		return float64(runningProcessors+s.Size.MilliProcessors) <= maxTrialShare*float64(v.Capacity.MilliProcessors)
	}
	vmsOnTrial := 0
	for _, other := range d.vms {
		if other.bestEffortProcessorsByProgram[s.Program] > 0 && d.impactInPlan(s, other).interferenceUnknown {
			vmsOnTrial++
		}
	}
	return vmsOnTrial < maxTrialVMs
}

// interferenceAt returns the utilisation that the best-effort tasks on the VM, at full pace, would add to a task of the step. It is 0 if the
// step has no latency target.
func (d *Dispatcher) interferenceAt(s *bookkeeper.Step, v *VM) float64 {
	sum := 0.0
	if d.Model == nil || s.TailTarget == 0 {
		return sum
	}
	for program, processors := range v.bestEffortProcessorsByProgram {
		mean, _ := d.Model.Interference(s.Program, program)
		sum += mean * float64(processors) / float64(max(v.Capacity.MilliProcessors, 1))
	}
	return sum
}

// spareProcessors estimates the processors that are left for more best-effort tasks on the VM, in thousandths. They include the share of the
// reserved processors that best-effort tasks may use, and the processors that throttled tasks leave unused.
func (d *Dispatcher) spareProcessors(v *VM) float64 {
	return float64(v.Capacity.MilliProcessors-v.reserved.MilliProcessors-max(v.bestEffortProcessors-v.processorsUnusedByThrottled, 0)) +
		d.reclaimableShare()*float64(v.longRunningReserved.MilliProcessors)
}

// processorsBesideLongRunning returns the processors that would be spare on the VM if only its long-running tasks were there, in thousandths.
func (d *Dispatcher) processorsBesideLongRunning(v *VM) float64 {
	return float64(v.Capacity.MilliProcessors) - (1-d.reclaimableShare())*float64(v.longRunningReserved.MilliProcessors)
}

func (d *Dispatcher) reclaimableShare() float64 {
	if d.ReclaimableShare == 0 {
		return DefaultReclaimableShare
	}
	return d.ReclaimableShare
}
