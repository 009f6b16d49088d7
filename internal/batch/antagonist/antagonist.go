// Package antagonist estimates the interference between programs on the same VM: how much a best-effort program raises the tail latency
// of the tasks of a long-running program.
//
// The model treats the tail latency of a long-running task like that of a queue: it is the unloaded latency divided by the idle share of
// the resources that the task has. So one minus the ratio of the unloaded latency to the measured one is a utilisation. This utilisation is
// the sum of the task's own load and, for each best-effort program on the VM, of its interference times the share of the VM's processors
// that it uses. The own load changes within seconds, but is the same for all tasks of a group, wherever they run. Package regressor
// separates the summands, with one regressor for each long-running program.
package antagonist

import "time"

const (
	// measurementDeviation is the standard deviation of a measured utilisation. It comes from rounding and from load changes that the
	// tasks of a group do not share.
	measurementDeviation = 0.05
	// shareUncertainty is the possible error of an average share, as a fraction of the difference between the highest and the lowest
	// share during the measurement.
	shareUncertainty = 0.3
	// saturatedUtilisation is the utilisation above which a measurement shows that the VM is overloaded, but not how much. Such a
	// measurement only counts as a utilisation of at least assumedOverload.
	saturatedUtilisation = 0.93
	assumedOverload      = 1.2
	// maxPrograms limits the long-running programs with estimates. Beyond it, the program that was not used for the longest time is forgotten.
	maxPrograms = 512
	// minShare is the share of a VM's processors below which a best-effort program counts as absent.
	minShare = 0.01
)

type (
	// Sample is one measurement of a long-running task.
	Sample struct {
		// Task is the name of the task, and Program the name of the program that the task runs. Group is the name of the group to which the
		// task belongs. The tasks of a group serve the same users and therefore have the same own load.
		Task, Program, Group string
		// LatencyRatio is the ratio of the measured tail latency to the task's latency target. It must be above 0.
		LatencyRatio float64
	}

	// Model holds the estimated interference between programs. The zero value is an empty model. It is not safe for concurrent use.
	Model struct {
		// updates is the number of updates of the estimates by a measured utilisation.
		updates int
		// uses counts the uses of the estimates of all programs.
		uses uint64
		// longRunningPrograms holds the estimates for each long-running program, trackers the last measurement of each long-running task, and
		// windows the window of each VM, all by their names.
		longRunningPrograms map[string]*longRunningProgram
		trackers            map[string]*taskTracker
		windows             map[string]*window
	}
)

// Interference returns the estimated utilisation that the best-effort program would add to a task of the long-running program if it used
// all processors of the VM, and the standard deviation of that estimate.
func (m *Model) Interference(longRunning, bestEffort string) (mean, deviation float64) {
	estimate := m.longRunningProgram(longRunning).interference(bestEffort)
	return estimate.Mean, estimate.Deviation
}

// Peek returns the same as Interference, but leaves the model unchanged: it does not count as a use of the program.
func (m *Model) Peek(longRunning, bestEffort string) (mean, deviation float64) {
	estimate := priorInterference
	if v, ok := m.longRunningPrograms[longRunning]; ok {
		estimate = v.peek(bestEffort)
	}
	return estimate.Mean, estimate.Deviation
}

// Utilisation converts the ratio of a task's latency to its target into a utilisation from 0 to 1. The task runs the given long-running
// program.
func (m *Model) Utilisation(program string, ratio float64) float64 {
	if ratio <= 0 {
		return 0
	}
	return max(1-m.longRunningProgram(program).unloadedRatio/ratio, 0)
}

// Limit returns the utilisation at which the latency of a task of the long-running program reaches its target.
func (m *Model) Limit(program string) float64 { return 1 - m.longRunningProgram(program).unloadedRatio }

// OwnLoad returns the estimated utilisation that each task of the group causes itself. The tasks run the given long-running program.
func (m *Model) OwnLoad(group, program string, now time.Time) float64 {
	return m.longRunningProgram(program).ownLoad(group, now)
}

