// Package entry wires the process that callers and operators reach.
package entry

import (
	"context"
	"crypto/rand"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"bamboohook/appender"
	"bamboohook/detector"
	"bamboohook/follower"
	"bamboohook/internal/boottimer"
	"bamboohook/internal/forwarder"
	"bamboohook/internal/heartbeater"
	"bamboohook/internal/logclient"
	"bamboohook/internal/message"
	"bamboohook/internal/operator"
	"bamboohook/internal/owner"
	"bamboohook/internal/peer"
	"bamboohook/internal/replayer"
	"bamboohook/internal/settings"
	"bamboohook/recorder"
	"bamboohook/snapshotter"
)

const (
	streamConfiguration = "configuration"
	streamBatch         = "batch-"
	// peerSilence is how long an entry counts as live without a message.
	peerSilence   = 3 * time.Second
	sweepInterval = 5 * time.Second
	// replayTime is how long a started entry may take to read the streams before others append a snapshot for it.
	replayTime    = 3 * time.Second
	readyInterval = 100 * time.Millisecond
	// taskRetries is how often a failed task of a job is tried again.
	taskRetries = 3
)

type (
	// Entry routes requests to endpoints, accepts jobs and owns a share of the region's batch tasks. Set the
	// exported fields before Run.
	Entry struct {
		Settings settings.Entry
		// Listeners of the three ports. Run closes them.
		CallerListener   net.Listener
		PeerListener     net.Listener
		OperatorListener net.Listener
		Log              zerolog.Logger

		generation    string
		clock         boottimer.Clock
		log           *logclient.Client
		members       *detector.Detector[message.Heartbeat]
		forwarder     *forwarder.Forwarder
		owner         *owner.Owner
		batch         *batchStream
		configuration *configuration
		appender      *appender.Appender
		clients       *clients
		operator      *operator.Server
		peers         *peer.Server
		greetings     *heartbeater.Heartbeater[message.Presence, message.PresenceResponse]
		events        *recorder.Recorder

		mutex   sync.Mutex
		entries map[string]peerState
		states  map[string]string
	}

	// peerState is what is known of another entry.
	peerState struct {
		peer message.Presence
		seen time.Time
		// since is when its present generation was first heard from.
		since time.Time
	}
)

// Run serves until ctx ends, then drains: readiness fails first, requests in flight finish and the shards are
// handed over. It returns nil then, and an error if a port cannot be served.
func (e *Entry) Run(ctx context.Context) error {
	e.build()
	callers := echo.New()
	e.forwarder.Register(callers)
	e.registerJobs(callers)
	// The parts go on while the entry drains, so they do not end with ctx.
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, serving := errgroup.WithContext(running)
	group.Go(func() error { return e.peers.Run(serving, e.PeerListener) })
	group.Go(func() error { return operator.Serve(serving, e.CallerListener, callers, e.Settings.MaxHeaderBytes) })
	group.Go(func() error { return e.operator.Run(serving, e.OperatorListener) })
	group.Go(func() error { return e.owner.Run(serving) })
	group.Go(func() error { e.appender.Run(serving); return nil })
	group.Go(func() error { e.configuration.appender.Run(serving); return nil })
	group.Go(func() error { e.configuration.run(serving); return nil })
	group.Go(func() error { e.greetings.Run(serving); return nil })
	group.Go(func() error { e.maintain(serving); return nil })
	e.note("started", e.Settings.Name, nil)
	select {
	case <-ctx.Done():
		e.drain(serving)
	case <-serving.Done():
	}
	stop()
	return eris.Wrap(group.Wait(), "entry: stopped")
}

