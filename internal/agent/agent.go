// Package agent wires the process that runs beside an endpoint.
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
	tickInterval = 200 * time.Millisecond
	// confirmTime bounds how long a drained agent waits until owners have recorded its last results.
	confirmTime = 15 * time.Second
	// maxAnnouncementBytes bounds an announcement of the endpoint.
	maxAnnouncementBytes = 64 << 10
	fetchTimeout         = 2 * time.Second
)

type (
	// Agent announces one VM and its endpoint to the entries, runs batch tasks at the worker and passes requests
	// to the endpoint. Set the exported fields before Run.
	Agent struct {
		Settings settings.Agent
		// Listeners of the four ports. Run closes them.
		PeerListener     net.Listener
		RequestListener  net.Listener
		AnnounceListener net.Listener
		OperatorListener net.Listener
		Log              zerolog.Logger

		generation string
		sequence   atomic.Uint64
		revision   atomic.Uint64
		fetching   atomic.Bool
		draining   atomic.Bool
		clock      boottimer.Clock
		admitter   *admitter.Admitter
		supervisor *supervisor.Supervisor
		journal    *journaler.Journaler
		gateway    *gateway.Gateway
		beats      *heartbeater.Heartbeater[message.Heartbeat, message.HeartbeatResponse]
		operator   *operator.Server
		peers      *peer.Server
		events     *recorder.Recorder
	}
)

// Run serves until ctx ends, then drains: it announces that it leaves, finishes the requests in flight, hands
// its tasks over and returns nil. It returns an error if a port cannot be served.
func (a *Agent) Run(ctx context.Context) error {
	a.build()
	// The parts go on while the agent drains, so they do not end with ctx.
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, serving := errgroup.WithContext(running)
	group.Go(func() error { return a.peers.Run(serving, a.PeerListener) })
	group.Go(func() error { return operator.Serve(serving, a.RequestListener, a.gateway, a.Settings.MaxHeaderBytes) })
	group.Go(func() error {
		return operator.Serve(serving, a.AnnounceListener, a.announceHandler(), a.Settings.MaxHeaderBytes)
	})
	group.Go(func() error { return a.operator.Run(serving, a.OperatorListener) })
	group.Go(func() error { return a.supervisor.Run(serving, tickInterval) })
	group.Go(func() error { a.beats.Run(serving); return nil })
	a.operator.SetReady(true)
	a.note("started", nil)
	select {
	case <-ctx.Done():
		a.drain(serving)
	case <-serving.Done():
	}
	stop()
	return eris.Wrap(group.Wait(), "agent: stopped")
}

func (a *Agent) build() {
	// The detector orders generations: a later start must compare higher.
	a.generation = fmt.Sprintf("%016x-%s", time.Now().UnixNano(), rand.Text()[:8])
	a.events = recorder.New(recorder.Options{Process: a.Settings.Name})
	a.admitter = &admitter.Admitter{}
	a.supervisor = &supervisor.Supervisor{
		Generation: a.generation, Clock: a.clock, Admitter: a.admitter,
		Worker: worker{&workerclient.Client{Address: a.Settings.WorkerAddress}},
	}
	a.journal = journaler.New(journaler.Options{VM: a.Settings.Name, Generation: a.generation})
	a.gateway = &gateway.Gateway{VM: a.Settings.Name, Journal: a.journal, MaxBodyBytes: a.Settings.MaxBodyBytes}
	a.beats = &heartbeater.Heartbeater[message.Heartbeat, message.HeartbeatResponse]{
		Method: message.MethodHeartbeat, Seeds: a.Settings.Entries, Interval: a.Settings.HeartbeatInterval, NewHeartbeat: a.heartbeat, OnResponse: a.answered, Clock: a.clock,
		HybridClock: a.events,
	}
	a.operator = operator.NewServer()
	a.operator.Echo().GET(message.PathEvents, func(c echo.Context) error {
		return c.JSON(http.StatusOK, a.events.EventsAfter(0, 0))
	})
	a.peers = a.peerServer()
}

func (a *Agent) drain(ctx context.Context) {
	limit, cancel := context.WithTimeout(ctx, a.Settings.DrainTime)
	defer cancel()
	a.draining.Store(true)
	a.operator.SetReady(false)
	a.note("draining", nil)
	a.supervisor.Drain(limit)
	// Entries learn of the drain from the next heartbeat. Until they all have, requests are still served.
	sleep(limit, 2*a.beats.Interval)
	if err := a.gateway.Drain(limit); err != nil {
		a.Log.Warn().Err(err).Msg("requests in flight did not end within the drain time")
	}
	a.awaitHandOver(limit)
	a.note("drained", nil)
}

// awaitHandOver waits until all attempts have stopped and the owners have recorded their results. The workers'
// leases end what remains after the time.
func (a *Agent) awaitHandOver(ctx context.Context) {
	limit, cancel := context.WithTimeout(ctx, confirmTime)
	defer cancel()
	for len(a.supervisor.Reports()) > 0 && limit.Err() == nil {
		sleep(limit, tickInterval)
	}
	if left := len(a.supervisor.Reports()); left > 0 {
		a.Log.Warn().Int("tasks", left).Msg("tasks were not handed over within the drain time")
	}
}

func (a *Agent) heartbeat() message.Heartbeat {
	state := message.StateUp
	if a.draining.Load() {
		state = message.StateDraining
	}
	services := a.gateway.ServiceLoads()
	if a.gateway.Draining() && !a.draining.Load() {
		// Only the endpoint leaves; the VM goes on with batch tasks.
		services = nil
	}
	sequence := a.sequence.Add(1)
	a.supervisor.RecordHeartbeat(sequence, a.clock.Now())
	return message.Heartbeat{
		VM: a.Settings.Name, Generation: a.generation, Sequence: sequence,
		DataCentre: a.Settings.DataCentre, Rack: a.Settings.Rack, State: state,
		PeerAddress: a.Settings.PeerAddress, RequestAddress: a.Settings.RequestAddress,
		Services: services, Capacity: a.admitter.Capacity(), Committed: a.admitter.Committed(),
		Revision: a.revision.Load(), Tasks: a.supervisor.Reports(),
	}
}

func (a *Agent) answered(address string, sent time.Time, answer message.HeartbeatResponse) []string {
	a.supervisor.HandleAnswer(context.Background(), sent, answer)
	// A slow fetch must not delay the next heartbeat.
	go a.follow(address, answer.Revision)
	return answer.EntryAddresses
}

// note records an event and writes the log line of a change of state.
func (a *Agent) note(kind string, details map[string]string) {
	a.events.Record(kind, a.Settings.Name, details)
	a.Log.Info().Str("vm", a.Settings.Name).Str("generation", a.generation).Msg(kind)
}

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

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
