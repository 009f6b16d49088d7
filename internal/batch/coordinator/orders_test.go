package coordinator_test

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/batch/job"
	"bamboohook/internal/codec"
	"bamboohook/internal/fleet/messenger"
	"bamboohook/resource"
)

// sizeCheckedAgents refuses orders that do not fit in a frame, like the client of the agents.
type sizeCheckedAgents struct {
	*testCluster
	largest, mostStarts int
}

// SendOrders implements coordinator.Agents.
func (s *sizeCheckedAgents) SendOrders(ctx context.Context, vm string, o messenger.Orders) (messenger.OrdersResponse, error) {
	encoded, err := json.Marshal(o)
	if err != nil {
		return messenger.OrdersResponse{}, err
	}
	s.largest, s.mostStarts = max(s.largest, len(encoded)), max(s.mostStarts, len(o.Starts))
	if len(encoded) > codec.DefaultMaxFrameBytes {
		return messenger.OrdersResponse{}, codec.ErrTooLarge
	}
	return s.testCluster.SendOrders(ctx, vm, o)
}

var _ = Describe("Orders for one VM", func() {
	// Guards against tasks that never start, and against stops that never arrive: all orders for a VM were one message, which was larger than a
	// frame and was repeated as a whole.
	for name, payload := range map[string]string{"text": strings.Repeat("x", 4000), "text that is longer in the message": strings.Repeat("\x01", 4000)} {
		It("are sent in messages that fit in a frame, with a payload of "+name, func() {
			cluster := newTestCluster(1)
			agents := &sizeCheckedAgents{testCluster: cluster}
			cluster.coordinator.Agents = agents
			cluster.simulate(time.Second)
			size := resource.Amount{MilliProcessors: 1}
			submitJob(cluster, job.Job{ID: "a", Payload: payload, Occurrences: 1, Steps: []job.Step{{TaskCount: 3000, Size: size, LongRunning: true}}})
			submitJob(cluster, job.Job{ID: "b", Occurrences: 1, Steps: []job.Step{{TaskCount: 1, Size: size}}})
			cluster.simulate(3 * time.Second)
			Expect(cluster.countRuns()).To(HaveLen(3001))
			Expect(agents.largest).To(BeNumerically("<", codec.DefaultMaxFrameBytes))
			Expect(agents.mostStarts).To(BeNumerically("<=", 512))
			for _, a := range cluster.agents {
				Expect(a.starts).To(HaveLen(3001), "each start is sent once")
			}
			done := make(chan struct{})
			go func() {
				cluster.coordinator.Cancel(context.Background(), messenger.JobRequest{ID: "a", Queue: "q"})
				close(done)
			}()
			Eventually(func() chan struct{} { cluster.journal.flush(); return done }).Should(BeClosed())
			cluster.simulate(2 * time.Second)
			Expect(cluster.countRuns()).To(HaveLen(1))
		})
	}

	It("come in turn, those first whose last order is the longest ago", func() {
		cluster := newTestCluster(1)
		agents := &sizeCheckedAgents{testCluster: cluster}
		cluster.coordinator.Agents = agents
		cluster.simulate(time.Second)
		only := cluster.agents["vm-0"]
		growStartWindow(cluster)
		only.starts, only.dropResponses = nil, true
		submitJob(cluster, job.Job{
			ID: "a", Payload: strings.Repeat("x", 4000), Occurrences: 1, Steps: []job.Step{{TaskCount: 1000, Size: resource.Amount{MilliProcessors: 1}}},
		})
		// The window has 512 starts. Each message contains about 250 of them, and those without a response are due again after 300 ms.
		for range 2 {
			cluster.clock.Advance(350 * time.Millisecond)
			cluster.coordinator.Tick()
			cluster.coordinator.PlanOnce(context.Background())
		}
		Expect(len(only.starts)).To(BeNumerically(">=", 500))
	})

	It("come in turn, also stops", func() {
		cluster := newTestCluster(1)
		agents := &sizeCheckedAgents{testCluster: cluster}
		cluster.coordinator.Agents = agents
		cluster.simulate(time.Second)
		only := cluster.agents["vm-0"]
		submitJob(cluster, job.Job{ID: "a", Occurrences: 1, Steps: []job.Step{{TaskCount: 1000, Size: resource.Amount{MilliProcessors: 1}}}})
		cluster.simulate(3 * time.Second)
		Expect(only.runs).To(HaveLen(1000))
		only.dropResponses = true
		cluster.await(func() messenger.JobResponse {
			return cluster.coordinator.Cancel(context.Background(), messenger.JobRequest{ID: "a", Queue: "q"})
		})
		// Each message contains 512 stops.
		for range 2 {
			cluster.clock.Advance(350 * time.Millisecond)
			cluster.coordinator.Tick()
			cluster.coordinator.PlanOnce(context.Background())
		}
		Expect(only.runs).To(BeEmpty())
		Expect(agents.mostStarts).To(BeNumerically("<=", 512))
	})
})

// growStartWindow lets the window of starts on each VM grow to its highest size, by tasks that end.
func growStartWindow(cluster *testCluster) {
	submitJob(cluster, job.Job{ID: "first", Occurrences: 1, Steps: []job.Step{{TaskCount: 1000 * len(cluster.agents), Size: resource.Amount{MilliProcessors: 1}}}})
	cluster.simulate(3 * time.Second)
	Expect(cluster.countRuns()).To(HaveLen(1000 * len(cluster.agents)))
	cluster.finishAllRuns(messenger.RunDone)
	cluster.simulate(time.Second)
	Expect(cluster.countRuns()).To(BeEmpty())
}
