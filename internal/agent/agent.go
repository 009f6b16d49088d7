// Package agent assembles the agent process that runs on each VM, next to its endpoint and its worker.
package agent

import (
	"context"
	"crypto/rand"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"bamboohook/admitter"
	"bamboohook/internal/boottimer"
	"bamboohook/internal/gateway"
	"bamboohook/internal/heartbeater"
	"bamboohook/internal/message"
	"bamboohook/internal/operator"
	"bamboohook/internal/peer"
	"bamboohook/internal/settings"
	"bamboohook/internal/supervisor"
	"bamboohook/internal/workerclient"
	"bamboohook/journaler"
	"bamboohook/recorder"
)

const (
	// tickInterval is the interval at which the agent calls Supervisor.Tick, and at which a draining agent
	// checks whether its tasks have ended.
	tickInterval = 200 * time.Millisecond
	// confirmTimeout is the maximum time that a draining agent waits until the owners of its tasks, which
	// are the entries that schedule them, have recorded the results.
	confirmTimeout = 15 * time.Second
	// maxAnnouncementBytes is the maximum size of an announcement, the message with which the endpoint on
	// the VM reports its services.
	maxAnnouncementBytes = 64 << 10
	// fetchTimeout is the timeout of the call with which the agent fetches the configuration from an entry.
	fetchTimeout = 2 * time.Second
)

type (
	// Agent reports its VM and the endpoint on the VM to the entries, starts and stops batch tasks on the
	// worker, which is the process that runs them, and forwards requests to the endpoint. Set the exported
	// fields before Run.
	Agent struct {
		Settings settings.Agent
		// PeerListener serves calls from entries, RequestListener requests that entries forward to the
		// endpoint, AnnounceListener announcements of the endpoint, and OperatorListener operators. Run
		// closes all four.
		PeerListener     net.Listener
		RequestListener  net.Listener
		AnnounceListener net.Listener
		OperatorListener net.Listener
		Logger           zerolog.Logger

		// generation identifies this run of the agent process.
		generation        string
		heartbeatSequence atomic.Uint64
		// revision is the number of the applied revision of the configuration. fetching is true while a
		// newer one is fetched from an entry.
		revision       atomic.Uint64
		fetching       atomic.Bool
		draining       atomic.Bool
		clock          boottimer.Clock
		admitter       *admitter.Admitter
		supervisor     *supervisor.Supervisor
		journal        *journaler.Journaler
		gateway        *gateway.Gateway
		heartbeater    *heartbeater.Heartbeater[message.Heartbeat, message.HeartbeatResponse]
		operatorServer *operator.Server
		peerServer     *peer.Server
		events         *recorder.Recorder
	}
)

// Run serves until ctx ends. Then it drains: it reports the drain to the entries, checkpoints and stops its
// tasks, waits for the requests in flight and returns nil. It returns an error if a component of the agent
// fails, for example because a listener cannot be served.
func (a *Agent) Run(ctx context.Context) error {
	a.buildComponents()
	// The components keep running while the agent drains, so their context does not end with ctx.
	componentsCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, groupCtx := errgroup.WithContext(componentsCtx)
	group.Go(func() error { return a.peerServer.Run(groupCtx, a.PeerListener) })
	group.Go(func() error { return operator.Serve(groupCtx, a.RequestListener, a.gateway, a.Settings.MaxHeaderBytes) })
	group.Go(func() error {
		return operator.Serve(groupCtx, a.AnnounceListener, a.announceHandler(), a.Settings.MaxHeaderBytes)
	})
	group.Go(func() error { return a.operatorServer.Run(groupCtx, a.OperatorListener) })
	group.Go(func() error { return a.supervisor.Run(groupCtx, tickInterval) })
	group.Go(func() error { a.heartbeater.Run(groupCtx); return nil })
	a.operatorServer.SetReady(true)
	a.recordEvent("started", nil)
	select {
	case <-ctx.Done():
		a.drain(groupCtx)
	case <-groupCtx.Done():
	}
	stop()
	return eris.Wrap(group.Wait(), "agent: a component failed")
}

// buildComponents creates the components of the agent without starting them.
func (a *Agent) buildComponents() {
	// The failure detector of the entries compares generations as strings. The generation of a later run
	// must be the greater string, so it begins with the time.
	a.generation = fmt.Sprintf("%016x-%s", time.Now().UnixNano(), rand.Text()[:8])
	a.events = recorder.New(recorder.Options{Process: a.Settings.Name})
	a.admitter = &admitter.Admitter{}
	a.supervisor = &supervisor.Supervisor{
		Generation: a.generation, Clock: a.clock, Admitter: a.admitter,
		Worker: workerAdapter{&workerclient.Client{Address: a.Settings.WorkerAddress}},
	}
	a.journal = journaler.New(journaler.Options{VM: a.Settings.Name, Generation: a.generation})
	a.gateway = &gateway.Gateway{VM: a.Settings.Name, Journal: a.journal, MaxBodyBytes: a.Settings.MaxBodyBytes}
	a.heartbeater = &heartbeater.Heartbeater[message.Heartbeat, message.HeartbeatResponse]{
		Method: message.MethodHeartbeat, Seeds: a.Settings.Entries, Interval: a.Settings.HeartbeatInterval, NewHeartbeat: a.newHeartbeat, OnResponse: a.handleHeartbeatResponse, Clock: a.clock,
		HybridClock: a.events,
	}
	a.operatorServer = operator.NewServer()
	a.operatorServer.Echo().GET(message.PathEvents, func(c echo.Context) error {
		return c.JSON(http.StatusOK, a.events.EventsAfter(0, 0))
	})
	a.peerServer = a.newPeerServer()
}