func (e *Entry) build() {
	e.generation = fmt.Sprintf("%016x-%s", time.Now().UnixNano(), rand.Text()[:8])
	e.entries, e.states = map[string]peerState{}, map[string]string{}
	e.events = recorder.New(recorder.Options{Process: e.Settings.Name})
	e.clients = &clients{stamps: e.events}
	e.log = &logclient.Client{Address: "http://" + e.Settings.LogAddress}
	e.members = &detector.Detector[message.Heartbeat]{}
	e.forwarder = &forwarder.Forwarder{
		Detector: e.members, KeyIssuer: e.clients, EntryCount: e.liveEntries, DrainGrace: e.Settings.DrainReadyTime, OtherShare: 1,
		Limits: forwarder.Limits{MaxBodyBytes: e.Settings.MaxBodyBytes, MaxHeaderBytes: e.Settings.MaxHeaderBytes},
	}
	name := streamBatch + e.Settings.Region
	e.appender = appender.New(appender.Options{
		Log: e.log, Clock: e.clock, Stream: name, Writer: e.Settings.Name + "-" + e.generation,
	})
	e.batch = &batchStream{}
	e.batch.replay = &replayer.Replayer{
		Follower:    follower.New(follower.Options{Log: e.log, Clock: e.clock, Stream: name}),
		Snapshotter: snapshotter.New(snapshotter.Options{Retention: e.Settings.LogRetention}), StateMachine: batchState{e}, SnapshotName: name,
		Append: e.appender.Append, IsSnapshotWriter: func() bool { return e.elected(name) }, SnapshotRequested: func() bool { return e.wanted(name) }, Clock: e.clock,
	}
	e.configuration = newConfiguration(e)
	e.owner = &owner.Owner{
		Entry: e.Settings.Name + "-" + e.generation, ShardCount: e.Settings.Shards, Log: batchLog{e.appender}, Stream: e.batch,
		Agents: agents{e}, Peers: confirmer{e}, Clock: e.clock, DefaultRetries: taskRetries, OnEvent: e.note,
	}
	e.greetings = &heartbeater.Heartbeater[message.Presence, message.PresenceResponse]{
		Method: message.MethodPresence, Seeds: e.Settings.Entries, SelfAddress: e.Settings.PeerAddress, Interval: e.Settings.HeartbeatInterval,
		NewHeartbeat: e.self, OnResponse: e.greeted, Clock: e.clock, HybridClock: e.events,
	}
	e.operator = operator.NewServer()
	e.registerOperator(e.operator.Echo())
	e.peers = e.peerServer()
	e.publishCounters()
}

// maintain keeps readiness up to date, forgets lost VMs and records changes of their status.
func (e *Entry) maintain(ctx context.Context) {
	ready, sweep := time.NewTicker(readyInterval), time.NewTicker(sweepInterval)
	defer ready.Stop()
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ready.C:
			e.operator.SetReady(e.forwarder.Ready() && e.configuration.ready())
			e.noteStatuses()
		case <-sweep.C:
			e.forwarder.RemoveLostVMs()
		}
	}
}

func (e *Entry) drain(ctx context.Context) {
	limit, cancel := context.WithTimeout(ctx, e.Settings.DrainTime)
	defer cancel()
	e.note("draining", e.Settings.Name, nil)
	if err := e.forwarder.Drain(limit); err != nil {
		e.Log.Warn().Err(err).Msg("requests in flight did not end within the drain time")
	}
	for !e.owner.Drain() && limit.Err() == nil {
		time.Sleep(readyInterval)
	}
	e.note("drained", e.Settings.Name, nil)
}

// noteStatuses records an event for each VM whose status has changed.
func (e *Entry) noteStatuses() {
	for _, m := range e.members.Members() {
		e.mutex.Lock()
		before := e.states[m.VM]
		e.states[m.VM] = m.Status
		e.mutex.Unlock()
		if before != m.Status {
			e.note("vm-"+m.Status, m.VM, map[string]string{"before": before})
		}
	}
}

// note records an event and writes the log line of a change of state.
func (e *Entry) note(kind, subject string, details map[string]string) {
	e.events.Record(kind, subject, details)
	e.Log.Info().Str("subject", subject).Interface("details", details).Msg(kind)
}
