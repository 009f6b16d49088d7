package peer_test

import (
	"context"
	"encoding/json"
	"net"
	"testing"

	"bamboohook/internal/peer"
)

// row is an element of the parameters of a call, which resembles a run in a report.
type row struct {
	Task   string `json:"task"`
	Number int    `json:"number"`
	Share  int    `json:"share"`
}

// startCaller starts a server and returns a function that sends it a call whose handler returns the parameters without decoding them.
func startCaller(tb testing.TB, rowCount int) func() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	server := &peer.Server{}
	server.Handle("echo", func(_ context.Context, params json.RawMessage) (any, error) { return len(params), nil })
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); _ = server.Run(ctx, listener) }()
	client := &peer.Client{Address: listener.Addr().String()}
	tb.Cleanup(func() { client.Close(); stop(); <-ended })
	encoded, err := json.Marshal(make([]row, rowCount))
	if err != nil {
		tb.Fatal(err)
	}
	return func() {
		var size int
		if err := client.Call(ctx, "echo", json.RawMessage(encoded), &size); err != nil || size != len(encoded) {
			tb.Fatal(size, err)
		}
	}
}

// Guards against a server that decodes and encodes the parameters of each call several times before the handler does: most of the processor time of an
// owner of hundreds of agents.
func TestParametersAreNotDecodedOnTheWay(t *testing.T) {
	const calls, allowedMore = 50, 20
	few, many := startCaller(t, 1), startCaller(t, 1000)
	if a, b := testing.AllocsPerRun(calls, few), testing.AllocsPerRun(calls, many); b > a+allowedMore {
		t.Errorf("%v allocations for a call with 1 row, %v for one with 1000 rows", a, b)
	}
}

// BenchmarkCall measures a call with 20 rows, from the client to the server and back.
func BenchmarkCall(b *testing.B) {
	call := startCaller(b, 20)
	for b.Loop() {
		call()
	}
}