// drain stops the tasks, waits for the requests in flight, and waits until the owners of the tasks, which
// are the entries that schedule them, have recorded the results. It takes at most Settings.DrainTime.
func (a *Agent) drain(ctx context.Context) {
	drainCtx, cancel := context.WithTimeout(ctx, a.Settings.DrainTime)
	defer cancel()
	a.draining.Store(true)
	a.operatorServer.SetReady(false)
	a.recordEvent("draining", nil)
	a.supervisor.Drain(drainCtx)
	// Entries learn from the next heartbeat that the agent drains, and they send requests until then. Serve
	// requests for two heartbeat intervals, so that all entries have had time to receive the heartbeat.
	sleep(drainCtx, 2*a.heartbeater.Interval)
	if err := a.gateway.Drain(drainCtx); err != nil {
		a.Logger.Warn().Err(err).Msg("requests in flight did not finish within the drain time")
	}
	a.awaitConfirmations(drainCtx)
	a.recordEvent("drained", nil)
}

// awaitConfirmations waits until all task attempts have ended and the owners of the tasks, which are the
// entries that schedule them, have recorded their results, but at most for confirmTimeout. An attempt that
// is still running after that is stopped by the worker when its lease expires.
func (a *Agent) awaitConfirmations(ctx context.Context) {
	confirmCtx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	for len(a.supervisor.Reports()) > 0 && confirmCtx.Err() == nil {
		sleep(confirmCtx, tickInterval)
	}
	if remainingCount := len(a.supervisor.Reports()); remainingCount > 0 {
		a.Logger.Warn().Int("tasks", remainingCount).Msg("stopped waiting for tasks that still run or whose results no entry has confirmed")
	}
}

// newHeartbeat returns the next heartbeat, which reports the state of the VM, the services of its endpoint
// and its task attempts.
func (a *Agent) newHeartbeat() message.Heartbeat {
	state := message.StateUp
	if a.draining.Load() {
		state = message.StateDraining
	}
	services := a.gateway.ServiceLoads()
	if a.gateway.Draining() && !a.draining.Load() {
		// Only the endpoint drains. If the heartbeat lists no services, the VM gets no requests, but it
		// continues to run batch tasks.
		services = nil
	}
	sequence := a.heartbeatSequence.Add(1)
	a.supervisor.RecordHeartbeat(sequence, a.clock.Now())
	return message.Heartbeat{
		VM: a.Settings.Name, Generation: a.generation, Sequence: sequence,
		DataCentre: a.Settings.DataCentre, Rack: a.Settings.Rack, State: state,
		PeerAddress: a.Settings.PeerAddress, RequestAddress: a.Settings.RequestAddress,
		Services: services, Capacity: a.admitter.Capacity(), Committed: a.admitter.Committed(),
		Revision: a.revision.Load(), Tasks: a.supervisor.Reports(),
	}
}

// handleHeartbeatResponse processes the response of the entry at the address to the heartbeat that was sent
// at the given time. It returns the peer addresses of all entries to which heartbeats are to be sent.
func (a *Agent) handleHeartbeatResponse(address string, sent time.Time, response message.HeartbeatResponse) []string {
	a.supervisor.HandleHeartbeatResponse(context.Background(), sent, response)
	// A slow fetch must not delay the next heartbeat.
	go a.fetchIfNewer(address, response.Revision)
	return response.EntryAddresses
}

// recordEvent records an event of the given kind about this VM with the details. It also logs the event,
// with the kind as the message but without the details.
func (a *Agent) recordEvent(kind string, details map[string]string) {
	a.events.Record(kind, a.Settings.Name, details)
	a.Logger.Info().Str("vm", a.Settings.Name).Str("generation", a.generation).Msg(kind)
}

// announceHandler returns the HTTP handler for announcements, with which the endpoint on the VM reports its
// services.
func (a *Agent) announceHandler() http.Handler {
	e := echo.New()
	e.POST(message.PathAnnounce, func(c echo.Context) error {
		c.Request().Body = http.MaxBytesReader(c.Response(), c.Request().Body, maxAnnouncementBytes)
		var announcement message.Announcement
		if err := c.Bind(&announcement); err != nil {
			return err
		}
		if err := a.gateway.Announce(announcement); err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, err.Error())
		}
		return c.NoContent(http.StatusNoContent)
	})
	return e
}

// sleep waits for the duration or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
