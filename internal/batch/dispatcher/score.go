package dispatcher

import (
	"time"

	"bamboohook/internal/batch/bookkeeper"
)

const (
	// processorSlack is the share of its processors that a best-effort task may lack where it starts. The best-effort tasks on the VM
	// then share what is left.
	processorSlack = 0.15
	// headroom is the distance that is kept to the utilisation at which a target is missed. Own loads rise by that much within the few
	// seconds that a task takes.
	utilisationMargin = 0.06
	// deviationWeight is the part of an interference's standard deviation that is added to its mean.
	deviationWeight = 0.3
	// weakInterference and strongInterference separate three classes by the utilisation that a task adds: a rise that no victim notices,
	// one that some may notice, and higher ones.
	weakInterference   = 0.03
	strongInterference = 0.12
	// throttledClass is the class of a VM on which the task would be throttled.
	throttledClass = -1
	// unknownDeviation is the standard deviation above which an interference counts as unknown.
	unknownDeviation = 0.6
	// maxTrialVMs is the number of VMs on which a program may run at the same time beside victims for which its interference is unknown,
	// and maxTrialShare its share of the processors there. Without these limits, a wide step could make targets miss on all VMs at once.
	maxTrialVMs   = 2
	maxTrialShare = 0.3
	// trialWait is how long a task waits for the result of a trial, which takes two measurements of half a second each.
	trialWait = 1200 * time.Millisecond
	// interferenceWait is how long a task waits for a VM on which no target will be missed. After that it starts on a VM where it can work
	// at minPaceShare or more, because a slower task would delay others by more than it achieves itself. While most of the capacity is
	// free (its utilisation is below idleUtilisation), idleInterferenceWait applies instead, because users would not understand why the
	// task waits.
	interferenceWait     = 6 * time.Second
	idleInterferenceWait = 2 * time.Second
	idleUtilisation      = 0.5
	minPaceShare         = 0.5
	// paceRelaxation is the time after interferenceWait in which the required pace falls from minPaceShare to 0. Some programs interfere on
	// all VMs. Own loads change enough within that time that each VM has room for such a task at some moment.
	paceRelaxation = 12 * time.Second
)

type (
	// score is the rating of a VM for a task. Earlier fields take precedence, and higher values are better.
	score struct {
		onPreferredRack bool
		// interferenceClass is the class of the expected interference, colocationClass the class of the programs that are on the VM.
		interferenceClass int
		colocationClass   int
		fit               float64
	}

	// impact is the effect of one more task on the victims at a VM.
	impact struct {
		// maxRise is the highest rise of a victim's utilisation, maxExcess the highest excess over a victim's limit. uncertain reports
		// whether the interference with a victim is unknown.
		maxRise   float64
		maxExcess float64
		unknown   bool
		// paceShare is the share of its full pace at which the task could work without a missed target.
		paceShare float64
	}
)

func (s score) better(other score) bool {
	switch {
	case s.onPreferredRack != other.onPreferredRack:
		return s.onPreferredRack
	case s.interferenceClass != other.interferenceClass:
		return s.interferenceClass > other.interferenceClass
	case s.colocationClass != other.colocationClass:
		return s.colocationClass > other.colocationClass
	}
	return s.fit > other.fit
}

// rate rates the VM for the task. It returns false if the task must not start there now.
func (d *Dispatcher) rate(now time.Time, t *bookkeeper.Task, v *VM) (score, bool) {
	s := t.Step
	rating := score{onPreferredRack: s.PreferredRack == "" || s.PreferredRack == v.Rack}
	capacity := float64(max(v.Capacity.MilliProcessors, 1))
	switch {
	case s.BestEffort:
		waited := now.Sub(t.WaitingSince())
		spare, size := d.spareProcessors(v), float64(s.Size.MilliProcessors)
		predicted := d.predictImpact(s, v)
		if spare < size*(1-processorSlack) || predicted.maxExcess > 0 && (v.TargetMissed || !d.tolerable(predicted, waited)) {
			return score{}, false
		}
		if predicted.unknown && waited < trialWait && !d.mayStartTrial(s, v) {
			return score{}, false
		}
		rating.interferenceClass, rating.fit = interferenceClass(predicted.maxRise), (spare-size)/capacity
		if predicted.maxExcess > 0 {
			rating.interferenceClass, rating.fit = throttledClass, predicted.paceShare
		}
	case s.LongRunning:
		rating.interferenceClass = interferenceClass(d.interferenceAt(s, v))
		// With few long-running programs on each VM, a best-effort program finds more VMs on which it interferes with none of them.
		switch {
		case v.victimsByProgram[s.Image] > 0:
			rating.colocationClass = 2 - len(v.victimsByProgram)
		case len(v.victimsByProgram) > 0:
			rating.colocationClass = -len(v.victimsByProgram)
		}
		rating.fit = float64(v.reserved.MilliProcessors-v.bestEffortProcessors) / capacity
	default:
		rating.fit = d.spareProcessors(v) / capacity
	}
	return rating, true
}

