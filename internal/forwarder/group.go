package forwarder

import (
	"maps"
	"slices"
	"sync"
	"time"

	"bamboohook/limiter"
)

type (
	// group is a set of services that share one limiter. Two services that run on the same VM are in the same group,
	// because a slot that one of them uses is not available to the other. Two services that share VMs only with a
	// common third service are therefore in one group too.
	group struct {
		limiter  *limiter.Limiter
		services []string
		// weights maps the kinds of requests to their weights in the limiter. The map is replaced, never changed.
		weights map[string]float64

		// refreshedAt is the time of the last refreshCapacity. mutex guards only this field.
		mutex       sync.Mutex
		refreshedAt time.Time
	}

	// vmState is what the last heartbeat of a VM says about its endpoint, with the group to which its services belong.
	// Only group is changed after creation.
	vmState struct {
		services   []string
		slots      int
		draining   bool
		receivedAt time.Time
		group      *group
	}
)

// SetShares replaces the guaranteed shares of the slots. shares maps kinds of requests to fractions whose sum is at
// most 1. The difference between 1 and this sum is divided equally among the services that are not in shares; if it is
// 0, these services only get slots that others leave idle. If shares is empty, all services have equal shares.
func (f *Forwarder) SetShares(shares map[string]float64) {
	shares = maps.Clone(shares)
	f.SetShareSchedule(func(time.Time) map[string]float64 { return shares })
}

// SetShareSchedule sets a function that returns the shares for the given time; SetShares explains their meaning. The
// function is called at once, and again when a heartbeat arrives at least a second after the last call. It must return
// quickly and must not call the Forwarder.
func (f *Forwarder) SetShareSchedule(schedule func(time.Time) map[string]float64) {
	f.init()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.schedule, f.scheduleEvaluatedAt = schedule, time.Time{}
	f.applySchedule()
}

// applySchedule calls the schedule and sets the shares that it returns, if the last call is at least scheduleInterval
// ago. The caller must hold the mutex.
func (f *Forwarder) applySchedule() {
	now := f.Clock.Now()
	if f.schedule == nil || !f.scheduleEvaluatedAt.IsZero() && now.Sub(f.scheduleEvaluatedAt) < scheduleInterval {
		return
	}
	f.scheduleEvaluatedAt = now
	shares, otherShare := f.schedule(now), 1.0
	for _, share := range shares {
		otherShare -= share
	}
	f.Shares, f.OtherShare = shares, max(otherShare, 0)
	updated := map[*group]bool{}
	for _, p := range f.services {
		if p.group != nil && !updated[p.group] {
			updated[p.group] = true
			f.applyWeights(p.group)
		}
	}
}

// applyWeights sets the weights of the group's limiter: one for each service of the group, and one for each kind in
// Shares that is not the name of a service. The caller must hold the mutex.
func (f *Forwarder) applyWeights(g *group) {
	weights := make(map[string]float64, len(f.Shares)+len(g.services))
	for kind, share := range f.Shares {
		if f.services[kind] == nil {
			weights[kind] = share
		}
	}
	withoutShare := 0
	for _, name := range g.services {
		if _, hasShare := f.Shares[name]; !hasShare {
			withoutShare++
		}
	}
	for _, name := range g.services {
		share, hasShare := f.Shares[name]
		if !hasShare {
			share = f.OtherShare / float64(withoutShare)
		}
		weights[name] = share
	}
	if !maps.Equal(weights, g.weights) {
		g.weights = weights
		g.limiter.SetWeights(weights, 0)
	}
}

// updateVM replaces the state of a VM, or deletes it if state is nil, and updates the groups and the capacity of the
// limiter of the VM's group. The caller must hold the mutex.
func (f *Forwarder) updateVM(vm string, state *vmState) {
	oldState := f.vms[vm]
	if state == nil {
		state = &vmState{}
	}
	sameServices := oldState != nil && slices.Equal(oldState.services, state.services)
	if oldState != nil {
		for _, name := range oldState.services {
			if !slices.Contains(state.services, name) {
				f.services[name].router.Remove(vm)
			}
		}
	}
	f.vms[vm] = state
	if len(state.services) == 0 {
		delete(f.vms, vm)
	}
	if sameServices {
		state.group = oldState.group
	} else if !f.joinGroup(oldState, state) {
		f.regroup()
	}
	if state.group != nil {
		f.refreshCapacity(state.group)
	}
}

// joinGroup assigns a new VM to the group of its services and returns true. It returns false if all groups must be
// computed again: if the VM is not new or has no services, or if its services are not all in the same group. The caller
// must hold the mutex.
func (f *Forwarder) joinGroup(oldState, state *vmState) bool {
	if oldState != nil || len(state.services) == 0 {
		return false
	}
	g := f.services[state.services[0]].group
	for _, name := range state.services {
		if f.services[name].group != g {
			return false
		}
	}
	state.group = g
	return g != nil
}

// regroup computes the groups of all services and VMs. A new group takes over the limiter of the first of its services,
// by name; if another new group has already taken that limiter over, the new group gets a new one. Its limiter does not
// count the running requests that other limiters have admitted, but the router still limits the requests at each VM.
// The caller must hold the mutex.
func (f *Forwarder) regroup() {
	// This is a union-find: services on the same VM get the same root. A service that has no parent is a root.
	parents := map[string]string{}
	findRoot := func(name string) string {
		for parents[name] != "" {
			name = parents[name]
		}
		return name
	}
	for _, h := range f.vms {
		for _, name := range h.services {
			// The root is the service name that sorts first, so that the result does not depend on the order of the
			// VMs.
			a, b := findRoot(h.services[0]), findRoot(name)
			if a != b {
				parents[max(a, b)] = min(a, b)
			}
		}
	}
	groups, assigned := map[string]*group{}, map[*group]bool{}
	for _, name := range slices.Sorted(maps.Keys(f.services)) {
		p, rootName := f.services[name], findRoot(name)
		g := groups[rootName]
		if g == nil {
			if g = p.group; g == nil || assigned[g] {
				g = &group{limiter: limiter.New(limiter.Options{Clock: f.Clock})}
			}
			g.services, g.refreshedAt = nil, time.Time{}
			groups[rootName], assigned[g] = g, true
		}
		p.group = g
		g.services = append(g.services, name)
	}
	for _, h := range f.vms {
		h.group = f.services[h.services[0]].group
	}
	for _, g := range groups {
		f.applyWeights(g)
		f.refreshCapacity(g)
	}
}

// refreshCapacity sets the capacity of the group's limiter to the slots of all VMs of the group divided by the number of
// live entries, rounded up. VMs that are draining or whose last heartbeat is too old don't count.
// refreshCapacity does nothing if its last update is less than capacityInterval ago. The caller must hold the mutex of
// the Forwarder for reading.
func (f *Forwarder) refreshCapacity(g *group) {
	now := f.Clock.Now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if now.Sub(g.refreshedAt) < capacityInterval {
		return
	}
	g.refreshedAt = now
	slots := 0
	for _, h := range f.vms {
		if h.group == g && !h.draining && now.Sub(h.receivedAt) <= maxHeartbeatAge {
			slots += h.slots
		}
	}
	n := max(f.EntryCount(), 1)
	// The limiter admits as many requests as this entry's part of all slots. The router must let the entry use the same
	// part of the slots of each VM.
	f.loadTracker.SetProcessCount(n)
	g.limiter.SetCapacity((slots + n - 1) / n)
}
