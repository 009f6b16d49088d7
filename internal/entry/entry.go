// Package entry assembles the entry process. It serves callers and operators, and it schedules the batch
// tasks of its region.
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
	// configurationStream is the name of the stream of the replicated log that holds the changes of the
	// configuration.
	configurationStream = "configuration"
	// batchStreamPrefix, followed by the name of a region, is the name of the region's batch stream, the stream
	// of the replicated log that records its batch jobs.
	batchStreamPrefix = "batch-"
	// entryTimeout is how long another entry counts as live after its last presence message.
	entryTimeout = 3 * time.Second
	// removalInterval is the interval at which the forwarder removes the state of VMs that are lost according
	// to the failure detector.
	removalInterval = 5 * time.Second
	// replayTimeout is how long another entry may take, from its first presence message on, to read a stream to
	// its end. After that, an entry that has read the whole stream appends a snapshot, from which the other
	// entry can continue.
	replayTimeout = 3 * time.Second
	// pollInterval is the interval at which the readiness of this entry and the status of the VMs are checked,
	// and at which a draining entry checks whether its shards are handed over.
	pollInterval = 100 * time.Millisecond
	// defaultTaskRetries is how many times a failed task is retried at most, unless the configuration of its
	// kind sets the number of attempts.
	defaultTaskRetries = 3
)

type (
	// Entry forwards the requests of callers to endpoints, accepts batch jobs, and schedules batch tasks. The
	// tasks of a region are divided into shards. Each shard is owned by one entry at a time, which schedules
	// its tasks. Set the exported fields before Run.
	Entry struct {
		Settings settings.Entry
		// CallerListener serves callers, PeerListener agents and other entries, and OperatorListener operators.
		// Run closes all three.
		CallerListener   net.Listener
		PeerListener     net.Listener
		OperatorListener net.Listener
		Logger           zerolog.Logger

		// generation identifies this run of the entry process.
		generation string
		clock      boottimer.Clock
		logClient  *logclient.Client
		// detector is the failure detector of the VMs. It also holds the last heartbeat of each VM.
		detector            *detector.Detector[message.Heartbeat]
		forwarder           *forwarder.Forwarder
		owner               *owner.Owner
		batchReader         *batchReader
		configuration       *configuration
		batchAppender       *appender.Appender
		clients             *clientCache
		operatorServer      *operator.Server
		peerServer          *peer.Server
		presenceHeartbeater *heartbeater.Heartbeater[message.Presence, message.PresenceResponse]
		events              *recorder.Recorder

		// mutex guards entryStates, which holds the states of the other entries by their peer address, and
		// vmStatuses, which holds the last recorded status of each VM.
		mutex       sync.Mutex
		entryStates map[string]entryState
		vmStatuses  map[string]string
	}

	// entryState holds the last presence message of another entry and when it was received. With a presence
	// message, an entry reports its state to the other entries.
	entryState struct {
		presence message.Presence
		lastSeen time.Time
		// firstSeen is when the first presence message of the present run of the other entry was received.
		firstSeen time.Time
	}
)

// Run serves until ctx ends. Then it drains: it reports that it is not ready, waits for the requests in flight,
// hands its shards over to other entries and returns nil. It returns an error if a component of the entry fails,
// for example because a listener cannot be served.
func (e *Entry) Run(ctx context.Context) error {
	e.buildComponents()
	callerRouter := echo.New()
	e.forwarder.Register(callerRouter)
	e.registerJobRoutes(callerRouter)
	// The components keep running while the entry drains, so their context does not end with ctx.
	componentsCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, groupCtx := errgroup.WithContext(componentsCtx)
	group.Go(func() error { return e.peerServer.Run(groupCtx, e.PeerListener) })
	group.Go(func() error {
		return operator.Serve(groupCtx, e.CallerListener, callerRouter, e.Settings.MaxHeaderBytes)
	})
	group.Go(func() error { return e.operatorServer.Run(groupCtx, e.OperatorListener) })
	group.Go(func() error { return e.owner.Run(groupCtx) })
	group.Go(func() error { e.batchAppender.Run(groupCtx); return nil })
	group.Go(func() error { e.configuration.appender.Run(groupCtx); return nil })
	group.Go(func() error { e.configuration.run(groupCtx); return nil })
	group.Go(func() error { e.presenceHeartbeater.Run(groupCtx); return nil })
	group.Go(func() error { e.runPeriodicUpdates(groupCtx); return nil })
	e.recordEvent("started", e.Settings.Name, nil)
	select {
	case <-ctx.Done():
		e.drain(groupCtx)
	case <-groupCtx.Done():
	}
	stop()
	return eris.Wrap(group.Wait(), "entry: a component failed")
}

