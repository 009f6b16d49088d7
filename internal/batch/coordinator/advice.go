package coordinator

import (
	"cmp"
	"context"
	"slices"
	"time"

	"bamboohook/internal/batch/bookkeeper"
	"bamboohook/internal/batch/dispatcher"
	"bamboohook/internal/batch/inquirer"
)

const (
	// adviceMargin is how long a request for tickets may take beyond the time that the queue's configuration gives for it, which counts up to
	// maxAdviceTime.
	adviceMargin  = 2 * time.Second
	maxAdviceTime = 20 * time.Second
)

// endpoint identifies the VM's endpoint process for the Advisor.
func (v *vm) endpoint() inquirer.Endpoint {
	return inquirer.Endpoint{ID: v.endpointID, Incarnation: v.incarnation}
}

// ticketRequest is a request to the Advisor that the owner of the epoch sends.
type ticketRequest struct {
	inquirer.Request
	timeout time.Duration
	epoch   uint64
}

// nextTicketRequest returns the next request for tickets for one of the steps that still have waiting tasks after a plan, or nil. A request that has
// no response yet is not sent again, and no second one is sent meanwhile.
func (c *Coordinator) nextTicketRequest(steps []*bookkeeper.Step, now time.Time) *ticketRequest {
	if c.Advisor == nil || len(steps) == 0 {
		return nil
	}
	var needs []inquirer.Need
	for _, s := range steps {
		waiting := 0
		for _, t := range s.Tasks {
			if t.IsWaiting() {
				waiting++
			}
		}
		if waiting > 0 {
			needs = append(needs, inquirer.Need{
				Step: stepName(s), Queue: s.Job.Queue, Tasks: waiting, Candidates: func() []inquirer.Candidate { return c.ticketCandidates(s) },
			})
		}
	}
	request, ok := c.state.inquirer.Next(needs, now)
	if !ok {
		return nil
	}
	return &ticketRequest{request, c.queueNamed(request.Queue).adviceTimeout(len(request.Endpoints)), c.state.epoch}
}

// adviceTimeout returns the timeout of a request for tickets for the given number of VMs.
func (q Queue) adviceTimeout(vms int) time.Duration {
	perVM := min(max(q.AdviceTimePerVM, 0), maxAdviceTime/time.Duration(vms))
	return adviceMargin + min(max(q.AdviceTime, 0), maxAdviceTime) + time.Duration(vms)*perVM
}

// ticketCandidates returns the endpoints with room for a task of the step, those with the most unclaimed processors first.
func (c *Coordinator) ticketCandidates(s *bookkeeper.Step) []inquirer.Candidate {
	service := c.queueOf(s.Job).Service
	var vms []*vm
	for _, v := range c.state.vms {
		if v.Service == service && v.endpointID != "" && v.RoomFor(s) > 0 {
			vms = append(vms, v)
		}
	}
	slices.SortFunc(vms, func(x, y *vm) int {
		return cmp.Or(cmp.Compare(y.unclaimedProcessors(), x.unclaimedProcessors()), cmp.Compare(x.Name, y.Name))
	})
	candidates := make([]inquirer.Candidate, len(vms))
	for n, v := range vms {
		candidates[n] = inquirer.Candidate{Endpoint: v.endpoint(), Room: v.RoomFor(s)}
	}
	return candidates
}

// keepsRoomWithoutTicket reports whether a VM may be held for the step although it has no ticket. Tickets are only requested for VMs with room, and in a full
// fleet there is none unless a VM is held. While the Advisor fails, that would keep the VM from working for nothing.
func (c *Coordinator) keepsRoomWithoutTicket(s *bookkeeper.Step, now time.Time) bool {
	failedAt := c.state.inquirer.FailedAt()
	return (failedAt.IsZero() || now.Sub(failedAt) >= dispatcher.StarvationTime) && slices.ContainsFunc(s.Tasks, func(t *bookkeeper.Task) bool {
		return t.IsWaiting() && now.Sub(t.WaitingSince()) >= dispatcher.StarvationTime
	})
}

// sendTicketRequest sends a request for tickets and records the answer, unless the epoch has ended.
func (c *Coordinator) sendTicketRequest(ctx context.Context, request ticketRequest) {
	callCtx, cancel := context.WithTimeout(ctx, request.timeout)
	defer cancel()
	ids := make([]string, len(request.Endpoints))
	for n, e := range request.Endpoints {
		ids[n] = e.ID
	}
	sentAt := c.Clock.Now()
	tickets, validity, err := c.Advisor.Advise(callCtx, request.Step, ids)
	c.state.mutex.Lock()
	defer c.state.mutex.Unlock()
	if c.state.epoch != request.epoch {
		return
	}
	now := c.Clock.Now()
	if err != nil {
		c.state.inquirer.Fail(now)
		c.Meter.Count("ticket-requests-failed")
		c.Log.Warn().Err(err).Str("step", request.Step).Int("vms", len(ids)).Dur("after", now.Sub(sentAt)).Msg("cannot get tickets for a step")
		return
	}
	c.state.inquirer.Answer(request.Request, tickets, validity, sentAt, now)
	c.Log.Info().Str("step", request.Step).Int("asked", len(ids)).Int("approved", len(tickets)).Dur("after", now.Sub(sentAt)).
		Msg("request for tickets was answered")
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
