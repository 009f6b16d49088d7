package subscriber_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"bamboohook/internal/fleet/evacuation"
	"bamboohook/internal/fleet/messenger"
	"bamboohook/internal/fleet/meter"
	"bamboohook/internal/fleet/routetable"
	"bamboohook/internal/fleet/sleeper"
	"bamboohook/internal/fleet/storekeeper"
	"bamboohook/internal/fleet/subscriber"
)

type (
	// opRecord is a record of the operators' topic: a configuration if the version is not 0, otherwise a request or a withdrawal.
	opRecord struct {
		version    int64
		dataCentre string
		requested  bool
	}

	// opTopic is the operators' topic in the store, on virtual time.
	opTopic struct {
		mutex   sync.Mutex
		records []opRecord
		// firstOffset is the offset below which records were deleted. invalid makes loads report only invalid configurations.
		firstOffset int64
		invalid     bool
		// partial makes loads leave out the requests, as if their keys could not be read.
		partial bool
		// maxRecords is the number of records in the response to a read, 0 means all.
		maxRecords int64
		// onLoad, unless nil, is called once after the response to a load was composed.
		onLoad func()
	}

	// opEntry is an entry that follows the topic. It implements subscriber.Source and subscriber.PeerClient.
	opEntry struct {
		*subscriber.Subscriber
		topic *opTopic
		log   *logBuffer
		mutex sync.Mutex
		// cut reports whether the store answers this entry nothing.
		cut   bool
		other *opEntry
		// lowest is the highest version that the entry has had. A lower one afterwards is counted in decreases.
		lowest    int64
		decreases int
	}
)

func (o *opTopic) append(records ...opRecord) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.records = append(o.records, records...)
}

func (o *opTopic) compact() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.firstOffset = int64(len(o.records))
}

func publicationOf(records []opRecord) storekeeper.Publication {
	p := storekeeper.Publication{Evacuations: map[string]bool{}}
	for _, r := range records {
		if r.version > 0 {
			p.Configuration = &routetable.Configuration{Version: r.version}
		} else {
			p.Evacuations[r.dataCentre] = r.requested
		}
	}
	return p
}

func (e *opEntry) CloseIdleConnections() {}

// answers blocks until ctx is done if the store does not answer this entry.
func (e *opEntry) answers(ctx context.Context) bool {
	e.mutex.Lock()
	cut := e.cut
	e.mutex.Unlock()
	if cut {
		<-ctx.Done()
		return false
	}
	return sleeper.Sleep(ctx, simDelay)
}

func (e *opEntry) LoadConfiguration(ctx context.Context, _ func()) (storekeeper.Publication, int64, error) {
	if !e.answers(ctx) {
		return storekeeper.Publication{}, 0, ctx.Err()
	}
	e.topic.mutex.Lock()
	p, offset := publicationOf(e.topic.records), int64(len(e.topic.records))
	for name, requested := range p.Evacuations {
		if !requested || e.topic.partial {
			delete(p.Evacuations, name)
		}
	}
	p.Partial = e.topic.partial
	var err error
	if e.topic.invalid {
		p.Configuration, err = nil, errors.New("only invalid configurations")
	}
	onLoad := e.topic.onLoad
	e.topic.onLoad = nil
	e.topic.mutex.Unlock()
	if onLoad != nil {
		onLoad()
	}
	return p, offset, err
}

func (e *opEntry) FollowConfiguration(ctx context.Context, offset int64, wait time.Duration, _ func()) (storekeeper.Publication, int64, bool, error) {
	for until := time.Now().Add(wait); ; {
		if !e.answers(ctx) {
			return storekeeper.Publication{}, offset, false, ctx.Err()
		}
		e.topic.mutex.Lock()
		records, first, limit := slices.Clone(e.topic.records), e.topic.firstOffset, e.topic.maxRecords
		e.topic.mutex.Unlock()
		end := int64(len(records))
		switch {
		case offset < first:
			return storekeeper.Publication{}, offset, false, storekeeper.ErrDeleted
		case offset < end:
			next := end
			if limit > 0 {
				next = min(end, offset+limit)
			}
			return publicationOf(records[offset:next]), next, next < end, nil
		case !time.Now().Before(until):
			return publicationOf(nil), offset, false, nil
		}
	}
}

func (e *opEntry) FetchConfiguration(context.Context, string) (messenger.Configuration, error) {
	time.Sleep(simDelay)
	set, age := e.other.Evacuations()
	return messenger.Configuration{Configuration: e.other.Configuration(), Evacuations: set, EvacuationAge: max(age, 1)}, nil
}

