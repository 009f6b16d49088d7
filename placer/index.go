package placer

import (
	"cmp"
	"math/bits"
	"slices"

	"bamboohook/resource"
)

// maxClassAccelerators is the highest number of free accelerators that capacity classes distinguish. A VM
// with more free accelerators is classified as if it had this number.
const maxClassAccelerators = 8

type (
	// capacityClass is a range of free capacities. accelerators is the number of free accelerators, at most
	// maxClassAccelerators. processors and memory are the numbers of binary digits of the free thousandths
	// of processors and of the free bytes of memory, so each doubling starts a new class. The number of
	// classes does not grow with the number of VMs.
	capacityClass struct {
		accelerators, processors, memory int
	}

	// bucket holds the VMs in state Up whose free capacity is in one capacity class.
	bucket struct {
		class capacityClass
		vms   []*indexedVM
	}

	// indexedVM is a VM that is known to a Placer, with its place in the index by free capacity.
	indexedVM struct {
		vm VM
		// bucket is nil unless the VM is in state Up. position is the index of the VM in bucket.vms.
		bucket   *bucket
		position int
		// lastCollection is the value of Placer.collectionCount when the VM was last examined as a candidate.
		// It prevents the VM from becoming a candidate twice for one task.
		lastCollection uint64
	}
)

// capacityClassOf returns the capacity class of a, which is the free capacity of a VM or the size of a
// task.
func capacityClassOf(a resource.Amount) capacityClass {
	return capacityClass{
		accelerators: int(min(max(a.Accelerators, 0), maxClassAccelerators)),
		processors:   bits.Len64(uint64(max(a.MilliProcessors, 0))),
		memory:       bits.Len64(uint64(max(a.MemoryBytes, 0))),
	}
}

// updateIndex moves the VM to the bucket for its free capacity. A VM that is not in state Up is removed
// from its bucket instead.
func (p *Placer) updateIndex(m *indexedVM) {
	if m.vm.State != Up {
		m.removeFromBucket()
		return
	}
	c := capacityClassOf(m.vm.Free)
	if m.bucket != nil && m.bucket.class == c {
		return
	}
	m.removeFromBucket()
	b, ok := p.buckets[c]
	if !ok {
		b = &bucket{class: c}
		p.buckets[c] = b
		position, _ := slices.BinarySearchFunc(p.sortedBuckets, c, func(b *bucket, c capacityClass) int { return compareClasses(b.class, c) })
		p.sortedBuckets = slices.Insert(p.sortedBuckets, position, b)
	}
	m.bucket, m.position = b, len(b.vms)
	b.vms = append(b.vms, m)
}

func (m *indexedVM) removeFromBucket() {
	if m.bucket == nil {
		return
	}
	lastVM := m.bucket.vms[len(m.bucket.vms)-1]
	m.bucket.vms[m.position], lastVM.position = lastVM, m.position
	m.bucket.vms = m.bucket.vms[:len(m.bucket.vms)-1]
	m.bucket = nil
}

// compareClasses orders capacity classes by increasing free capacity: first by accelerators, because they
// are the scarcest resource, then by processors and then by memory.
func compareClasses(a, b capacityClass) int {
	return cmp.Or(cmp.Compare(a.accelerators, b.accelerators), cmp.Compare(a.processors, b.processors), cmp.Compare(a.memory, b.memory))
}

// collectCandidates sets p.candidates to at most Options.MaxCandidates VMs that have room for the task. It takes one
// half of them from the buckets with the least free capacity, so that VMs are packed densely, and the other
// half from random buckets, because a task often causes the largest slowdown on the fullest VMs. It
// considers only eligible buckets: those whose class is at least the class of the task's size in
// accelerators, processors and memory. A VM in an eligible bucket may still lack room.
func (p *Placer) collectCandidates(task Task) {
	p.candidates, p.eligibleBuckets = p.candidates[:0], p.eligibleBuckets[:0]
	p.collectionCount++
	taskClass := capacityClassOf(task.Size)
	for _, b := range p.sortedBuckets {
		if len(b.vms) > 0 && b.class.accelerators >= taskClass.accelerators && b.class.processors >= taskClass.processors && b.class.memory >= taskClass.memory {
			p.eligibleBuckets = append(p.eligibleBuckets, b)
		}
	}
	maxCandidates := p.options.MaxCandidates
	examinationsLeft := 2 * maxCandidates
	for _, b := range p.eligibleBuckets {
		startIndex := p.options.Random.IntN(len(b.vms))
		for i := 0; i < len(b.vms) && examinationsLeft > 0 && len(p.candidates) < (maxCandidates+1)/2; i++ {
			examinationsLeft--
			p.addCandidate(b.vms[(startIndex+i)%len(b.vms)], task)
		}
	}
	for examinationsLeft = 2 * maxCandidates; examinationsLeft > 0 && len(p.eligibleBuckets) > 0 && len(p.candidates) < maxCandidates; examinationsLeft-- {
		b := p.eligibleBuckets[p.options.Random.IntN(len(p.eligibleBuckets))]
		p.addCandidate(b.vms[p.options.Random.IntN(len(b.vms))], task)
	}
	if len(p.candidates) > 0 {
		return
	}
	// None of the examined VMs has room, which is common in a nearly full fleet. Examine all other VMs of
	// the eligible buckets, so that a VM with room is found if there is one.
	for _, b := range p.eligibleBuckets {
		for _, m := range b.vms {
			if p.addCandidate(m, task); len(p.candidates) == maxCandidates {
				return
			}
		}
	}
}

// addCandidate adds the VM to p.candidates if it has room for the task, unless the current call of
// collectCandidates has examined the VM before.
func (p *Placer) addCandidate(m *indexedVM, task Task) {
	if m.lastCollection != p.collectionCount {
		m.lastCollection = p.collectionCount
		if task.Size.Fits(m.vm.Free) {
			p.candidates = append(p.candidates, candidate{indexedVM: m})
		}
	}
}
