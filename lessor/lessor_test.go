package lessor_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/lessor"
	"bamboohook/task"
)

var start = time.Unix(1_000_000, 0)

// at returns the time that is the given number of seconds after start.
func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

var _ = Describe("Lessor", func() {
	id := task.Identity{Job: "j", Attempt: 1, Shard: 3, Epoch: 7}
	newLessor := func(predecessors ...lessor.Predecessor) *lessor.Lessor {
		l := &lessor.Lessor{}
		l.RecordGeneration("vm-1", "g1", at(0))
		l.RecordLogContact(at(0))
		l.StartGranting(3, 7, predecessors, at(0))
		return l
	}

	for name, c := range map[string]struct {
		grantedAt       float64
		change          func(*lessor.Lessor)
		vm              string
		id              task.Identity
		decision        lessor.Decision
		lease           lessor.Lease
		notRunningAfter float64
	}{
		"a request with log contact":                        {5, nil, "vm-1", id, lessor.Granted, lessor.Lease{Duration: 10 * time.Second}, 15.1},
		"a request without log contact":                     {5.1, nil, "vm-1", id, lessor.Granted, lessor.Lease{Duration: time.Minute, Outage: true}, 65.7},
		"a request at the age limit of the log contact":     {1800, nil, "vm-1", id, lessor.Granted, lessor.Lease{Duration: time.Minute, Outage: true}, 1860.6},
		"a request beyond the age limit of the log contact": {1800.1, nil, "vm-1", id, lessor.NoLogContact, lessor.Lease{}, 0},
		"an attempt with the epoch of another claim":        {1, nil, "vm-1", task.Identity{Job: "j", Shard: 3, Epoch: 6}, lessor.NotOwner, lessor.Lease{}, 0},
		"a shard for which granting was stopped":            {1, func(l *lessor.Lessor) { l.StopGranting(3) }, "vm-1", id, lessor.GrantingStopped, lessor.Lease{}, 0},
		"an unknown VM without log contact":                 {6, nil, "vm-2", id, lessor.UnknownGeneration, lessor.Lease{}, 0},
		"an agent that was first seen more than 5 s after the last log contact": {
			20, func(l *lessor.Lessor) { l.RecordGeneration("vm-1", "g2", at(5.2)) }, "vm-1", id, lessor.UnknownGeneration, lessor.Lease{}, 0,
		},
		"an attempt with a lease on another VM": {
			1, func(l *lessor.Lessor) { l.Grant("vm-0", id, at(0)) }, "vm-1", id, lessor.LeasedToOtherVM, lessor.Lease{}, 0,
		},
	} {
		// Guards against a lease that runs for longer than a successor of the owner waits.
		It("decides on "+name, func() {
			l := newLessor()
			if c.change != nil {
				c.change(l)
			}
			lease, decision := l.Grant(c.vm, c.id, at(c.grantedAt))
			Expect(decision).To(Equal(c.decision))
			Expect(lease).To(Equal(c.lease))
			notRunningAfter, ok := l.NotRunningAfter(c.vm, c.id)
			Expect(ok).To(BeTrue())
			if c.notRunningAfter > 0 {
				Expect(notRunningAfter).To(BeTemporally("~", at(c.notRunningAfter), time.Millisecond))
			} else {
				Expect(notRunningAfter.IsZero()).To(BeTrue())
			}
		})
	}

	idOfOlderEpoch := task.Identity{Job: "j", Attempt: 1, Shard: 3, Epoch: 5}
	unconfirmed := lessor.Predecessor{Entry: "a", Epoch: 5, LastRecordReceivedAt: at(0)}
	handedOver := lessor.Predecessor{Entry: "a", Epoch: 5, LastRecordReceivedAt: at(0), HandedOver: true, RemainingLease: 30 * time.Second}
	remainingOutageLeases := map[string]time.Duration{"vm-1": 40 * time.Second}
	for name, c := range map[string]struct {
		predecessors    []lessor.Predecessor
		change          func(*lessor.Lessor)
		vm              string
		id              task.Identity
		notRunningAfter float64
	}{
		"a predecessor that has neither handed over nor confirmed":   {[]lessor.Predecessor{unconfirmed}, nil, "vm-1", idOfOlderEpoch, 1878.6},
		"a predecessor that has handed over":                         {[]lessor.Predecessor{handedOver}, nil, "vm-1", idOfOlderEpoch, 30.3},
		"a confirmed predecessor without an outage lease on the VM":  {[]lessor.Predecessor{unconfirmed}, func(l *lessor.Lessor) { l.RecordConfirmation(3, 5, remainingOutageLeases, at(9)) }, "vm-2", idOfOlderEpoch, 19.1},
		"a confirmed predecessor with an outage lease on the VM":     {[]lessor.Predecessor{unconfirmed}, func(l *lessor.Lessor) { l.RecordConfirmation(3, 5, remainingOutageLeases, at(9)) }, "vm-1", idOfOlderEpoch, 49.4},
		"a confirmation for another epoch":                           {[]lessor.Predecessor{unconfirmed}, func(l *lessor.Lessor) { l.RecordConfirmation(3, 4, nil, at(9)) }, "vm-1", idOfOlderEpoch, 1878.6},
		"an unconfirmed predecessor whose successor has handed over": {[]lessor.Predecessor{unconfirmed, {Epoch: 6, LastRecordReceivedAt: at(20), HandedOver: true}}, nil, "vm-1", idOfOlderEpoch, 1878.6},
		"a predecessor whose claim is older than the attempt":        {[]lessor.Predecessor{unconfirmed}, nil, "vm-1", id, 0},
		"merged predecessors":                                        {[]lessor.Predecessor{{LastRecordReceivedAt: at(0)}}, nil, "vm-1", id, 1878.6},
		"a predecessor that is fenced twice":                         {[]lessor.Predecessor{unconfirmed}, func(l *lessor.Lessor) { l.RecordFence(idOfOlderEpoch, at(9)); l.RecordFence(idOfOlderEpoch, at(90)) }, "vm-1", idOfOlderEpoch, 69.6},
	} {
		// Guards against running a task twice while a lease of a predecessor may still run.
		It("computes when an attempt can't be running any more, with "+name, func() {
			l := newLessor(c.predecessors...)
			if c.change != nil {
				c.change(l)
			}
			notRunningAfter, ok := l.NotRunningAfter(c.vm, c.id)
			Expect(ok).To(BeTrue())
			if c.notRunningAfter > 0 {
				Expect(notRunningAfter).To(BeTemporally("~", at(c.notRunningAfter), time.Millisecond))
			} else {
				Expect(notRunningAfter.IsZero()).To(BeTrue())
			}
		})
	}

	// Guards against an owner that loses a shard and claims it again, and then waits for a confirmation from itself or
	// forgets the leases that it granted under the earlier claim.
	It("knows the leases that it granted under an earlier claim", func() {
		l := newLessor()
		l.Grant("vm-1", id, at(10))
		l.StartGranting(3, 9, []lessor.Predecessor{{Entry: "self", Epoch: 7, LastRecordReceivedAt: at(0)}}, at(30))
		notRunningAfter, _ := l.NotRunningAfter("vm-1", id)
		Expect(notRunningAfter).To(BeTemporally("~", at(71.006), time.Millisecond))
		notRunningAfter, _ = l.NotRunningAfter("vm-2", id)
		Expect(notRunningAfter).To(BeTemporally("~", at(40.1), time.Millisecond))
	})

	// Guards against a confirmation or handover that leaves out leases which still run, and against treating a shard
	// that was never owned as one without leases.
	It("reports the remaining leases after granting has stopped, the unconfirmed predecessors, and that a shard is unknown", func() {
		l := newLessor()
		l.Grant("vm-1", id, at(10))
		l.StopGranting(3)
		Expect(l.RemainingOutageLeases(3, at(20))).To(Equal(map[string]time.Duration{"vm-1": 50600 * time.Millisecond}))
		Expect(l.LongestRemainingLease(3, at(20))).To(Equal(50600 * time.Millisecond))
		Expect(l.RemainingOutageLeases(3, at(80))).To(BeEmpty())
		Expect(l.UnconfirmedPredecessors(3, at(0))).To(BeEmpty())
		Expect(newLessor(unconfirmed, handedOver).UnconfirmedPredecessors(3, at(0))).To(HaveLen(1))
		_, granting := l.LastEpoch(3)
		Expect(granting).To(BeFalse())
		_, ok := l.NotRunningAfter("vm-1", task.Identity{Shard: 9})
		Expect(ok).To(BeFalse())
	})
})
