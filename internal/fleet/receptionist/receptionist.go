// Package receptionist takes callers' requests at any entry and brings them to the owner of the jobs.
package receptionist

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"bamboohook/internal/fleet/messenger"
	"bamboohook/internal/fleet/meter"
	"bamboohook/internal/fleet/sleeper"
)

const (
	// attemptTimeout bounds one call to the owner, after which the owner of that time is asked.
	attemptTimeout = 1400 * time.Millisecond
	retryPause     = 20 * time.Millisecond
	// patience is how long a request waits for an owner: a claim takes about half of it.
	patience = 1500 * time.Millisecond
	// storeLost is the age of the last contact with the store from which no claim can succeed soon.
	storeLost = 2 * time.Second
	// retryAfter is when a caller may come again while there is no owner.
	retryAfter = 1500 * time.Millisecond
)

type (
	// Owner is the local part of the owner's work.
	LocalOwner interface {
		Submit(ctx context.Context, call messenger.JobRequest) messenger.JobResponse
		State(ctx context.Context, call messenger.JobRequest) messenger.JobResponse
		Cancel(ctx context.Context, call messenger.JobRequest) messenger.JobResponse
		Count(ctx context.Context, call messenger.JobRequest) messenger.JobResponse
	}

	// Peers calls other entries.
	Peers interface {
		// Call fails with sent false if the call certainly did not arrive.
		Call(ctx context.Context, entry, method string, call messenger.JobRequest) (answer messenger.JobResponse, sent bool, err error)
	}

	// Owners knows who owns the jobs.
	Ownership interface {
		Owner() (string, uint64)
		Relay() string
		StoreAge() time.Duration
	}

	// Clock tells the time.
	Clock interface {
		Now() time.Time
	}

	// Receptionist is one entry's desk. Set the exported fields before use. Concurrent use is safe.
	Receptionist struct {
		Address   string
		Local     LocalOwner
		Peers     Peers
		Ownership Ownership
		Clock     Clock
		Log       zerolog.Logger
		Meter     *meter.Meter
	}
)

// Call carries the call to the owner, and answers before ctx ends. An answer that says that nothing was done is true.
func (r *Receptionist) Handle(ctx context.Context, method string, call messenger.JobRequest) messenger.JobResponse {
	begun := r.Clock.Now()
	answer := r.call(ctx, method, call, begun)
	r.Meter.Count("calls-" + method + "-" + answer.Outcome)
	r.Meter.Observe("call-"+method, r.Clock.Now().Sub(begun))
	return answer
}

func (r *Receptionist) call(ctx context.Context, method string, call messenger.JobRequest, begun time.Time) messenger.JobResponse {
	sent := false
	for ctx.Err() == nil {
		answer, arrived := r.try(ctx, method, call)
		sent = sent || arrived
		if answer.Outcome != messenger.OutcomeNotOwner {
			return answer
		}
		if call.Relayed {
			return answer
		}
		if owner, _ := r.Ownership.Owner(); owner == "" || r.Clock.Now().Sub(begun) > patience {
			if r.Clock.Now().Sub(begun) > patience || r.Ownership.StoreAge() > storeLost {
				break
			}
		}
		sleeper.Sleep(ctx, retryPause)
	}
	answer := messenger.JobResponse{Outcome: messenger.OutcomeNotRun, Reason: "no owner", RetryAfter: retryAfter}
	if sent {
		answer = messenger.JobResponse{Outcome: messenger.OutcomeUnknown, Reason: "owner did not answer"}
	}
	owner, epoch := r.Ownership.Owner()
	r.Log.Info().Str("method", method).Str("job", id(call)).Str("owner", owner).Uint64("epoch", epoch).
		Dur("after", r.Clock.Now().Sub(begun)).Str("outcome", answer.Outcome).Msg("call given up")
	return answer
}

// try asks the present owner, and reports whether the call may have arrived without an answer.
func (r *Receptionist) try(ctx context.Context, method string, call messenger.JobRequest) (messenger.JobResponse, bool) {
	none := messenger.JobResponse{Outcome: messenger.OutcomeNotOwner}
	target, _ := r.Ownership.Owner()
	switch {
	case target == "":
		return none, false
	case target == r.Address:
		return r.HandleLocally(ctx, method, call), false
	case call.Relayed:
		return r.forward(ctx, target, method, call)
	}
	if relay := r.Ownership.Relay(); relay != "" {
		target, call.Relayed = relay, true
	}
	return r.forward(ctx, target, method, call)
}

func (r *Receptionist) forward(ctx context.Context, target, method string, call messenger.JobRequest) (messenger.JobResponse, bool) {
	attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	answer, sent, err := r.Peers.Call(attempt, target, method, call)
	if err != nil {
		r.Log.Warn().Err(err).Str("method", method).Str("job", id(call)).Str("entry", target).Bool("sent", sent).Msg("entry did not answer")
		return messenger.JobResponse{Outcome: messenger.OutcomeNotOwner}, sent
	}
	return answer, false
}

// Answer carries the call out here, which only the owner can.
func (r *Receptionist) HandleLocally(ctx context.Context, method string, call messenger.JobRequest) messenger.JobResponse {
	switch method {
	case messenger.MethodSubmit:
		return r.Local.Submit(ctx, call)
	case messenger.MethodState:
		return r.Local.State(ctx, call)
	case messenger.MethodCancel:
		return r.Local.Cancel(ctx, call)
	case messenger.MethodCount:
		return r.Local.Count(ctx, call)
	}
	return messenger.JobResponse{Outcome: messenger.OutcomeInvalid, Reason: "unknown method " + method}
}

func id(call messenger.JobRequest) string {
	if call.ID != "" {
		return call.ID
	}
	return call.Job.ID
}
