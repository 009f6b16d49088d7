// Package placer chooses the VMs on which a batch task may start.
package placer

import (
	"math"
	"math/rand/v2"
	"slices"

	"bamboohook/resource"
)

// States of a VM. Only VMs in state Up receive tasks.
const (
	Up State = iota
	// Draining is the state of a VM whose agent is about to stop, or that is not declared.
	Draining
	// Suspect is the state of a VM whose heartbeats are overdue.
	Suspect
	// Quarantined is the state of a VM that is considered to cause failures of tasks.
	Quarantined
)

// Reasons why Place returns no VM. With ReasonNone, it returns at least one VM.
const (
	ReasonNone = ""
	// ReasonNoVM means that no VM is in state Up.
	ReasonNoVM = "no-vm-up"
	// ReasonNoRoom means that no VM in state Up has room now, but that the total capacity of some VM is large
	// enough for the task.
	ReasonNoRoom = "no-room-now"
	// ReasonTooLarge means that the task exceeds the total capacity of every VM.
	ReasonTooLarge = "larger-than-any-vm"
)

type (
	// State determines whether a VM may receive tasks.
	State int

	// InterferenceModel predicts how much a batch task slows down the latency-critical services on a VM.
	// Slowdown returns the factor by which the latency of the most affected service is expected to be
	// multiplied if an additional task of the kind uses the fraction share of the VM's processors. A factor
	// of 1 means no slowdown.
	InterferenceModel interface {
		Slowdown(vm, kind string, share float64) float64
	}

	// VM describes a VM. Free is an estimate of its free capacity. The agent on the VM decides whether it
	// accepts a task.
	VM struct {
		Name     string
		Capacity resource.Amount
		Free     resource.Amount
		State    State
	}

	// Task is a batch task to place.
	Task struct {
		Kind string
		Size resource.Amount
	}

	// Options configures a Placer. Zero fields take their defaults.
	Options struct {
		// Interference predicts slowdowns. If it is nil, no slowdown is expected on any VM.
		Interference InterferenceModel
		// Random selects the VMs to compare. By default it is a generator with a fixed seed.
		Random *rand.Rand
		// MaxCandidates is the maximum number of VMs that Place compares for a task, by default 32.
		MaxCandidates int
		// MaxChoices is the maximum number of VMs that Place returns, by default 3.
		MaxChoices int
		// SlowdownStep is the granularity of the comparison of expected slowdowns, by default 0.05.
		// Slowdowns are rounded down to a multiple of it, and a VM with a lower result is better. Among VMs
		// with the same result, the VM with the lowest packing cost is best. The packing cost is the larger
		// of the fractions of processors and memory that would stay free on the VM.
		SlowdownStep float64
		// AcceleratorPenalty is added to the packing cost of a VM with free accelerators if the task needs
		// none, by default 1. A negative value disables it. Options.SlowdownStep describes the packing
		// cost.
		AcceleratorPenalty float64
	}

	// Placer chooses VMs for tasks. It indexes the VMs by free capacity, and for each task it compares a
	// limited number of the VMs that have room. It is not safe for concurrent use.
	Placer struct {
		options Options
		vms     map[string]*indexedVM
		// buckets holds the VMs in state Up, grouped by the capacity class of their free capacity.
		// sortedBuckets holds the same buckets in the order of compareClasses. A bucket may be empty.
		buckets       map[capacityClass]*bucket
		sortedBuckets []*bucket
		// upVMCount is the number of VMs in state Up.
		upVMCount int
		// candidates and eligibleBuckets are used only during a call of Place. They are fields so that the
		// next call reuses their memory.
		candidates      []candidate
		eligibleBuckets []*bucket
		// collectionCount is the number of calls of collectCandidates so far.
		collectionCount uint64
	}

	// candidate is a VM that has room for the task to place. slowdownSteps is the expected slowdown minus 1
	// in units of Options.SlowdownStep, rounded down. Place prefers a candidate with a lower slowdownSteps
	// and, among equal ones, a candidate with a lower packingCost.
	candidate struct {
		indexedVM     *indexedVM
		slowdownSteps float64
		packingCost   float64
	}
)

// New returns a Placer without VMs.
func New(options Options) *Placer {
	if options.Random == nil {
		options.Random = rand.New(rand.NewPCG(1, 2))
	}
	if options.MaxCandidates <= 0 {
		options.MaxCandidates = 32
	}
	if options.MaxChoices <= 0 {
		options.MaxChoices = 3
	}
	if options.SlowdownStep <= 0 {
		options.SlowdownStep = 0.05
	}
	if options.AcceleratorPenalty == 0 {
		options.AcceleratorPenalty = 1
	}
	return &Placer{options: options, vms: map[string]*indexedVM{}, buckets: map[capacityClass]*bucket{}}
}

