// Package placer chooses the VMs on which a batch task may start.
package placer

import (
	"math"
	"math/rand/v2"
	"slices"

	"bamboohook/resource"
)

// States of a VM. Only VMs that are up receive tasks.
const (
	Up State = iota
	Draining
	Suspect
	Quarantined
)

// Reasons for which Place returns no VM.
const (
	ReasonNone     = ""
	ReasonNoVM     = "no-vm-up"
	ReasonNoRoom   = "no-room-now"
	ReasonTooLarge = "larger-than-any-vm"
)

type (
	// State says whether a VM may receive tasks.
	State int

	// InterferenceModel predicts interference. Slowdown returns the factor by which latency-critical work on
	// the VM is expected to be slowed down once a task of the kind, using the share of the VM's
	// processors, has been added. 1 means no slowdown.
	InterferenceModel interface {
		Slowdown(vm, kind string, share float64) float64
	}

	// VM is an entry's view of a VM. Free is an estimate; the VM's agent has the last word.
	VM struct {
		Name     string
		Capacity resource.Amount
		Free     resource.Amount
		State    State
	}

	// Task is what a placement needs to know about a task.
	Task struct {
		Kind string
		Size resource.Amount
	}

	// Options configures a Placer. Each zero field takes its default; a negative weight switches its rule off.
	Options struct {
		// Interference may be nil, in which case placement is by packing only.
		Interference InterferenceModel
		// Random is the source of the samples, by default one with a fixed seed.
		Random *rand.Rand
		// MaxCandidates bounds the VMs compared for each placement, by default 32.
		MaxCandidates int
		// MaxChoices bounds the VMs returned, by default 3.
		MaxChoices int
		// SlowdownStep is the difference of expected slowdown below which two VMs count as equally
		// harmful and packing decides, by default 0.05.
		SlowdownStep float64
		// AcceleratorWeight keeps tasks without accelerators off VMs that have free ones, by default 1.
		AcceleratorWeight float64
	}

	// Placer indexes VMs by free capacity and ranks a bounded sample of those with room. It is not
	// safe for concurrent use.
	Placer struct {
		options  Options
		vms      map[string]*member
		classes  map[class]*bucket
		ordered  []*bucket
		up       int
		sampled  []candidate
		eligible []*bucket
		round    uint64
	}

	candidate struct {
		member  *member
		harm    float64
		packing float64
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
	if options.AcceleratorWeight == 0 {
		options.AcceleratorWeight = 1
	}
	return &Placer{options: options, vms: map[string]*member{}, classes: map[class]*bucket{}}
}

// Set adds the VM or replaces what is known about it.
func (p *Placer) Set(vm VM) {
	m, ok := p.vms[vm.Name]
	if !ok {
		m = &member{}
		p.vms[vm.Name] = m
	} else if m.vm.State == Up {
		p.up--
	}
	if vm.State == Up {
		p.up++
	}
	m.vm = vm
	p.index(m)
}

// Remove forgets the VM.
func (p *Placer) Remove(name string) {
	m, ok := p.vms[name]
	if !ok {
		return
	}
	if m.vm.State == Up {
		p.up--
	}
	m.leave()
	delete(p.vms, name)
}

// VM returns what is known about the VM, and false if it is unknown.
func (p *Placer) VM(name string) (VM, bool) {
	m, ok := p.vms[name]
	if !ok {
		return VM{}, false
	}
	return m.vm, true
}

// Commit reduces the estimate of the VM's free capacity by the size of a task sent to it. Unknown VMs are ignored.
func (p *Placer) Commit(name string, size resource.Amount) {
	if m, ok := p.vms[name]; ok {
		m.vm.Free = m.vm.Free.Sub(size)
		p.index(m)
	}
}

// Release returns the size of a task that ended or was refused to the estimate of the VM's free capacity.
func (p *Placer) Release(name string, size resource.Amount) {
	if m, ok := p.vms[name]; ok {
		m.vm.Free = m.vm.Free.Add(size)
		p.index(m)
	}
}

// Place returns the names of the best VMs for the task, best first, or none and the reason. It
// commits nothing: the caller commits to the VM whose agent accepts the task. A VM with room is
// found whenever there is one; only the ranking is limited to a sample.
func (p *Placer) Place(task Task) ([]string, string) {
	if p.up == 0 {
		return nil, ReasonNoVM
	}
	p.sample(task)
	if len(p.sampled) == 0 {
		return nil, p.refusal(task)
	}
	for i := range p.sampled {
		p.rate(&p.sampled[i], task)
	}
	slices.SortFunc(p.sampled, func(a, b candidate) int {
		switch {
		case a.harm != b.harm:
			return sign(a.harm - b.harm)
		default:
			return sign(a.packing - b.packing)
		}
	})
	names := make([]string, 0, p.options.MaxChoices)
	for _, c := range p.sampled[:min(len(p.sampled), p.options.MaxChoices)] {
		names = append(names, c.member.vm.Name)
	}
	return names, ReasonNone
}

// refusal tells a task that has to wait from one that no VM could ever hold.
func (p *Placer) refusal(task Task) string {
	for _, m := range p.vms {
		if task.Size.Fits(m.vm.Capacity) {
			return ReasonNoRoom
		}
	}
	return ReasonTooLarge
}

func (p *Placer) rate(c *candidate, task Task) {
	vm := &c.member.vm
	if p.options.Interference != nil {
		slowdown := p.options.Interference.Slowdown(vm.Name, task.Kind, share(task.Size.MilliProcessors, vm.Capacity.MilliProcessors))
		c.harm = math.Floor((slowdown - 1) / p.options.SlowdownStep)
	}
	left := vm.Free.Sub(task.Size)
	// The fullest VM is preferred, measured in its scarcer dimension, so that empty VMs remain for large tasks.
	c.packing = max(share(left.MilliProcessors, vm.Capacity.MilliProcessors), share(left.MemoryBytes, vm.Capacity.MemoryBytes))
	if task.Size.Accelerators == 0 && vm.Free.Accelerators > 0 && p.options.AcceleratorWeight > 0 {
		c.packing += p.options.AcceleratorWeight
	}
}

func share(part, whole int64) float64 {
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
