package heartbeater_test

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/heartbeater"
	"bamboohook/internal/peer"
)

const method = "beat"

var _ = Describe("Heartbeater", func() {
	var (
		ctx    context.Context
		sender *heartbeater.Heartbeater[string, []string]
	)

	// startServer starts a server that responds to heartbeats with entryAddresses. While block is true, the server does
	// not respond. startServer returns the address of the server and a counter of the heartbeats that the server received.
	startServer := func(block *atomic.Bool, entryAddresses ...string) (string, *atomic.Int64) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		calls := &atomic.Int64{}
		server := &peer.Server{}
		server.Handle(method, func(ctx context.Context, _ json.RawMessage) (any, error) {
			calls.Add(1)
			if block != nil && block.Load() {
				<-ctx.Done()
			}
			return entryAddresses, nil
		})
		serverCtx, stop := context.WithCancel(context.Background())
		DeferCleanup(stop)
		go func() { _ = server.Run(serverCtx, listener) }()
		return listener.Addr().String(), calls
	}

	startSender := func(seeds ...string) {
		sender = &heartbeater.Heartbeater[string, []string]{
			Method: method, Seeds: seeds, Interval: 20 * time.Millisecond, Clock: clockwork.NewRealClock(),
			NewHeartbeat: func() string { return "alive" },
			OnResponse:   func(_ string, _ time.Time, entryAddresses []string) []string { return entryAddresses },
		}
		var stop context.CancelFunc
		ctx, stop = context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			sender.Run(ctx)
		}()
		DeferCleanup(func() { stop(); Eventually(done).Should(BeClosed()) })
	}

	// Guards against an agent that sends heartbeats to no entry after all entries in its settings were replaced by others.
	It("sends heartbeats to the entries that responses name", func() {
		secondAddress, calls := startServer(nil)
		firstAddress, _ := startServer(nil, secondAddress)
		startSender(firstAddress)
		Eventually(calls.Load).Should(BeNumerically(">", 2))
		Expect(sender.Entries()).To(ConsistOf(firstAddress, secondAddress))
	})

	// Guards against an unresponsive entry that delays the heartbeats to other entries.
	It("keeps sending heartbeats to other entries while one does not respond", func() {
		block := &atomic.Bool{}
		block.Store(true)
		hangingAddress, hangingCalls := startServer(block)
		healthyAddress, calls := startServer(nil)
		startSender(hangingAddress, healthyAddress)
		Eventually(calls.Load).Should(BeNumerically(">", 10))
		Eventually(hangingCalls.Load, 3*time.Second).Should(BeNumerically(">", 2))
	})

	// Guards against a list of entries that grows without limit because responses name ever more entries.
	It("limits the number of entries", func() {
		var entryAddresses []string
		for n := range 200 {
			entryAddresses = append(entryAddresses, net.JoinHostPort("127.9.9.9", strconv.Itoa(n+1)))
		}
		firstAddress, _ := startServer(nil, entryAddresses...)
		startSender(firstAddress)
		Eventually(func() int { return len(sender.Entries()) }).Should(BeNumerically(">", 5))
		Consistently(func() int { return len(sender.Entries()) }, 200*time.Millisecond).Should(BeNumerically("<=", 64))
	})
})
