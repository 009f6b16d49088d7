package coordinator

import (
	"context"
	"slices"
	"time"

	"bamboohook/internal/batch/bookkeeper"
)

const (
	// advisedVMs is how many VMs one question names: each one costs time, and most steps fit on a few.
	advisedVMs = 8
	// adviceTimeout is the longest wait for an answer.
	adviceTimeout = 2 * time.Second
	// adviceRetry is when the same step may be asked for again.
	adviceRetry = 300 * time.Millisecond
	// ticketMargin is left of a ticket's time when a start goes out.
	ticketMargin = 200 * time.Millisecond
)

// ticket returns the VM's valid ticket for the step, or "".
func (v *vm) ticket(s *bookkeeper.Step, now time.Time) string {
	held, ok := v.tickets[stepName(s)]
	if !ok || !now.Before(held.until) {
		return ""
	}
	return held.text
}

// advised reports whether some VM holds a ticket for the step, and asks for tickets otherwise.
func (c *Coordinator) advised(ctx context.Context, s *bookkeeper.Step, q Queue, now time.Time) bool {
	name := stepName(s)
	held := false
	var candidates []*vm
	for _, v := range c.state.vms {
		if v.Service != q.Service || !c.open(v, now) {
			continue
		}
		held = held || v.ticket(s, now) != ""
		candidates = append(candidates, v)
	}
	if held || c.Advisor == nil || len(candidates) == 0 || now.Sub(c.state.asked[name]) < adviceRetry {
		return held
	}
	if c.state.asked == nil {
		c.state.asked = map[string]time.Time{}
	}
	c.state.asked[name] = now
	slices.SortFunc(candidates, func(x, y *vm) int { return int(y.room() - x.room()) })
	asked := candidates[:min(len(candidates), advisedVMs)]
	endpoints := make([]string, len(asked))
	for n, v := range asked {
		endpoints[n] = v.endpoint
	}
	c.spawn(func() { c.ask(ctx, name, endpoints) })
	return false
}

// ask fetches tickets.
func (c *Coordinator) ask(ctx context.Context, step string, endpoints []string) {
	call, cancel := context.WithTimeout(ctx, adviceTimeout)
	defer cancel()
	begun := c.Clock.Now()
	tickets, valid, err := c.Advisor.Advise(call, step, endpoints)
	c.state.mutex.Lock()
	defer c.state.mutex.Unlock()
	if err != nil {
		c.Log.Warn().Err(err).Str("step", step).Int("vms", len(endpoints)).Msg("no advice")
		return
	}
	for _, v := range c.state.vms {
		if text, ok := tickets[v.endpoint]; ok {
			if v.tickets == nil {
				v.tickets = map[string]ticket{}
			}
			v.tickets[step] = ticket{text, begun.Add(valid - ticketMargin)}
		}
	}
	c.Log.Info().Str("step", step).Int("asked", len(endpoints)).Int("approved", len(tickets)).Msg("advice")
	c.kick()
}

// room returns the processors that are not reserved, in thousandths.
func (v *vm) room() int64 {
	return v.Capacity.MilliProcessors - v.Reserved().MilliProcessors - v.BestEffortProcessors()
}

func stepName(s *bookkeeper.Step) string {
	return s.Tasks[0].ID().StepName()
}
