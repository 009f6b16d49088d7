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
		Critical []string           `json:"critical"`
		Shares   map[string]float64 `json:"shares"`
		Measured time.Time          `json:"measured"`
	}

	vmLoad struct {
		measured    time.Time
		critical    []int
		shares      []kindShare
		commitments []commitment
	}

	kindShare struct {
		kind  int
		share float64
	}

	commitment struct {
		kindShare
		committedAt time.Time
	}
)

// SetLoad replaces the load of the VM by the reported one. Commitments made after the measurement
// still count in addition. A report that is older than the last one is ignored.
func (e *Estimator) SetLoad(report LoadReport) {
	v := e.vm(report.VM)
	if report.Measured.Before(v.measured) {
		return
	}
	v.measured = report.Measured
	v.critical, v.shares = v.critical[:0], v.shares[:0]
	for _, kind := range report.Critical {
		v.critical = append(v.critical, e.assignIndex(kind))
	}
	for _, kind := range slices.Sorted(maps.Keys(report.Shares)) {
		v.shares = append(v.shares, kindShare{e.assignIndex(kind), report.Shares[kind]})
	}
	kept := v.commitments[:0]
	for _, c := range v.commitments {
		if c.committedAt.After(v.measured) {
			kept = append(kept, c)
		}
	}
	v.commitments = kept
}

// Commit adds the share of a task that was placed after the last report was measured. A negative
// share removes a task that has stopped since.
func (e *Estimator) Commit(vm, kind string, share float64) {
	v := e.vm(vm)
	if len(v.commitments) == maxCommitments {
		v.commitments = append(v.commitments[:0], v.commitments[1:]...)
	}
	v.commitments = append(v.commitments, commitment{kindShare{e.assignIndex(kind), share}, e.options.Clock.Now()})
}

// Remove deletes the load of the VM.
func (e *Estimator) Remove(vm string) {
	delete(e.vms, vm)
}

// Slowdown returns the factor by which the most affected latency-critical kind on the VM is
// expected to be slowed down once kind uses the additional share of the VM's processors. It is 1 for
// a VM without latency-critical kinds and for one without a report.
func (e *Estimator) Slowdown(vm, kind string, share float64) float64 {
	v, ok := e.vms[vm]
	if !ok {
		return 1
	}
	now := e.options.Clock.Now()
	addedIndex := e.findIndex(kind)
	maxLogSlowdown := 0.0
	for _, victim := range v.critical {
		row := e.row(victim)
		logSlowdown := e.decay(row[addedIndex], now).mean * share
		for _, s := range v.shares {
			if s.kind != victim {
				logSlowdown += e.decay(row[s.kind], now).mean * s.share
			}
		}
		for _, c := range v.commitments {
			if c.kind != victim {
				logSlowdown += e.decay(row[c.kind], now).mean * c.share
			}
		}
		maxLogSlowdown = max(maxLogSlowdown, logSlowdown)
	}
	return math.Exp(maxLogSlowdown)
}

func (e *Estimator) vm(name string) *vmLoad {
	v, ok := e.vms[name]
	if !ok {
		v = &vmLoad{}
		e.vms[name] = v
	}
	return v
}
