package caller_test

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"testing"
	"time"

	"bamboohook/internal/fleet/caller"
	"bamboohook/internal/fleet/messenger"
	"bamboohook/internal/peer"
)

const (
	slowJob  = "slow"
	otherJob = "other"
	quickJob = "quick"
	// slowTimeout is the deadline of the slow call.
	slowTimeout = 2 * time.Second
)

// Guards against calls that lose their responses because another call on the same connection takes too long or is given up by its caller: the
// outcome of a submission is unknown then, although the owner has accepted it.
func TestSlowCallDoesNotEndOthers(t *testing.T) {
	for name, cancelled := range map[string]bool{"the slow call reaches its deadline": false, "the slow call is given up": true} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			release, received := make(chan struct{}), make(chan string, 2)
			server := &peer.Server{}
			server.Handle(messenger.MethodSubmit, func(_ context.Context, params json.RawMessage) (any, error) {
				var request messenger.JobRequest
				if err := json.Unmarshal(params, &request); err != nil {
					return nil, err
				}
				if request.ID != quickJob {
					received <- request.ID
					<-release
				}
				return messenger.JobResponse{Outcome: messenger.OutcomeDone}, nil
			})
			serverCtx, stop := context.WithCancel(context.Background())
			ended := make(chan struct{})
			go func() { defer close(ended); _ = server.Run(serverCtx, listener) }()
			client := &caller.Client{}
			send := func(ctx context.Context, id string) error {
				response, _, err := client.SendJobRequest(ctx, listener.Addr().String(), messenger.MethodSubmit, messenger.JobRequest{ID: id})
				if err == nil && response.Outcome != messenger.OutcomeDone {
					err = errors.New(response.Outcome)
				}
				return err
			}
			long, endLong := context.WithTimeout(context.Background(), 10*time.Second)
			defer endLong()
			other := make(chan error, 1)
			go func() { other <- send(long, otherJob) }()
			short, endShort := context.WithTimeout(context.Background(), slowTimeout)
			defer endShort()
			slow := make(chan error, 1)
			go func() { slow <- send(short, slowJob) }()
			// Both calls must have been sent before the quick one, and the quick one must end before the deadline of the slow one.
			<-received
			<-received
			if err := send(long, quickJob); err != nil {
				t.Errorf("the quick call has failed: %v", err)
			}
			if cancelled {
				endShort()
			}
			if err := <-slow; err == nil {
				t.Error("the slow call has not failed")
			}
			time.Sleep(50 * time.Millisecond)
			close(release)
			if err := <-other; err != nil {
				t.Errorf("the other call has failed: %v", err)
			}
			stop()
			<-ended
		})
	}
}

// Guards against a connection that is kept although the peer has disappeared, so that all later calls fail too.
func TestConnectionToSilentPeerIsReplaced(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	accepted := make(chan net.Conn, 2)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	client := &caller.Client{}
	for range 2 {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		if _, _, err := client.Ping(ctx, listener.Addr().String(), messenger.Ping{}); err == nil {
			t.Error("a call without a response has succeeded")
		}
		cancel()
		select {
		case conn := <-accepted:
			defer func() { _ = conn.Close() }()
		case <-time.After(time.Second):
			t.Error("the second call has used the connection of the first one")
		}
	}
}
