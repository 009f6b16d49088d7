package cli

import (
	"context"
	"crypto/rand"
	"encoding/json"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"bamboohook/internal/boottimer"
	"bamboohook/internal/fleet/attendant"
	"bamboohook/internal/fleet/caller"
	"bamboohook/internal/fleet/messenger"
	"bamboohook/internal/fleet/meter"
	"bamboohook/platform"
)

// Run runs an agent on the platform until SIGTERM or SIGINT, or until one of its components fails.
func (c *platformAgentCommand) Run(s *session) error {
	settings, logger, flush, err := setUpProcess(s, c.File, "agent")
	if err != nil {
		return err
	}
	defer flush()
	listeners, err := listen(settings.AnnounceAddress, settings.PeerAddress, settings.MetricsAddress)
	if err != nil {
		return err
	}
	store := platform.NewStore(settings.StoreAddress)
	store.Log = logger
	endpoint := platform.NewEndpoint(settings.EndpointAddress)
	endpoint.Log = logger
	m := &meter.Meter{}
	a := &attendant.Attendant{
		Meter:   m,
		Address: settings.PeerAddress, Generation: rand.Text(), Endpoint: endpoint,
		Reporter: &caller.Client{}, Clock: boottimer.Clock{}, Log: logger,
		LeaseDurations: attendant.LeaseDurations{Grant: grantDuration, Run: runLeaseDuration, Longest: settings.MaxLease},
		StopTimeout:    settings.StopTimeout, DataCentre: settings.DataCentre,
		Seeds: settings.Entries,
		DiscoverEntries: func(ctx context.Context) []string {
			callCtx, cancel := context.WithTimeout(ctx, peerCallTimeout)
			defer cancel()
			entries, err := store.Entries(callCtx)
			if err != nil {
				logger.Warn().Err(err).Msg("cannot read the list of entries from the store")
			}
			var addresses []string
			for _, entry := range entries {
				addresses = append(addresses, entry.Address)
			}
			return addresses
		},
	}
	orderServer := newPeerServer(logger)
	orderServer.Handle(messenger.MethodOrders, func(_ context.Context, params json.RawMessage) (any, error) {
		var o messenger.Orders
		if err := json.Unmarshal(params, &o); err != nil {
			return nil, eris.Wrap(err, "cli: orders do not parse")
		}
		callCtx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
		defer cancel()
		return a.HandleOrders(callCtx, o), nil
	})
	limits := &budget{settings, logger, m}
	heartbeatLimits, peerLimits, metricsLimits := limits.limiter("heartbeats", heartbeatShare), limits.limiter("peers", agentPeerShare), limits.limiter("metrics", metricsShare)
	heartbeatServer := platform.HeartbeatServer{HeartbeatHandler: a, Memory: heartbeatLimits, Log: logger}
	group, ctx := errgroup.WithContext(s.ctx)
	group.Go(func() error { return a.Run(ctx) })
	group.Go(func() error { return orderServer.Run(ctx, peerLimits.Listen(listeners[1])) })
	group.Go(func() error {
		return serveHTTP(ctx, heartbeatServer.Handler(), listeners[0], heartbeatLimits, shutdownMargin)
	})
	group.Go(func() error { return serveHTTP(ctx, m, listeners[2], metricsLimits, shutdownMargin) })
	err = group.Wait()
	logger.Info().Err(err).Msg("stopped")
	return err
}
