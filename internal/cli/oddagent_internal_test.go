package cli

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"bamboohook/internal/boottimer"
	"bamboohook/internal/fleet/attendant"
	"bamboohook/internal/fleet/messenger"
	"bamboohook/internal/fleet/sleeper"
	"bamboohook/resource"
)

const (
	oddVM = "127.0.0.1:2"
	// oddLife is the incarnation of the fake endpoint process.
	oddLife = 7
	// awaitTimeout is how long a test waits for an agent that should report several times a second.
	awaitTimeout = 20 * time.Second
)

type (
	// oddOwner is a fake of all entries. It answers one report with the encoded response, unless that is nil, and all others with the usual one.
	oddOwner struct {
		mutex       sync.Mutex
		response    []byte
		reportCount int
		// listed reports whether the last report was complete.
		listed bool
	}

	// quietEndpoint is a fake of an endpoint that accepts everything and lists nothing.
	quietEndpoint struct{}
)

func (quietEndpoint) List(ctx context.Context, q attendant.ListQuery) (attendant.Listing, error) {
	sleeper.Sleep(ctx, q.MaxWait)
	return attendant.Listing{Incarnation: oddLife, ClockMS: time.Now().UnixMilli()}, nil
}
func (quietEndpoint) Start(context.Context, attendant.StartCall) error { return nil }
func (quietEndpoint) Stop(context.Context, attendant.StopCall) error   { return nil }
func (quietEndpoint) Pace(context.Context, attendant.PaceCall) error   { return nil }

// usualResponse is what the owner of epoch 3 responds to a report.
func usualResponse(r messenger.Report) messenger.ReportResponse {
	return messenger.ReportResponse{
		Owner: "127.0.0.1:1", Epoch: 3, Session: 1, Granted: true, Incarnation: r.Incarnation, RecordedSequence: 1, ReportInterval: time.Millisecond,
		Entries: []string{"127.0.0.1:1"}, EntryCount: 1,
	}
}

func (o *oddOwner) SendReport(_ context.Context, _ string, r messenger.Report) (messenger.ReportResponse, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.reportCount++
	o.listed = r.Listed
	if o.response == nil {
		return usualResponse(r), nil
	}
	encoded := o.response
	o.response = nil
	var response messenger.ReportResponse
	if err := json.Unmarshal(encoded, &response); err != nil {
		return messenger.ReportResponse{}, errors.New("the response does not parse")
	}
	return response, nil
}

// startOddAgent starts an agent and returns it with its fake owner after it has reported a complete list of runs. It ends with the test.
func startOddAgent(t *testing.T) (*attendant.Attendant, *oddOwner) {
	t.Helper()
	o := &oddOwner{}
	a := &attendant.Attendant{
		Address: oddVM, Generation: "g", Endpoint: quietEndpoint{}, Reporter: o, Clock: boottimer.Clock{}, Log: zerolog.Nop(),
		LeaseDurations: attendant.LeaseDurations{Grant: grantDuration, Run: runLeaseDuration}, Seeds: []string{"127.0.0.1:1"},
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); _ = a.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	o.await(t, "the first listing", func() bool { return o.listed })
	return a, o
}

// await waits until the condition holds, which is called with the mutex locked.
func (o *oddOwner) await(t *testing.T, what string, reached func() bool) {
	t.Helper()
	for deadline := time.Now().Add(awaitTimeout); ; time.Sleep(5 * time.Millisecond) {
		o.mutex.Lock()
		ok := reached()
		o.mutex.Unlock()
		if ok {
			return
		}
		if time.Now().After(deadline) {
			t.Errorf("the agent does not get to: %s", what)
			return
		}
	}
}

// encodedMutations returns the encoded variants of a message.
func encodedMutations(t *testing.T, message any) [][]byte {
	t.Helper()
	var variants [][]byte
	for _, variant := range mutations(decoded(t, message)) {
		encoded, err := json.Marshal(variant)
		if err != nil {
			t.Fatal(err)
		}
		variants = append(variants, encoded)
	}
	return variants
}

// Guards against an agent that ends, or reports no more, because an entry has sent it orders with an odd value.
func TestAgentSurvivesOddOrders(t *testing.T) {
	a, o := startOddAgent(t)
	size := resource.Amount{MilliProcessors: 1000, MemoryBytes: 1 << 20}
	orders := messenger.Orders{
		Epoch: 3, Owner: "127.0.0.1:1", Session: 1, Incarnation: oddLife, ReportSentMS: 5,
		Starts: []messenger.Start{{Task: "j.0.0.1", Number: 1, Payload: "p", Checkpoint: "c", Ticket: "t", Size: size, BestEffort: true}},
		Stops:  []messenger.Stop{{Task: "j.0.0.1", Number: 1}}, Paces: []messenger.Pace{{Task: "j.0.0.1", Number: 1, Percent: 50}},
	}
	var group sync.WaitGroup
	for _, variant := range encodedMutations(t, orders) {
		var odd messenger.Orders
		if json.Unmarshal(variant, &odd) == nil {
			group.Go(func() { a.HandleOrders(context.Background(), odd) })
		}
	}
	group.Wait()
	count := 0
	o.await(t, "a report", func() bool { count = o.reportCount; return true })
	o.await(t, "further reports", func() bool { return o.reportCount > count+2 })
}

// Guards against an agent that ends, or reports no more, because an entry has answered a report with an odd value. Each response goes to an agent of its
// own.
func TestAgentSurvivesOddResponses(t *testing.T) {
	var group sync.WaitGroup
	for _, variant := range encodedMutations(t, usualResponse(messenger.Report{Incarnation: oddLife})) {
		group.Go(func() {
			_, o := startOddAgent(t)
			o.mutex.Lock()
			o.response = variant
			o.mutex.Unlock()
			count := 0
			o.await(t, "the odd response "+string(variant), func() bool { count = o.reportCount; return o.response == nil })
			o.await(t, "reports after the response "+string(variant), func() bool { return o.reportCount > count+2 })
		})
	}
	group.Wait()
}
