package antagonist

import (
	"math"
	"time"

	"bamboohook/internal/batch/regressor"
)

const (
	// restRatio is the ratio of the latency at rest to the target before a lower one was seen.
	restRatio = 0.3
	// ownWeight is the weight of one observation of the usual own load.
	ownWeight = 0.005
	// ownPersistence is how long a known own load predicts a later one.
	ownPersistence = 8 * time.Second
	// ownDrift is the deviation that an own load gains in a second.
	ownDrift = 0.08
	// pressDrift is the deviation that a pressure gains in a second, while the program is there.
	pressDrift = 0.1
	// quantities bounds what is estimated for a victim, because the cost grows with its square. Further programs count as unknown and
	// further groups as usual.
	quantities = 96
	// loadPrefix and pressPrefix tell groups and programs apart.
	loadPrefix  = "load "
	pressPrefix = "press "
)

var (
	// priorPressure is what is expected of the pressure, per share of the VM's processors, of a program that was never observed.
	// Programs press by 0 to about 5.
	priorPressure = regressor.Estimate{Mean: 0.3, Deviation: 1.2}
	// priorLoad is an own load before any was seen.
	priorLoad = regressor.Estimate{Mean: 0.42, Deviation: 0.15}
)

// victim is a program whose latency others raise.
type victim struct {
	rest float64
	// usual is the usual own load of the program's tasks.
	usual regressor.Estimate
	model regressor.Regressor
	// relaxed is when the drift of a quantity was last taken into account.
	relaxed map[string]time.Time
	// known holds the pressures that were asked for since the last measurement.
	known map[string]regressor.Estimate
}

func newVictim() *victim {
	return &victim{rest: restRatio, usual: priorLoad, relaxed: map[string]time.Time{}, known: map[string]regressor.Estimate{}}
}

// pressure returns what is known of a program.
func (v *victim) pressure(program string) regressor.Estimate {
	b, ok := v.known[program]
	if ok {
		return b
	}
	if b, ok = v.model.Estimate(pressPrefix + program); !ok {
		b = priorPressure
	}
	v.known[program] = b
	return b
}

// load returns the own load of the group now.
func (v *victim) load(group string, now time.Time) float64 {
	name := loadPrefix + group
	if _, ok := v.relaxed[name]; !ok {
		if v.model.Len() >= quantities {
			return v.usual.Mean
		}
		v.model.Add(name, v.usual)
		v.relaxed[name] = now
	}
	if elapsed := now.Sub(v.relaxed[name]); elapsed > 0 {
		keep := math.Exp(-float64(elapsed) / float64(ownPersistence))
		v.model.Revert(name, v.usual, keep, ownDrift*math.Sqrt(elapsed.Seconds()))
		v.relaxed[name] = now
	}
	b, _ := v.model.Estimate(name)
	return b.Mean
}

// felt returns what the company adds.
func (v *victim) felt(company map[string]float64) float64 {
	sum := 0.0
	for program, share := range company {
		sum += share * v.pressure(program).Mean
	}
	return sum
}

// observe takes a measured utilisation of the group among the company, whose shares have changed by the amounts meanwhile.
func (v *victim) observe(group string, company, changed map[string]float64, used float64, now time.Time) {
	weights := map[string]float64{loadPrefix + group: 1}
	for program, share := range company {
		name := pressPrefix + program
		if v.model.Len() < quantities {
			v.model.Add(name, priorPressure)
		}
		if elapsed := now.Sub(v.relaxed[name]); elapsed > 0 {
			v.model.Revert(name, priorPressure, 1, pressDrift*math.Sqrt(min(elapsed, ownPersistence).Seconds()))
			v.relaxed[name] = now
		}
		weights[name] = share
	}
	variance := noise * noise
	for program, amount := range changed {
		b := v.pressure(program)
		wrong := unsteadiness * amount * (b.Mean + b.Deviation)
		variance += wrong * wrong
	}
	if len(company) == 0 {
		v.usual.Mean += ownWeight * (used - v.usual.Mean)
	}
	bound := used > saturated
	if bound {
		used = overload
	}
	clear(v.known)
	v.model.Observe(weights, regressor.Estimate{Mean: used, Deviation: math.Sqrt(variance)}, bound)
}

func (v *victim) forget(group string) {
	v.model.Remove(loadPrefix + group)
	delete(v.relaxed, loadPrefix+group)
}
