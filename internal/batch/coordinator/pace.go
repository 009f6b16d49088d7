package coordinator

import (
	"cmp"
	"slices"
	"time"

	"bamboohook/internal/batch/antagonist"
	"bamboohook/internal/batch/dispatcher"
	"bamboohook/internal/batch/pacer"
)

const (
	// moveBelow is the pace, in percent, below which a task that can resume is moved to another VM. One task moves with each report, so
	// that the room there is not promised twice.
	moveBelow = 50
	// settleTime is how long a run stays where it started: the first measurements of it take that long.
	settleTime = 800 * time.Millisecond
	// climbStep is by how many percent a pace rises at most in climbPause, the time between two measurements.
	climbStep  = 30
	climbPause = 240 * time.Millisecond
	// stuckBelow is the pace, in percent, below which a task hardly works. After stuckTime, several times what it takes to resume it
	// elsewhere, it is stopped, also if it cannot resume but has done less than the percentage of expendable.
	stuckBelow = 10
	stuckTime  = 1500 * time.Millisecond
	expendable = 20
)

// pace learns from the latencies of a report and sets the paces of the filling tasks, so that targets are met. Tasks that would hardly
// work and can resume are moved.
func (c *Coordinator) pace(v *vm, now time.Time) {
	c.state.dispatcher.Model = &c.state.model
	victims, programs := c.measure(v, now)
	before := v.TargetMissed
	paces := v.pacer.Paces(victims, c.fillers(v, programs), now)
	v.TargetMissed = v.pacer.TargetMissed()
	if v.TargetMissed != before {
		c.Log.Info().Str("vm", v.Name).Bool("strained", v.TargetMissed).Float64("worst", v.worst()).Interface("shares", v.fillingShares()).
			Uint64("report", v.sequence).Msg("latency at VM")
	}
	var slowest, stuck *run
	idle := int64(0)
	for _, y := range v.runs {
		pace, ok := paces[y.name]
		if !ok {
			continue
		}
		y.setPace(pace, now)
		idle += y.task.Step.Size.MilliProcessors * int64(pacer.FullPercent-y.pace) / pacer.FullPercent
		if y.movable(now) && (slowest == nil || y.pace < slowest.pace) {
			slowest = y
		}
		if y.stuck(now) && (stuck == nil || y.stuckSince.Before(stuck.stuckSince)) {
			stuck = y
		}
	}
	v.SetThrottled(idle)
	switch {
	case stuck != nil:
		c.withdraw(stuck, "stuck")
	case slowest != nil:
		c.move(slowest, now)
	}
}

// measure learns from the latencies at the VM. It returns the long-running tasks with a target, and what they run.
func (c *Coordinator) measure(v *vm, now time.Time) (victims []pacer.Victim, programs []string) {
	var samples []antagonist.Sample
	for _, x := range v.runs {
		if ratio := x.latency(); ratio > 0 {
			samples = append(samples, antagonist.Sample{Task: x.name, Program: x.task.Step.Image, Group: stepName(x.task.Step), Ratio: ratio})
		}
	}
	// The order of a map would decide between equals.
	slices.SortFunc(samples, func(a, b antagonist.Sample) int { return cmp.Compare(a.Task, b.Task) })
	model := &c.state.model
	measured := make([]dispatcher.Victim, len(samples))
	for n, own := range model.Measure(v.Name, samples, v.fillingShares(), now) {
		s := samples[n]
		limit := model.Limit(s.Program)
		// New tasks stay for seconds, so they are placed by the load of all tasks of the step; paces follow the task itself.
		measured[n] = dispatcher.Victim{Program: s.Program, OwnLoad: model.OwnLoad(s.Group, s.Program, now), Limit: limit}
		victims = append(victims, pacer.Victim{OwnLoad: own, Limit: limit, TargetMissed: s.Ratio > 1})
		programs = append(programs, s.Program)
	}
	v.SetVictims(measured)
	return victims, programs
}

// fillers returns the filling tasks at the VM with their pressures on the programs.
func (c *Coordinator) fillers(v *vm, programs []string) []pacer.BestEffortTask {
	var fillers []pacer.BestEffortTask
	for _, y := range v.runs {
		if !y.fills() {
			continue
		}
		share := float64(y.task.Step.Size.MilliProcessors) / float64(max(v.Capacity.MilliProcessors, 1))
		f := pacer.BestEffortTask{Name: y.name, Interference: make([]float64, len(programs))}
		for n, program := range programs {
			pressure, _ := c.state.model.Interference(program, y.task.Step.Image)
			f.Interference[n] = pressure * share
		}
		fillers = append(fillers, f)
	}
	return fillers
}

// move stops a run that can resume at another VM at once.
func (c *Coordinator) move(y *run, now time.Time) {
	vms, _ := c.candidates(now)
	if !c.state.dispatcher.FitsElsewhere(y.task, c.queueOf(y.task.Step.Job).Service, vms, &y.vm.VM) {
		return
	}
	c.withdraw(y, "fits elsewhere")
}

// withdraw stops a run so that its task starts again where it can work.
func (c *Coordinator) withdraw(y *run, reason string) {
	y.stopping = true
	c.Meter.Count("moves")
	c.Log.Info().Str("task", y.name).Int("run", y.number).Str("vm", y.vm.Name).Int("pace", y.pace).Str("reason", reason).Msg("run is moved")
}

// setPace changes the pace at which the run should work. It falls at once and rises in steps, each of which is measured before the next.
func (x *run) setPace(pace int, now time.Time) {
	if pace > x.pace {
		if now.Sub(x.climbedAt) < climbPause {
			return
		}
		pace = min(pace, x.pace+climbStep)
		x.climbedAt = now
	}
	x.pace = pace
	if pace >= stuckBelow {
		x.stuckSince = time.Time{}
	} else if x.stuckSince.IsZero() {
		x.stuckSince = now
	}
}

// stuck reports whether the run has hardly worked for a while and would lose nothing by a stop. It only takes up memory.
func (x *run) stuck(now time.Time) bool {
	return x.pace < stuckBelow && !x.stuckSince.IsZero() && now.Sub(x.stuckSince) > stuckTime && x.current && !x.stopping && x.answered &&
		(x.task.Step.Checkpoints || x.report.Percent < expendable)
}

// movable reports whether moving the run would help its task.
func (x *run) movable(now time.Time) bool {
	return x.pace < moveBelow && x.current && !x.stopping && x.answered && x.task.Step.Checkpoints && now.Sub(x.orderedAt) > settleTime
}

// worst returns the highest ratio of a latency at the VM to its target.
func (v *vm) worst() float64 {
	highest := 0.0
	for _, x := range v.runs {
		highest = max(highest, x.latency())
	}
	return highest
}

// fillingShares returns the shares of the VM's processors that filling programs used when the report was made.
func (v *vm) fillingShares() map[string]float64 {
	shares := map[string]float64{}
	for _, y := range v.runs {
		if y.fills() && v.Capacity.MilliProcessors > 0 {
			shares[y.task.Step.Image] += float64(y.report.Measurement) / float64(v.Capacity.MilliProcessors)
		}
	}
	return shares
}

func (x *run) fills() bool { return x.task != nil && x.task.Step.BestEffort }

// latency returns the ratio of the tail latency to its target, or 0 for a run without one or not at work.
func (x *run) latency() float64 {
	if x.task == nil || !x.task.Step.LongRunning || x.task.Step.TailTarget == 0 || x.report.Percent < pacer.FullPercent {
		return 0
	}
	return float64(x.report.Measurement) / (x.task.Step.TailTarget.Seconds() * 1000)
}
