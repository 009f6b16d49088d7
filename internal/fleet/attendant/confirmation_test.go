package attendant_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"bamboohook/internal/fleet/attendant"
	"bamboohook/internal/fleet/messenger"
	"bamboohook/resource"
)

// Guards against a new agent process that executes starts of a former owner, and against one that refuses starts although it is proved that its
// predecessor cannot have reported to a later owner. One entry, which may be a later owner, is silent. The proof counts only in messages of the present
// owner to this process.
func TestStartsAreRefusedUntilTheOwnerIsConfirmed(t *testing.T) {
	const (
		epoch   = 4
		session = 7
		// refusal is the time for which a former owner may be unaware of its successor.
		refusal = 2 * time.Second
	)
	for name, test := range map[string]struct {
		// confirmsReports makes the responses to reports contain the proof. change changes the orders.
		confirmsReports bool
		change          func(o *messenger.Orders)
		reason          string
	}{
		"no proof":                              {reason: attendant.ReasonEntrySilent},
		"proof in the response to a report":     {confirmsReports: true},
		"proof in the orders":                   {change: func(o *messenger.Orders) { o.OwnerConfirmed = true }},
		"proof for another agent process":       {change: func(o *messenger.Orders) { o.OwnerConfirmed = true; o.Session-- }, reason: attendant.ReasonOtherSession},
		"proof of an owner of an earlier epoch": {change: func(o *messenger.Orders) { o.OwnerConfirmed = true; o.Epoch-- }, reason: attendant.ReasonOlderEpoch},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newEndpoint()
				var mutex sync.Mutex
				var last messenger.Report
				lastReport := func() messenger.Report {
					mutex.Lock()
					defer mutex.Unlock()
					return last
				}
				a := &attendant.Attendant{
					Address: "vm", Generation: "g", Endpoint: e, Clock: virtualClock{}, Log: zerolog.Nop(),
					LeaseDurations: attendant.LeaseDurations{Grant: 3 * time.Second, Run: 3 * time.Second}, Seeds: []string{"owner", "silent"},
					Reporter: reporterFunc(func(entry string, r messenger.Report) (messenger.ReportResponse, error) {
						if entry == "silent" {
							return messenger.ReportResponse{}, errors.New("no response")
						}
						mutex.Lock()
						defer mutex.Unlock()
						last = r
						return messenger.ReportResponse{
							Owner: "owner", Epoch: epoch, Session: session, Granted: true, Incarnation: r.Incarnation, OwnerConfirmed: test.confirmsReports && r.Session == session,
						}, nil
					}),
				}
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan struct{})
				startedAt := time.Now()
				go func() { defer close(ended); _ = a.Run(ctx) }()
				defer func() { cancel(); <-ended }()
				time.Sleep(time.Millisecond)
				a.HandleHeartbeat(attendant.Heartbeat{
					EndpointID: "e", Incarnation: e.incarnation, Sequence: 1, Service: "s", Capacity: resource.Amount{MilliProcessors: 1000, MemoryBytes: 100},
				})
				time.Sleep(time.Second)
				if refused := lastReport().StartsRefusedFor; test.confirmsReports != (refused == 0) || refused > refusal {
					t.Errorf("the last report says that starts are refused for %v", refused)
				}
				send := func(number int, change func(o *messenger.Orders)) string {
					o := messenger.Orders{
						Epoch: epoch, Owner: "owner", Session: session, Incarnation: e.incarnation, ReportSentMS: lastReport().SentMS,
						Starts: []messenger.Start{{Task: "a.0.0.0", Number: number, Size: resource.Amount{MilliProcessors: 600, MemoryBytes: 60}}},
					}
					if change != nil {
						change(&o)
					}
					return a.HandleOrders(ctx, o).Reason
				}
				if reason := send(1, test.change); reason != test.reason {
					t.Errorf("the orders are rejected with the reason %q", reason)
				}
				if started := len(e.started); (started == 1) != (test.reason == "") {
					t.Errorf("%d runs were started", started)
				}
				time.Sleep(time.Until(startedAt.Add(refusal)))
				if reason := send(2, nil); reason != "" {
					t.Errorf("after the refusal, orders are rejected with the reason %q", reason)
				}
				if refused := lastReport().StartsRefusedFor; refused > refusal-time.Second {
					t.Errorf("a later report says that starts are refused for %v", refused)
				}
			})
		})
	}
}
