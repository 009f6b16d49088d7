package receptionist_test

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"bamboohook/internal/boottimer"
	"bamboohook/internal/fleet/messenger"
	"bamboohook/internal/fleet/receptionist"
)

// callResult is the result of one call to the owner. If failed is true, there is no response, and sent is false if the request was
// certainly not sent. mayHaveEffect is the field MayHaveEffect of the response.
type callResult struct {
	outcome       string
	sent          bool
	failed        bool
	mayHaveEffect bool
}

// fakeOwner implements LocalOwner, PeerClient and Ownership. Each call returns the next of the results, or the last one if there is no other.
// targets and relayed contain the called entry and the Relayed field of each forwarded request.
type fakeOwner struct {
	owner    string
	relay    string
	storeAge time.Duration
	results  []callResult
	targets  []string
	relayed  []bool
}

// replacedOwner is an owner that does not respond and is replaced by one that does.
type replacedOwner struct {
	fakeOwner
	replaced atomic.Bool
}

func (o *replacedOwner) Owner() (string, uint64) {
	if o.replaced.Load() {
		return "next", 2
	}
	return "silent", 1
}

func (o *replacedOwner) SendJobRequest(ctx context.Context, entry, _ string, _ messenger.JobRequest) (messenger.JobResponse, bool, error) {
	if entry == "silent" {
		<-ctx.Done()
		return messenger.JobResponse{}, true, ctx.Err()
	}
	return messenger.JobResponse{Outcome: messenger.OutcomeDone}, true, nil
}

func (o *fakeOwner) Owner() (string, uint64) { return o.owner, 1 }
func (o *fakeOwner) Relay() string           { return o.relay }
func (o *fakeOwner) StoreAge() time.Duration { return o.storeAge }
func (o *fakeOwner) RecordOwnerCall(string, bool) {
}

func (o *fakeOwner) nextResult() callResult {
	if len(o.results) == 0 {
		return callResult{outcome: messenger.OutcomeDone}
	}
	s := o.results[0]
	if len(o.results) > 1 {
		o.results = o.results[1:]
	}
	return s
}

func (o *fakeOwner) SendJobRequest(_ context.Context, entry, _ string, request messenger.JobRequest) (messenger.JobResponse, bool, error) {
	s := o.nextResult()
	o.targets, o.relayed = append(o.targets, entry), append(o.relayed, request.Relayed)
	if s.failed {
		return messenger.JobResponse{}, s.sent, eris.New("no response")
	}
	return messenger.JobResponse{Outcome: s.outcome, MayHaveEffect: s.mayHaveEffect}, true, nil
}

func (o *fakeOwner) respond() messenger.JobResponse {
	s := o.nextResult()
	return messenger.JobResponse{Outcome: s.outcome, MayHaveEffect: s.mayHaveEffect}
}

func (o *fakeOwner) Submit(context.Context, messenger.JobRequest) messenger.JobResponse {
	return o.respond()
}

func (o *fakeOwner) JobState(context.Context, messenger.JobRequest) messenger.JobResponse {
	return o.respond()
}

func (o *fakeOwner) Cancel(context.Context, messenger.JobRequest) messenger.JobResponse {
	return o.respond()
}

func (o *fakeOwner) Explain(context.Context, messenger.JobRequest) messenger.JobResponse {
	return o.respond()
}

func (o *fakeOwner) CountQueuedJobs(context.Context, messenger.JobRequest) messenger.JobResponse {
	return o.respond()
}

