package peer_test

import (
	"context"
	"encoding/json"
	"expvar"
	"math"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/peer"
	"bamboohook/recorder"
)

type (
	// limitedListener is a fake whose connections share a number of free bytes. calls is the number of calls that have begun and not ended.
	limitedListener struct {
		net.Listener
		mutex       sync.Mutex
		free, calls int64
	}

	limitedConn struct {
		net.Conn
		listener *limitedListener
		held     int64
	}
)

func (l *limitedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &limitedConn{Conn: conn, listener: l}, nil
}

func (l *limitedListener) state() [2]int64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return [2]int64{l.free, l.calls}
}

func (l *limitedConn) Reserve(bytes int64) bool {
	l.listener.mutex.Lock()
	defer l.listener.mutex.Unlock()
	if bytes > l.listener.free {
		return false
	}
	l.listener.free -= bytes
	l.held += bytes
	return true
}

func (l *limitedConn) Release(bytes int64) {
	l.listener.mutex.Lock()
	defer l.listener.mutex.Unlock()
	bytes = min(bytes, l.held)
	l.listener.free += bytes
	l.held -= bytes
}

func (l *limitedConn) BeginCall() { l.count(1) }

func (l *limitedConn) EndCall() { l.count(-1) }

func (l *limitedConn) count(calls int64) {
	l.listener.mutex.Lock()
	defer l.listener.mutex.Unlock()
	l.listener.calls += calls
}

func (l *limitedConn) Close() error {
	l.Release(math.MaxInt64)
	return l.Conn.Close()
}

