package coordinator

import (
	"context"
	"time"
)

// confirmationInterval is the shortest time between two calls of ConfirmOwnership. One call serves all agent processes whose first report arrived before
// it, so a restart of all agents costs the store at most 20 reads, within the 2 s after which they accept starts anyway.
const confirmationInterval = 100 * time.Millisecond

// confirmedAt returns the result of ConfirmedAt for the current epoch, or the zero time. The caller holds the mutex.
func (c *Coordinator) confirmedAt() time.Time {
	if c.ConfirmedAt == nil {
		return time.Time{}
	}
	return c.ConfirmedAt(c.state.epoch)
}

// refusesStarts reports whether the agent process still refuses starts, according to its last report, because it could not ask all entries for the owner.
func (v *vm) refusesStarts(now time.Time) bool { return now.Before(v.startsRefusedUntil) }

// awaitsConfirmation reports whether the agent process refuses starts and this owner cannot prove yet that it need not. The proof is a contact with the
// store, at confirmedAt, after the first report of the process had arrived. The previous process had ended then, and no other entry had claimed the
// ownership, so that process cannot have reported to a later owner.
func (v *vm) awaitsConfirmation(now, confirmedAt time.Time) bool {
	return v.refusesStarts(now) && !confirmedAt.After(v.identifiedAt)
}

// confirmForAgents calls ConfirmOwnership in the background if an agent process waits for that.
func (c *Coordinator) confirmForAgents(ctx context.Context) {
	epoch, agents, begun := c.beginConfirmation()
	if !begun {
		return
	}
	c.spawn(func() {
		startedAt := c.Clock.Now()
		err := c.ConfirmOwnership(ctx, epoch)
		c.state.mutex.Lock()
		defer c.state.mutex.Unlock()
		c.state.confirming = false
		c.Meter.Count("ownership-confirmations")
		c.Log.Info().Err(err).Uint64("epoch", epoch).Int("agents", agents).Dur("took", c.Clock.Now().Sub(startedAt)).
			Msg("asked the store to confirm the ownership for agents that refuse starts")
		c.wakePlanner()
	})
}

// beginConfirmation returns the epoch to confirm and the number of agent processes that wait for it. begun is false if ConfirmOwnership should not be
// called now.
func (c *Coordinator) beginConfirmation() (epoch uint64, agents int, begun bool) {
	c.state.mutex.Lock()
	defer c.state.mutex.Unlock()
	s := &c.state
	now := c.Clock.Now()
	if c.ConfirmOwnership == nil || !s.owning || s.confirming || now.Sub(s.confirmationRequestedAt) < confirmationInterval {
		return 0, 0, false
	}
	confirmedAt := c.confirmedAt()
	for _, v := range s.vms {
		if v.awaitsConfirmation(now, confirmedAt) {
			agents++
		}
	}
	if agents == 0 {
		return 0, 0, false
	}
	s.confirming, s.confirmationRequestedAt = true, now
	return s.epoch, agents, true
}
