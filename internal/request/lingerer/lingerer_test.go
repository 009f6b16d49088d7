package lingerer_test

import (
	"context"
	"io"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/request/lingerer"
)

var _ = Describe("Lingerer", func() {
	var accepted chan net.Conn
	open := func(limit time.Duration) net.Conn {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		accepted = make(chan net.Conn, 1)
		go func() {
			if c, err := listener.Accept(); err == nil {
				accepted <- c
			}
		}()
		l := &lingerer.Lingerer{Dial: (&net.Dialer{}).DialContext, MaxLingerTime: limit}
		c, err := l.DialContext(context.Background(), "tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		return c
	}
	awaitPeerClose := func(c net.Conn) chan struct{} {
		done := make(chan struct{})
		go func() { lingerer.AwaitPeerClose(c); close(done) }()
		return done
	}

	It("waits until the peer has closed its side, and discards the data that the peer still sends", func() {
		c := open(10 * time.Second)
		peer := <-accepted
		Expect(c.Close()).To(Succeed())
		Expect(c.Close()).To(Succeed())
		Expect(io.ReadAll(peer)).To(BeEmpty(), "the peer must see the close at once")
		_, err := peer.Write([]byte("late"))
		Expect(err).NotTo(HaveOccurred())
		done := awaitPeerClose(c)
		Consistently(done, "100ms").ShouldNot(BeClosed())
		Expect(peer.Close()).To(Succeed())
		Eventually(done, "5s").Should(BeClosed())
	})
	It("stops waiting after MaxLingerTime for a peer that never closes its side", func() {
		c := open(50 * time.Millisecond)
		peer := <-accepted
		defer func() { _ = peer.Close() }()
		Expect(c.Close()).To(Succeed())
		Eventually(awaitPeerClose(c), "5s").Should(BeClosed())
	})
	It("detects a connection that the peer has closed first", func() {
		c := open(10 * time.Second)
		Expect(lingerer.PeerClosed(c)).To(BeFalse())
		Expect((<-accepted).Close()).To(Succeed())
		Expect(io.ReadAll(c)).To(BeEmpty())
		Expect(lingerer.PeerClosed(c)).To(BeTrue())
		Expect(c.Close()).To(Succeed())
	})
	It("waits only a short time for a connection that this side does not close", func() {
		c := open(10 * time.Second)
		defer func() { _ = c.Close() }()
		defer func() { _ = (<-accepted).Close() }()
		Eventually(awaitPeerClose(c), "2s").Should(BeClosed())
	})
	It("does not wait for a connection that was not opened by DialContext", func() {
		plain, other := net.Pipe()
		defer func() { _ = plain.Close(); _ = other.Close() }()
		Eventually(awaitPeerClose(plain), "5s").Should(BeClosed())
	})
})
