package estimator

import (
	"maps"
	"math"
	"slices"
	"time"
)

// maxCommitments is the maximum number of calls of Commit that are remembered for a VM between two
// load reports. Each further call drops the oldest one.
const maxCommitments = 256

type (
	// LoadReport is a measurement of the load of a VM.
	LoadReport struct {
		VM string `json:"vm"`
		// CriticalServices lists the latency-critical services on the VM.
		CriticalServices []string `json:"critical"`
		// Shares holds the fraction of the VM's processors that each kind uses, by kind.
		Shares     map[string]float64 `json:"shares"`
		MeasuredAt time.Time          `json:"measured"`
	}

	// vmLoad is the last reported load of a VM and the commitments made since it was measured.
	// criticalServiceIndexes holds the kind indexes of the latency-critical services on the VM.
	vmLoad struct {
		measuredAt             time.Time
		criticalServiceIndexes []int
		shares                 []kindShare
		commitments            []commitment
	}

	// kindShare is the fraction of a VM's processors that a kind uses.
	kindShare struct {
		kindIndex int
		share     float64
	}

	// commitment is a change of the load of a VM since its last report: the share of a task that
	// was placed on the VM, or the negative share of a task that has stopped.
	commitment struct {
		kindShare
		committedAt time.Time
	}
)

// SetLoad replaces the load of the VM by the reported one. Calls of Commit after the measurement
// still count, because the report does not include them. A report that was measured before the
// previous one is ignored.
func (e *Estimator) SetLoad(report LoadReport) {
	v := e.findOrAddLoad(report.VM)
	if report.MeasuredAt.Before(v.measuredAt) {
		return
	}
	v.measuredAt = report.MeasuredAt
	v.criticalServiceIndexes, v.shares = v.criticalServiceIndexes[:0], v.shares[:0]
	for _, kind := range report.CriticalServices {
		v.criticalServiceIndexes = append(v.criticalServiceIndexes, e.assignIndex(kind))
	}
	for _, kind := range slices.Sorted(maps.Keys(report.Shares)) {
		v.shares = append(v.shares, kindShare{e.assignIndex(kind), report.Shares[kind]})
	}
	retainedCommitments := v.commitments[:0]
	for _, c := range v.commitments {
		if c.committedAt.After(v.measuredAt) {
			retainedCommitments = append(retainedCommitments, c)
		}
	}
	v.commitments = retainedCommitments
}

// Commit adds a task of the kind, which uses the fraction share of the VM's processors, to the load
// of the VM until a report that was measured later includes it. A negative share accounts for a
// task that has stopped.
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

// Slowdown returns the factor by which the latency of the most affected latency-critical service on
// the VM is expected to be multiplied if kind uses the fraction share of the VM's processors in
// addition to the present load. The factor is at least 1. It is 1 for a VM without latency-critical
// services and for one without a report.
func (e *Estimator) Slowdown(vm, kind string, share float64) float64 {
	v, ok := e.loads[vm]
	if !ok {
		return 1
	}
	now := e.options.Clock.Now()
	addedKindIndex := e.findIndex(kind)
	maxLogSlowdown := 0.0
	for _, victimIndex := range v.criticalServiceIndexes {
		victimPairs := e.pairsOfVictim(victimIndex)
		logSlowdown := e.decayed(victimPairs[addedKindIndex], now).mean * share
		for _, s := range v.shares {
			// A service does not interfere with itself.
			if s.kindIndex != victimIndex {
				logSlowdown += e.decayed(victimPairs[s.kindIndex], now).mean * s.share
			}
		}
		for _, c := range v.commitments {
			if c.kindIndex != victimIndex {
				logSlowdown += e.decayed(victimPairs[c.kindIndex], now).mean * c.share
			}
		}
		maxLogSlowdown = max(maxLogSlowdown, logSlowdown)
	}
	return math.Exp(maxLogSlowdown)
}

// findOrAddLoad returns the load of the VM with the name. For an unknown VM, it adds an empty load.
func (e *Estimator) findOrAddLoad(name string) *vmLoad {
	v, ok := e.loads[name]
	if !ok {
		v = &vmLoad{}
		e.loads[name] = v
	}
	return v
}
