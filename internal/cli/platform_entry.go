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

// Run runs an entry on the platform until one of its components fails, or until SIGTERM or SIGINT. After a signal, the entry finishes
// the callers' requests in progress and exits.
func (c *platformEntryCommand) Run(s *session) error {
	settings, logger, flush, err := setUpProcess(s, c.File, "entry")
	if err != nil {
		return err
	}
	defer flush()
	listeners, err := listen(settings.CallerAddress, settings.ReadyAddress, settings.PeerAddress, settings.MetricsAddress)
	if err != nil {
		return err
	}
	e := newPlatformEntry(settings, logger)
	err = e.run(s.ctx, listeners)
	logger.Info().Err(err).Msg("stopped")
	return err
}

// platformEntry holds the components of an entry that runs on the platform.
type platformEntry struct {
	settings     platform.Settings
	logger       zerolog.Logger
	elector      *elector.Elector
	coordinator  *coordinator.Coordinator
	committer    *committer.Committer
	subscriber   *subscriber.Subscriber
	receptionist *receptionist.Receptionist
	meter        *meter.Meter
}

// newPlatformEntry creates the components of an entry and connects them, without starting them.
func newPlatformEntry(settings platform.Settings, logger zerolog.Logger) *platformEntry {
	store, peerClient, clock := platform.NewStore(settings.StoreAddress), &caller.Client{}, boottimer.Clock{}
	store.DialTimeout += congestionTime(settings)
	store.Log, store.MaxRecordBytes, store.MaxRequestBytes = logger, settings.MaxRecordBytes, settings.MaxRequestBytes
	e := &platformEntry{settings: settings, logger: logger, meter: &meter.Meter{}}
	e.committer = &committer.Committer{Store: store, Clock: clock, Log: logger, Meter: e.meter, MaxBatchBytes: settings.MaxRequestBytes / 2}
	e.elector = &elector.Elector{
		Address: settings.PeerAddress, Generation: rand.Text(), Weight: settings.Processors + processorsPerMbps*settings.Link, Seeds: settings.Entries,
		CongestionTime: congestionTime(settings),
		PeerClient:     peerClient, Store: store, Clock: clock, Log: logger, StoreContactTimeout: storeContactTimeout,
	}
	e.subscriber = &subscriber.Subscriber{
		Source: store, PeerClient: peerClient, Clock: clock, Log: logger, Meter: e.meter, CongestionTime: congestionTime(settings),
		MaxAge:                max(settings.ConfigTime-configurationMargin, 0),
		PeersWithNewerVersion: e.elector.PeersWithNewerVersion, PeerConfirmation: e.elector.ConfigurationConfirmedAt,
		PeersWithNewerEvacuations: e.elector.PeersWithNewerEvacuations,
		OnStoreResponse:           e.elector.RecordStoreContact, OnChange: e.applyRoutes,
	}
	e.elector.ConfigurationState = e.subscriber.State
	e.elector.EvacuationVersion = func() int64 {
		set, _ := e.subscriber.Evacuations()
		return set.VersionOrZero()
	}
	e.coordinator = &coordinator.Coordinator{
		Agents: peerClient, Journal: e.committer, Clock: clock, WallClock: wallClock{}, Log: logger, Meter: e.meter, Address: settings.PeerAddress,
		Leases: coordinator.Leases{Grant: grantDuration, Run: runLeaseDuration, Contact: storeContactTimeout, Drift: maxClockDrift},
		Limits: coordinator.Limits{
			Retention: settings.Retention, MissTolerance: settings.Tolerated, StopTimeout: settings.StopTimeout, RecordBytes: settings.MaxRecordBytes,
			RequestBytes: settings.MaxRequestBytes, RemoteFactor: settings.RemoteFactor,
		},
		MayGrantLeases: e.elector.MayGrantLeases,
		MayShowStates:  e.elector.MayShowStates,
		OwnedAt:        e.elector.OwnedAt,
		ConfirmedAt:    e.elector.ConfirmedAt, ConfirmOwnership: e.elector.ConfirmOwnership,
		OnOutdated:  e.subscriber.Check,
		Evacuations: e.subscriber.Evacuations,
	}
	e.coordinator.MaxEvacuationAge = maxEvacuationAge(settings)
	e.subscriber.OnEvacuationChange = e.coordinator.WakePlanner
	if settings.AdviceAddress != "" {
		advisor := platform.NewAdvisor(settings.AdviceAddress)
		advisor.Log = logger
		e.coordinator.Advisor = advisor
	}
	e.committer.Collect, e.committer.OnFenced, e.committer.OnAppended = e.coordinator.CollectWrites, e.elector.HandleFenced, e.elector.RecordAppend
	e.elector.OnOwnershipGained, e.elector.OnOwnershipLost = e.handleOwnershipGained, e.handleOwnershipLost
	e.receptionist = &receptionist.Receptionist{
		Address: settings.PeerAddress, LocalOwner: e.coordinator, PeerClient: peerClient, Ownership: e.elector, Clock: clock, Log: logger,
		Meter: e.meter,
	}
	return e
}

