package coordinator_test

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"bamboohook/internal/fleet/sleeper"
)

const (
	// The first constants limit the time between two cuts of a VM and how long a cut lasts.
	minCutPeriod = 4 * time.Second
	maxCutPeriod = 16 * time.Second
	minCutTime   = time.Second
	maxCutTime   = 12 * time.Second
	// takeoverCutShare is the share of the VMs that are cut off from a new owner when it takes over, while they still reach the former one.
	takeoverCutShare = 0.25
	// refusingCutShare is the share of the cuts that refuse connections. The others drop or hold messages.
	refusingCutShare = 0.4
	// heldMessageShare is the share of the messages in a silent cut that arrive after its end.
	heldMessageShare = 0.5
)

var errDropped = eris.New("message was dropped")

type (
	// simCut keeps messages from passing between a VM and an entry. An empty entry stands for all of them.
	simCut struct {
		vm, entry     string
		toEntry, toVM bool
		refuses       bool
		until         time.Time
	}

	// simLink is the way of a message between a VM and an entry. toEntry is its direction.
	simLink struct {
		vm, entry string
		toEntry   bool
	}
)

// reverse returns the way of the response to a message.
func (l simLink) reverse() simLink {
	l.toEntry = !l.toEntry
	return l
}

func (c simCut) blocks(l simLink) bool {
	return c.vm == l.vm && (c.entry == "" || c.entry == l.entry) && (l.toEntry && c.toEntry || !l.toEntry && c.toVM) && time.Now().Before(c.until)
}

// cutOff cuts the VM off from the entry, in one direction or both. The caller holds the mutex.
func (w *simWorld) cutOff(vm, entry string) {
	c := simCut{vm: vm, entry: entry, toEntry: true, toVM: true, refuses: w.chance(refusingCutShare)}
	duration := w.duration(minCutTime, maxCutTime)
	c.until = time.Now().Add(duration)
	switch w.draw(4) {
	case 0:
		c.toEntry = false
	case 1:
		c.toVM = false
	}
	w.cuts = append(w.cuts, c)
	w.log("", "%s: cut off from %q for %v (to it: %t, from it: %t, refuses connections: %t)", vm, entry, duration, c.toEntry, c.toVM, c.refuses)
}

// cutOffSometimes cuts the VM off from all entries, the present owner or the other entry, from time to time.
func (w *simWorld) cutOffSometimes(vm string) {
	w.repeat(minCutPeriod, maxCutPeriod, func(w *simWorld) {
		entries := append([]string{"", w.owner.address}, ownerAddresses...)
		w.cutOff(vm, entries[w.draw(len(entries))])
	})
}

// cutOffFromNewOwner cuts some VMs off from an owner that takes over. The caller holds the mutex.
func (w *simWorld) cutOffFromNewOwner(address string) {
	for _, vm := range w.vms {
		if w.chance(takeoverCutShare) {
			w.cutOff(vm, address)
		}
	}
}

// pass waits until a message can pass the link. It returns errNotReachable if a cut refuses the connection, and errDropped if the message
// never arrives.
func (w *simWorld) pass(l simLink) error {
	for {
		var cut simCut
		w.locked(func(w *simWorld) {
			n := slices.IndexFunc(w.cuts, func(c simCut) bool { return c.blocks(l) })
			if n >= 0 && !w.calm {
				cut = w.cuts[n]
			}
		})
		switch {
		case cut.vm == "":
			return nil
		case cut.refuses:
			return errNotReachable
		case !w.chance(heldMessageShare):
			return errDropped
		case !sleeper.Sleep(w.ctx, time.Until(cut.until)+w.duration(minMessageDelay, maxMessageDelay)):
			return errDropped
		}
	}
}
