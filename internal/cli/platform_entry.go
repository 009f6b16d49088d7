package cli

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"bamboohook/internal/batch/coordinator"
	"bamboohook/internal/batch/dispatcher"
	"bamboohook/internal/boottimer"
	"bamboohook/internal/fleet/caller"
	"bamboohook/internal/fleet/committer"
	"bamboohook/internal/fleet/elector"
	"bamboohook/internal/fleet/messenger"
	"bamboohook/internal/fleet/meter"
	"bamboohook/internal/fleet/receptionist"
	"bamboohook/internal/fleet/routetable"
	"bamboohook/internal/fleet/storekeeper"
	"bamboohook/internal/fleet/subscriber"
	"bamboohook/internal/peer"
	"bamboohook/platform"
)

// Run runs an entry until SIGTERM and then drains it.
func (c *platformEntryCommand) Run(s *session) error {
	settings, log, flush, err := prepare(s, c.File, "entry")
	if err != nil {
		return err
	}
	defer flush()
	listeners, err := listen(settings.CallerAddress, settings.ReadyAddress, settings.PeerAddress, settings.MetricsAddress)
	if err != nil {
		return err
	}
	e := newPlatformEntry(settings, log)
	err = e.run(s.context, listeners)
	log.Info().Err(err).Msg("stopped")
	return err
}

// platformEntry holds the parts of an entry.
type platformEntry struct {
	settings     platform.Settings
	log          zerolog.Logger
	elector      *elector.Elector
	coordinator  *coordinator.Coordinator
	committer    *committer.Committer
	subscriber   *subscriber.Subscriber
	receptionist *receptionist.Receptionist
	meter        *meter.Meter
}

func newPlatformEntry(settings platform.Settings, log zerolog.Logger) *platformEntry {
	store, peers, clock := platform.NewStore(settings.StoreAddress), &caller.Caller{}, boottimer.Clock{}
	e := &platformEntry{settings: settings, log: log, meter: &meter.Meter{}}
	e.committer = &committer.Committer{Store: store, Clock: clock, Log: log, Meter: e.meter}
	e.elector = &elector.Elector{
		Address: settings.PeerAddress, Nonce: rand.Text(), Weight: settings.Processors + linkWeight*settings.Link, Seeds: settings.Entries,
		Peers: peers, Store: store, Clock: clock, Log: log, StoreContactTimeout: contactLength,
	}
	e.subscriber = &subscriber.Subscriber{
		Source: store, Peers: peers, Log: log, PeerWithNewerVersion: e.elector.PeerWithNewerVersion, OnStoreResponse: e.elector.RecordStoreContact, OnChange: e.configure,
	}
	e.elector.ConfigurationVersion = e.subscriber.Version
	e.coordinator = &coordinator.Coordinator{
		Agents: peers, Journal: e.committer, Clock: clock, WallClock: wallClock{}, Log: log, Meter: e.meter, Address: settings.PeerAddress,
		Leases:         coordinator.Leases{Grant: grantLength, Run: runLength, Contact: contactLength, Drift: driftLength},
		Limits:         coordinator.Limits{Retention: settings.Retention, MissTolerance: settings.Tolerated},
		MayGrantLeases: e.elector.MayGrantLeases,
	}
	if settings.AdviceAddress != "" {
		e.coordinator.Advisor = platform.NewAdvisor(settings.AdviceAddress)
	}
	e.committer.Collect, e.committer.OnFenced = e.coordinator.Collect, e.elector.HandleFenced
	e.elector.OnOwnershipGained, e.elector.OnOwnershipLost = e.took, e.lost
	e.receptionist = &receptionist.Receptionist{
		Address: settings.PeerAddress, Local: e.coordinator, Peers: peers, Ownership: e.elector, Clock: clock, Log: log,
		Meter: e.meter,
	}
	return e
}