var _ = Describe("Receptionist", func() {
	for name, c := range map[string]struct {
		owner       fakeOwner
		request     messenger.JobRequest
		want        string
		maxDuration time.Duration
	}{
		"the response of a local owner":  {owner: fakeOwner{owner: "me"}, want: messenger.OutcomeDone},
		"the response of a remote owner": {owner: fakeOwner{owner: "other"}, want: messenger.OutcomeDone},
		"the response of a new owner after a change of the owner": {
			owner: fakeOwner{owner: "other", results: []callResult{{outcome: messenger.OutcomeNotOwner}, {outcome: messenger.OutcomeDone}}},
			want:  messenger.OutcomeDone,
		},
		"the owner's rejection": {
			owner: fakeOwner{owner: "other", results: []callResult{{outcome: messenger.OutcomeNotExecuted}}},
			want:  messenger.OutcomeNotExecuted,
		},
		"the response to a retry after a lost response": {
			owner: fakeOwner{owner: "other", results: []callResult{{failed: true, sent: true}, {outcome: messenger.OutcomeDone}}},
			want:  messenger.OutcomeDone,
		},
		"an unknown outcome if all responses are lost": {
			owner: fakeOwner{owner: "other", results: []callResult{{failed: true, sent: true}}},
			want:  messenger.OutcomeUnknown,
		},
		"a rejection if the owner can't be reached": {
			owner: fakeOwner{owner: "other", results: []callResult{{failed: true}}},
			want:  messenger.OutcomeNotExecuted,
		},
		"a rejection at once while there is no owner and the store is unavailable": {
			owner: fakeOwner{storeAge: 5 * time.Second},
			want:  messenger.OutcomeNotExecuted, maxDuration: 200 * time.Millisecond,
		},
		"a rejection if no owner appears while the request waits": {owner: fakeOwner{}, want: messenger.OutcomeNotExecuted},
		"the owner's response to a relayed request": {
			owner: fakeOwner{owner: "other"}, request: messenger.JobRequest{Relayed: true},
			want: messenger.OutcomeDone,
		},
		// The next cases guard against a caller that hears that its job never runs because a repeat was refused, while the owner may still
		// accept the first copy, which got no response.
		"an unknown outcome if the owner refuses the repeat of a request without a response": {
			owner: fakeOwner{owner: "other", results: []callResult{{failed: true, sent: true}, {outcome: messenger.OutcomeNotExecuted}}},
			want:  messenger.OutcomeUnknown,
		},
		"an unknown outcome if the owner is overloaded at the repeat of a request without a response": {
			owner: fakeOwner{owner: "other", results: []callResult{{failed: true, sent: true}, {outcome: messenger.OutcomeOverload}}},
			want:  messenger.OutcomeUnknown,
		},
		"an unknown outcome if the repeat of a request without a response is invalid": {
			owner: fakeOwner{owner: "other", results: []callResult{{failed: true, sent: true}, {outcome: messenger.OutcomeInvalid}}},
			want:  messenger.OutcomeUnknown,
		},
		"an unknown outcome if a later copy is certainly not sent and the last one is refused": {
			owner: fakeOwner{owner: "other", results: []callResult{{failed: true, sent: true}, {failed: true}, {outcome: messenger.OutcomeNotExecuted}}},
			want:  messenger.OutcomeUnknown,
		},
		"the owner's rejection after a copy that was certainly not sent": {
			owner: fakeOwner{owner: "other", results: []callResult{{failed: true}, {outcome: messenger.OutcomeNotExecuted}}},
			want:  messenger.OutcomeNotExecuted,
		},
		"the owner's statement that there is no such job after a lost response": {
			owner: fakeOwner{owner: "other", results: []callResult{{failed: true, sent: true}, {outcome: messenger.OutcomeNotFound}}},
			want:  messenger.OutcomeNotFound,
		},
		// The next cases guard against a caller that hears that its job never runs because the owner has given up the ownership, although the
		// owner may have stored the job before.
		"an unknown outcome if an owner that gave up may have executed the request and no other answers": {
			owner: fakeOwner{owner: "other", results: []callResult{{outcome: messenger.OutcomeNotOwner, mayHaveEffect: true}}},
			want:  messenger.OutcomeUnknown,
		},
		"an unknown outcome if this entry, which gave up, may have executed the request and no other answers": {
			owner: fakeOwner{owner: "me", results: []callResult{{outcome: messenger.OutcomeNotOwner, mayHaveEffect: true}}},
			want:  messenger.OutcomeUnknown,
		},
		"an unknown outcome if an owner that gave up may have executed the request and the next one refuses it": {
			owner: fakeOwner{owner: "other", results: []callResult{{outcome: messenger.OutcomeNotOwner, mayHaveEffect: true}, {outcome: messenger.OutcomeNotExecuted}}},
			want:  messenger.OutcomeUnknown,
		},
		"the response of the next owner if it knows that the request was executed": {
			owner: fakeOwner{owner: "other", results: []callResult{{outcome: messenger.OutcomeNotOwner, mayHaveEffect: true}, {outcome: messenger.OutcomeDone}}},
			want:  messenger.OutcomeDone,
		},
		"the outcome not-owner for a relayed request if no owner is known": {
			owner: fakeOwner{}, request: messenger.JobRequest{Relayed: true},
			want: messenger.OutcomeNotOwner,
		},
	} {
		It("returns "+name, func() {
			o := c.owner
			r := &receptionist.Receptionist{Address: "me", LocalOwner: &o, PeerClient: &o, Ownership: &o, Clock: boottimer.Clock{}, Log: zerolog.Nop()}
			ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
			defer cancel()
			started := time.Now()
			response := r.Handle(ctx, messenger.MethodSubmit, c.request)
			Expect(response.Outcome).To(Equal(c.want))
			if response.Outcome == messenger.OutcomeNotExecuted && len(o.results) == 0 {
				Expect(response.RetryAfter).NotTo(BeZero())
			}
			if c.maxDuration > 0 {
				Expect(time.Since(started)).To(BeNumerically("<", c.maxDuration))
			}
		})
	}

	// Guards against callers that wait for the time-out of a call to an owner whose machine has ended, although the next owner is known.
	It("gives the call to a silent owner up as soon as another one is known", func() {
		o := &replacedOwner{}
		r := &receptionist.Receptionist{Address: "me", LocalOwner: o, PeerClient: o, Ownership: o, Clock: boottimer.Clock{}, Log: zerolog.Nop()}
		time.AfterFunc(100*time.Millisecond, func() { o.replaced.Store(true) })
		started := time.Now()
		Expect(r.Handle(context.Background(), messenger.MethodSubmit, messenger.JobRequest{}).Outcome).To(Equal(messenger.OutcomeDone))
		Expect(time.Since(started)).To(BeNumerically("<", time.Second))
	})

	// Guards against callers that come back long after the end of an election.
	It("asks callers to come back soon if there is no owner while the store responds", func() {
		o := &fakeOwner{}
		r := &receptionist.Receptionist{Address: "me", LocalOwner: o, PeerClient: o, Ownership: o, Clock: boottimer.Clock{}, Log: zerolog.Nop()}
		Expect(r.Handle(context.Background(), messenger.MethodSubmit, messenger.JobRequest{}).RetryAfter).To(Equal(time.Second))
	})

	It("sends a request through a relay if the owner can't be reached directly", func() {
		o := &fakeOwner{owner: "other", relay: "third"}
		r := &receptionist.Receptionist{Address: "me", LocalOwner: o, PeerClient: o, Ownership: o, Clock: boottimer.Clock{}, Log: zerolog.Nop()}
		Expect(r.Handle(context.Background(), messenger.MethodState, messenger.JobRequest{ID: "a"}).Outcome).To(Equal(messenger.OutcomeDone))
		Expect(o.targets).To(Equal([]string{"third"}))
		Expect(o.relayed).To(Equal([]bool{true}))
	})

	// Guards against an entry that counts a request as not executed although the relay has sent it to the owner without a response.
	for name, c := range map[string]struct {
		result callResult
		want   bool
	}{
		"may have had an effect if the relay has sent it without a response":      {callResult{failed: true, sent: true}, true},
		"may have had an effect if the owner that gave up says so":                {callResult{outcome: messenger.OutcomeNotOwner, mayHaveEffect: true}, true},
		"has had no effect if the relay has certainly not sent it":                {callResult{failed: true}, false},
		"has had no effect if the receiver is not the owner and does not keep it": {callResult{outcome: messenger.OutcomeNotOwner}, false},
	} {
		It("says that a relayed request "+name, func() {
			o := &fakeOwner{owner: "other", results: []callResult{c.result}}
			r := &receptionist.Receptionist{Address: "me", LocalOwner: o, PeerClient: o, Ownership: o, Clock: boottimer.Clock{}, Log: zerolog.Nop()}
			response := r.Handle(context.Background(), messenger.MethodSubmit, messenger.JobRequest{Relayed: true})
			Expect(response.Outcome).To(Equal(messenger.OutcomeNotOwner))
			Expect(response.MayHaveEffect).To(Equal(c.want))
		})
	}

	It("rejects unknown methods", func() {
		o := &fakeOwner{owner: "me"}
		r := &receptionist.Receptionist{Address: "me", LocalOwner: o, PeerClient: o, Ownership: o, Clock: boottimer.Clock{}, Log: zerolog.Nop()}
		Expect(r.Handle(context.Background(), "other", messenger.JobRequest{}).Outcome).To(Equal(messenger.OutcomeInvalid))
	})

	// Guards against requests that are sent again and again to an owner that does not serve yet, and so fill the links of both entries.
	It("sends a request to an owner that does not serve yet only a few times", func() {
		o := &fakeOwner{owner: "other", results: []callResult{{outcome: messenger.OutcomeNotOwner}}}
		r := &receptionist.Receptionist{Address: "me", LocalOwner: o, PeerClient: o, Ownership: o, Clock: boottimer.Clock{}, Log: zerolog.Nop()}
		Expect(r.Handle(context.Background(), messenger.MethodSubmit, messenger.JobRequest{}).Outcome).To(Equal(messenger.OutcomeNotExecuted))
		Expect(len(o.targets)).To(And(BeNumerically(">=", 8), BeNumerically("<=", 16)))
	})
})
