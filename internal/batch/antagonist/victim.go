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
	// loadPersistence is the time constant of the exponential decay with which the estimate of a group's own load reverts to the usual own
	// load of its program. It also limits the time over which an interference drifts.
	loadPersistence = 8 * time.Second
	// ownLoadDrift is the standard deviation that the estimate of an own load gains within a second since its last update.
	ownLoadDrift = 0.08
	// interferenceDrift is the standard deviation that the estimate of an interference gains within a second since its last update. At most
	// loadPersistence counts as the time since then.
	interferenceDrift = 0.1
	// maxQuantities limits the number of own loads and interferences that are estimated for a long-running program, because the time for an
	// update grows with the square of that number. Further best-effort programs keep the estimate priorInterference, and further groups are
	// assumed to have the usual own load.
	maxQuantities = 96
	// maxCachedEstimates limits interferenceCache.
	maxCachedEstimates = 1024
	// The regressor names the own load of a group by ownLoadPrefix and the name of the group, and the interference of a best-effort program by
	// interferencePrefix and the name of the program.
	ownLoadPrefix      = "load "
	interferencePrefix = "press "
)

var (
	// priorInterference is the estimated interference of a best-effort program without measurements. Actual values are between 0 and about
	// 5, because an interference is the utilisation that the program would add if it used all processors of the VM.
	priorInterference = regressor.Estimate{Mean: 0.3, Deviation: 1.2}
	// priorOwnLoad is the estimated own load of a group without measurements.
	priorOwnLoad = regressor.Estimate{Mean: 0.42, Deviation: 0.15}
)

// longRunningProgram holds the estimates for a long-running program whose latency best-effort programs raise.
type longRunningProgram struct {
	// unloadedRatio is the lowest measured ratio of a task's latency to its target, or initialUnloadedRatio if that is lower. It is used as
	// the ratio of the unloaded latency to the target.
	unloadedRatio float64
	// usualOwnLoad is the moving average of the own load of the program's tasks. Its mean is updated on VMs without best-effort programs.
	usualOwnLoad regressor.Estimate
	// estimates holds the own load of each group and the interference of each best-effort program.
	estimates regressor.Regressor
	// driftAppliedAt is when the drift (and for an own load the decay) was last applied to each estimate, by the name of the quantity in
	// the regressor.
	driftAppliedAt map[string]time.Time
	// interferenceCache holds the estimates that were requested since the last update of the estimates, by the name of the program.
	interferenceCache map[string]regressor.Estimate
	// usedAt is the number of the last use of the estimates, among all programs of the model. updatedAt is the number of their last update.
	usedAt    uint64
	updatedAt int
}

func newLongRunningProgram() *longRunningProgram {
	return &longRunningProgram{
		unloadedRatio: initialUnloadedRatio, usualOwnLoad: priorOwnLoad, driftAppliedAt: map[string]time.Time{},
		interferenceCache: map[string]regressor.Estimate{},
	}
}

// interference returns the estimated interference of a best-effort program with this program.
func (v *longRunningProgram) interference(program string) regressor.Estimate {
	estimate, ok := v.interferenceCache[program]
	if ok {
		return estimate
	}
	estimate = v.peek(program)
	if len(v.interferenceCache) >= maxCachedEstimates {
		clear(v.interferenceCache)
	}
	v.interferenceCache[program] = estimate
	return estimate
}

// peek returns the same as interference, but does not store it.
func (v *longRunningProgram) peek(program string) regressor.Estimate {
	if estimate, ok := v.interferenceCache[program]; ok {
		return estimate
	}
	if estimate, ok := v.estimates.Estimate(interferencePrefix + program); ok {
		return estimate
	}
	return priorInterference
}

// ownLoad returns the estimated own load of the group now. It adds a group that is not estimated yet. Otherwise, it first moves the estimate
// towards the usual own load for the time since the last call.
func (v *longRunningProgram) ownLoad(group string, now time.Time) float64 {
	name := ownLoadPrefix + group
	if _, ok := v.driftAppliedAt[name]; !ok {
		if v.estimates.Len() >= maxQuantities {
			return v.usualOwnLoad.Mean
		}
		v.estimates.Add(name, v.usualOwnLoad)
		v.driftAppliedAt[name] = now
	}
	if elapsed := now.Sub(v.driftAppliedAt[name]); elapsed > 0 {
		decayFactor := math.Exp(-float64(elapsed) / float64(loadPersistence))
		v.estimates.Revert(name, v.usualOwnLoad, decayFactor, ownLoadDrift*math.Sqrt(elapsed.Seconds()))
		v.driftAppliedAt[name] = now
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

// updateEstimates updates the estimates with the measured utilisation of a task of the group. averageShares holds the average share of the
// VM's processors that each best-effort program used during the measurement. shareRanges holds the difference between the highest and the
// lowest share of each program.
func (v *longRunningProgram) updateEstimates(group string, averageShares, shareRanges map[string]float64, utilisation float64, now time.Time) {
	weights := map[string]float64{ownLoadPrefix + group: 1}
	for program, share := range averageShares {
		name := interferencePrefix + program
		if v.estimates.Len() < maxQuantities {
			v.estimates.Add(name, priorInterference)
		}
		if elapsed := now.Sub(v.driftAppliedAt[name]); elapsed > 0 {
			v.estimates.Revert(name, priorInterference, 1, interferenceDrift*math.Sqrt(min(elapsed, loadPersistence).Seconds()))
			v.driftAppliedAt[name] = now
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
		v.usualOwnLoad.Mean += usualLoadWeight * (utilisation - v.usualOwnLoad.Mean)
	}
	lowerBound := utilisation > saturatedUtilisation
	if lowerBound {
		utilisation = assumedOverload
	}
	clear(v.interferenceCache)
	v.estimates.Update(weights, regressor.Estimate{Mean: utilisation, Deviation: math.Sqrt(variance)}, lowerBound)
}

// forgetGroup removes the estimated own load of the group.
func (v *longRunningProgram) forgetGroup(group string) {
	v.estimates.Remove(ownLoadPrefix + group)
	delete(v.driftAppliedAt, ownLoadPrefix+group)
}
