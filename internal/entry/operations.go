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
	// publishTimeout is the maximum time for which a request to publish a configuration change waits for the
	// verdict on whether the change is accepted.
	publishTimeout = 10 * time.Second
	// historyTimeout is the maximum time for which a request to publish a change waits until this entry has
	// read the accepted changes after the revision on which the published change is based. An entry that was
	// paused reads the records that it missed in less time.
	historyTimeout      = 2 * time.Second
	historyPollInterval = 10 * time.Millisecond
	// logRetryAfter is the time after which a response asks the operator to retry a publication that failed
	// because the log was unavailable.
	logRetryAfter = 5 * time.Second
	// maxPublicationBytes is the maximum size of the body of a request to publish a configuration change. It is
	// less than 512 KiB, which is the limit for records that are appended to the log together.
	maxPublicationBytes = 400 << 10
)

func (e *Entry) registerOperatorRoutes(c *echo.Echo) {
	c.GET(message.PathFleet, func(c echo.Context) error { return c.JSON(http.StatusOK, e.fleetVMs()) })
	c.GET(message.PathEvents, func(c echo.Context) error { return c.JSON(http.StatusOK, e.events.EventsAfter(0, 0)) })
	c.GET(message.PathAllEvents, func(c echo.Context) error {
		return c.JSON(http.StatusOK, e.allEvents(c.Request().Context()))
	})
	c.GET(message.PathConfiguration, func(c echo.Context) error {
		return c.JSON(http.StatusOK, e.configuration.configurator.State())
	})
	c.GET(message.PathHistory, func(c echo.Context) error { return c.JSON(http.StatusOK, e.configurationHistory()) })
	c.POST(message.PathConfiguration, e.publishChange)
}

// publishChange validates the change in the request body against the current configuration, appends it to the
// configuration stream and responds with the verdict, which says whether the change was accepted. If the
// verdict on a change with the same ID is already known, publishChange responds with that verdict and appends
// nothing.
func (e *Entry) publishChange(c echo.Context) error {
	c.Request().Body = http.MaxBytesReader(c.Response(), c.Request().Body, maxPublicationBytes)
	var change message.PublicationRequest
	if err := c.Bind(&change); err != nil {
		return writeErrorResponse(c, http.StatusBadRequest, message.ErrorResponse{
			Outcome: message.OutcomeNotRun, Reason: message.ReasonBadRequest,
			Message: "entry: the change is not a JSON object of at most 400 KiB: " + err.Error(),
		})
	}
	historyKnown := e.awaitHistory(c.Request().Context(), change.BaseRevision)
	state := e.configuration.configurator.State()
	if v := e.configuration.configurator.Verdict(change.ChangeID); v.Outcome != configurator.OutcomeUnknown {
		return c.JSON(http.StatusOK, message.PublicationResponse{
			ChangeID: change.ChangeID, PublicationOutcome: string(v.Outcome), BaseRevision: v.BaseRevision, CurrentRevision: v.Revision,
		})
	}
	if !historyKnown {
		return c.JSON(http.StatusOK, message.PublicationResponse{
			ChangeID: change.ChangeID, PublicationOutcome: message.PublicationUnknown, BaseRevision: change.BaseRevision, CurrentRevision: state.Revision,
			Message: "the changes since revision " + strconv.FormatUint(change.BaseRevision, 10) + " are not known here; ask another entry, or later",
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
			Message:      "entry: the change was not recorded and nothing was changed: " + response.Reason,
			RetryAfterMS: logRetryAfter.Milliseconds(),
		}
		return writeErrorResponse(c, exchange.StatusCode(errorResponse), errorResponse)
	}
	return c.JSON(http.StatusOK, message.PublicationResponse{
		ChangeID: change.ChangeID, PublicationOutcome: string(response.Outcome), BaseRevision: response.BaseRevision, CurrentRevision: response.Revision, Message: response.Reason,
	})
}

// awaitHistory reports whether this entry knows all accepted changes after baseRevision, the revision on which
// a change to publish is based. Without them, it cannot tell whether the same change was submitted before and
// accepted. The entry may still have to read these changes from the stream, so awaitHistory waits for up to
// historyTimeout. After that, it also returns true if baseRevision is newer than the current revision, because
// such a change is rejected anyway.
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

// mergeSections returns a copy of the current sections of the configuration with the change applied to it.
func mergeSections(current map[string]map[string]string, change message.PublicationRequest) map[string]map[string]string {
	merged := make(map[string]map[string]string, len(current)+len(change.Set))
	for name, keys := range current {
		merged[name] = keys
	}
	for name, keys := range change.Set {
		merged[name] = keys
	}
	for _, name := range change.Removed {
		delete(merged, name)
	}
	return merged
}

// configurationHistory returns the accepted changes of the configuration that this entry knows, for operators.
func (e *Entry) configurationHistory() []message.AcceptedChange {
	var changes []message.AcceptedChange
	for _, a := range e.configuration.configurator.History() {
		h := message.AcceptedChange{Revision: a.Revision, ChangeID: a.Change.ID, Author: a.Change.Author, Removed: a.Change.Removed}
		for name := range a.Change.Set {
			h.Set = append(h.Set, name)
		}
		changes = append(changes, h)
	}
	return changes
}

// fleetVMs returns all VMs that the inventory declares or that have sent a heartbeat, with their current
// status.
func (e *Entry) fleetVMs() []message.FleetVM {
	_, inv := e.configuration.appliedRevision()
	members := e.detector.Members()
	vms := make([]message.FleetVM, 0, len(members))
	for _, m := range members {
		h := m.Content
		declared, ok := inv.VMs[m.VM]
		if h.DataCentre == "" {
			h.DataCentre, h.Rack, h.Capacity = declared.DataCentre, declared.Rack, declared.Capacity
		}
		// handleHeartbeat treats a VM that the inventory does not declare as draining.
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

// applyInventory passes the names of the declared VMs to the failure detector. To the forwarder, it passes a
// function that returns the share of the slots that each kind of request is guaranteed at a given time. A VM
// has one slot for each request that it may serve at the same time.
func (e *Entry) applyInventory(inv *inventory.Inventory) {
	declaredNames := make([]string, 0, len(inv.VMs))
	for name := range inv.VMs {
		declaredNames = append(declaredNames, name)
	}
	e.detector.Declare(declaredNames)
	e.forwarder.SetShareSchedule(apportioner.New(inv).Shares)
}
