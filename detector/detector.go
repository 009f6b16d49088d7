// Package detector is a failure detector. It derives the status of each VM from the time since the last heartbeat of
// the agent on that VM.
package detector

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// Values of Member.Status. A VM is declared if it was in the last call of Detector.Declare.
const (
	StatusUp = "up"
	// StatusDraining is the status of a VM whose last heartbeat is recent and says that the agent is draining.
	StatusDraining = "draining"
	// StatusSuspect is the status of a VM whose last heartbeat is at least Detector.SuspectAfter old, but not yet
	// LostAfter. Such a VM gets no new work.
	StatusSuspect = "suspect"
	// StatusLost is the status of a VM that is not declared and whose last heartbeat is at least Detector.LostAfter
	// old. The VM is presumed dead, so its tasks may run elsewhere once their leases have expired.
	StatusLost = "lost"
	// StatusUnreachable is the status of a declared VM whose last heartbeat is at least Detector.LostAfter old, or that
	// has never sent one.
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

	// Heartbeat is one heartbeat of the agent on a VM. T is the type of its further content.
	Heartbeat[T any] struct {
		VM string `json:"vm"`
		// Generation identifies one run of the agent. It consists of the start time of the agent with a fixed number of
		// digits, followed by random digits. Of two generations with different lengths, the longer one is later; with
		// the same length, the one that sorts last as text.
		Generation string `json:"generation"`
		// Sequence increases with each heartbeat of a generation.
		Sequence uint64 `json:"sequence"`
		Draining bool   `json:"draining"`
		// Content is any further content of the heartbeat. The Detector stores it and does not interpret it.
		Content T `json:"content"`
	}

	// Member is a VM with its last heartbeat, and its status when Detector.Member or Detector.Members was called. If a
	// declared VM has never sent a heartbeat, all fields of Heartbeat except VM are zero.
	Member[T any] struct {
		Heartbeat[T]
		Status string `json:"status"`
		// Age is the time since the last heartbeat, or 0 if there was none.
		Age time.Duration `json:"age"`
	}

	// Detector keeps the last heartbeat of each VM. The zero value is ready for use. Set the exported fields before
	// the first call. A Detector is safe for concurrent use.
	Detector[T any] struct {
		// Clock defaults to the system clock.
		Clock Clock
		// SuspectAfter is the time without a heartbeat after which a VM becomes suspect; default 2 s. LostAfter is the
		// time after which it becomes lost, or unreachable if it is declared; default 10 s.
		SuspectAfter time.Duration
		LostAfter    time.Duration

		mutex    sync.RWMutex
		declared map[string]struct{}
		records  map[string]record[T]
	}

	// record is the last heartbeat of a VM and the time at which it was received.
	record[T any] struct {
		heartbeat  Heartbeat[T]
		receivedAt time.Time
	}
)

// Observe stores a heartbeat as the last one of its VM and returns true. It ignores the heartbeat and returns false if
// its generation is older than that of the last heartbeat, or if the generation is the same and the sequence number is
// not higher. However, it accepts an older generation if the VM has sent no heartbeat for LostAfter, because the clock
// of the VM may have been set back before the agent was restarted.
func (d *Detector[T]) Observe(b Heartbeat[T]) bool {
	now := d.now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.records == nil {
		d.records = map[string]record[T]{}
	}
	lastRecord, ok := d.records[b.VM]
	if ok {
		order := CompareGenerations(b.Generation, lastRecord.heartbeat.Generation)
		if order == 0 && b.Sequence <= lastRecord.heartbeat.Sequence {
			return false
		}
		if order < 0 && now.Sub(lastRecord.receivedAt) < d.lostAfter() {
			return false
		}
	}
	d.records[b.VM] = record[T]{b, now}
	return true
}

// Declare replaces the set of declared VMs; these are the VMs in the inventory. Members returns them even if they have
// never sent a heartbeat.
func (d *Detector[T]) Declare(vms []string) {
	declared := make(map[string]struct{}, len(vms))
	for _, v := range vms {
		declared[v] = struct{}{}
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.declared = declared
}

// RemoveLost deletes the last heartbeat of a VM and returns true if the heartbeat is at least LostAfter old. Otherwise,
// or if the VM has no heartbeat, it returns false.
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

// Member returns the VM with the given name. It returns false if the VM is not declared and has no last heartbeat.
func (d *Detector[T]) Member(vm string) (Member[T], bool) {
	now := d.now()
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	return d.member(vm, now)
}

// Members returns the declared VMs and all others that have a last heartbeat, sorted by name.
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

// member implements Member. The caller must hold the mutex.
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

// CompareGenerations returns a negative number if a is the earlier generation, a positive one if b is, and 0 if they
// are equal.
func CompareGenerations(a, b string) int {
	if len(a) != len(b) {
		return len(a) - len(b)
	}
	return strings.Compare(a, b)
}
