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
	// historyTimeout is longer than an entry that was paused takes to read the records it missed.
	historyTimeout      = 2 * time.Second
	historyPollInterval = 10 * time.Millisecond
	logRetryAfter       = 5 * time.Second
	// maxPublicationBytes limits a published change. It is below the limit of 512 KiB for a batch in the
	// log.
	maxPublicationBytes = 400 << 10
)

func (e *Entry) registerOperatorRoutes(c *echo.Echo) {
	c.GET(message.PathFleet, func(c echo.Context) error { return c.JSON(http.StatusOK, e.fleet()) })
	c.GET(message.PathEvents, func(c echo.Context) error { return c.JSON(http.StatusOK, e.events.EventsAfter(0, 0)) })
	c.GET(message.PathAllEvents, func(c echo.Context) error {
		return c.JSON(http.StatusOK, e.allEvents(c.Request().Context()))
	})
	c.GET(message.PathConfiguration, func(c echo.Context) error {
		return c.JSON(http.StatusOK, e.configuration.configurator.State())
	})
	c.GET(message.PathHistory, func(c echo.Context) error { return c.JSON(http.StatusOK, e.history()) })
	c.POST(message.PathConfiguration, e.publishChange)
}

// publish validates a change against the current configuration, appends it to the stream and responds
// with the verdict.
func (e *Entry) publishChange(c echo.Context) error {
	c.Request().Body = http.MaxBytesReader(c.Response(), c.Request().Body, maxPublicationBytes)
	var change message.PublicationRequest
	if err := c.Bind(&change); err != nil {
		return writeErrorResponse(c, http.StatusBadRequest, message.ErrorResponse{
			Outcome: message.OutcomeNotRun, Reason: message.ReasonBadRequest,
			Message: "entry: the request body is not a valid JSON change of at most 400 KiB: " + err.Error(),
		})
	}
	historyKnown := e.awaitHistory(c.Request().Context(), change.BaseRevision)
	state := e.configuration.configurator.State()
	if v := e.configuration.configurator.Verdict(change.ChangeID); v.Outcome != configurator.OutcomeUnknown {
		return c.JSON(http.StatusOK, message.PublicationResponse{
			ChangeID: change.ChangeID, Verdict: string(v.Outcome), BaseRevision: v.BaseRevision, CurrentRevision: v.Revision,
		})
	}
	if !historyKnown {
		return c.JSON(http.StatusOK, message.PublicationResponse{
			ChangeID: change.ChangeID, Verdict: message.VerdictUnknown, BaseRevision: change.BaseRevision, CurrentRevision: state.Revision,
			Message: "this entry does not know all changes since revision " + strconv.FormatUint(change.BaseRevision, 10) + "; ask another entry or retry later",
		})
	}
	if _, err := inventory.New(mergeSections(state.Sections, change)); err != nil && change.BaseRevision == state.Revision {
		return writeErrorResponse(c, http.StatusBadRequest, message.ErrorResponse{
			Outcome: message.OutcomeNotRun, Reason: message.ReasonBadRequest, Message: err.Error(), RequestID: change.ChangeID,
		})
	}
	publishCtx, cancel := context.WithTimeout(c.Request().Context(), publishTimeout)
	defer cancel()
	response := e.configuration.publisher.Publish(publishCtx, state, configurator.Change{
		ID: change.ChangeID, BaseRevision: change.BaseRevision, Author: change.Author, Set: change.Set, Removed: change.Removed,
	})
	counters.Add("publications-"+string(response.Outcome), 1)
	e.recordEvent("publication", change.ChangeID, map[string]string{"outcome": string(response.Outcome), "author": change.Author})
	if response.Outcome == publisher.OutcomeNotPublished {
		errorResponse := message.ErrorResponse{
			Outcome: message.OutcomeNotRun, Reason: message.ReasonLogUnavailable, RequestID: change.ChangeID,
			Message:      "entry: the change was not appended to the log and has no effect: " + response.Reason,
			RetryAfterMS: logRetryAfter.Milliseconds(),
		}
		return writeErrorResponse(c, exchange.StatusCode(errorResponse), errorResponse)
	}
	return c.JSON(http.StatusOK, message.PublicationResponse{
		ChangeID: change.ChangeID, Verdict: string(response.Outcome), BaseRevision: response.BaseRevision, CurrentRevision: response.Revision, Message: response.Reason,
	})
}

// awaitHistory reports whether all changes since baseRevision are known. If they are not, the same change
// may already have been accepted under an earlier submission. The stream may not have been read up to a
// state that was fetched from a peer, or up to a revision that another entry has read first, so
// awaitHistory waits up to historyTimeout. If baseRevision is still newer than the current revision then,
// no history is needed, because the change is rejected.
func (e *Entry) awaitHistory(ctx context.Context, baseRevision uint64) bool {
	deadline := time.Now().Add(historyTimeout)
	for {
		if _, complete := e.configuration.configurator.ChangesSince(baseRevision); complete {
			return true
		}
		if ctx.Err() != nil || time.Now().After(deadline) {
			return baseRevision > e.configuration.configurator.State().Revision
		}
		time.Sleep(historyPollInterval)
	}
}

// mergeSections returns the sections that result from applying the change to the current ones.
func mergeSections(current map[string]map[string]string, change message.PublicationRequest) map[string]map[string]string {
	result := make(map[string]map[string]string, len(current)+len(change.Set))
	for name, keys := range current {
		result[name] = keys
	}
	for name, keys := range change.Set {
		result[name] = keys
	}
	for _, name := range change.Removed {
		delete(result, name)
	}
	return result
}

func (e *Entry) history() []message.HistoryEntry {
	var changes []message.HistoryEntry
	for _, a := range e.configuration.configurator.History() {
		h := message.HistoryEntry{Revision: a.Revision, ChangeID: a.Change.ID, Author: a.Change.Author, Removed: a.Change.Removed}
		for name := range a.Change.Set {
			h.Set = append(h.Set, name)
		}
		changes = append(changes, h)
	}
	return changes
}

// fleet returns all declared and announced VMs with their current status.
func (e *Entry) fleet() []message.FleetVM {
	_, inv := e.configuration.effective()
	members := e.members.Members()
	vms := make([]message.FleetVM, 0, len(members))
	for _, m := range members {
		h := m.Content
		declared, ok := inv.VMs[m.VM]
		if h.DataCentre == "" {
			h.DataCentre, h.Rack, h.Capacity = declared.DataCentre, declared.Rack, declared.Capacity
		}
		status := m.Status
		if !e.configuration.admitsVM(m.VM) && status == detector.StatusDraining {
			status = message.StatusUndeclared
		}
		vms = append(vms, message.FleetVM{
			VM: m.VM, DataCentre: h.DataCentre, Rack: h.Rack, Status: status, Declared: ok, Revision: h.Revision,
			Committed: h.Committed, Capacity: h.Capacity, Services: h.Services,
		})
	}
	return vms
}

// applyInventory updates the detector and the forwarder from the inventory.
func (e *Entry) applyInventory(inv *inventory.Inventory) {
	names := make([]string, 0, len(inv.VMs))
	for name := range inv.VMs {
		names = append(names, name)
	}
	e.members.Declare(names)
	e.forwarder.SetShareSchedule(apportioner.New(inv).Shares)
}