// Update updates the model with the samples of all long-running tasks on a VM and with the share of the VM's processors that each
// best-effort program uses now, by the names of the programs. The estimates only change if minWindow has passed since their last update for
// the VM. Update returns the own load of each task, in the order of the samples.
func (m *Model) Update(vm string, samples []Sample, shares map[string]float64, now time.Time) []float64 {
	m.prepare()
	w, ok := m.windows[vm]
	if !ok {
		w = &window{}
		m.windows[vm] = w
	}
	if w.advance(shares, now) {
		m.updateEstimates(w, samples, now)
	}
	ownLoads := make([]float64, len(samples))
	for n, s := range samples {
		ownLoads[n] = m.tracker(s.Task).ownLoad
	}
	return ownLoads
}

// updateEstimates ends the window and updates the estimates with the samples, which were measured at its end.
func (m *Model) updateEstimates(w *window, samples []Sample, now time.Time) {
	averageShares, shareRanges := w.finish()
	totalInterference := map[string]float64{}
	leastLoadedSamples := map[string]Sample{}
	for _, s := range samples {
		v, t := m.longRunningProgram(s.Program), m.tracker(s.Task)
		t.addMeasurement(s.LatencyRatio, now)
		if t.warmedUp() {
			v.unloadedRatio = min(v.unloadedRatio, s.LatencyRatio)
		}
		if _, ok := totalInterference[s.Program]; !ok {
			totalInterference[s.Program] = v.totalInterference(averageShares)
		}
		// The tasks of a group have the same own load, so the estimate for the task is at least the one for its group minus
		// measurementDeviation.
		t.ownLoad = max(m.Utilisation(s.Program, t.latencyRatio)-totalInterference[s.Program], v.ownLoad(s.Group, now)-measurementDeviation, 0)
		if !t.warmedUp() {
			continue
		}
		// A load change that concerns a single task of the group can only raise its latency, so the task with the lowest latency shows the
		// load of the group best.
		if known, ok := leastLoadedSamples[s.Group]; !ok || t.latencyRatio < m.tracker(known.Task).latencyRatio {
			leastLoadedSamples[s.Group] = s
		}
	}
	for _, s := range leastLoadedSamples {
		m.updates++
		v := m.longRunningProgram(s.Program)
		v.updatedAt = m.updates
		v.updateEstimates(s.Group, averageShares, shareRanges, m.Utilisation(s.Program, m.tracker(s.Task).latencyRatio), now)
	}
}

// ForgetTask removes the measurements of a task's run that has ended. The estimates for the task's program and group are kept.
func (m *Model) ForgetTask(task string) { delete(m.trackers, task) }

// ForgetGroup removes the estimated own load of a group whose tasks have all ended.
func (m *Model) ForgetGroup(group, program string) { m.longRunningProgram(program).forgetGroup(group) }

// ForgetVM removes the measurement window of a VM that no longer exists.
func (m *Model) ForgetVM(vm string) { delete(m.windows, vm) }

// prepare creates the maps of an empty model.
func (m *Model) prepare() {
	if m.longRunningPrograms == nil {
		m.longRunningPrograms, m.trackers, m.windows = map[string]*longRunningProgram{}, map[string]*taskTracker{}, map[string]*window{}
	}
}

// longRunningProgram returns the estimates for the program. It adds initial ones if there are none.
func (m *Model) longRunningProgram(program string) *longRunningProgram {
	m.prepare()
	v, ok := m.longRunningPrograms[program]
	if !ok {
		m.forgetUnusedProgram()
		v = newLongRunningProgram()
		m.longRunningPrograms[program] = v
	}
	m.uses++
	v.usedAt = m.uses
	return v
}

// forgetUnusedProgram makes room for another program if there are maxPrograms.
func (m *Model) forgetUnusedProgram() {
	if len(m.longRunningPrograms) < maxPrograms {
		return
	}
	unused := ""
	for name, v := range m.longRunningPrograms {
		if unused == "" || v.usedAt < m.longRunningPrograms[unused].usedAt {
			unused = name
		}
	}
	delete(m.longRunningPrograms, unused)
}

// tracker returns the tracker of the task. It adds an empty one if there is none.
func (m *Model) tracker(task string) *taskTracker {
	t, ok := m.trackers[task]
	if !ok {
		t = &taskTracker{}
		m.trackers[task] = t
	}
	return t
}
