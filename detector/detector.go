// Package detector is a failure detector: it derives the status of each VM from the time of its last heartbeat.
package detector

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// Statuses of a VM. They are derived from the age of the last heartbeat whenever a Member is read.
const (
	StatusUp       = "up"
	StatusDraining = "draining"
	// StatusSuspect is a VM that has missed heartbeats and gets no new work.
	StatusSuspect = "suspect"
	// StatusLost is a VM that is presumed dead. Its tasks may run elsewhere once their leases have expired.
	StatusLost = "lost"
	// StatusUnreachable is a VM of the inventory that has sent no heartbeat, or none for the time after which it
	// counts as lost.
	StatusUnreachable = "unreachable"
)

const (
	defaultSuspectAfter = 2 * time.Second
	defaultLostAfter    = 10 * time.Second
)

type (
	// Clock returns the current time.
	Clock interface {
		Now() time.Time
	}

	// Heartbeat is one heartbeat of an agent with its content.
	Heartbeat[T any] struct {
		VM string `json:"vm"`
		// Generation identifies one run of the agent. Of two generations the longer string is later, and of
		// equally long strings the lexically greater: an agent uses its start time in a fixed width, followed by
		// random digits.
		Generation string `json:"generation"`
		// Sequence increases with each heartbeat of a generation.
		Sequence uint64 `json:"sequence"`
		Draining bool   `json:"draining"`
		Content  T      `json:"content"`
	}

	// Member is a VM and its status at the time of the call. A declared VM that has never sent a heartbeat has
	// only its name in Heartbeat.
	Member[T any] struct {
		Heartbeat[T]
		Status string        `json:"status"`
		Age    time.Duration `json:"age"`
	}

	// Detector keeps the last heartbeat of each VM. The zero value is ready for use. Set the exported fields
	// before the first call. It is safe for concurrent use.
	Detector[T any] struct {
		// Clock defaults to the system clock.
		Clock Clock
		// SuspectAfter and LostAfter are the times since the last heartbeat after which a VM is suspect or lost;
		// defaults 2 s and 10 s.
		SuspectAfter time.Duration
		LostAfter    time.Duration

		mutex    sync.RWMutex
		declared map[string]struct{}
		records  map[string]record[T]
	}

	record[T any] struct {
		heartbeat  Heartbeat[T]
		receivedAt time.Time
	}
)

// Observe records a heartbeat. It ignores the heartbeat and returns false if its generation is older than the
// last one, or if the generation is the same and the sequence isn't higher. Once a VM is lost any other
// generation is accepted, because the clock of the VM may have stepped back.
func (d *Detector[T]) Observe(b Heartbeat[T]) bool {
	now := d.now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.records == nil {
		d.records = map[string]record[T]{}
	}
	last, ok := d.records[b.VM]
	if ok {
		order := compareGenerations(b.Generation, last.heartbeat.Generation)
		if order == 0 && b.Sequence <= last.heartbeat.Sequence {
			return false
		}
		if order < 0 && now.Sub(last.receivedAt) < d.lostAfter() {
			return false
		}
	}
	d.records[b.VM] = record[T]{b, now}
	return true
}

// Declare sets the VMs of the inventory. Members lists these and all VMs that have sent a heartbeat.
func (d *Detector[T]) Declare(vms []string) {
	declared := make(map[string]struct{}, len(vms))
	for _, v := range vms {
		declared[v] = struct{}{}
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.declared = declared
}

// RemoveLost deletes the last heartbeat of a lost VM. It returns false if the VM is not lost.
func (d *Detector[T]) RemoveLost(vm string) bool {
	now := d.now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	h, ok := d.records[vm]
	if !ok || now.Sub(h.receivedAt) < d.lostAfter() {
		return false
	}
	delete(d.records, vm)
	return true
}

// Member returns one VM. It returns false if the VM is neither declared nor has sent a heartbeat.
func (d *Detector[T]) Member(vm string) (Member[T], bool) {
	now := d.now()
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	return d.member(vm, now)
}

// Members returns all VMs in the order of their names.
func (d *Detector[T]) Members() []Member[T] {
	now := d.now()
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	members := make([]Member[T], 0, len(d.records))
	for vm := range d.records {
		m, _ := d.member(vm, now)
		members = append(members, m)
	}
	for vm := range d.declared {
		if _, ok := d.records[vm]; !ok {
			m, _ := d.member(vm, now)
			members = append(members, m)
		}
	}
	slices.SortFunc(members, func(a, b Member[T]) int { return strings.Compare(a.VM, b.VM) })
	return members
}

func (d *Detector[T]) member(vm string, now time.Time) (Member[T], bool) {
	_, declared := d.declared[vm]
	h, ok := d.records[vm]
	if !ok {
		return Member[T]{Heartbeat: Heartbeat[T]{VM: vm}, Status: StatusUnreachable}, declared
	}
	age := now.Sub(h.receivedAt)
	m := Member[T]{Heartbeat: h.heartbeat, Status: StatusUp, Age: age}
	switch {
	case age >= d.lostAfter() && declared:
		m.Status = StatusUnreachable
	case age >= d.lostAfter():
		m.Status = StatusLost
	case age >= d.suspectAfter():
		m.Status = StatusSuspect
	case h.heartbeat.Draining:
		m.Status = StatusDraining
	}
	return m, true
}

func (d *Detector[T]) suspectAfter() time.Duration {
	if d.SuspectAfter == 0 {
		return defaultSuspectAfter
	}
	return d.SuspectAfter
}

func (d *Detector[T]) lostAfter() time.Duration {
	if d.LostAfter == 0 {
		return defaultLostAfter
	}
	return d.LostAfter
}

func (d *Detector[T]) now() time.Time {
	if d.Clock == nil {
		return time.Now()
	}
	return d.Clock.Now()
}

func compareGenerations(a, b string) int {
	if len(a) != len(b) {
		return len(a) - len(b)
	}
	return strings.Compare(a, b)
}
