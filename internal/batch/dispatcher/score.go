package dispatcher

import (
	"time"

	"bamboohook/internal/batch/bookkeeper"
)

const (
	// fillSlack is how much of its processors a filling task may lack where it starts; tasks there then share what is left.
	fillSlack = 0.15
	// reserve is kept below the utilisation at which a target is missed: own loads rise by that within the seconds a task takes.
	reserve = 0.06
	// doubt is the part of the deviation of a pressure that is added to its mean.
	doubt = 0.3
	// softly and hardly separate pressures that no target feels, some that one may feel, and others, as utilisations.
	softly = 0.03
	hardly = 0.12
	// worstSafety is the class of a VM where the task would be slowed down.
	worstSafety = -1
	// unknown is the deviation from which a pressure counts as not known.
	unknown = 0.6
	// trialVMs bounds the VMs on which a program is tried at a time beside one on which its pressure is not known, and trialShare its
	// share of the processors there, because the pressure of a whole step would be felt on all VMs at once.
	trialVMs   = 2
	trialShare = 0.3
	// trialPatience is how long a task waits for the outcome of a trial, which takes two measurements of half a second.
	trialPatience = 1200 * time.Millisecond
	// patience is how long a task waits for a VM on which no target will be missed. After that it starts where it can work at leastPace:
	// slower ones hold up others more than they do. Where most of the capacity is free, idlePatience holds, because nobody would
	// understand why it waits.
	patience     = 6 * time.Second
	idlePatience = 2 * time.Second
	idleShare    = 0.5
	leastPace    = 0.5
	// yielding is the time after patience in which a task becomes content with less than leastPace, in the end with any. Some programs
	// press on all VMs; own loads swing within that time, so that each VM has room for one at some moment.
	yielding = 12 * time.Second
)

type (
	// score rates a VM for a task; earlier fields decide first, and higher is better.
	score struct {
		near bool
		// safe is the class of expected pressure, separate that of the company.
		safe     int
		separate int
		fit      float64
	}

	// effect is what a further task would do to those with a target at a VM.
	effect struct {
		// most is the highest rise of utilisation, over the highest excess over a limit, doubtful whether it is a guess.
		most     float64
		over     float64
		doubtful bool
		// pace is the share at which the task could work without a missed target.
		pace float64
	}
)

func (s score) better(other score) bool {
	switch {
	case s.near != other.near:
		return s.near
	case s.safe != other.safe:
		return s.safe > other.safe
	case s.separate != other.separate:
		return s.separate > other.separate
	}
	return s.fit > other.fit
}

// rate returns false where the task must not start now.
func (d *Dispatcher) rate(now time.Time, t *bookkeeper.Task, v *VM) (score, bool) {
	s := t.Step
	rated := score{near: s.PreferredRack == "" || s.PreferredRack == v.Rack}
	capacity := float64(max(v.Capacity.MilliProcessors, 1))
	switch {
	case s.BestEffort:
		waited := now.Sub(t.WaitingSince())
		spare, size := d.spare(v), float64(s.Size.MilliProcessors)
		e := d.pressure(s, v)
		if spare < size*(1-fillSlack) || e.over > 0 && (v.TargetMissed || !d.tolerable(e, waited)) {
			return score{}, false
		}
		if e.doubtful && waited < trialPatience && !d.mayTry(s, v) {
			return score{}, false
		}
		rated.safe, rated.fit = safety(e.most), (spare-size)/capacity
		if e.over > 0 {
			rated.safe, rated.fit = worstSafety, e.pace
		}
	case s.LongRunning:
		rated.safe = safety(d.exposure(s, v))
		// Few programs on each VM leave more VMs on which a filling program presses on none of them.
		switch {
		case v.victims[s.Image] > 0:
			rated.separate = 2 - len(v.victims)
		case len(v.victims) > 0:
			rated.separate = -len(v.victims)
		}
		rated.fit = float64(v.reserved.MilliProcessors-v.filling) / capacity
	default:
		rated.fit = d.spare(v) / capacity
	}
	return rated, true
}

