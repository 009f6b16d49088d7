package coordinator

import (
	"context"
	"slices"
	"time"

	"bamboohook/internal/batch/bookkeeper"
)

const (
	// maxVMsPerTicketRequest is the highest number of VMs in one request for tickets. Each VM makes the response take longer, and most steps fit
	// on a few VMs.
	maxVMsPerTicketRequest = 8
	// ticketRequestTimeout is the timeout of a request for tickets.
	ticketRequestTimeout = 2 * time.Second
	// ticketRequestInterval is the shortest time between two requests for tickets for the same step.
	ticketRequestInterval = 300 * time.Millisecond
	// ticketMargin is how long a ticket must still be valid when a task is placed, so that it is valid when the agent receives the start.
	ticketMargin = 200 * time.Millisecond
)

// validTicket returns the text of the VM's ticket for the step, or "" if the VM has no valid one.
func (v *vm) validTicket(s *bookkeeper.Step, now time.Time) string {
	found, ok := v.tickets[stepName(s)]
	if !ok || !now.Before(found.expiresAt) {
		return ""
	}
	return found.text
}

// ensureTicket reports whether a VM on which the step may start now has a valid ticket for it. If none has, it requests tickets in the
// background, at most once in each ticketRequestInterval.
func (c *Coordinator) ensureTicket(ctx context.Context, s *bookkeeper.Step, q Queue, now time.Time) bool {
	name := stepName(s)
	hasTicket := false
	var candidateVMs []*vm
	for _, v := range c.state.vms {
		if v.Service != q.Service || !c.schedulable(v, now) {
			continue
		}
		hasTicket = hasTicket || v.validTicket(s, now) != ""
		candidateVMs = append(candidateVMs, v)
	}
	if hasTicket || c.Advisor == nil || len(candidateVMs) == 0 || now.Sub(c.state.ticketsRequestedAt[name]) < ticketRequestInterval {
		return hasTicket
	}
	if c.state.ticketsRequestedAt == nil {
		c.state.ticketsRequestedAt = map[string]time.Time{}
	}
	c.state.ticketsRequestedAt[name] = now
	slices.SortFunc(candidateVMs, func(x, y *vm) int { return int(y.unclaimedProcessors() - x.unclaimedProcessors()) })
	requestedVMs := candidateVMs[:min(len(candidateVMs), maxVMsPerTicketRequest)]
	endpoints := make([]string, len(requestedVMs))
	for n, v := range requestedVMs {
		endpoints[n] = v.endpointID
	}
	c.spawn(func() { c.requestTickets(ctx, name, endpoints) })
	return false
}

// requestTickets asks the Advisor for tickets to run the step at the endpoints, and stores them at the endpoints' VMs.
func (c *Coordinator) requestTickets(ctx context.Context, step string, endpoints []string) {
	callCtx, cancel := context.WithTimeout(ctx, ticketRequestTimeout)
	defer cancel()
	start := c.Clock.Now()
	tickets, validity, err := c.Advisor.Advise(callCtx, step, endpoints)
	c.state.mutex.Lock()
	defer c.state.mutex.Unlock()
	if err != nil {
		c.Log.Warn().Err(err).Str("step", step).Int("vms", len(endpoints)).Msg("cannot get tickets for a step")
		return
	}
	for _, v := range c.state.vms {
		if text, ok := tickets[v.endpointID]; ok {
			if v.tickets == nil {
				v.tickets = map[string]ticket{}
			}
			v.tickets[step] = ticket{text, start.Add(validity - ticketMargin)}
		}
	}
	c.Log.Info().Str("step", step).Int("asked", len(endpoints)).Int("approved", len(tickets)).Msg("request for tickets was answered")
	c.wakePlanner()
}

// unclaimedProcessors returns the processors that are neither reserved nor needed by best-effort tasks at full pace, in thousandths.
func (v *vm) unclaimedProcessors() int64 {
	return v.Capacity.MilliProcessors - v.Reserved().MilliProcessors - v.BestEffortProcessors()
}

// stepName returns the name of the step in its occurrence.
func stepName(s *bookkeeper.Step) string {
	return s.Tasks[0].ID().StepName()
}
