package estimator

import (
	"maps"
	"math"
	"slices"
	"time"
)

// maxCommitments is the number of commitments kept for a VM between two reports.
const maxCommitments = 256

type (
	// LoadReport is a measurement of the shares of a VM's processors that each kind uses.
	LoadReport struct {
		VM string `json:"vm"`
		// Critical lists the latency-critical kinds on the VM.
		Critical   []string           `json:"critical"`
		Shares     map[string]float64 `json:"shares"`
		MeasuredAt time.Time          `json:"measured"`
	}

	vmLoad struct {
		measuredAt      time.Time
		criticalIndexes []int
		shares          []kindShare
		commitments     []commitment
	}

	kindShare struct {
		kindIndex int
		share     float64
	}

	commitment struct {
		kindShare
		committedAt time.Time
	}
)

// SetLoad replaces the load of the VM by the reported one. Commitments made after the measurement
// still count in addition. A report that is older than the last one is ignored.
func (e *Estimator) SetLoad(report LoadReport) {
	v := e.findOrAddLoad(report.VM)
	if report.MeasuredAt.Before(v.measuredAt) {
		return
	}
	v.measuredAt = report.MeasuredAt
	v.criticalIndexes, v.shares = v.criticalIndexes[:0], v.shares[:0]
	for _, kind := range report.Critical {
		v.criticalIndexes = append(v.criticalIndexes, e.assignIndex(kind))
	}
	for _, kind := range slices.Sorted(maps.Keys(report.Shares)) {
		v.shares = append(v.shares, kindShare{e.assignIndex(kind), report.Shares[kind]})
	}
	retained := v.commitments[:0]
	for _, c := range v.commitments {
		if c.committedAt.After(v.measuredAt) {
			retained = append(retained, c)
		}
	}
	v.commitments = retained
}

// Commit adds the share of a task that was placed after the last report was measured. A negative
// share removes a task that has stopped since.
func (e *Estimator) Commit(vm, kind string, share float64) {
	v := e.findOrAddLoad(vm)
	if len(v.commitments) == maxCommitments {
		v.commitments = append(v.commitments[:0], v.commitments[1:]...)
	}
	v.commitments = append(v.commitments, commitment{kindShare{e.assignIndex(kind), share}, e.options.Clock.Now()})
}

// Remove deletes the load of the VM.
func (e *Estimator) Remove(vm string) {
	delete(e.loads, vm)
}

// Slowdown returns the factor by which the most affected latency-critical kind on the VM is
// expected to be slowed down once kind uses the additional share of the VM's processors. It is 1 for
// a VM without latency-critical kinds and for one without a report.
func (e *Estimator) Slowdown(vm, kind string, share float64) float64 {
	v, ok := e.loads[vm]
	if !ok {
		return 1
	}
	now := e.options.Clock.Now()
	addedIndex := e.findIndex(kind)
	maxLogSlowdown := 0.0
	for _, victimIndex := range v.criticalIndexes {
		victimPairs := e.pairsOfVictim(victimIndex)
		logSlowdown := e.decay(victimPairs[addedIndex], now).mean * share
		for _, s := range v.shares {
			if s.kindIndex != victimIndex {
				logSlowdown += e.decay(victimPairs[s.kindIndex], now).mean * s.share
			}
		}
		for _, c := range v.commitments {
			if c.kindIndex != victimIndex {
				logSlowdown += e.decay(victimPairs[c.kindIndex], now).mean * c.share
			}
		}
		maxLogSlowdown = max(maxLogSlowdown, logSlowdown)
	}
	return math.Exp(maxLogSlowdown)
}

func (e *Estimator) findOrAddLoad(name string) *vmLoad {
	v, ok := e.loads[name]
	if !ok {
		v = &vmLoad{}
		e.loads[name] = v
	}
	return v
}
