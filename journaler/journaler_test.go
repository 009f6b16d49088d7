package journaler_test

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/journaler"
)

var _ = Describe("Journaler", func() {
	var (
		clock *clockwork.FakeClock
		j     *journaler.Journaler
	)
	// options returns options whose limits are so low that the tests reach them.
	options := func() journaler.Options {
		return journaler.Options{VM: "vm.1", Generation: "7", Clock: clock, MaxKeys: 3, MaxResponseBytes: 10, MaxTotalBytes: 15}
	}
	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		j = journaler.New(options())
	})

	It("returns Fresh once, then Running, then the stored response", func() {
		key := j.Issue()
		Expect(j.Begin(key).State).To(Equal(journaler.Fresh))
		running := j.Begin(key)
		Expect(running.State).To(Equal(journaler.Running))
		Expect(running.Done).NotTo(BeClosed())
		Expect(j.Revoke(key)).To(BeFalse(), "the request has started")
		j.Finish(key, journaler.Response{Status: 201, Body: []byte("made")})
		Expect(running.Done).To(BeClosed())
		stored := j.Begin(key)
		Expect(stored.State).To(Equal(journaler.Stored))
		Expect(string(stored.Response.Body)).To(Equal("made"))
	})

	// Guards against a journal that accepts a key which it has not issued or which has expired. A request with such a
	// key could run a second time. makeKey returns such a key, made from a valid one or independent of it.
	for name, makeKey := range map[string]func(key string) string{
		"key of another generation": func(string) string {
			o := options()
			o.Generation = "6"
			return journaler.New(o).Issue()
		},
		"key of another journal with the same VM and generation": func(string) string { return journaler.New(options()).Issue() },
		"key with a changed random part": func(k string) string {
			p := strings.Split(k, ".")
			p[3] = strings.Repeat("A", 22)
			return strings.Join(p, ".")
		},
		"key with an added line break": func(k string) string { return strings.Replace(k, ".", "\n.", 1) },
		"key that is too long":         func(k string) string { return k + strings.Repeat("A", journaler.MaxKeyLength) },
		"empty key":                    func(string) string { return "" },
		"expired key": func(k string) string {
			clock.Advance(10*time.Minute + 1)
			return k
		},
	} {
		It("neither lets a request with an invalid key start nor revokes the key: "+name, func() {
			key := makeKey(j.Issue())
			Expect(j.Begin(key).State).To(Equal(journaler.Unknown))
			Expect(j.Revoke(key)).To(BeFalse())
		})
	}

	It("does not let a request with an expired key start after the key has been deleted", func() {
		key := j.Issue()
		j.Begin(key)
		j.Finish(key, journaler.Response{Body: []byte("x")})
		clock.Advance(10*time.Minute + 1)
		Expect(j.Begin(j.Issue()).State).To(Equal(journaler.Fresh))
		keys, bytes := j.Size()
		Expect([]int{keys, bytes}).To(Equal([]int{1, 0}))
		Expect(j.Begin(key).State).To(Equal(journaler.Unknown))
	})

	It("revokes a key permanently if no request with it has run", func() {
		firstKey, secondKey := j.Issue(), j.Issue()
		Expect(j.Revoke(firstKey)).To(BeTrue())
		Expect(j.Begin(firstKey).State).To(Equal(journaler.Revoked))
		j.Begin(secondKey)
		running := j.Begin(secondKey)
		j.Abandon(secondKey)
		Expect(running.Done).To(BeClosed())
		Expect(j.Begin(secondKey).State).To(Equal(journaler.Revoked))
		j.Finish(secondKey, journaler.Response{})
		Expect(j.Begin(secondKey).State).To(Equal(journaler.Revoked))
	})

	It("limits the number of keys and the size of the stored responses", func() {
		keys := []string{j.Issue(), j.Issue(), j.Issue(), j.Issue()}
		for i, size := range []int{6, 6, 9} {
			Expect(j.Begin(keys[i]).State).To(Equal(journaler.Fresh))
			j.Finish(keys[i], journaler.Response{Status: 200, Header: map[string][]string{"A": {"b"}}, Body: make([]byte, size)})
		}
		Expect(j.Begin(keys[3]).State).To(Equal(journaler.Full))
		Expect(j.Revoke(keys[3])).To(BeFalse())
		var omitted []bool
		for _, k := range keys[:3] {
			omitted = append(omitted, j.Begin(k).Response.Omitted)
		}
		Expect(omitted).To(Equal([]bool{true, false, true}))
	})

	// Guards against two concurrent requests with the same key that both start. Run with -race.
	It("lets at most one of several concurrent requests with a key start, and none after the key was revoked", func() {
		key := j.Issue()
		var startCount, revokeCount atomic.Int64
		var waitGroup sync.WaitGroup
		for i := range 64 {
			waitGroup.Go(func() {
				if i%8 == 0 && j.Revoke(key) {
					revokeCount.Add(1)
				} else if j.Begin(key).State == journaler.Fresh {
					startCount.Add(1)
				}
			})
		}
		waitGroup.Wait()
		Expect(startCount.Load()).To(Equal(map[bool]int64{true: 0, false: 1}[revokeCount.Load() > 0]))
	})
})