// run runs the components until one of them fails, or until ctx is done and the entry has drained. listeners holds the listeners
// for callers, readiness checks, other processes and metrics, in this order.
func (e *platformEntry) run(ctx context.Context, listeners []net.Listener) error {
	stopSignal := ctx.Done()
	isDraining := func() bool {
		select {
		case <-stopSignal:
			return true
		default:
			return false
		}
	}
	limits := &budget{e.settings, e.logger, e.meter}
	callerLimits, peerLimits := limits.limiter("callers", callerShare), limits.limiter("peers", entryPeerShare)
	readinessLimits, metricsLimits := limits.limiter("readiness", readinessShare), limits.limiter("metrics", metricsShare)
	callerServer := platform.CallerServer{
		Memory:         callerLimits,
		RequestHandler: e.receptionist, Configuration: e.subscriber.Configuration, Refresh: e.subscriber.Refresh, Log: e.logger, Closing: isDraining,
		Ready: func() bool {
			owner, _ := e.elector.Owner()
			return !isDraining() && owner != "" && e.subscriber.Configuration() != nil
		},
	}
	// The components run in workCtx instead of ctx, because they must continue while the entry drains. workCtx ends when the entry has
	// drained or a component has failed. servingCtx ends earlier, when the entry stops accepting callers' requests.
	workCtx, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	servingCtx, stopServing := context.WithCancel(workCtx)
	defer stopServing()
	group, workCtx := errgroup.WithContext(workCtx)
	group.Go(func() error { return e.elector.Run(workCtx) })
	group.Go(func() error { return e.subscriber.Run(workCtx) })
	group.Go(func() error { return e.committer.Run(workCtx) })
	group.Go(func() error { return e.coordinator.Run(workCtx) })
	group.Go(func() error { return e.peerServer().Run(workCtx, peerLimits.Listen(listeners[2])) })
	group.Go(func() error {
		return serveHTTP(workCtx, callerServer.ReadyHandler(), listeners[1], readinessLimits, shutdownMargin)
	})
	group.Go(func() error { return serveHTTP(workCtx, e.meter, listeners[3], metricsLimits, shutdownMargin) })
	serveErr := make(chan error, 1)
	go func() {
		serveErr <- serveHTTP(servingCtx, callerServer.Handler(), listeners[0], callerLimits, e.settings.Grace-notReadyDuration-shutdownMargin-leaveTimeout)
	}()
	select {
	case <-workCtx.Done():
		return group.Wait()
	case <-stopSignal:
	}
	e.logger.Info().Dur("grace", e.settings.Grace).Msg("draining")
	e.elector.Drain()
	time.Sleep(notReadyDuration)
	stopServing()
	if err := <-serveErr; err != nil {
		e.logger.Warn().Err(err).Msg("callers' requests were aborted at shutdown")
	}
	stopWork()
	err := group.Wait()
	leaveCtx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := e.elector.Leave(leaveCtx); err != nil {
		e.logger.Warn().Err(err).Msg("cannot remove this entry from the store's list; the owner will do so")
	}
	return err
}

// congestionTime returns the longest time for which messages of the process may wait because of its link or its processors.
func congestionTime(settings platform.Settings) time.Duration {
	seconds := 0.0
	if settings.Link > 0 {
		seconds += congestionMegabits / settings.Link
	}
	if settings.Processors > 0 {
		seconds += congestionProcessorSeconds / settings.Processors
	}
	return min(time.Duration(seconds*float64(time.Second)), maxCongestionTime)
}