func (e *platformEntry) run(ctx context.Context, listeners []net.Listener) error {
	draining := ctx.Done()
	closing := func() bool {
		select {
		case <-draining:
			return true
		default:
			return false
		}
	}
	callers := platform.CallerServer{
		RequestHandler: e.receptionist, Configuration: e.subscriber.Configuration, Log: e.log, Closing: closing,
		Ready: func() bool {
			owner, _ := e.elector.Owner()
			return !closing() && owner != "" && e.subscriber.Configuration() != nil
		},
	}
	// The parts go on while the entry drains.
	work, stop := context.WithCancel(context.Background())
	defer stop()
	serving, stopServing := context.WithCancel(work)
	defer stopServing()
	group, work := errgroup.WithContext(work)
	group.Go(func() error { return e.elector.Run(work) })
	group.Go(func() error { return e.subscriber.Run(work) })
	group.Go(func() error { return e.committer.Run(work) })
	group.Go(func() error { return e.coordinator.Run(work) })
	group.Go(func() error { return e.peerServer().Run(work, listeners[2]) })
	group.Go(func() error { return serveUntil(work, callers.ReadyHandler(), listeners[1], shutdownMargin) })
	group.Go(func() error { return serveUntil(work, e.meter, listeners[3], shutdownMargin) })
	served := make(chan error, 1)
	go func() {
		served <- serveUntil(serving, callers.Handler(), listeners[0], e.settings.Grace-drainLength-shutdownMargin)
	}()
	select {
	case <-work.Done():
		return group.Wait()
	case <-draining:
	}
	e.log.Info().Dur("grace", e.settings.Grace).Msg("draining")
	e.elector.Drain()
	time.Sleep(drainLength)
	stopServing()
	if err := <-served; err != nil {
		e.log.Warn().Err(err).Msg("callers were cut off")
	}
	stop()
	return group.Wait()
}

func (e *platformEntry) took(epoch uint64, records []storekeeper.Record) {
	e.committer.BeginEpoch(epoch, 1)
	e.coordinator.TakeOwnership(epoch, records)
}

func (e *platformEntry) lost(epoch uint64, reason string) {
	e.committer.EndEpoch(epoch)
	e.coordinator.Resign(epoch, reason)
}

func (e *platformEntry) configure(t *routetable.Configuration) {
	queues := map[string]coordinator.Queue{}
	for _, r := range t.Routes {
		queues[r.Queue] = coordinator.Queue{
			Queue: dispatcher.Queue{
				Service: r.Service, Priority: r.Priority, Attempts: r.MaxAttempts, Stretch: r.Stretch, Target: r.Target,
			},
			Advised: r.Advised,
		}
	}
	e.coordinator.Configure(t.Version, queues)
}

// peerServer answers other entries and agents.
func (e *platformEntry) peerServer() *peer.Server {
	s := &peer.Server{}
	s.Handle(messenger.MethodPing, func(_ context.Context, params json.RawMessage) (any, error) {
		var p messenger.Ping
		if err := json.Unmarshal(params, &p); err != nil {
			return nil, eris.Wrap(err, "cli: ping does not parse")
		}
		return e.elector.HandlePing(p), nil
	})
	s.Handle(messenger.MethodReport, func(_ context.Context, params json.RawMessage) (any, error) {
		var r messenger.Report
		if err := json.Unmarshal(params, &r); err != nil {
			return nil, eris.Wrap(err, "cli: report does not parse")
		}
		return e.report(r), nil
	})
	s.Handle(messenger.MethodConfiguration, func(context.Context, json.RawMessage) (any, error) {
		return e.subscriber.Configuration(), nil
	})
	for _, method := range []string{messenger.MethodSubmit, messenger.MethodState, messenger.MethodCancel, messenger.MethodCount} {
		s.Handle(method, func(_ context.Context, params json.RawMessage) (any, error) {
			var call messenger.JobRequest
			if err := json.Unmarshal(params, &call); err != nil {
				return nil, eris.Wrap(err, "cli: call does not parse")
			}
			ctx, cancel := context.WithTimeout(context.Background(), serveTimeout)
			defer cancel()
			if call.Relayed {
				return e.receptionist.Handle(ctx, method, call), nil
			}
			return e.receptionist.HandleLocally(ctx, method, call), nil
		})
	}
	return s
}

// report takes an agent's report, or tells the agent who the owner is.
func (e *platformEntry) report(r messenger.Report) messenger.ReportResponse {
	e.elector.ObserveEpoch(r.Epoch, "")
	answer := e.coordinator.Report(r)
	answer.Owner, answer.Epoch = e.elector.Owner()
	answer.Entries = e.elector.Entries()
	if answer.Owner != e.settings.PeerAddress {
		answer.Granted = false
	}
	return answer
}