// newOpEntry returns an entry that follows the topic. Run starts it.
func newOpEntry(topic *opTopic) *opEntry {
	e := &opEntry{topic: topic, log: &logBuffer{}}
	e.Subscriber = &subscriber.Subscriber{
		Source: e, PeerClient: e, Clock: simClock{}, Log: zerolog.New(zerolog.SyncWriter(e.log)), Meter: &meter.Meter{}, OnStoreResponse: func() {},
		OnChange:              func(*routetable.Configuration) {},
		PeersWithNewerVersion: func(int64) []string { return nil },
		PeersWithNewerEvacuations: func(version int64) []string {
			if e.other == nil {
				return nil
			}
			if set, _ := e.other.Evacuations(); set.VersionOrZero() <= version {
				return nil
			}
			return []string{"other"}
		},
		OnEvacuationChange: func() {
			set, _ := e.Evacuations()
			e.mutex.Lock()
			defer e.mutex.Unlock()
			if set.VersionOrZero() < e.lowest {
				e.decreases++
			}
			e.lowest = max(e.lowest, set.VersionOrZero())
		},
	}
	return e
}

// evacuated returns the names of the evacuated data centres that the entry knows, or "unknown".
func (e *opEntry) evacuated() string {
	set, _ := e.Evacuations()
	if set == nil {
		return "unknown"
	}
	return strings.Join(set.DataCentres, " ")
}

func (e *opEntry) setCut(cut bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.cut = cut
}

func (e *opEntry) expect(t *testing.T, want, when string) {
	t.Helper()
	if got := e.evacuated(); got != want {
		t.Errorf("%s the evacuated data centres are %q, want %q", when, got, want)
	}
}