// maxEvacuationAge returns the age of the knowledge of evacuated data centres from which on the owner places nothing, or 0 if the platform sets no bound.
func maxEvacuationAge(settings platform.Settings) time.Duration {
	if settings.EvacuationTime == 0 {
		return 0
	}
	return max(settings.EvacuationTime+settings.EvacuationStretch-evacuationMargin, minEvacuationAge)
}

// handleOwnershipGained starts the scheduling of jobs after this entry has become the owner. records holds the newest record of
// each key in the store. Batch 1 of an epoch is the claim of the ownership, which the elector has already written, so the
// committer continues with batch 2.
func (e *platformEntry) handleOwnershipGained(epoch uint64, records []storekeeper.Record) {
	e.committer.BeginEpoch(epoch, 1)
	e.coordinator.TakeOwnership(epoch, records)
}

// handleOwnershipLost stops the scheduling of jobs after this entry has ceased to be the owner of the epoch.
func (e *platformEntry) handleOwnershipLost(epoch uint64, reason string) {
	e.committer.EndEpoch(epoch)
	e.coordinator.Resign(epoch, reason)
}

// applyRoutes configures the coordinator with the queues of all routes in the configuration.
func (e *platformEntry) applyRoutes(configuration *routetable.Configuration) {
	queues := map[string]coordinator.Queue{}
	for _, r := range configuration.Routes {
		queues[r.Queue] = coordinator.Queue{
			Queue: dispatcher.Queue{
				Service: r.Service, Priority: r.Priority, Attempts: r.MaxAttempts, Stretch: r.Stretch, Target: r.Target,
			},
			Advised: r.Advised, AdviceTime: r.AdviceTime, AdviceTimePerVM: r.AdviceTimePerVM,
		}
	}
	e.coordinator.Configure(configuration.Version, queues)
}

// peerServer returns the server for calls from other entries and from agents. A request about a job has normally come from the
// entry that received it from the caller, and this entry executes it as the owner. A relayed request has come from an entry
// that can't reach the owner, and this entry sends it on to the owner.
func (e *platformEntry) peerServer() *peer.Server {
	s := newPeerServer(e.logger)
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
		return e.handleReport(r), nil
	})
	s.Handle(messenger.MethodConfiguration, func(context.Context, json.RawMessage) (any, error) {
		evacuations, age := e.subscriber.Evacuations()
		return messenger.Configuration{Configuration: e.subscriber.Configuration(), Evacuations: evacuations, EvacuationAge: max(age, 1)}, nil
	})
	for _, method := range []string{messenger.MethodSubmit, messenger.MethodState, messenger.MethodCancel, messenger.MethodCount, messenger.MethodExplain} {
		s.Handle(method, func(_ context.Context, params json.RawMessage) (any, error) {
			var request messenger.JobRequest
			if err := json.Unmarshal(params, &request); err != nil {
				return nil, eris.Wrap(err, "cli: call does not parse")
			}
			ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
			defer cancel()
			if request.Relayed {
				return e.receptionist.Handle(ctx, method, request), nil
			}
			return e.receptionist.HandleLocally(ctx, method, request), nil
		})
	}
	return s
}

// handleReport passes an agent's report to the coordinator. The response names the current owner and some entries. If this entry
// is not the owner, or if the coordinator does not own the jobs in the current epoch yet, the response neither permits the agent to renew
// leases nor numbers its process.
func (e *platformEntry) handleReport(r messenger.Report) messenger.ReportResponse {
	e.elector.ObserveEpoch(r.Epoch, "")
	response := e.coordinator.Report(r)
	ownedEpoch := response.Epoch
	response.Owner, response.Epoch = e.elector.Owner()
	response.Entries, response.EntryCount = e.elector.Contacts()
	if response.Owner != e.settings.PeerAddress || response.Epoch != ownedEpoch {
		response.Granted, response.OwnerConfirmed, response.Session, response.Outdated, response.Evacuated = false, false, 0, false, false
	}
	return response
}
