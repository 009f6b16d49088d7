package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"bamboohook/internal/batch/job"
	"bamboohook/internal/fleet/messenger"
	"bamboohook/internal/peer"
	"bamboohook/platform"
	"bamboohook/resource"
)

// oddValues replace each value in a message in turn.
var oddValues = []string{
	"null", "-1", "0", "1e300", "9223372036854775807", "-9223372036854775808", "18446744073709551615", "0.5", `""`, `"x"`, `"0.0.0.0:0"`, "[]", "[null]",
	"[[[]]]", "{}", `{"":null}`, "true",
}

// mutations returns the variants of a JSON value in which one value within it is replaced by an odd one.
func mutations(value any) []any {
	var variants []any
	for _, odd := range oddValues {
		variants = append(variants, json.RawMessage(odd))
	}
	switch v := value.(type) {
	case map[string]any:
		for key, member := range v {
			for _, variant := range mutations(member) {
				changed := map[string]any{}
				for k, m := range v {
					changed[k] = m
				}
				changed[key] = variant
				variants = append(variants, changed)
			}
		}
	case []any:
		for n, member := range v {
			for _, variant := range mutations(member) {
				changed := append([]any{}, v...)
				changed[n] = variant
				variants = append(variants, changed)
			}
		}
	}
	return variants
}

// decoded returns the message as it is decoded from JSON without its type.
func decoded(t *testing.T, message any) any {
	t.Helper()
	raw, err := json.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	var value any
	if err := json.Unmarshal(raw, &value); err != nil {
		t.Fatal(err)
	}
	return value
}

// Guards against a process that ends because another one has sent it a message with an odd value. Each value in a message of each kind is replaced by
// odd ones, and the entry must still respond afterwards.
func TestEntrySurvivesOddMessages(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	settings := platform.Settings{Name: "e", PeerAddress: address, StoreAddress: "127.0.0.1:1", Processors: 1, Link: 1000, Retention: time.Minute}
	e := newPlatformEntry(settings, zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); _ = e.elector.Run(ctx) }()
	served := make(chan struct{})
	go func() { defer close(served); _ = e.peerServer().Run(ctx, listener) }()
	defer func() { cancel(); <-ended; <-served }()
	e.coordinator.TakeOwnership(3, nil)
	size := resource.Amount{MilliProcessors: 1000, MemoryBytes: 1 << 20}
	report := messenger.Report{
		VM: "127.0.0.1:2", Generation: "g", Sequence: 1, Epoch: 3, Session: 1, SentMS: 5, Incarnation: 7, EndpointID: "i", Service: "s", Rack: "r", Labels: []string{"a"},
		Capacity: resource.Amount{MilliProcessors: 64000, MemoryBytes: 1 << 30}, State: messenger.VMUp, Listed: true,
		Runs:            []messenger.Run{{Task: "j.0.0.1", Number: 1, Checkpoint: "c", Progress: 5, LatencyOrUsage: 3}},
		UnreadableTasks: []string{"j.0.0.2"}, Results: []messenger.RunResult{{Sequence: 1, Task: "j.0.0.0", Number: 1, Outcome: messenger.RunDone, Checkpoint: "c"}},
	}
	request := messenger.JobRequest{
		Job: job.Job{ID: "j", Queue: "q", Payload: "p", Occurrences: 1, Steps: []job.Step{
			{TaskCount: 3, Size: size, Estimate: time.Second}, {TaskCount: 2, Size: size, After: []int{0}, LongRunning: true},
		}},
		ID: "j", Queue: "q", Version: 1,
	}
	ping := messenger.Ping{
		Address: "127.0.0.1:3", Epoch: 3, Owner: address, StoreAge: time.Second, Version: 1, Weight: 1, CongestionTime: time.Second,
		Peers: []messenger.RelayedEntry{{Address: "127.0.0.1:4", Weight: 1, Age: time.Second, Available: true}},
	}
	client := &peer.Client{Address: address}
	defer client.Close()
	call := func(method string, params any) error {
		callCtx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		var response json.RawMessage
		return client.Call(callCtx, method, params, &response)
	}
	for method, message := range map[string]any{
		messenger.MethodReport: report, messenger.MethodPing: ping, messenger.MethodSubmit: request, messenger.MethodState: request, messenger.MethodCancel: request,
		messenger.MethodCount: request, messenger.MethodExplain: request, messenger.MethodConfiguration: struct{}{}, "unknown": request,
	} {
		_ = call(messenger.MethodReport, report)
		_ = call(method, message)
		for n, variant := range mutations(decoded(t, message)) {
			_ = call(method, variant)
			if n%50 == 0 {
				e.coordinator.PlanOnce(ctx)
				e.coordinator.Tick()
			}
		}
	}
	if err := call(messenger.MethodPing, ping); err != nil {
		t.Error(fmt.Errorf("the entry does not respond any more: %w", err))
	}
}
