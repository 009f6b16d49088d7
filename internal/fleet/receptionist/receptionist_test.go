package receptionist_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"bamboohook/internal/boottimer"
	"bamboohook/internal/fleet/messenger"
	"bamboohook/internal/fleet/receptionist"
)

// step is how one attempt at an owner goes.
type step struct {
	outcome string
	sent    bool
	failed  bool
}

// world is the owner, here and elsewhere, and what is known of it.
type world struct {
	owner    string
	relay    string
	storeAge time.Duration
	steps    []step
	targets  []string
	relayed  []bool
}

func (w *world) Owner() (string, uint64) { return w.owner, 1 }
func (w *world) Relay() string           { return w.relay }
func (w *world) StoreAge() time.Duration { return w.storeAge }
func (w *world) next() step {
	if len(w.steps) == 0 {
		return step{outcome: messenger.OutcomeDone}
	}
	s := w.steps[0]
	if len(w.steps) > 1 {
		w.steps = w.steps[1:]
	}
	return s
}

func (w *world) Call(_ context.Context, entry, _ string, call messenger.JobRequest) (messenger.JobResponse, bool, error) {
	s := w.next()
	w.targets, w.relayed = append(w.targets, entry), append(w.relayed, call.Relayed)
	if s.failed {
		return messenger.JobResponse{}, s.sent, eris.New("no answer")
	}
	return messenger.JobResponse{Outcome: s.outcome}, true, nil
}

func (w *world) answer() messenger.JobResponse {
	return messenger.JobResponse{Outcome: w.next().outcome}
}

func (w *world) Submit(context.Context, messenger.JobRequest) messenger.JobResponse {
	return w.answer()
}

func (w *world) State(context.Context, messenger.JobRequest) messenger.JobResponse { return w.answer() }

func (w *world) Cancel(context.Context, messenger.JobRequest) messenger.JobResponse {
	return w.answer()
}

func (w *world) Count(context.Context, messenger.JobRequest) messenger.JobResponse { return w.answer() }

var _ = Describe("Receptionist", func() {
	for name, c := range map[string]struct {
		w    world
		call messenger.JobRequest
		want string
		most time.Duration
	}{
		"the owner here":                        {w: world{owner: "me"}, want: messenger.OutcomeDone},
		"the owner elsewhere":                   {w: world{owner: "other"}, want: messenger.OutcomeDone},
		"an owner that changes":                 {w: world{owner: "other", steps: []step{{outcome: messenger.OutcomeNotOwner}, {outcome: messenger.OutcomeDone}}}, want: messenger.OutcomeDone},
		"a refusal of the owner":                {w: world{owner: "other", steps: []step{{outcome: messenger.OutcomeNotRun}}}, want: messenger.OutcomeNotRun},
		"a lost answer, then an answer":         {w: world{owner: "other", steps: []step{{failed: true, sent: true}, {outcome: messenger.OutcomeDone}}}, want: messenger.OutcomeDone},
		"lost answers only":                     {w: world{owner: "other", steps: []step{{failed: true, sent: true}}}, want: messenger.OutcomeUnknown},
		"an owner that cannot be reached":       {w: world{owner: "other", steps: []step{{failed: true}}}, want: messenger.OutcomeNotRun},
		"no owner while the store is lost":      {w: world{storeAge: 5 * time.Second}, want: messenger.OutcomeNotRun, most: 200 * time.Millisecond},
		"no owner for long":                     {w: world{}, want: messenger.OutcomeNotRun},
		"a call passed on by another entry":     {w: world{owner: "other"}, call: messenger.JobRequest{Relayed: true}, want: messenger.OutcomeDone},
		"a call passed on that goes no further": {w: world{}, call: messenger.JobRequest{Relayed: true}, want: messenger.OutcomeNotOwner},
	} {
		It("answers with "+name, func() {
			w := c.w
			r := &receptionist.Receptionist{Address: "me", Local: &w, Peers: &w, Ownership: &w, Clock: boottimer.Clock{}, Log: zerolog.Nop()}
			ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
			defer cancel()
			begun := time.Now()
			answer := r.Handle(ctx, messenger.MethodSubmit, c.call)
			Expect(answer.Outcome).To(Equal(c.want))
			if answer.Outcome == messenger.OutcomeNotRun && len(w.steps) == 0 {
				Expect(answer.RetryAfter).NotTo(BeZero())
			}
			if c.most > 0 {
				Expect(time.Since(begun)).To(BeNumerically("<", c.most))
			}
		})
	}

	It("goes over a relay to an owner that it does not reach", func() {
		w := &world{owner: "other", relay: "third"}
		r := &receptionist.Receptionist{Address: "me", Local: w, Peers: w, Ownership: w, Clock: boottimer.Clock{}, Log: zerolog.Nop()}
		Expect(r.Handle(context.Background(), messenger.MethodState, messenger.JobRequest{ID: "a"}).Outcome).To(Equal(messenger.OutcomeDone))
		Expect(w.targets).To(Equal([]string{"third"}))
		Expect(w.relayed).To(Equal([]bool{true}))
	})

	It("knows no other methods", func() {
		w := &world{owner: "me"}
		r := &receptionist.Receptionist{Address: "me", Local: w, Peers: w, Ownership: w, Clock: boottimer.Clock{}, Log: zerolog.Nop()}
		Expect(r.Handle(context.Background(), "other", messenger.JobRequest{}).Outcome).To(Equal(messenger.OutcomeInvalid))
	})
})
