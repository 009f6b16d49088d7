package coordinator

import (
	"cmp"
	"slices"
	"time"

	"bamboohook/internal/batch/pacer"
	"bamboohook/internal/fleet/messenger"
)

const (
	// maxOrdersPerMessage and maxOrdersBytes limit the orders in one message. An agent carries them out at the same time, and in the message each byte
	// may take up to six, which must not exceed the size of a frame.
	maxOrdersPerMessage = 512
	maxOrdersBytes      = 1 << 20
	// leastStartWindow and initialStartWindow are the least and the first number of starts on a VM that may be unconfirmed. The highest is
	// maxOrdersPerMessage.
	leastStartWindow   = 4
	initialStartWindow = 16
	// slowOrders is the time until the response to starts from which on the agent counts as congested. A new job whose tasks start there waits about as long.
	slowOrders = 100 * time.Millisecond
	// unconfirmedPace is the confirmed pace of a run whose pace may be any, because its agent process was replaced.
	unconfirmedPace = -1
	// orderOverhead is about how many bytes an order takes besides its texts.
	orderOverhead = 200
)

// orderKind is a kind of orders for a run.
type orderKind int

const (
	noOrder orderKind = iota
	startOrder
	stopOrder
	paceOrder
)

// addOrders adds the orders that are due for the runs on the VM, those first whose last order is the longest ago. It returns false if some do not fit in
// one message. They are due again in the next plan, before those that were added now.
func (v *vm) addOrders(o *messenger.Orders, now time.Time) bool {
	var due []*run
	for _, x := range v.runs {
		if x.dueOrder(now) != noOrder {
			due = append(due, x)
		}
	}
	slices.SortFunc(due, func(x, y *run) int {
		return cmp.Or(x.lastOrderAt().Compare(y.lastOrderAt()), x.knownSince.Compare(y.knownSince), cmp.Compare(x.taskName, y.taskName))
	})
	size := 0
	for n, x := range due {
		if n == maxOrdersPerMessage || size > maxOrdersBytes {
			return false
		}
		size += x.addOrder(o, now)
	}
	return true
}

// updateStartWindow updates how many starts on the VM may be unconfirmed from the response to orders that were sent at sentAt, or the error in its place.
func (c *Coordinator) updateStartWindow(v *vm, response messenger.OrdersResponse, err error, sentAt time.Time) {
	done, congested := 0, err != nil
	for _, s := range response.Starts {
		switch {
		case s.Outcome == messenger.StartDone:
			done++
		case s.Outcome == messenger.StartUnknown, s.Reason == messenger.ReasonEndpointBusy:
			congested = true
		}
	}
	now := c.Clock.Now()
	if !congested && now.Sub(sentAt) < slowOrders {
		v.startWindow.Answered(done)
		return
	}
	if len(response.Starts) == 0 && err == nil || !v.startWindow.Congested(sentAt, now) {
		return
	}
	c.Meter.Count("start-window-shrunk")
	c.Log.Info().Str("vm", v.Name).Dur("after", now.Sub(sentAt)).Int("confirmed", done).Int("window", v.startWindow.Window()).Int("pending", v.pendingStarts).
		Msg("agent confirms starts late; fewer at a time")
}

// startEnded records that it is known whether the run exists.
func (v *vm) startEnded(x *run) {
	if x.startPending {
		x.startPending = false
		v.pendingStarts--
	}
}

// dueOrder returns the kind of the order that is due for the run.
func (x *run) dueOrder(now time.Time) orderKind {
	kind, sentAt := noOrder, time.Time{}
	switch {
	case x.stopping:
		kind, sentAt = stopOrder, x.stopSentAt
	case !x.expectedInReports && x.vm.Evacuated:
		// withdrawStarts decides what becomes of the run.
	case !x.expectedInReports:
		kind, sentAt = startOrder, x.startSentAt
	case x.isBestEffort() && x.paceOrderDue():
		kind, sentAt = paceOrder, x.paceSentAt
	}
	if now.Sub(sentAt) <= orderRetryInterval {
		return noOrder
	}
	return kind
}

// lastOrderAt returns when the last order for the run was sent, or the zero time.
func (x *run) lastOrderAt() time.Time {
	latest := x.startSentAt
	for _, at := range []time.Time{x.stopSentAt, x.paceSentAt} {
		if at.After(latest) {
			latest = at
		}
	}
	return latest
}

// addOrder adds the order that is due for the run and returns about how many bytes it takes in a message.
func (x *run) addOrder(o *messenger.Orders, now time.Time) int {
	size := orderOverhead + len(x.taskName)
	switch x.dueOrder(now) {
	case stopOrder:
		x.stopSentAt = now
		x.stopsSent++
		o.Stops = append(o.Stops, messenger.Stop{Task: x.taskName, Number: x.number})
	case startOrder:
		x.startSentAt = now
		x.startsSent++
		start := messenger.Start{
			Task: x.taskName, Number: x.number, Payload: x.task.Step.Job.Payload, Checkpoint: x.task.Checkpoint(), Ticket: x.ticketText,
			Size: x.task.Step.Size, BestEffort: x.task.Step.BestEffort,
		}
		o.Starts = append(o.Starts, start)
		size += len(start.Payload) + len(start.Checkpoint) + len(start.Ticket)
	case paceOrder:
		x.paceSentAt = now
		o.Paces = append(o.Paces, messenger.Pace{Task: x.taskName, Number: x.number, Percent: x.pace})
	}
	return size
}

// paceOrderDue reports whether the pace differs enough from the confirmed pace to be sent to the agent.
func (x *run) paceOrderDue() bool {
	if x.confirmedPace == unconfirmedPace {
		return true
	}
	if x.pace == pacer.FullPercent || x.pace == 0 {
		return x.pace != x.confirmedPace
	}
	return x.pace-x.confirmedPace >= minPaceRisePercent || x.confirmedPace-x.pace >= minPaceFallPercent
}
