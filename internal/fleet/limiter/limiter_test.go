package limiter_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"bamboohook/internal/fleet/limiter"
	"bamboohook/internal/fleet/meter"
)

const stall = time.Second

type (
	// pipeListener accepts the connections that dial creates in memory.
	pipeListener struct {
		conns  chan net.Conn
		closed chan struct{}
	}

	// reserver is what a limited connection offers beside net.Conn.
	reserver interface {
		net.Conn
		Reserve(bytes int64) bool
		Release(bytes int64)
		BeginCall()
		EndCall()
	}
)

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn, 100), closed: make(chan struct{})}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-p.conns:
		return conn, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error { close(p.closed); return nil }

func (*pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// dial returns the client's side of a new connection.
func (p *pipeListener) dial() net.Conn {
	client, server := net.Pipe()
	p.conns <- server
	return client
}

// isClosed reports whether the process has closed the connection.
func isClosed(client net.Conn) bool {
	_ = client.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	_, err := client.Read(make([]byte, 1))
	return err == io.EOF
}

var _ = Describe("Limiter", func() {
	var (
		clock  *clockwork.FakeClock
		inner  *pipeListener
		m      *meter.Meter
		logged *bytes.Buffer
		l      *limiter.Limiter
		outer  net.Listener
	)
	BeforeEach(func() {
		clock, inner, m, logged = clockwork.NewFakeClock(), newPipeListener(), &meter.Meter{}, &bytes.Buffer{}
		l = &limiter.Limiter{Name: "x", Clock: clock, Log: zerolog.New(logged), Meter: m}
	})
	// accept returns both sides of a new connection.
	accept := func() (client net.Conn, server reserver) {
		outer = l.Listen(inner)
		client = inner.dial()
		conn, err := outer.Accept()
		Expect(err).NotTo(HaveOccurred())
		return client, conn.(reserver)
	}
	metrics := func() string {
		var b bytes.Buffer
		_, err := m.WriteTo(&b)
		Expect(err).NotTo(HaveOccurred())
		return b.String()
	}

	// Guards against idle clients that keep an ordinary one from connecting.
	It("closes the connection that has stalled for the longest time in favour of a new one", func() {
		l.MaxConnections = 2
		first, _ := accept()
		clock.Advance(stall)
		second, _ := accept()
		clock.Advance(stall)
		third, _ := accept()
		Expect([]bool{isClosed(first), isClosed(second), isClosed(third)}).To(Equal([]bool{true, false, false}))
		Expect(metrics()).To(And(ContainSubstring("clients-closed-x-connections 1\n"), ContainSubstring("used-x-connections 2\n")))
	})

	// Guards against the end of requests that the process is handling.
	It("refuses a new connection if all others are busy", func() {
		l.MaxConnections = 1
		busy, server := accept()
		server.BeginCall()
		clock.Advance(stall)
		refused := inner.dial()
		go func() { _, _ = outer.Accept() }()
		Eventually(func() bool { return isClosed(refused) }).Should(BeTrue())
		Expect(isClosed(busy)).To(BeFalse())
		server.EndCall()
		clock.Advance(stall)
		Eventually(inner.dial()).ShouldNot(BeNil())
		Eventually(func() bool { return isClosed(busy) }).Should(BeTrue())
		Expect(inner.Close()).To(Succeed())
	})

	It("reserves memory for messages up to the limit", func() {
		l.MaxMessageBytes = 100
		_, one := accept()
		client, other := accept()
		Expect(one.Reserve(60)).To(BeTrue())
		Expect(other.Reserve(60)).To(BeFalse())
		one.Release(30)
		Expect(other.Reserve(60)).To(BeTrue())
		Expect(metrics()).To(And(ContainSubstring("clients-refused-x-messages 1\n"), ContainSubstring("used-x-messages 90\n")))
		Expect(other.Close()).To(Succeed())
		Expect(isClosed(client)).To(BeTrue())
		Expect(metrics()).To(ContainSubstring("used-x-messages 30\n"))
		Expect(other.Reserve(1)).To(BeFalse(), "a closed connection holds nothing")
	})

	// Guards against a legal message that is refused for ever because it is larger than the part.
	It("permits a message that is larger than the limit if there is no other one", func() {
		l.MaxMessageBytes = 100
		_, one := accept()
		Expect(one.Reserve(300)).To(BeTrue())
		Expect(one.Reserve(300)).To(BeTrue())
	})

	// Guards against clients that stop before the end of a message and keep its memory from others.
	It("closes a stalled connection that holds memory for a message, and no other one", func() {
		l.MaxMessageBytes = 100
		idle, _ := accept()
		stalled, holder := accept()
		Expect(holder.Reserve(100)).To(BeTrue())
		_, other := accept()
		Expect(other.Reserve(50)).To(BeFalse(), "not stalled yet")
		clock.Advance(stall)
		Expect(other.Reserve(50)).To(BeTrue())
		Expect([]bool{isClosed(stalled), isClosed(idle)}).To(Equal([]bool{true, false}))
	})

	It("counts received headers, and ends a connection for whose headers there is no memory", func() {
		l.MaxHeaderBytes, l.HeaderFactor = 100, 10
		busyClient, busy := accept()
		busy.BeginCall()
		client, server := accept()
		go func() { _, _ = busyClient.Write([]byte("12345678")); _, _ = client.Write([]byte("123")) }()
		Expect(busy.Read(make([]byte, 10))).To(Equal(8))
		_, err := server.Read(make([]byte, 10))
		Expect(err).To(HaveOccurred())
		Expect(metrics()).To(And(ContainSubstring("used-x-headers 80\n"), ContainSubstring("clients-refused-x-headers 1\n")))
	})

	// Guards against a log that grows with the number of refused clients.
	It("logs one line a second for each part", func() {
		l.MaxMessageBytes = 1
		_, one := accept()
		Expect(one.Reserve(1)).To(BeTrue())
		one.BeginCall()
		_, other := accept()
		for range 5 {
			Expect(other.Reserve(1)).To(BeFalse())
		}
		Expect(strings.Count(logged.String(), "\n")).To(Equal(1))
		clock.Advance(time.Second)
		Expect(other.Reserve(1)).To(BeFalse())
		Expect(logged.String()).To(And(ContainSubstring(`"part":"x-messages"`), ContainSubstring(`"clients":5`)))
	})

	Describe("with an HTTP server", func() {
		var (
			server  *http.Server
			handler http.HandlerFunc
		)
		BeforeEach(func() {
			l.MaxHeaderBytes, l.HeaderFactor, l.MaxMessageBytes = 100_000, 30, 100
			handler = func(w http.ResponseWriter, r *http.Request) {
				if !l.Reserve(r.Context(), max(r.ContentLength, 0)) {
					l.Abandon(r.Context())
					w.Header().Set("Connection", "close")
					w.WriteHeader(http.StatusServiceUnavailable)
					return
				}
				_, err := io.Copy(io.Discard, r.Body)
				if err != nil {
					w.WriteHeader(http.StatusRequestTimeout)
				}
			}
			server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { handler(w, r) }), ReadHeaderTimeout: time.Second}
			l.ConfigureServer(server, func(*http.Request) time.Duration { return 100 * time.Millisecond })
			listener := l.Listen(inner)
			go func() { _ = server.Serve(listener) }()
			DeferCleanup(server.Close)
		})
		send := func(client net.Conn, request string) (int, error) {
			go func() { _, _ = io.WriteString(client, request) }()
			response, err := http.ReadResponse(bufio.NewReader(client), nil)
			if err != nil {
				return 0, err
			}
			_, err = io.Copy(io.Discard, response.Body)
			return response.StatusCode, errors.Join(err, response.Body.Close())
		}
		const request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s"

		It("releases headers and body after each request of a connection", func() {
			client := inner.dial()
			for range 3 {
				Expect(send(client, fmt.Sprintf(request, 80, strings.Repeat("b", 80)))).To(Equal(http.StatusOK))
				Eventually(metrics).Should(And(ContainSubstring("used-x-headers 0\n"), ContainSubstring("used-x-messages 0\n")))
			}
		})

		// Guards against bodies that never end.
		It("ends a request whose body does not arrive in time", func() {
			Expect(send(inner.dial(), fmt.Sprintf(request, 80, "b"))).To(Equal(http.StatusRequestTimeout))
			Eventually(metrics).Should(ContainSubstring("used-x-messages 0\n"))
		})

		// Guards against a handler that is cancelled by the time-out for the body after the body has arrived.
		It("does not limit the time of the handler after the body has arrived", func() {
			inner2 := handler
			handler = func(w http.ResponseWriter, r *http.Request) {
				inner2(w, r)
				select {
				case <-r.Context().Done():
					w.WriteHeader(http.StatusInternalServerError)
				case <-time.After(300 * time.Millisecond):
				}
			}
			Expect(send(inner.dial(), fmt.Sprintf(request, 1, "b"))).To(Equal(http.StatusOK))
		})

		// Guards against a response with status 400, which callers take as final, to a request that would succeed later.
		It("refuses a request whose headers find no memory with 503 and Retry-After", func() {
			holder := inner.dial()
			_, err := io.WriteString(holder, "GET / HTTP/1.1\r\nA: "+strings.Repeat("a", 3300))
			Expect(err).NotTo(HaveOccurred())
			Eventually(metrics).Should(MatchRegexp("used-x-headers 99[0-9]{3}\n"))
			client := inner.dial()
			go func() { _, _ = fmt.Fprintf(client, request, 1, "b") }()
			response, err := http.ReadResponse(bufio.NewReader(client), nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
			Expect(response.Header.Get("Retry-After")).To(Equal("1"))
			Expect(response.Body.Close()).To(Succeed())
			Eventually(func() bool { return isClosed(client) }).Should(BeTrue())
		})

		It("refuses a request whose body finds no memory before its body is read", func() {
			holder := inner.dial()
			go func() { _, _ = fmt.Fprintf(holder, request, 80, "b") }()
			Eventually(metrics).Should(ContainSubstring("used-x-messages 80\n"))
			Expect(send(inner.dial(), fmt.Sprintf(request, 80, "b"))).To(Equal(http.StatusServiceUnavailable))
		})
	})
})

// Guards against a HeaderFactor below the memory that headers take: the worst lines are short ones with different names.
func TestMemoryOfHeaders(t *testing.T) {
	const size, factor = 20 << 10, 32
	for name, line := range map[string]func(int) string{
		"different names": func(n int) string { return fmt.Sprintf("%x:\r\n", n) },
		"one name":        func(int) string { return "a:\r\n" },
	} {
		t.Run(name, func(t *testing.T) {
			var b bytes.Buffer
			b.WriteString("GET / HTTP/1.1\r\nHost: h\r\n")
			for n := 0; b.Len() < size; n++ {
				b.WriteString(line(n))
			}
			b.WriteString("\r\n")
			const count = 50
			requests := make([]*http.Request, count)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			for n := range requests {
				request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(b.Bytes())))
				if err != nil {
					t.Fatal(err)
				}
				requests[n] = request
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			perByte := float64(after.HeapAlloc-before.HeapAlloc) / float64(count*b.Len())
			t.Logf("%.1f bytes for each byte of headers", perByte)
			if perByte > factor {
				t.Errorf("%.1f bytes for each byte of headers", perByte)
			}
			runtime.KeepAlive(requests)
		})
	}
}
