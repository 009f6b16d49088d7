// Package antagonist learns how much programs press on the latency of others on the same VM.
//
// A tail latency grows like that of a queue: it is the one at rest divided by the idle part of what the program has to itself. So
// one minus the ratio of the latency at rest to the measured one is a utilisation, to which the task's own load and the pressure
// of each program beside it add up. The own load swings within seconds, but is the same for all tasks of a group, wherever they
// run. Package regressor tells the summands apart, one regressor for each program that suffers.
package antagonist

import "time"

const (
	// noise is the deviation of one measured utilisation, by rounding and by swings that the group does not share.
	noise = 0.05
	// unsteadiness is the part of a change of a share within a measurement by which the average share may be wrong.
	unsteadiness = 0.3
	// saturated is the utilisation from which a measurement says only that there is too much, and overload what is then assumed.
	saturated = 0.93
	overload  = 1.2
	// leastShare is the share of processors below which a program counts as absent.
	leastShare = 0.01
)

type (
	// Sample is one measurement of a task.
	Sample struct {
		// Task names the task, Program what it runs, and Group the tasks that share the load of its users.
		Task, Program, Group string
		// Ratio is that of the measured latency to the target, above 0.
		Ratio float64
	}

	// Model holds the pressures. The zero value has learned nothing. It is not safe for concurrent use.
	Model struct {
		changes int
		victims map[string]*victim
		tasks   map[string]*trace
		vms     map[string]*window
	}
)

// Interference returns the expected pressure of the program on the victim, per share of the VM's processors, and its deviation.
func (m *Model) Interference(name, program string) (mean, deviation float64) {
	b := m.victim(name).pressure(program)
	return b.Mean, b.Deviation
}

// Utilisation returns what a ratio of latency to target means for the victim, from 0 to 1.
func (m *Model) Utilisation(name string, ratio float64) float64 {
	if ratio <= 0 {
		return 0
	}
	return max(1-m.victim(name).rest/ratio, 0)
}

// Limit returns the utilisation at which the victim's latency is at its target.
func (m *Model) Limit(name string) float64 { return 1 - m.victim(name).rest }

// OwnLoad returns the utilisation that the tasks of a group cause themselves; program is what they run.
func (m *Model) OwnLoad(group, program string, now time.Time) float64 {
	return m.victim(program).load(group, now)
}

// Measure takes the measurements of all tasks at a VM and the shares of its processors that the programs beside them use now. It
// returns the utilisation that each task causes itself.
func (m *Model) Measure(vm string, samples []Sample, shares map[string]float64, now time.Time) []float64 {
	m.prepare()
	w, ok := m.vms[vm]
	if !ok {
		w = &window{}
		m.vms[vm] = w
	}
	if w.advance(shares, now) {
		m.take(w, samples, now)
	}
	own := make([]float64, len(samples))
	for n, s := range samples {
		own[n] = m.trace(s.Task).own
	}
	return own
}

// take learns from a complete window.
func (m *Model) take(w *window, samples []Sample, now time.Time) {
	company, changed := w.take()
	felt := map[string]float64{}
	least := map[string]Sample{}
	for _, s := range samples {
		v, t := m.victim(s.Program), m.trace(s.Task)
		t.measure(s.Ratio, now)
		if t.settled() {
			v.rest = min(v.rest, s.Ratio)
		}
		if _, ok := felt[s.Program]; !ok {
			felt[s.Program] = v.felt(company)
		}
		t.own = max(m.Utilisation(s.Program, t.ratio)-felt[s.Program], v.load(s.Group, now)-noise, 0)
		if !t.settled() {
			continue
		}
		// A swing of one task lifts its latency, and nothing lowers it: the least pressed task shows what all of its group feel.
		if first, ok := least[s.Group]; !ok || t.ratio < m.trace(first.Task).ratio {
			least[s.Group] = s
		}
	}
	for _, s := range least {
		m.changes++
		m.victim(s.Program).observe(s.Group, company, changed, m.Utilisation(s.Program, m.trace(s.Task).ratio), now)
	}
}

// ForgetTask drops what is remembered of a task that has ended; what was learned stays.
func (m *Model) ForgetTask(task string) { delete(m.tasks, task) }

// ForgetGroup drops what is remembered of a group whose tasks have all ended.
func (m *Model) ForgetGroup(group, program string) { m.victim(program).forget(group) }

// ForgetVM drops what is remembered of a VM that has gone.
func (m *Model) ForgetVM(vm string) { delete(m.vms, vm) }

func (m *Model) prepare() {
	if m.victims == nil {
		m.victims, m.tasks, m.vms = map[string]*victim{}, map[string]*trace{}, map[string]*window{}
	}
}

func (m *Model) victim(name string) *victim {
	m.prepare()
	v, ok := m.victims[name]
	if !ok {
		v = newVictim()
		m.victims[name] = v
	}
	return v
}

func (m *Model) trace(task string) *trace {
	t, ok := m.tasks[task]
	if !ok {
		t = &trace{}
		m.tasks[task] = t
	}
	return t
}
