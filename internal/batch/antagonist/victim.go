package antagonist

import (
	"math"
	"time"

	"bamboohook/internal/batch/regressor"
)

const (
	// initialUnloadedRatio is the assumed ratio of the unloaded latency to the target. It applies until a lower ratio has been measured.
	initialUnloadedRatio = 0.3
	// usualLoadWeight is the weight of one measurement in the moving average of the usual own load.
	usualLoadWeight = 0.005
	// loadPersistence is the time constant with which the estimate of an own load reverts to the usual own load.
	loadPersistence = 8 * time.Second
	// loadDrift is the standard deviation that the estimate of an own load gains within a second.
	loadDrift = 0.08
	// interferenceDrift is the standard deviation that the estimate of an interference gains within a second while the program runs.
	interferenceDrift = 0.1
	// maxQuantities limits the number of own loads and interferences that are estimated for a victim, because the time for an update grows
	// with the square of that number. Further programs keep the estimate priorInterference, and further groups are assumed to have the
	// usual load.
	maxQuantities = 96
	// loadPrefix is put before the name of a group to name its own load in the regressor, interferencePrefix before the name of a program to
	// name its interference.
	loadPrefix         = "load "
	interferencePrefix = "press "
)

var (
	// priorInterference is the estimated interference of a program without measurements if it used all processors of the VM. Actual values
	// are between 0 and about 5.
	priorInterference = regressor.Estimate{Mean: 0.3, Deviation: 1.2}
	// priorLoad is the estimated own load of a group without measurements.
	priorLoad = regressor.Estimate{Mean: 0.42, Deviation: 0.15}
)

// victimProgram holds the estimates for a long-running program whose latency best-effort programs raise.
type longRunningProgram struct {
	// unloadedRatio is the lowest known ratio of the latency to the target.
	unloadedRatio float64
	// usualLoad is the average own load of the program's tasks.
	usualLoad regressor.Estimate
	// estimates holds the own load of each group and the interference of each best-effort program.
	estimates regressor.Regressor
	// revertedAt is when each estimate was last moved towards its prior, by the name of the quantity in the regressor.
	updatedAt map[string]time.Time
	// interferenceCache holds the estimates that were requested since the last update of the estimates, by the name of the program.
	interferenceCache map[string]regressor.Estimate
}

func newLongRunningProgram() *longRunningProgram {
	return &longRunningProgram{
		unloadedRatio: initialUnloadedRatio, usualLoad: priorLoad, updatedAt: map[string]time.Time{},
		interferenceCache: map[string]regressor.Estimate{},
	}
}

// interference returns the estimated interference of a program.
func (v *longRunningProgram) interference(program string) regressor.Estimate {
	estimate, ok := v.interferenceCache[program]
	if ok {
		return estimate
	}
	if estimate, ok = v.estimates.Estimate(interferencePrefix + program); !ok {
		estimate = priorInterference
	}
	v.interferenceCache[program] = estimate
	return estimate
}

// ownLoad returns the estimated own load of the group now.
func (v *longRunningProgram) ownLoad(group string, now time.Time) float64 {
	name := loadPrefix + group
	if _, ok := v.updatedAt[name]; !ok {
		if v.estimates.Len() >= maxQuantities {
			return v.usualLoad.Mean
		}
		v.estimates.Add(name, v.usualLoad)
		v.updatedAt[name] = now
	}
	if elapsed := now.Sub(v.updatedAt[name]); elapsed > 0 {
		decayFactor := math.Exp(-float64(elapsed) / float64(loadPersistence))
		v.estimates.Revert(name, v.usualLoad, decayFactor, loadDrift*math.Sqrt(elapsed.Seconds()))
		v.updatedAt[name] = now
	}
	estimate, _ := v.estimates.Estimate(name)
	return estimate.Mean
}

// totalInterference returns the estimated utilisation that best-effort programs add when they use the given shares of the VM's processors.
func (v *longRunningProgram) totalInterference(shares map[string]float64) float64 {
	total := 0.0
	for program, share := range shares {
		total += share * v.interference(program).Mean
	}
	return total
}

// observe updates the estimates with the measured utilisation of a task of the group. averageShares holds the average share of each
// best-effort program on the VM during the measurement. shareChanges holds the difference between its highest and its lowest share.
func (v *longRunningProgram) updateEstimates(group string, averageShares, shareRanges map[string]float64, utilisation float64, now time.Time) {
	weights := map[string]float64{loadPrefix + group: 1}
	for program, share := range averageShares {
		name := interferencePrefix + program
		if v.estimates.Len() < maxQuantities {
			v.estimates.Add(name, priorInterference)
		}
		if elapsed := now.Sub(v.updatedAt[name]); elapsed > 0 {
			v.estimates.Revert(name, priorInterference, 1, interferenceDrift*math.Sqrt(min(elapsed, loadPersistence).Seconds()))
			v.updatedAt[name] = now
		}
		weights[name] = share
	}
	variance := measurementDeviation * measurementDeviation
	for program, shareRange := range shareRanges {
		estimate := v.interference(program)
		shareError := shareUncertainty * shareRange * (estimate.Mean + estimate.Deviation)
		variance += shareError * shareError
	}
	if len(averageShares) == 0 {
		v.usualLoad.Mean += usualLoadWeight * (utilisation - v.usualLoad.Mean)
	}
	lowerBound := utilisation > saturatedUtilisation
	if lowerBound {
		utilisation = assumedOverload
	}
	clear(v.interferenceCache)
	v.estimates.Update(weights, regressor.Estimate{Mean: utilisation, Deviation: math.Sqrt(variance)}, lowerBound)
}

func (v *longRunningProgram) forgetGroup(group string) {
	v.estimates.Remove(loadPrefix + group)
	delete(v.updatedAt, loadPrefix+group)
}