var _ = Describe("Client and Server", func() {
	var (
		address       string
		serverClock   *recorder.Recorder
		stopServer    context.CancelFunc
		serverStopped chan struct{}
	)

	BeforeEach(func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address = listener.Addr().String()
		serverClock = recorder.New(recorder.Options{})
		server := &peer.Server{HybridClock: serverClock}
		server.Handle("echo", func(_ context.Context, params json.RawMessage) (any, error) { return params, nil })
		server.Handle("panic", func(context.Context, json.RawMessage) (any, error) { panic("unexpected") })
		server.Handle("slow", func(_ context.Context, params json.RawMessage) (any, error) {
			time.Sleep(200 * time.Millisecond)
			return params, nil
		})
		var ctx context.Context
		ctx, stopServer = context.WithCancel(context.Background())
		serverStopped = make(chan struct{})
		go func() {
			defer close(serverStopped)
			_ = server.Run(ctx, listener)
		}()
		DeferCleanup(func() { stopServer(); <-serverStopped })
	})

	It("responds to calls and reports unknown methods", func(ctx SpecContext) {
		client := &peer.Client{Address: address}
		defer client.Close()
		var got string
		Expect(client.Call(ctx, "echo", "text", &got)).To(Succeed())
		Expect(got).To(Equal("text"))
		Expect(client.Call(ctx, "none", "text", &got)).To(MatchError(ContainSubstring("unknown method none")))
	})

	// Guards against a timeline in which an event is ordered before its cause because the clocks of two processes differ.
	It("advances the server's clock past the timestamps that it receives", func(ctx SpecContext) {
		clientClock := recorder.New(recorder.Options{Clock: clockwork.NewFakeClockAt(time.Now().Add(30 * time.Second))})
		client := &peer.Client{Address: address, HybridClock: clientClock}
		defer client.Close()
		Expect(client.Call(ctx, "echo", "text", nil)).To(Succeed())
		behindClock := recorder.New(recorder.Options{Clock: clockwork.NewFakeClockAt(time.Now().Add(-time.Hour))})
		behindClient := &peer.Client{Address: address, HybridClock: behindClock}
		defer behindClient.Close()
		sentTimestamp := clientClock.NextTimestamp()
		Expect(client.Call(ctx, "echo", "text", nil)).To(Succeed())
		Expect(behindClient.Call(ctx, "echo", "text", nil)).To(Succeed())
		Expect(sentTimestamp.Less(serverClock.NextTimestamp())).To(BeTrue())
	})

	// Guards against retries of calls that may have taken effect. Only ErrNotSent, after a failed dial, shows that a call
	// had no effect.
	It("reports that a call was not sent if the client cannot connect", func(ctx SpecContext) {
		client := &peer.Client{Address: address}
		defer client.Close()
		Expect(client.Call(ctx, "echo", "text", nil)).To(Succeed())
		stopServer()
		<-serverStopped
		Eventually(func() error { return client.Call(ctx, "echo", "text", nil) }).Should(MatchError(peer.ErrNotSent))
	})

	// Guards against a shutdown that closes a connection before the response to a call in progress was sent.
	It("responds to calls in progress before it closes the connections", func(ctx SpecContext) {
		client := &peer.Client{Address: address}
		defer client.Close()
		callErr := make(chan error, 1)
		go func() { callErr <- client.Call(ctx, "slow", "text", nil) }()
		time.Sleep(50 * time.Millisecond)
		stopServer()
		Eventually(callErr).Should(Receive(BeNil()))
	})

	// Guards against a process that ends because of a single message.
	It("responds with an error to a call whose handler panics, and goes on", func(ctx SpecContext) {
		client := &peer.Client{Address: address}
		defer client.Close()
		Expect(client.Call(ctx, "panic", "text", nil)).To(MatchError(ContainSubstring("failed unexpectedly")))
		Expect(client.Call(ctx, "echo", "text", nil)).To(Succeed())
	})

	// Guards against calls that take memory which the process does not have, and against memory that is not released after a call.
	It("closes a connection for whose calls there is no memory, and releases the memory of each call after its response", func(ctx SpecContext) {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		limited := &limitedListener{Listener: inner, free: 1 << 20}
		server := &peer.Server{}
		server.Handle("echo", func(_ context.Context, params json.RawMessage) (any, error) { return params, nil })
		server.Handle("panic", func(context.Context, json.RawMessage) (any, error) { panic("unexpected") })
		runCtx, stop := context.WithCancel(context.Background())
		stopped := make(chan error, 1)
		go func() { stopped <- server.Run(runCtx, limited) }()
		defer func() { stop(); Eventually(stopped).Should(Receive(BeNil())) }()
		client := &peer.Client{Address: inner.Addr().String()}
		defer client.Close()
		for range 3 {
			Expect(client.Call(ctx, "echo", strings.Repeat("t", 200_000), nil)).To(Succeed())
			Expect(client.Call(ctx, "none", "", nil)).To(MatchError(ContainSubstring("unknown method none")))
			Expect(client.Call(ctx, "panic", "", nil)).To(MatchError(ContainSubstring("failed unexpectedly")))
			Eventually(limited.state).Should(Equal([2]int64{1 << 20, 0}))
		}
		Expect(client.Call(ctx, "echo", strings.Repeat("t", 600_000), nil)).To(MatchError(ContainSubstring("failed")))
		Expect(client.Call(ctx, "echo", "text", nil)).To(Succeed())
	})

	// Guards against an invalid frame from one client that closes the connections of other clients.
	It("counts a frame that is too large and closes only the connection on which it arrived", func(ctx SpecContext) {
		client := &peer.Client{Address: address}
		defer client.Close()
		Expect(client.Call(ctx, "echo", "text", nil)).To(Succeed())
		countBefore := expvar.Get("peer-malformed-frames").(*expvar.Int).Value()
		malformedConn, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = malformedConn.Close() }()
		_, err = malformedConn.Write([]byte("\xff\xff\xff\xffxxxx"))
		Expect(err).NotTo(HaveOccurred())
		_, err = malformedConn.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
		Expect(expvar.Get("peer-malformed-frames").(*expvar.Int).Value()).To(Equal(countBefore + 1))
		Expect(client.Call(ctx, "echo", "text", nil)).To(Succeed())
	})
})
