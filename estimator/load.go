package estimator

import (
	"maps"
	"math"
	"slices"
	"time"
)

// maxCommitments bounds the commitments remembered for a VM between two reports.
const maxCommitments = 256

type (
	// LoadReport is what a VM measured: the shares of its processors used by each kind at a time.
	LoadReport struct {
		VM string `json:"vm"`
		// Critical lists the kinds whose latency matters on the VM.
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
		at time.Time
	}
)

// SetLoad replaces what is known about the VM's load. Commitments made after the measurement remain
// added; a report older than the last one is ignored.
func (e *Estimator) SetLoad(report LoadReport) {
	v := e.vm(report.VM)
	if report.Measured.Before(v.measured) {
		return
	}
	v.measured = report.Measured
	v.critical, v.shares = v.critical[:0], v.shares[:0]
	for _, kind := range report.Critical {
		v.critical = append(v.critical, e.index(kind))
	}
	for _, kind := range slices.Sorted(maps.Keys(report.Shares)) {
		v.shares = append(v.shares, kindShare{e.index(kind), report.Shares[kind]})
	}
	kept := v.commitments[:0]
	for _, c := range v.commitments {
		if c.at.After(v.measured) {
			kept = append(kept, c)
		}
	}
	v.commitments = kept
}

// Commit adds a share that the last report cannot contain yet, or subtracts a negative share of a
// task that has stopped since.
func (e *Estimator) Commit(vm, kind string, share float64) {
	v := e.vm(vm)
	if len(v.commitments) == maxCommitments {
		v.commitments = append(v.commitments[:0], v.commitments[1:]...)
	}
	v.commitments = append(v.commitments, commitment{kindShare{e.index(kind), share}, e.options.Clock.Now()})
}

// Remove forgets the VM's load.
func (e *Estimator) Remove(vm string) {
	delete(e.vms, vm)
}

// Slowdown returns the factor by which the most affected latency-critical kind on the VM is
// expected to be slowed down once the kind uses the given further share of the VM's processors. It
// is 1 on a VM without latency-critical work or without a report.
func (e *Estimator) Slowdown(vm, kind string, share float64) float64 {
	v, ok := e.vms[vm]
	if !ok {
		return 1
	}
	now := e.options.Clock.Now()
	added := e.find(kind)
	worst := 0.0
	for _, victim := range v.critical {
		row := e.row(victim)
		total := e.relax(row[added], now).mean * share
		for _, s := range v.shares {
			if s.kind != victim {
				total += e.relax(row[s.kind], now).mean * s.share
			}
		}
		for _, c := range v.commitments {
			if c.kind != victim {
				total += e.relax(row[c.kind], now).mean * c.share
			}
		}
		worst = max(worst, total)
	}
	return math.Exp(worst)
}

func (e *Estimator) vm(name string) *vmLoad {
	v, ok := e.vms[name]
	if !ok {
		v = &vmLoad{}
		e.vms[name] = v
	}
	return v
}
