package placer

import (
	"cmp"
	"math/bits"
	"slices"

	"bamboohook/resource"
)

// maxAcceleratorLevel is the number of free accelerators from which VMs share a class.
const maxAcceleratorLevel = 8

type (
	// class groups VMs by the binary order of magnitude of their free capacity. The number of
	// classes does not depend on the number of VMs.
	class struct {
		accelerators, processors, memory int
	}

	bucket struct {
		class   class
		members []*member
	}

	member struct {
		vm     VM
		bucket *bucket
		place  int
		round  uint64
	}
)

func classOf(a resource.Amount) class {
	return class{
		accelerators: int(min(max(a.Accelerators, 0), maxAcceleratorLevel)),
		processors:   bits.Len64(uint64(max(a.MilliProcessors, 0))),
		memory:       bits.Len64(uint64(max(a.MemoryBytes, 0))),
	}
}

// index moves the VM to the bucket of its free capacity. VMs that may not receive tasks are in none.
func (p *Placer) index(m *member) {
	if m.vm.State != Up {
		m.leave()
		return
	}
	c := classOf(m.vm.Free)
	if m.bucket != nil && m.bucket.class == c {
		return
	}
	m.leave()
	b, ok := p.classes[c]
	if !ok {
		b = &bucket{class: c}
		p.classes[c] = b
		at, _ := slices.BinarySearchFunc(p.ordered, c, func(b *bucket, c class) int { return compare(b.class, c) })
		p.ordered = slices.Insert(p.ordered, at, b)
	}
	m.bucket, m.place = b, len(b.members)
	b.members = append(b.members, m)
}

func (m *member) leave() {
	if m.bucket == nil {
		return
	}
	last := m.bucket.members[len(m.bucket.members)-1]
	m.bucket.members[m.place], last.place = last, m.place
	m.bucket.members = m.bucket.members[:len(m.bucket.members)-1]
	m.bucket = nil
}

// compare orders classes from little to much free capacity, with accelerators as the scarcest dimension.
func compare(a, b class) int {
	return cmp.Or(cmp.Compare(a.accelerators, b.accelerators), cmp.Compare(a.processors, b.processors), cmp.Compare(a.memory, b.memory))
}

// sample collects up to Candidates VMs with room: half from the fullest classes that fit, for
// packing, and half from random classes, because the fullest VMs alone are often the most harmful.
func (p *Placer) sample(task Task) {
	p.sampled, p.eligible = p.sampled[:0], p.eligible[:0]
	p.round++
	want := classOf(task.Size)
	for _, b := range p.ordered {
		if len(b.members) > 0 && b.class.accelerators >= want.accelerators && b.class.processors >= want.processors && b.class.memory >= want.memory {
			p.eligible = append(p.eligible, b)
		}
	}
	limit := p.options.MaxCandidates
	probes := 2 * limit
	for _, b := range p.eligible {
		start := p.options.Random.IntN(len(b.members))
		for i := 0; i < len(b.members) && probes > 0 && len(p.sampled) < (limit+1)/2; i++ {
			probes--
			p.offer(b.members[(start+i)%len(b.members)], task)
		}
	}
	for probes = 2 * limit; probes > 0 && len(p.eligible) > 0 && len(p.sampled) < limit; probes-- {
		b := p.eligible[p.options.Random.IntN(len(p.eligible))]
		p.offer(b.members[p.options.Random.IntN(len(b.members))], task)
	}
	if len(p.sampled) > 0 {
		return
	}
	// Only a nearly full fleet gets here; the complete pass avoids a false "no room".
	for _, b := range p.eligible {
		for _, m := range b.members {
			if p.offer(m, task); len(p.sampled) == limit {
				return
			}
		}
	}
}

// offer adds the VM to the sample if it has room and was not yet offered in this round.
func (p *Placer) offer(m *member, task Task) {
	if m.round != p.round {
		m.round = p.round
		if task.Size.Fits(m.vm.Free) {
			p.sampled = append(p.sampled, candidate{member: m})
		}
	}
}
