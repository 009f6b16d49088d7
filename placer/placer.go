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
	Draining
	Suspect
	Quarantined
)

// Reasons why Place returns no VM. ReasonNone is returned together with VMs.
const (
	ReasonNone = ""
	// ReasonNoVM means that no VM is in state Up.
	ReasonNoVM = "no-vm-up"
	// ReasonNoRoom means that the task has to wait until a VM has room.
	ReasonNoRoom = "no-room-now"
	// ReasonTooLarge means that the task exceeds the capacity of every VM.
	ReasonTooLarge = "larger-than-any-vm"
)

type (
	// State determines whether a VM may receive tasks.
	State int

	// InterferenceModel predicts interference. Slowdown returns the factor by which the latency of
	// the latency-critical services on the VM is expected to be multiplied if an additional task of
	// the kind uses the fraction share of the VM's processors. A factor of 1 means no slowdown.
	InterferenceModel interface {
		Slowdown(vm, kind string, share float64) float64
	}

	// VM is what is known of a VM. Free is an estimate of its free capacity: the VM's agent decides
	// whether a task is accepted.
	VM struct {
		Name     string
		Capacity resource.Amount
		Free     resource.Amount
		State    State
	}

	// Task holds the properties of a task that its placement depends on.
	Task struct {
		Kind string
		Size resource.Amount
	}

	// Options configures a Placer. Zero fields take their defaults.
	Options struct {
		// Interference predicts slowdowns. If it is nil, no slowdown is expected on any VM.
		Interference InterferenceModel
		// Random selects the VMs to compare. By default it has a fixed seed.
		Random *rand.Rand
		// MaxCandidates is the number of VMs compared for each placement, by default 32.
		MaxCandidates int
		// MaxChoices is the number of VMs that Place returns at most, by default 3.
		MaxChoices int
		// SlowdownStep is the granularity in which expected slowdowns are compared, by default 0.05.
		// Among VMs whose slowdowns are in the same step, the VM with the lowest packing cost is
		// best. The packing cost is the larger of the fractions of processors and memory that stay
		// free on the VM.
		SlowdownStep float64
		// AcceleratorPenalty is added to the packing cost of a VM that has free accelerators if the
		// task needs none, by default 1. A negative value disables the penalty.
		AcceleratorPenalty float64
	}

	// Placer indexes VMs by free capacity and ranks a bounded sample of the VMs that have room. It is
	// not safe for concurrent use.
	Placer struct {
		options Options
		vms     map[string]*indexedVM
		// buckets and sortedBuckets hold the same buckets, which may be empty. sortedBuckets is in the
		// order of compareClasses.
		buckets       map[capacityClass]*bucket
		sortedBuckets []*bucket
		upVMCount     int
		// candidates and eligibleBuckets belong to the current sample. They are fields so that their
		// memory is reused.
		candidates      []candidate
		eligibleBuckets []*bucket
		sampleCount     uint64
	}

	// candidate is a VM with room for the task. Place prefers a lower slowdownStep, and a lower
	// packingCost among equal ones. slowdownStep is the expected slowdown above 1 in units of
	// Options.SlowdownStep, rounded down.
	candidate struct {
		indexedVM    *indexedVM
		slowdownStep float64
		packingCost  float64
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

// Set adds the VM, or replaces all that is known of it.
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

// Remove deletes the VM.
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

// VM returns what is known of the VM, and false if the VM is unknown.
func (p *Placer) VM(name string) (VM, bool) {
	m, ok := p.vms[name]
	if !ok {
		return VM{}, false
	}
	return m.vm, true
}

// Commit subtracts the size of a task that was sent to the VM from the estimated free capacity of the
// VM. Unknown VMs are ignored.
func (p *Placer) Commit(name string, size resource.Amount) {
	if m, ok := p.vms[name]; ok {
		m.vm.Free = m.vm.Free.Sub(size)
		p.updateIndex(m)
	}
}

// Release adds the size of a task that has ended or was rejected to the estimated free capacity of
// the VM. Unknown VMs are ignored.
func (p *Placer) Release(name string, size resource.Amount) {
	if m, ok := p.vms[name]; ok {
		m.vm.Free = m.vm.Free.Add(size)
		p.updateIndex(m)
	}
}

// Place returns the names of at most Options.MaxChoices VMs with room for the task, the best first,
// or no name and the reason. It does not change any free capacity: call Commit for the VM to which
// the task is sent. If any VM has room, Place returns one, but it compares only a sample of the VMs.
func (p *Placer) Place(task Task) ([]string, string) {
	if p.upVMCount == 0 {
		return nil, ReasonNoVM
	}
	p.sample(task)
	if len(p.candidates) == 0 {
		return nil, p.noCandidateReason(task)
	}
	for i := range p.candidates {
		p.scoreCandidate(&p.candidates[i], task)
	}
	slices.SortFunc(p.candidates, func(a, b candidate) int {
		switch {
		case a.slowdownStep != b.slowdownStep:
			return sign(a.slowdownStep - b.slowdownStep)
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

// noCandidateReason distinguishes a task that has to wait from one that is larger than every VM.
func (p *Placer) noCandidateReason(task Task) string {
	for _, m := range p.vms {
		if task.Size.Fits(m.vm.Capacity) {
			return ReasonNoRoom
		}
	}
	return ReasonTooLarge
}

// scoreCandidate sets slowdownStep and packingCost of the candidate.
func (p *Placer) scoreCandidate(c *candidate, task Task) {
	vm := &c.indexedVM.vm
	if p.options.Interference != nil {
		slowdown := p.options.Interference.Slowdown(vm.Name, task.Kind, fraction(task.Size.MilliProcessors, vm.Capacity.MilliProcessors))
		c.slowdownStep = math.Floor((slowdown - 1) / p.options.SlowdownStep)
	}
	remaining := vm.Free.Sub(task.Size)
	// The cost is lowest for the VM that is fullest after the placement, so that empty VMs remain
	// available for large tasks.
	c.packingCost = max(fraction(remaining.MilliProcessors, vm.Capacity.MilliProcessors), fraction(remaining.MemoryBytes, vm.Capacity.MemoryBytes))
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