// tolerable reports whether a task that has waited may start where a target will be missed unless it is slowed down.
func (d *Dispatcher) tolerable(e effect, waited time.Duration) bool {
	if d.idle() {
		return waited >= idlePatience
	}
	if waited < patience {
		return false
	}
	return e.pace >= leastPace*(1-float64(waited-patience)/float64(yielding))
}

// idle reports whether most of the capacity is free.
func (d *Dispatcher) idle() bool {
	var used, capacity int64
	for _, v := range d.vms {
		used += v.reserved.MilliProcessors + v.filling
		capacity += v.Capacity.MilliProcessors
	}
	return float64(used) < idleShare*float64(capacity)
}

func safety(pressure float64) int {
	switch {
	case pressure < softly:
		return 2
	case pressure < hardly:
		return 1
	}
	return 0
}

// pressure returns what one more task of the step would do at the VM.
func (d *Dispatcher) pressure(s *bookkeeper.Step, v *VM) effect {
	e := effect{pace: 1}
	if d.Model == nil || len(v.victims) == 0 {
		return e
	}
	share := float64(s.Size.MilliProcessors) / float64(max(v.Capacity.MilliProcessors, 1))
	for program := range v.victims {
		mean, deviation := d.Model.Interference(program, s.Image)
		e.most = max(e.most, mean*share)
		e.doubtful = e.doubtful || deviation > unknown
	}
	felt := d.felt(v)
	for n, victim := range v.measured {
		mean, deviation := d.Model.Interference(victim.Program, s.Image)
		rise := (mean + doubt*deviation) * share
		if rise < softly {
			// What it adds is not felt; others may have brought the victim near its limit.
			continue
		}
		e.over = max(e.over, felt[n]+rise+reserve-victim.Limit)
		e.pace = min(e.pace, max(victim.Limit-reserve-felt[n], 0)/rise)
	}
	return e
}

// felt returns the utilisation of each measured victim with all filling tasks at the VM at their full sizes.
func (d *Dispatcher) felt(v *VM) []float64 {
	if v.felt != nil {
		return v.felt
	}
	v.felt = make([]float64, len(v.measured))
	for n, victim := range v.measured {
		v.felt[n] = victim.OwnLoad
		for program, processors := range v.programs {
			mean, _ := d.Model.Interference(victim.Program, program)
			v.felt[n] += mean * float64(processors) / float64(max(v.Capacity.MilliProcessors, 1))
		}
	}
	return v.felt
}

// mayTry reports whether the step's program may run beside programs on which its pressure is not known.
func (d *Dispatcher) mayTry(s *bookkeeper.Step, v *VM) bool {
	if running := v.programs[s.Image]; running > 0 {
		return float64(running+s.Size.MilliProcessors) <= trialShare*float64(v.Capacity.MilliProcessors)
	}
	tried := 0
	for _, other := range d.vms {
		if other.programs[s.Image] > 0 && d.pressure(s, other).doubtful {
			tried++
		}
	}
	return tried < trialVMs
}

// exposure returns how much the filling tasks at the VM press on a task of the step.
func (d *Dispatcher) exposure(s *bookkeeper.Step, v *VM) float64 {
	sum := 0.0
	if d.Model == nil || s.TailTarget == 0 {
		return sum
	}
	for program, processors := range v.programs {
		mean, _ := d.Model.Interference(s.Image, program)
		sum += mean * float64(processors) / float64(max(v.Capacity.MilliProcessors, 1))
	}
	return sum
}

// spare estimates the processors that are left for filling tasks, in thousandths.
func (d *Dispatcher) spare(v *VM) float64 {
	lent := d.ReclaimableShare
	if lent == 0 {
		lent = DefaultReclaimableShare
	}
	return float64(v.Capacity.MilliProcessors-v.reserved.MilliProcessors-max(v.filling-v.idle, 0)) + lent*float64(v.serving)
}
