package platform_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/standin/estate"
	"bamboohook/internal/standin/metastore"
)

const (
	// thinLinkMbps and thinLinkProcessors are those of the smallest entries.
	thinLinkMbps       = 10
	thinLinkProcessors = 0.192
	// largeRouteCount is the number of routes in a large configuration, which has about 600 kB.
	largeRouteCount = 2800
	// The platform's bounds for a change of the configuration, on fast and on thin links.
	fastConfigTime = 2 * time.Second
	thinConfigTime = 3 * time.Second
)

// routePublisher publishes configurations that have one route of their own version each.
type routePublisher struct {
	installation *estate.Installation
	extraRoutes  []string
	version      int
}

func (p *routePublisher) prefix(version int) string { return fmt.Sprintf("/version-%d/", version) }

// publish publishes a configuration without the route of the last one, and returns the time of its acknowledgement.
func (p *routePublisher) publish() time.Time {
	p.version++
	p.installation.PublishConfiguration(estate.RouteService, append([]string{p.prefix(p.version)}, p.extraRoutes...)...)
	return time.Now()
}

// status returns the status of a request for the number of queued jobs with the route of a version, or 0 without a response.
func (p *routePublisher) status(ctx context.Context, entry, version int) int {
	callCtx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	status, _, _, err := p.installation.CallPath(callCtx, entry, http.MethodGet, p.prefix(version), nil)
	if err != nil {
		return 0
	}
	return status
}

// expectInUse checks each entry in parallel from the end of the bound on: it must serve the route of the newest version and not the one before.
func (p *routePublisher) expectInUse(ctx context.Context, acknowledgedAt time.Time, bound time.Duration) {
	GinkgoHelper()
	newest := p.version
	time.Sleep(time.Until(acknowledgedAt.Add(bound)))
	var group sync.WaitGroup
	for n := range p.installation.Entries {
		group.Go(func() {
			defer GinkgoRecover()
			Expect(p.status(ctx, n, newest)).To(Equal(http.StatusOK), "entry %d, the route of the newest version", n)
			Expect(p.status(ctx, n, newest-1)).To(Equal(http.StatusNotFound), "entry %d, the route that was removed", n)
		})
	}
	group.Wait()
}

// These tests guard against entries that answer as an outdated configuration says for longer than the platform permits after the acknowledgement
// of a newer one.
var _ = Describe("A change of the configuration is in use at all entries in time", func() {
	type links struct {
		mbps, processors float64
		bound            time.Duration
	}
	fast, thin := links{bound: fastConfigTime}, links{mbps: thinLinkMbps, processors: thinLinkProcessors, bound: thinConfigTime}
	start := func(ctx SpecContext, l links) *routePublisher {
		subnet, err := estate.ReserveSubnet()
		Expect(err).NotTo(HaveOccurred())
		i := &estate.Installation{
			ProgramDir: programDir, OutputDir: GinkgoT().TempDir(), Subnet: subnet, Entries: entryCount, Grace: 5 * time.Second,
			EntryMbps: l.mbps, EntryProcessors: l.processors, ConfigTime: l.bound,
		}
		DeferCleanup(i.Stop)
		Expect(i.Start(ctx)).To(Succeed())
		p := &routePublisher{installation: i}
		for n := range i.Entries {
			i.Store.SetBandwidth(i.EntryStoreIP(n), int(l.mbps*1e6/8))
		}
		p.expectInUse(ctx, p.publish(), l.bound)
		return p
	}
	for name, l := range map[string]links{"fast links": fast, "thin links": thin} {
		It("if the store answers nothing more on open connections, with "+name, func(ctx SpecContext) {
			p := start(ctx, l)
			for range 3 {
				p.installation.Store.HoldConnections()
				p.expectInUse(ctx, p.publish(), l.bound)
			}
		}, NodeTimeout(time.Minute))

		It("if the store answers one entry nothing, with "+name, func(ctx SpecContext) {
			p := start(ctx, l)
			p.installation.Store.HoldConnections()
			p.installation.Store.SetFault(p.installation.EntryStoreIP(0), metastore.FaultUnresponsive)
			for range 3 {
				p.expectInUse(ctx, p.publish(), l.bound)
			}
		}, NodeTimeout(time.Minute))

		It("after an outage of the store, with "+name, func(ctx SpecContext) {
			p := start(ctx, l)
			p.installation.Store.HoldConnections()
			p.installation.Store.SetFault("", metastore.FaultUnresponsive)
			time.Sleep(4800 * time.Millisecond)
			p.installation.Store.HoldConnections()
			p.installation.Store.SetFault("", "")
			p.expectInUse(ctx, p.publish(), l.bound)
		}, NodeTimeout(time.Minute))
	}

	It("if large versions come faster than thin links transfer them", func(ctx SpecContext) {
		p := start(ctx, thin)
		for n := range largeRouteCount {
			p.extraRoutes = append(p.extraRoutes, fmt.Sprintf("/%s-%d/", strings.Repeat("extra", 3), n))
		}
		var acknowledgedAt time.Time
		for range 20 {
			acknowledgedAt = p.publish()
			time.Sleep(200 * time.Millisecond)
		}
		p.expectInUse(ctx, acknowledgedAt, thin.bound)
	}, NodeTimeout(time.Minute))
})