// buildComponents creates the components of the entry without starting them.
func (e *Entry) buildComponents() {
	e.generation = fmt.Sprintf("%016x-%s", time.Now().UnixNano(), rand.Text()[:8])
	e.entryStates, e.vmStatuses = map[string]entryState{}, map[string]string{}
	e.events = recorder.New(recorder.Options{Process: e.Settings.Name})
	e.clients = &clientCache{hybridClock: e.events}
	e.logClient = &logclient.Client{Address: "http://" + e.Settings.LogAddress}
	e.detector = &detector.Detector[message.Heartbeat]{}
	e.forwarder = &forwarder.Forwarder{
		Detector: e.detector, KeyRequester: e.clients, EntryCount: e.countAcceptingEntries, DrainGrace: e.Settings.DrainReadyTime, OtherShare: 1,
		Limits: forwarder.Limits{MaxBodyBytes: e.Settings.MaxBodyBytes, MaxHeaderBytes: e.Settings.MaxHeaderBytes},
	}
	batchStream := batchStreamPrefix + e.Settings.Region
	e.batchAppender = appender.New(appender.Options{
		Log: e.logClient, Clock: e.clock, Stream: batchStream, Writer: e.Settings.Name + "-" + e.generation,
	})
	e.batchReader = &batchReader{}
	e.batchReader.replayer = &replayer.Replayer{
		Follower:    follower.New(follower.Options{Log: e.logClient, Clock: e.clock, Stream: batchStream}),
		Snapshotter: snapshotter.New(snapshotter.Options{Retention: e.Settings.LogRetention}), StateMachine: batchStateMachine{e}, SnapshotName: batchStream,
		Append: e.batchAppender.Append, IsSnapshotWriter: func() bool { return e.isSnapshotWriter(batchStream) }, SnapshotRequested: func() bool { return e.entryNeedsSnapshot(batchStream) }, Clock: e.clock,
	}
	e.configuration = newConfiguration(e)
	e.owner = &owner.Owner{
		Entry: e.Settings.Name + "-" + e.generation, ShardCount: e.Settings.Shards, StreamWriter: batchWriter{e.batchAppender}, StreamReader: e.batchReader,
		Agents: ownerAgents{e}, Peers: ownerPeers{e}, Clock: e.clock, DefaultRetries: defaultTaskRetries, OnEvent: e.recordEvent,
	}
	e.presenceHeartbeater = &heartbeater.Heartbeater[message.Presence, message.PresenceResponse]{
		Method: message.MethodPresence, Seeds: e.Settings.Entries, SelfAddress: e.Settings.PeerAddress, Interval: e.Settings.HeartbeatInterval,
		NewHeartbeat: e.newPresence, OnResponse: e.handlePresenceResponse, Clock: e.clock, HybridClock: e.events,
	}
	e.operatorServer = operator.NewServer()
	e.registerOperatorRoutes(e.operatorServer.Echo())
	e.peerServer = e.newPeerServer()
	e.exportCounters()
}

// runPeriodicUpdates updates the readiness of this entry and records status changes of VMs at every
// pollInterval, and removes the state of lost VMs at every removalInterval, until ctx ends.
func (e *Entry) runPeriodicUpdates(ctx context.Context) {
	pollTicker, removalTicker := time.NewTicker(pollInterval), time.NewTicker(removalInterval)
	defer pollTicker.Stop()
	defer removalTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-pollTicker.C:
			e.operatorServer.SetReady(e.forwarder.Ready() && e.configuration.ready())
			e.recordStatusChanges()
		case <-removalTicker.C:
			e.forwarder.RemoveLostVMs()
		}
	}
}

// drain waits until no request is in flight and the shards of this entry are handed over to other entries, but
// at most for Settings.DrainTime.
func (e *Entry) drain(ctx context.Context) {
	drainCtx, cancel := context.WithTimeout(ctx, e.Settings.DrainTime)
	defer cancel()
	e.recordEvent("draining", e.Settings.Name, nil)
	if err := e.forwarder.Drain(drainCtx); err != nil {
		e.Logger.Warn().Err(err).Msg("requests in flight did not finish within the drain time")
	}
	for !e.owner.Drain() && drainCtx.Err() == nil {
		time.Sleep(pollInterval)
	}
	e.recordEvent("drained", e.Settings.Name, nil)
}

// recordStatusChanges records an event for each VM whose status has changed since the previous call.
func (e *Entry) recordStatusChanges() {
	for _, m := range e.detector.Members() {
		e.mutex.Lock()
		previous := e.vmStatuses[m.VM]
		e.vmStatuses[m.VM] = m.Status
		e.mutex.Unlock()
		if previous != m.Status {
			e.recordEvent("vm-"+m.Status, m.VM, map[string]string{"before": previous})
		}
	}
}

// recordEvent records an event of the given kind about the subject, such as a VM or a job, and logs it with the
// kind as the message.
func (e *Entry) recordEvent(kind, subject string, details map[string]string) {
	e.events.Record(kind, subject, details)
	e.Logger.Info().Str("subject", subject).Interface("details", details).Msg(kind)
}
