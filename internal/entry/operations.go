package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"bamboohook/configurator"
	"bamboohook/detector"
	"bamboohook/internal/apportioner"
	"bamboohook/internal/exchange"
	"bamboohook/internal/inventory"
	"bamboohook/internal/message"
	"bamboohook/internal/publisher"
)

const (
	publishTimeout = 10 * time.Second
	// historyTimeout exceeds the time in which a resumed entry reads what it missed.
	historyTimeout  = 2 * time.Second
	historyInterval = 10 * time.Millisecond
	logRetryAfter   = 5 * time.Second
	// maxPublicationBytes bounds a published change; a batch in the log has at most 512 KiB.
	maxPublicationBytes = 400 << 10
)

func (e *Entry) registerOperator(c *echo.Echo) {
	c.GET(message.PathFleet, func(c echo.Context) error { return c.JSON(http.StatusOK, e.fleet()) })
	c.GET(message.PathEvents, func(c echo.Context) error { return c.JSON(http.StatusOK, e.events.EventsAfter(0, 0)) })
	c.GET(message.PathAllEvents, func(c echo.Context) error {
		return c.JSON(http.StatusOK, e.allEvents(c.Request().Context()))
	})
	c.GET(message.PathConfiguration, func(c echo.Context) error {
		return c.JSON(http.StatusOK, e.configuration.current.State())
	})
	c.GET(message.PathHistory, func(c echo.Context) error { return c.JSON(http.StatusOK, e.history()) })
	c.POST(message.PathConfiguration, e.publish)
}

// publish validates a change against the configuration in effect, appends it and answers with the verdict.
func (e *Entry) publish(c echo.Context) error {
	c.Request().Body = http.MaxBytesReader(c.Response(), c.Request().Body, maxPublicationBytes)
	var p message.PublicationRequest
	if err := c.Bind(&p); err != nil {
		return fail(c, http.StatusBadRequest, message.ErrorResponse{
			Outcome: message.OutcomeNotRun, Reason: message.ReasonBadRequest,
			Message: "entry: the change is not a JSON object of at most 400 KiB: " + err.Error(),
		})
	}
	known := e.awaitHistory(c.Request().Context(), p.BaseRevision)
	state := e.configuration.current.State()
	if v := e.configuration.current.Verdict(p.ChangeID); v.Outcome != configurator.OutcomeUnknown {
		return c.JSON(http.StatusOK, message.PublicationResponse{
			ChangeID: p.ChangeID, Verdict: string(v.Outcome), BaseRevision: v.BaseRevision, CurrentRevision: v.Revision,
		})
	}
	if !known {
		return c.JSON(http.StatusOK, message.PublicationResponse{
			ChangeID: p.ChangeID, Verdict: message.VerdictUnknown, BaseRevision: p.BaseRevision, CurrentRevision: state.Revision,
			Message: "the changes since revision " + strconv.FormatUint(p.BaseRevision, 10) + " are not known here; ask another entry, or later",
		})
	}
	if _, err := inventory.New(merged(state.Sections, p)); err != nil && p.BaseRevision == state.Revision {
		return fail(c, http.StatusBadRequest, message.ErrorResponse{
			Outcome: message.OutcomeNotRun, Reason: message.ReasonBadRequest, Message: err.Error(), RequestID: p.ChangeID,
		})
	}
	limit, cancel := context.WithTimeout(c.Request().Context(), publishTimeout)
	defer cancel()
	answer := e.configuration.publish.Publish(limit, state, configurator.Change{
		ID: p.ChangeID, BaseRevision: p.BaseRevision, Author: p.Author, Set: p.Set, Removed: p.Removed,
	})
	counters.Add("publications-"+string(answer.Outcome), 1)
	e.note("publication", p.ChangeID, map[string]string{"outcome": string(answer.Outcome), "author": p.Author})
	if answer.Outcome == publisher.OutcomeNotPublished {
		f := message.ErrorResponse{
			Outcome: message.OutcomeNotRun, Reason: message.ReasonLogUnavailable, RequestID: p.ChangeID,
			Message:      "entry: the change was not recorded and nothing was changed: " + answer.Reason,
			RetryAfterMS: logRetryAfter.Milliseconds(),
		}
		return fail(c, exchange.StatusCode(f), f)
	}
	return c.JSON(http.StatusOK, message.PublicationResponse{
		ChangeID: p.ChangeID, Verdict: string(answer.Outcome), BaseRevision: answer.BaseRevision, CurrentRevision: answer.Revision, Message: answer.Reason,
	})
}

// awaitHistory reports whether the changes since the base are known; without them, an earlier copy of the change may have
// been accepted. It waits for a time until the stream was read up to a state that a peer gave, or to a base that another
// reader of the stream has seen first. A base that does not come then needs no history, because it is refused.
func (e *Entry) awaitHistory(ctx context.Context, based uint64) bool {
	deadline := time.Now().Add(historyTimeout)
	for {
		if _, complete := e.configuration.current.ChangesSince(based); complete {
			return true
		}
		if ctx.Err() != nil || time.Now().After(deadline) {
			return based > e.configuration.current.State().Revision
		}
		time.Sleep(historyInterval)
	}
}

// merged returns the sections that the change would lead to.
func merged(current map[string]map[string]string, p message.PublicationRequest) map[string]map[string]string {
	result := make(map[string]map[string]string, len(current)+len(p.Set))
	for name, keys := range current {
		result[name] = keys
	}
	for name, keys := range p.Set {
		result[name] = keys
	}
	for _, name := range p.Removed {
		delete(result, name)
	}
	return result
}

func (e *Entry) history() []message.HistoryEntry {
	var found []message.HistoryEntry
	for _, a := range e.configuration.current.History() {
		h := message.HistoryEntry{Revision: a.Revision, ChangeID: a.Change.ID, Author: a.Change.Author, Removed: a.Change.Removed}
		for name := range a.Change.Set {
			h.Set = append(h.Set, name)
		}
		found = append(found, h)
	}
	return found
}

// fleet returns all declared and announced VMs; their status is derived now.
func (e *Entry) fleet() []message.FleetVM {
	_, view := e.configuration.inEffect()
	members := e.members.Members()
	found := make([]message.FleetVM, 0, len(members))
	for _, m := range members {
		h := m.Content
		declared, ok := view.VMs[m.VM]
		if h.DataCentre == "" {
			h.DataCentre, h.Rack, h.Capacity = declared.DataCentre, declared.Rack, declared.Capacity
		}
		status := m.Status
		if !e.configuration.declares(m.VM) && status == detector.StatusDraining {
			status = message.StatusUndeclared
		}
		found = append(found, message.FleetVM{
			VM: m.VM, DataCentre: h.DataCentre, Rack: h.Rack, Status: status, Declared: ok, Revision: h.Revision,
			Committed: h.Committed, Capacity: h.Capacity, Services: h.Services,
		})
	}
	return found
}

// applyInventory puts a new configuration into effect in the parts that depend on it.
func (e *Entry) applyInventory(view *inventory.Inventory) {
	names := make([]string, 0, len(view.VMs))
	for name := range view.VMs {
		names = append(names, name)
	}
	e.members.Declare(names)
	e.forwarder.SetShareSchedule(apportioner.New(view).Shares)
}