// Set adds the VM, or replaces the stored VM with the same name.
func (p *Placer) Set(vm VM) {
	m, ok := p.vms[vm.Name]
	if !ok {
		m = &indexedVM{}
		p.vms[vm.Name] = m
	} else if m.vm.State == Up {
		p.upVMCount--
	}
	if vm.State == Up {
		p.upVMCount++
	}
	m.vm = vm
	p.updateIndex(m)
}

// Remove deletes the VM with the name. An unknown name is ignored.
func (p *Placer) Remove(name string) {
	m, ok := p.vms[name]
	if !ok {
		return
	}
	if m.vm.State == Up {
		p.upVMCount--
	}
	m.removeFromBucket()
	delete(p.vms, name)
}

// VM returns the VM with the name, including the changes of its free capacity by Commit and Release. It
// returns false if the VM is unknown.
func (p *Placer) VM(name string) (VM, bool) {
	m, ok := p.vms[name]
	if !ok {
		return VM{}, false
	}
	return m.vm, true
}

// Commit subtracts size from the estimated free capacity of the VM with the name. Call it when a task of
// that size is sent to the VM. An unknown VM is ignored.
func (p *Placer) Commit(name string, size resource.Amount) {
	if m, ok := p.vms[name]; ok {
		m.vm.Free = m.vm.Free.Sub(size)
		p.updateIndex(m)
	}
}

// Release adds size to the estimated free capacity of the VM with the name. Call it when a task of that
// size has ended on the VM or was rejected by it. An unknown VM is ignored.
func (p *Placer) Release(name string, size resource.Amount) {
	if m, ok := p.vms[name]; ok {
		m.vm.Free = m.vm.Free.Add(size)
		p.updateIndex(m)
	}
}

// Place returns the names of up to Options.MaxChoices VMs with room for the task, the best first. If there
// are none, it returns the reason. It compares only some of the VMs, so the first name may not be the best
// VM of all, but it returns a VM if any VM in state Up has room. Place does not change free capacities:
// call Commit for the VM to which the task is sent.
func (p *Placer) Place(task Task) ([]string, string) {
	if p.upVMCount == 0 {
		return nil, ReasonNoVM
	}
	p.collectCandidates(task)
	if len(p.candidates) == 0 {
		return nil, p.noCandidateReason(task)
	}
	for i := range p.candidates {
		p.scoreCandidate(&p.candidates[i], task)
	}
	slices.SortFunc(p.candidates, func(a, b candidate) int {
		switch {
		case a.slowdownSteps != b.slowdownSteps:
			return sign(a.slowdownSteps - b.slowdownSteps)
		default:
			return sign(a.packingCost - b.packingCost)
		}
	})
	names := make([]string, 0, p.options.MaxChoices)
	for _, c := range p.candidates[:min(len(p.candidates), p.options.MaxChoices)] {
		names = append(names, c.indexedVM.vm.Name)
	}
	return names, ReasonNone
}

// noCandidateReason returns why no VM has room for the task: ReasonNoRoom if the total capacity of some VM
// is large enough for it, so that the task has to wait, or ReasonTooLarge otherwise.
func (p *Placer) noCandidateReason(task Task) string {
	for _, m := range p.vms {
		if task.Size.Fits(m.vm.Capacity) {
			return ReasonNoRoom
		}
	}
	return ReasonTooLarge
}

// scoreCandidate computes slowdownSteps and packingCost of the candidate for the task.
func (p *Placer) scoreCandidate(c *candidate, task Task) {
	vm := &c.indexedVM.vm
	if p.options.Interference != nil {
		slowdown := p.options.Interference.Slowdown(vm.Name, task.Kind, fraction(task.Size.MilliProcessors, vm.Capacity.MilliProcessors))
		c.slowdownSteps = math.Floor((slowdown - 1) / p.options.SlowdownStep)
	}
	remainingFree := vm.Free.Sub(task.Size)
	// The cost is lowest for the VM that would be fullest with the task, so that empty VMs remain available
	// for large tasks.
	c.packingCost = max(fraction(remainingFree.MilliProcessors, vm.Capacity.MilliProcessors), fraction(remainingFree.MemoryBytes, vm.Capacity.MemoryBytes))
	if task.Size.Accelerators == 0 && vm.Free.Accelerators > 0 && p.options.AcceleratorPenalty > 0 {
		c.packingCost += p.options.AcceleratorPenalty
	}
}

// fraction returns part divided by whole, or 0 if whole is not positive.
func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func sign(d float64) int {
	switch {
	case d < 0:
		return -1
	case d > 0:
		return 1
	}
	return 0
}
