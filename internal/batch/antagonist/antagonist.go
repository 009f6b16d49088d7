// Package antagonist estimates the interference between programs on the same VM: how much a best-effort program raises the tail latency
// of a long-running one, its victim.
//
// The model treats a tail latency like that of a queue: it is the unloaded latency divided by the idle share of the resources that the
// task has. So one minus the ratio of the unloaded latency to the measured one is a utilisation, which is the sum of the task's own load
// and the interference of each program on the VM. The own load changes within seconds, but is the same for all tasks of a group,
// wherever they run. Package regressor separates the summands, with one regressor for each victim.
package antagonist

import "time"

const (
	// measurementDeviation is the standard deviation of a measured utilisation. It comes from rounding and from load changes that the
	// tasks of a group do not share.
	measurementDeviation = 0.05
	// shareUncertainty is the possible error of an average share, as a part of the share's change during the measurement.
	shareUncertainty = 0.3
	// saturatedUtilisation is the utilisation above which a measurement only says that the load is too high. assumedOverload is the value
	// that is used instead.
	saturatedUtilisation = 0.93
	assumedOverload      = 1.2
	// minShare is the share of the processors below which a program counts as absent.
	minShare = 0.01
)

type (
	// Sample is one measurement of a task.
	Sample struct {
		// Task is the name of the task, Program the program that it runs, and Group the name of the tasks that share the load of their
		// users.
		Task, Program, Group string
		// Ratio is the ratio of the measured latency to the target. It is above 0.
		Ratio float64
	}

	// Model holds the estimated interference between programs. The zero value is an empty model. It is not safe for concurrent use.
	Model struct {
		observations int
		victims      map[string]*victimProgram
		trackers     map[string]*taskTracker
		windows      map[string]*window
	}
)

// Interference returns the estimated utilisation that the program adds to the victim, per share of the VM's processors, and its
// standard deviation.
func (m *Model) Interference(victim, program string) (mean, deviation float64) {
	estimate := m.victimProgram(victim).interference(program)
	return estimate.Mean, estimate.Deviation
}

// Utilisation converts a ratio of the victim's latency to its target into a utilisation from 0 to 1.
func (m *Model) Utilisation(victim string, ratio float64) float64 {
	if ratio <= 0 {
		return 0
	}
	return max(1-m.victimProgram(victim).unloadedRatio/ratio, 0)
}

// Limit returns the utilisation at which the victim's latency reaches its target.
func (m *Model) Limit(victim string) float64 { return 1 - m.victimProgram(victim).unloadedRatio }

// OwnLoad returns the utilisation that the tasks of a group cause themselves. The tasks run the given program.
func (m *Model) OwnLoad(group, program string, now time.Time) float64 {
	return m.victimProgram(program).ownLoad(group, now)
}

// Measure updates the model with the measurements of all long-running tasks on a VM and the current shares of its processors that the
// best-effort programs use. It returns the utilisation that each task causes itself.
func (m *Model) Measure(vm string, samples []Sample, shares map[string]float64, now time.Time) []float64 {
	m.prepare()
	w, ok := m.windows[vm]
	if !ok {
		w = &window{}
		m.windows[vm] = w
	}
	if w.advance(shares, now) {
		m.learn(w, samples, now)
	}
	ownLoads := make([]float64, len(samples))
	for n, s := range samples {
		ownLoads[n] = m.tracker(s.Task).ownLoad
	}
	return ownLoads
}

// learn updates the model with a finished window.
func (m *Model) learn(w *window, samples []Sample, now time.Time) {
	averageShares, shareChanges := w.finish()
	interference := map[string]float64{}
	leastLoaded := map[string]Sample{}
	for _, s := range samples {
		v, t := m.victimProgram(s.Program), m.tracker(s.Task)
		t.measure(s.Ratio, now)
		if t.warmedUp() {
			v.unloadedRatio = min(v.unloadedRatio, s.Ratio)
		}
		if _, ok := interference[s.Program]; !ok {
			interference[s.Program] = v.totalInterference(averageShares)
		}
		t.ownLoad = max(m.Utilisation(s.Program, t.ratio)-interference[s.Program], v.ownLoad(s.Group, now)-measurementDeviation, 0)
		if !t.warmedUp() {
			continue
		}
		// A load change of a single task can only raise its latency, so the task with the lowest latency shows the load of the group best.
		if known, ok := leastLoaded[s.Group]; !ok || t.ratio < m.tracker(known.Task).ratio {
			leastLoaded[s.Group] = s
		}
	}
	for _, s := range leastLoaded {
		m.observations++
		m.victimProgram(s.Program).observe(s.Group, averageShares, shareChanges, m.Utilisation(s.Program, m.tracker(s.Task).ratio), now)
	}
}

// ForgetTask removes the measurements of a task that has ended. The estimates are kept.
func (m *Model) ForgetTask(task string) { delete(m.trackers, task) }

// ForgetGroup removes the own load of a group whose tasks have all ended.
func (m *Model) ForgetGroup(group, program string) { m.victimProgram(program).forgetGroup(group) }

// ForgetVM removes the measurement window of a VM that no longer exists.
func (m *Model) ForgetVM(vm string) { delete(m.windows, vm) }

func (m *Model) prepare() {
	if m.victims == nil {
		m.victims, m.trackers, m.windows = map[string]*victimProgram{}, map[string]*taskTracker{}, map[string]*window{}
	}
}

func (m *Model) victimProgram(program string) *victimProgram {
	m.prepare()
	v, ok := m.victims[program]
	if !ok {
		v = newVictimProgram()
		m.victims[program] = v
	}
	return v
}

func (m *Model) tracker(task string) *taskTracker {
	t, ok := m.trackers[task]
	if !ok {
		t = &taskTracker{}
		m.trackers[task] = t
	}
	return t
}
