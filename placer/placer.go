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

// Reasons why Place returns no VM.
const (
	ReasonNone     = ""
	ReasonNoVM     = "no-vm-up"
	ReasonNoRoom   = "no-room-now"
	ReasonTooLarge = "larger-than-any-vm"
)

type (
	// State determines whether a VM may receive tasks.
	State int

	// InterferenceModel predicts interference. Slowdown returns the factor by which latency-critical
	// work on the VM is expected to be slowed down by an additional task of the kind that uses the
	// share of the VM's processors. A factor of 1 means no slowdown.
	InterferenceModel interface {
		Slowdown(vm, kind string, share float64) float64
	}

	// VM is the state of a VM as the entry knows it. Free is an estimate: the VM's agent decides
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
		// Interference predicts slowdowns. If it is nil, VMs are ranked by packing only.
		Interference InterferenceModel
		// Random is the source of randomness for samples, by default one with a fixed seed.
		Random *rand.Rand
		// MaxCandidates is the number of VMs compared for each placement, by default 32.
		MaxCandidates int
		// MaxChoices is the number of VMs that Place returns at most, by default 3.
		MaxChoices int
		// SlowdownStep is the granularity in which expected slowdowns are compared, by default 0.05.
		// Between VMs whose slowdowns are in the same step, packing decides.
		SlowdownStep float64
		// AcceleratorPenalty is the penalty for placing a task without accelerators on a VM that has
		// free ones, by default 1. A negative weight disables the penalty.
		AcceleratorPenalty float64
	}

	// Placer indexes VMs by free capacity and ranks a bounded sample of the VMs that have room. It is
	// not safe for concurrent use.
	Placer struct {
		options         Options
		vms             map[string]*indexedVM
		buckets         map[capacityClass]*bucket
		sortedBuckets   []*bucket
		upVMCount       int
		candidates      []candidate
		eligibleBuckets []*bucket
		sampleCount     uint64
	}

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

// Set adds the VM or replaces its state.
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

// VM returns the state of the VM, and false if the VM is unknown.
func (p *Placer) VM(name string) (VM, bool) {
	m, ok := p.vms[name]
	if !ok {
		return VM{}, false
	}
	return m.vm, true
}

// Commit subtracts the size of a task sent to the VM from its estimated free capacity. Unknown VMs
// are ignored.
func (p *Placer) Commit(name string, size resource.Amount) {
	if m, ok := p.vms[name]; ok {
		m.vm.Free = m.vm.Free.Sub(size)
		p.updateIndex(m)
	}
}

// Release adds the size of a task that ended or was rejected to the VM's estimated free capacity.
// Unknown VMs are ignored.
func (p *Placer) Release(name string, size resource.Amount) {
	if m, ok := p.vms[name]; ok {
		m.vm.Free = m.vm.Free.Add(size)
		p.updateIndex(m)
	}
}

// Place returns the names of the best VMs for the task, best first, or none and the reason. It does
// not change any free capacity: call Commit for the VM whose agent accepts the task. If any VM has
// room, one is found; only the ranking is limited to a sample.
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

// rejectionReason distinguishes a task that has to wait from one that is larger than every VM.
func (p *Placer) noCandidateReason(task Task) string {
	for _, m := range p.vms {
		if task.Size.Fits(m.vm.Capacity) {
			return ReasonNoRoom
		}
	}
	return ReasonTooLarge
}

func (p *Placer) scoreCandidate(c *candidate, task Task) {
	vm := &c.indexedVM.vm
	if p.options.Interference != nil {
		slowdown := p.options.Interference.Slowdown(vm.Name, task.Kind, fraction(task.Size.MilliProcessors, vm.Capacity.MilliProcessors))
		c.slowdownStep = math.Floor((slowdown - 1) / p.options.SlowdownStep)
	}
	remaining := vm.Free.Sub(task.Size)
	// A lower value is better. It prefers the VM that is fullest after the placement, so that empty VMs
	// remain available for large tasks. The dimension with the larger free fraction determines it.
	c.packingCost = max(fraction(remaining.MilliProcessors, vm.Capacity.MilliProcessors), fraction(remaining.MemoryBytes, vm.Capacity.MemoryBytes))
	if task.Size.Accelerators == 0 && vm.Free.Accelerators > 0 && p.options.AcceleratorPenalty > 0 {
		c.packingCost += p.options.AcceleratorPenalty
	}
}

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
