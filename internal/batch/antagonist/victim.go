package antagonist

import (
	"math"
	"time"

	"bamboohook/internal/batch/regressor"
)

const (
	// initialUnloadedRatio is the ratio of the unloaded latency to the target until a lower ratio was measured.
	initialUnloadedRatio = 0.3
	// usualLoadWeight is the weight of one measurement in the moving average of the usual own load.
	usualLoadWeight = 0.005
	// loadPersistence is the time constant with which an own load reverts to the usual one.
	loadPersistence = 8 * time.Second
	// loadDrift is the standard deviation that an own load gains within a second.
	loadDrift = 0.08
	// interferenceDrift is the standard deviation that an interference gains within a second while the program runs.
	interferenceDrift = 0.1
	// maxQuantities limits the number of quantities that are estimated for a victim, because the cost grows with its square. Further
	// programs count as unknown, and further groups as having the usual load.
	maxQuantities = 96
	// loadPrefix and interferencePrefix mark the names of the quantities as groups and as programs.
	loadPrefix         = "load "
	interferencePrefix = "press "
)

var (
	// priorInterference is the estimate for a program without measurements, per share of the VM's processors. Actual values are
	// between 0 and about 5.
	priorInterference = regressor.Estimate{Mean: 0.3, Deviation: 1.2}
	// priorLoad is the estimated own load of a group without measurements.
	priorLoad = regressor.Estimate{Mean: 0.42, Deviation: 0.15}
)

// victim is a long-running program whose latency other programs raise.
type victim struct {
	unloadedRatio float64
	// usualLoad is the average own load of the program's tasks.
	usualLoad regressor.Estimate
	estimates regressor.Regressor
	// revertedAt is when each quantity was last reverted towards its prior.
	revertedAt map[string]time.Time
	// interferenceCache holds the estimates that were requested since the last measurement.
	interferenceCache map[string]regressor.Estimate
}

func newVictim() *victim {
	return &victim{
		unloadedRatio: initialUnloadedRatio, usualLoad: priorLoad, revertedAt: map[string]time.Time{},
		interferenceCache: map[string]regressor.Estimate{},
	}
}

// interference returns the estimated interference of a program.
func (v *victim) interference(program string) regressor.Estimate {
	b, ok := v.interferenceCache[program]
	if ok {
		return b
	}
	if b, ok = v.estimates.Estimate(interferencePrefix + program); !ok {
		b = priorInterference
	}
	v.interferenceCache[program] = b
	return b
}

// ownLoad returns the estimated own load of the group now.
func (v *victim) ownLoad(group string, now time.Time) float64 {
	name := loadPrefix + group
	if _, ok := v.revertedAt[name]; !ok {
		if v.estimates.Len() >= maxQuantities {
			return v.usualLoad.Mean
		}
		v.estimates.Add(name, v.usualLoad)
		v.revertedAt[name] = now
	}
	if elapsed := now.Sub(v.revertedAt[name]); elapsed > 0 {
		keep := math.Exp(-float64(elapsed) / float64(loadPersistence))
		v.estimates.Revert(name, v.usualLoad, keep, loadDrift*math.Sqrt(elapsed.Seconds()))
		v.revertedAt[name] = now
	}
	b, _ := v.estimates.Estimate(name)
	return b.Mean
}

// totalInterference returns the sum of the estimated interference of all programs on the VM at their shares.
func (v *victim) totalInterference(colocated map[string]float64) float64 {
	sum := 0.0
	for program, share := range colocated {
		sum += share * v.interference(program).Mean
	}
	return sum
}

// observe updates the estimates with a measured utilisation of the group. colocated holds the average shares of the other programs on
// the VM, changed by how much their shares changed during the measurement.
func (v *victim) observe(group string, colocated, changed map[string]float64, utilisation float64, now time.Time) {
	weights := map[string]float64{loadPrefix + group: 1}
	for program, share := range colocated {
		name := interferencePrefix + program
		if v.estimates.Len() < maxQuantities {
			v.estimates.Add(name, priorInterference)
		}
		if elapsed := now.Sub(v.revertedAt[name]); elapsed > 0 {
			v.estimates.Revert(name, priorInterference, 1, interferenceDrift*math.Sqrt(min(elapsed, loadPersistence).Seconds()))
			v.revertedAt[name] = now
		}
		weights[name] = share
	}
	variance := measurementDeviation * measurementDeviation
	for program, amount := range changed {
		b := v.interference(program)
		shareError := shareUncertainty * amount * (b.Mean + b.Deviation)
		variance += shareError * shareError
	}
	if len(colocated) == 0 {
		v.usualLoad.Mean += usualLoadWeight * (utilisation - v.usualLoad.Mean)
	}
	lowerBound := utilisation > saturatedUtilisation
	if lowerBound {
		utilisation = assumedOverload
	}
	clear(v.interferenceCache)
	v.estimates.Observe(weights, regressor.Estimate{Mean: utilisation, Deviation: math.Sqrt(variance)}, lowerBound)
}

func (v *victim) forgetGroup(group string) {
	v.estimates.Remove(loadPrefix + group)
	delete(v.revertedAt, loadPrefix+group)
}
