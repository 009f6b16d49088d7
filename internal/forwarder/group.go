package forwarder

import (
	"maps"
	"slices"
	"sync"
	"time"

	"bamboohook/limiter"
)

type (
	// group is a set of services that are connected by common VMs. They share one limiter, because a slot that one of them uses is
	// lost to the others.
	group struct {
		limiter  *limiter.Limiter
		services []string
		// weights are in effect in the limiter; a new map replaces them.
		weights map[string]float64

		mutex       sync.Mutex
		refreshedAt time.Time
	}

	// vmState is what the last heartbeat of a VM tells about its endpoint. It is immutable except for group.
	vmState struct {
		services []string
		slots    int
		draining bool
		seenAt   time.Time
		group    *group
	}
)

// SetShares replaces the guaranteed weights of the kinds of work. They are parts of 1. Services that shares does not name divide what
// it leaves of 1 equally, and only borrow if it leaves nothing. With no shares all services have equal weights.
func (f *Forwarder) SetShares(shares map[string]float64) {
	shares = maps.Clone(shares)
	f.SetShareSchedule(func(time.Time) map[string]float64 { return shares })
}

// SetShareSchedule replaces the weights by those that the function returns, with the meaning of SetShares. It is called with the time
// of the clock at once and then every second, and must be quick and not call the forwarder.
func (f *Forwarder) SetShareSchedule(schedule func(time.Time) map[string]float64) {
	f.init()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.schedule, f.evaluatedAt = schedule, time.Time{}
	f.applySchedule()
}

// applySchedule applies the shares of the schedule. The mutex must be locked.
func (f *Forwarder) applySchedule() {
	now := f.Clock.Now()
	if f.schedule == nil || !f.evaluatedAt.IsZero() && now.Sub(f.evaluatedAt) < scheduleInterval {
		return
	}
	f.evaluatedAt = now
	shares, other := f.schedule(now), 1.0
	for _, share := range shares {
		other -= share
	}
	f.Shares, f.OtherShare = shares, max(other, 0)
	seen := map[*group]bool{}
	for _, p := range f.services {
		if p.group != nil && !seen[p.group] {
			seen[p.group] = true
			f.applyWeights(p.group)
		}
	}
}

// applyWeights gives the limiter a kind for each service of the group, and for each share that names no service.
func (f *Forwarder) applyWeights(g *group) {
	weights := make(map[string]float64, len(f.Shares)+len(g.services))
	for kind, share := range f.Shares {
		if f.services[kind] == nil {
			weights[kind] = share
		}
	}
	unnamed := 0
	for _, name := range g.services {
		if _, named := f.Shares[name]; !named {
			unnamed++
		}
	}
	for _, name := range g.services {
		share, named := f.Shares[name]
		if !named {
			share = f.OtherShare / float64(unnamed)
		}
		weights[name] = share
	}
	if !maps.Equal(weights, g.weights) {
		g.weights = weights
		g.limiter.SetWeights(weights, 0)
	}
}

// updateVM replaces what is known of a VM; nil forgets it. The mutex must be locked.
func (f *Forwarder) updateVM(vm string, now *vmState) {
	before := f.vms[vm]
	if now == nil {
		now = &vmState{}
	}
	same := before != nil && slices.Equal(before.services, now.services)
	if before != nil {
		for _, name := range before.services {
			if !slices.Contains(now.services, name) {
				f.services[name].router.Remove(vm)
			}
		}
	}
	f.vms[vm] = now
	if len(now.services) == 0 {
		delete(f.vms, vm)
	}
	if same {
		now.group = before.group
	} else if !f.joinGroup(before, now) {
		f.regroup()
	}
	if now.group != nil {
		f.refreshCapacity(now.group)
	}
}

// joinGroup gives a new VM its group if all its services are already in one. It returns false if the groups change.
func (f *Forwarder) joinGroup(before, now *vmState) bool {
	if before != nil || len(now.services) == 0 {
		return false
	}
	g := f.services[now.services[0]].group
	for _, name := range now.services {
		if f.services[name].group != g {
			return false
		}
	}
	now.group = g
	return g != nil
}

// regroup assigns the services and VMs to groups. A group keeps the limiter of its first service if it can. Requests in flight under
// another limiter aren't counted in the new one; the slots of each VM still bound them.
func (f *Forwarder) regroup() {
	roots := map[string]string{}
	root := func(name string) string {
		for roots[name] != "" {
			name = roots[name]
		}
		return name
	}
	for _, h := range f.vms {
		for _, name := range h.services {
			// The first name in order is the root, so that the result does not depend on the order of the VMs.
			a, b := root(h.services[0]), root(name)
			if a != b {
				roots[max(a, b)] = min(a, b)
			}
		}
	}
	groups, kept := map[string]*group{}, map[*group]bool{}
	for _, name := range slices.Sorted(maps.Keys(f.services)) {
		p, first := f.services[name], root(name)
		g := groups[first]
		if g == nil {
			if g = p.group; g == nil || kept[g] {
				g = &group{limiter: limiter.New(limiter.Options{Clock: f.Clock})}
			}
			g.services, g.refreshedAt = nil, time.Time{}
			groups[first], kept[g] = g, true
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

// refreshCapacity sets the capacity of the limiter to this entry's part of the live slots. The mutex must be locked for reading.
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
		if h.group == g && !h.draining && now.Sub(h.seenAt) <= maxHeartbeatAge {
			slots += h.slots
		}
	}
	n := max(f.EntryCount(), 1)
	// Each entry's limiter admits its part of all slots, so it must also be able to use its part of each VM.
	f.loadTracker.SetProcessCount(n)
	g.limiter.SetCapacity((slots + n - 1) / n)
}
