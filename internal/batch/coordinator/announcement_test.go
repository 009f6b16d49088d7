package coordinator_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/batch/job"
	"bamboohook/internal/fleet/messenger"
	"bamboohook/internal/fleet/storekeeper"
	"bamboohook/resource"
)

// calledAgents implements coordinator.Agents. It records which agents were called, none of which responds.
type calledAgents struct{ names []string }

func (a *calledAgents) SendOrders(_ context.Context, vm string, _ messenger.Orders) (messenger.OrdersResponse, error) {
	a.names = append(a.names, vm)
	return messenger.OrdersResponse{}, errNoResponse
}

var _ = Describe("Calls of a new owner", func() {
	// Guards against a burst of calls to all agents, each 300 ms, that leaves a thin entry no processor time for their reports, and against agents that are
	// called first although no work waits for their service.
	It("reach the agents for which work waits first, and are spread over time", func() {
		const vms, burst = 200, 64
		cluster := newTestCluster(vms)
		cluster.simulate(time.Second)
		submitJob(cluster, job.Job{ID: "a", Occurrences: 1, Steps: []job.Step{{TaskCount: 8, Size: resource.Amount{MilliProcessors: 2000, MemoryBytes: 10}}}})
		for n := range vms - burst {
			cluster.journal.records = append(cluster.journal.records, storekeeper.Record{Key: fmt.Sprint("vm/vm-", n), Value: []byte(`{"service":"other"}`)})
		}
		cluster.takeOver()
		agents := &calledAgents{}
		cluster.coordinator.Agents = agents
		cluster.coordinator.PlanOnce(context.Background())
		Expect(agents.names).To(HaveLen(burst))
		for n := vms - burst; n < vms; n++ {
			Expect(agents.names).To(ContainElement(fmt.Sprint("vm-", n)))
		}
		for range 34 {
			cluster.clock.Advance(10 * time.Millisecond)
			cluster.coordinator.PlanOnce(context.Background())
		}
		called := map[string]struct{}{}
		for _, name := range agents.names {
			called[name] = struct{}{}
		}
		Expect(called).To(HaveLen(vms))
		Expect(len(agents.names)).To(BeNumerically("<=", vms))
	})
})