// Guards against an entry that misses a request or a withdrawal, or forgets one. Each case lists what happens to the topic and to the entry, and what the entry
// must know a second later.
func TestEvacuationsAreFollowed(t *testing.T) {
	request, withdraw := func(name string) opRecord { return opRecord{dataCentre: name, requested: true} }, func(name string) opRecord { return opRecord{dataCentre: name} }
	configuration := func(version int64) opRecord { return opRecord{version: version} }
	type step struct {
		do   func(topic *opTopic, e *opEntry)
		want string
	}
	publish := func(records ...opRecord) func(*opTopic, *opEntry) {
		return func(topic *opTopic, _ *opEntry) { topic.append(records...) }
	}
	for name, c := range map[string]struct {
		before []opRecord
		topic  *opTopic
		steps  []step
	}{
		"an empty topic":                        {topic: &opTopic{}, steps: []step{{publish(), ""}, {publish(request("a")), "a"}, {publish(withdraw("a")), ""}}},
		"requests without a configuration":      {before: []opRecord{request("b"), request("a")}, topic: &opTopic{}, steps: []step{{publish(), "a b"}, {publish(withdraw("b")), "a"}}},
		"requests beside a configuration":       {before: []opRecord{configuration(3), request("a")}, topic: &opTopic{}, steps: []step{{publish(), "a"}, {publish(configuration(4), request("b"), withdraw("a")), "b"}}},
		"a request and its withdrawal together": {before: []opRecord{configuration(3)}, topic: &opTopic{}, steps: []step{{publish(request("a"), withdraw("a")), ""}, {publish(withdraw("a"), request("a")), "a"}}},
		"more records than one read returns": {before: []opRecord{configuration(3)}, topic: &opTopic{maxRecords: 1}, steps: []step{
			{publish(request("a"), request("b"), configuration(4), request("c"), withdraw("b")), "a c"},
		}},
		"a request between a load and the next read": {before: []opRecord{configuration(3)}, topic: func() *opTopic {
			topic := &opTopic{}
			topic.onLoad = func() { topic.append(request("a")) }
			return topic
		}(), steps: []step{{publish(), "a"}}},
		"deleted records": {before: []opRecord{configuration(3), request("a")}, topic: &opTopic{}, steps: []step{
			{publish(), "a"},
			{func(topic *opTopic, _ *opEntry) { topic.append(withdraw("a"), request("b")); topic.compact() }, "b"},
			{publish(withdraw("b")), ""},
		}},
		"deleted records while the store does not answer": {before: []opRecord{configuration(3), request("a")}, topic: &opTopic{}, steps: []step{
			{func(topic *opTopic, e *opEntry) {
				e.setCut(true)
				topic.append(withdraw("a"), request("b"))
				topic.compact()
			}, "a"},
			{func(_ *opTopic, e *opEntry) { e.setCut(false) }, "b"},
		}},
		"only invalid configurations": {before: []opRecord{request("a")}, topic: &opTopic{invalid: true}, steps: []step{{publish(), "a"}, {publish(withdraw("a")), ""}}},
		"a load that leaves out records withdraws nothing": {before: []opRecord{configuration(3), request("a")}, topic: &opTopic{}, steps: []step{
			{publish(), "a"},
			{func(topic *opTopic, _ *opEntry) {
				topic.mutex.Lock()
				topic.partial = true
				topic.mutex.Unlock()
				topic.append(configuration(4))
				topic.compact()
			}, "a"},
			{publish(withdraw("a")), ""},
		}},
		"an evacuation for the whole life of the entry": {before: []opRecord{request("a"), configuration(3)}, topic: &opTopic{}, steps: []step{{publish(), "a"}, {publish(), "a"}}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				c.topic.append(c.before...)
				e := newOpEntry(c.topic)
				e.expect(t, "unknown", "before the first read")
				go func() { _ = e.Run(ctx) }()
				time.Sleep(time.Second)
				for n, s := range c.steps {
					s.do(c.topic, e)
					time.Sleep(time.Second)
					e.expect(t, s.want, fmt.Sprint("after step ", n))
				}
				// A response with records counts from the start of its read, which may have waited for a second, and the next one waits as long.
				if _, age := e.Evacuations(); age > 2100*time.Millisecond {
					t.Errorf("the age is %v although the store answers", age)
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

// Guards against a request that an entry learns only after the time that the agents and the owner need of the bound, when reads are lost.
func TestEvacuationIsLearnedInTimeDespiteLostReads(t *testing.T) {
	const bound = 2900 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		topic := &opTopic{}
		topic.append(opRecord{version: 3})
		e := newOpEntry(topic)
		go func() { _ = e.Run(ctx) }()
		longest := time.Duration(0)
		for n := range 30 {
			time.Sleep(2*time.Second + time.Duration(n)*97*time.Millisecond)
			// The read in progress gets no response, nor do those of the next second.
			e.setCut(true)
			time.Sleep(10 * time.Millisecond)
			topic.append(opRecord{dataCentre: "a", requested: n%2 == 0})
			at := time.Now()
			want := map[bool]string{true: "a", false: ""}[n%2 == 0]
			time.AfterFunc(time.Second, func() { e.setCut(false) })
			for e.evacuated() != want && time.Since(at) < 10*time.Second {
				time.Sleep(time.Millisecond)
			}
			longest = max(longest, time.Since(at))
		}
		t.Logf("learned after %v at the latest", longest)
		if longest > bound {
			t.Errorf("learned only after %v, %v are permitted", longest, bound)
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against an entry that is cut off from the store and never learns of a request, and against one that goes back to an older set.
func TestEvacuationsFromOtherEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		topic := &opTopic{}
		topic.append(opRecord{version: 3}, opRecord{dataCentre: "a", requested: true})
		e, other := newOpEntry(topic), newOpEntry(topic)
		e.other = other
		e.setCut(true)
		go func() { _ = e.Run(ctx) }()
		go func() { _ = other.Run(ctx) }()
		time.Sleep(2 * time.Second)
		e.expect(t, "a", "after the start of an entry without the store")
		if configuration := e.Configuration(); configuration == nil || configuration.Version != 3 {
			t.Error("the configuration did not come with the set")
		}
		topic.append(opRecord{dataCentre: "b", requested: true})
		time.Sleep(2 * time.Second)
		e.expect(t, "a b", "after a request while the store does not answer")
		if _, age := e.Evacuations(); age > 3*time.Second {
			t.Errorf("the age is %v after the other entry has read the topic", age)
		}
		if log := e.log.String(); !strings.Contains(log, `"data-centre":"b"`) || !strings.Contains(log, `"from":"peer","entry":"other"`) {
			t.Errorf("the log does not name the source: %s", log)
		}
		// Now the other one is cut off, and has the older set.
		e.setCut(false)
		other.setCut(true)
		topic.append(opRecord{dataCentre: "a"})
		time.Sleep(2 * time.Second)
		e.expect(t, "b", "after the store answers again")
		e.mutex.Lock()
		if e.decreases > 0 {
			t.Errorf("the version has decreased %d times", e.decreases)
		}
		e.mutex.Unlock()
		var text strings.Builder
		if _, err := e.Meter.WriteTo(&text); err != nil {
			t.Fatal(err)
		}
		for _, line := range []string{"evacuations-begun 2\n", "evacuations-ended 1\n", "evacuated-a 0\n", "evacuated-b 1\n", "evacuated-data-centres 1\n"} {
			if !strings.Contains(text.String(), line) {
				t.Errorf("the metrics lack %q: %s", line, text.String())
			}
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against the set of another entry that replaces a newer one, or one of the same version from the store.
func TestEvacuationVersionNeverDecreases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		topic := &opTopic{}
		topic.append(opRecord{version: 3})
		entries := []*opEntry{newOpEntry(topic), newOpEntry(topic)}
		entries[0].other, entries[1].other = entries[1], entries[0]
		for _, e := range entries {
			go func() { _ = e.Run(ctx) }()
		}
		var last [2]*evacuation.Set
		for n := range 300 {
			switch n % 10 {
			case 0, 3, 4:
				topic.append(opRecord{dataCentre: fmt.Sprint("zone-", n%3), requested: n%4 < 2})
			case 5:
				entries[n/10%2].setCut(true)
			case 7:
				topic.compact()
			case 9:
				entries[n/10%2].setCut(false)
			}
			for number, e := range entries {
				set, _ := e.Evacuations()
				if set.VersionOrZero() < last[number].VersionOrZero() {
					t.Fatalf("entry %d has gone back from version %d to %d", number, last[number].VersionOrZero(), set.VersionOrZero())
				}
				last[number] = set
			}
			time.Sleep(170 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		if entries[0].evacuated() != entries[1].evacuated() {
			t.Errorf("the entries have %q and %q in the end", entries[0].evacuated(), entries[1].evacuated())
		}
		cancel()
		synctest.Wait()
	})
}

// logBuffer is a buffer for the log of an entry, which a test reads while the entry runs.
type logBuffer struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.text.String()
}