// tolerable reports whether a task that has waited this long may start where a target would be missed unless the task is throttled.
func (d *Dispatcher) tolerable(predicted impact, waited time.Duration) bool {
	if d.mostlyIdle() {
		return waited >= idleInterferenceWait
	}
	if waited < interferenceWait {
		return false
	}
	return predicted.paceShare >= minPaceShare*(1-float64(waited-interferenceWait)/float64(paceRelaxation))
}

// mostlyIdle reports whether most of the capacity is free.
func (d *Dispatcher) mostlyIdle() bool {
	var used, capacity int64
	for _, v := range d.vms {
		used += v.reserved.MilliProcessors + v.bestEffortProcessors
		capacity += v.Capacity.MilliProcessors
	}
	return float64(used) < idleUtilisation*float64(capacity)
}

func interferenceClass(rise float64) int {
	switch {
	case rise < weakInterference:
		return 2
	case rise < strongInterference:
		return 1
	}
	return 0
}

// predictImpact returns the effect of one more task of the step on the victims at the VM.
func (d *Dispatcher) predictImpact(s *bookkeeper.Step, v *VM) impact {
	predicted := impact{paceShare: 1}
	if d.Model == nil || len(v.victimsByProgram) == 0 {
		return predicted
	}
	share := float64(s.Size.MilliProcessors) / float64(max(v.Capacity.MilliProcessors, 1))
	for program := range v.victimsByProgram {
		mean, deviation := d.Model.Interference(program, s.Image)
		predicted.maxRise = max(predicted.maxRise, mean*share)
		predicted.unknown = predicted.unknown || deviation > unknownDeviation
	}
	utilisation := d.predictUtilisation(v)
	for n, victim := range v.measuredVictims {
		mean, deviation := d.Model.Interference(victim.Program, s.Image)
		rise := (mean + deviationWeight*deviation) * share
		if rise < weakInterference {
			// The victim does not notice the rise, even if other tasks have brought it near its limit.
			continue
		}
		predicted.maxExcess = max(predicted.maxExcess, utilisation[n]+rise+utilisationMargin-victim.Limit)
		predicted.paceShare = min(predicted.paceShare, max(victim.Limit-utilisationMargin-utilisation[n], 0)/rise)
	}
	return predicted
}

// predictUtilisation returns the utilisation of each measured victim with all best-effort tasks on the VM at their full sizes.
func (d *Dispatcher) predictUtilisation(v *VM) []float64 {
	if v.predictedUtilisation != nil {
		return v.predictedUtilisation
	}
	v.predictedUtilisation = make([]float64, len(v.measuredVictims))
	for n, victim := range v.measuredVictims {
		v.predictedUtilisation[n] = victim.OwnLoad
		for program, processors := range v.bestEffortByProgram {
			mean, _ := d.Model.Interference(victim.Program, program)
			v.predictedUtilisation[n] += mean * float64(processors) / float64(max(v.Capacity.MilliProcessors, 1))
		}
	}
	return v.predictedUtilisation
}

// mayStartTrial reports whether a task of the step may start beside victims for which its interference is unknown.
func (d *Dispatcher) mayStartTrial(s *bookkeeper.Step, v *VM) bool {
	if running := v.bestEffortByProgram[s.Image]; running > 0 {
		return float64(running+s.Size.MilliProcessors) <= maxTrialShare*float64(v.Capacity.MilliProcessors)
	}
	trials := 0
	for _, other := range d.vms {
		if other.bestEffortByProgram[s.Image] > 0 && d.predictImpact(s, other).unknown {
			trials++
		}
	}
	return trials < maxTrialVMs
}

// interferenceAt returns the utilisation that the best-effort tasks on the VM would add to a task of the step.
func (d *Dispatcher) interferenceAt(s *bookkeeper.Step, v *VM) float64 {
	sum := 0.0
	if d.Model == nil || s.TailTarget == 0 {
		return sum
	}
	for program, processors := range v.bestEffortByProgram {
		mean, _ := d.Model.Interference(s.Image, program)
		sum += mean * float64(processors) / float64(max(v.Capacity.MilliProcessors, 1))
	}
	return sum
}

// spareProcessors estimates the processors that are left for best-effort tasks, in thousandths.
func (d *Dispatcher) spareProcessors(v *VM) float64 {
	share := d.ReclaimableShare
	if share == 0 {
		share = DefaultReclaimableShare
	}
	return float64(v.Capacity.MilliProcessors-v.reserved.MilliProcessors-max(v.bestEffortProcessors-v.throttledProcessors, 0)) + share*float64(v.longRunningProcessors)
}
