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
	ownerWaitTimeout = 1500 * time.Millisecond
	// storeLost is the age of the last contact with the store from which no claim can succeed soon.
	storeUnavailableAge = 2 * time.Second
	// retryAfter is when a caller may come again while there is no owner.
	noOwnerRetryAfter = 1500 * time.Millisecond
)

type (
	// Owner is the local part of the owner's work.
	LocalOwner interface {
		Submit(ctx context.Context, request messenger.JobRequest) messenger.JobResponse
		State(ctx context.Context, request messenger.JobRequest) messenger.JobResponse
		Cancel(ctx context.Context, request messenger.JobRequest) messenger.JobResponse
		Count(ctx context.Context, request messenger.JobRequest) messenger.JobResponse
	}

	// Peers calls other entries.
	Peers interface {
		// Call fails with sent false if the call certainly did not arrive.
		Call(ctx context.Context, entry, method string, request messenger.JobRequest) (response messenger.JobResponse, sent bool, err error)
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
func (r *Receptionist) Handle(ctx context.Context, method string, request messenger.JobRequest) messenger.JobResponse {
	startedAt := r.Clock.Now()
	response := r.handle(ctx, method, request, startedAt)
	r.Meter.Count("calls-" + method + "-" + response.Outcome)
	r.Meter.Observe("call-"+method, r.Clock.Now().Sub(startedAt))
	return response
}

func (r *Receptionist) handle(ctx context.Context, method string, request messenger.JobRequest, startedAt time.Time) messenger.JobResponse {
	sent := false
	for ctx.Err() == nil {
		response, attemptSent := r.attempt(ctx, method, request)
		sent = sent || attemptSent
		if response.Outcome != messenger.OutcomeNotOwner {
			return response
		}
		if request.Relayed {
			return response
		}
		if owner, _ := r.Ownership.Owner(); owner == "" || r.Clock.Now().Sub(startedAt) > ownerWaitTimeout {
			if r.Clock.Now().Sub(startedAt) > ownerWaitTimeout || r.Ownership.StoreAge() > storeUnavailableAge {
				break
			}
		}
		sleeper.Sleep(ctx, retryPause)
	}
	response := messenger.JobResponse{Outcome: messenger.OutcomeNotRun, Reason: "no owner", RetryAfter: noOwnerRetryAfter}
	if sent {
		response = messenger.JobResponse{Outcome: messenger.OutcomeUnknown, Reason: "owner did not answer"}
	}
	owner, epoch := r.Ownership.Owner()
	r.Log.Info().Str("method", method).Str("job", jobID(request)).Str("owner", owner).Uint64("epoch", epoch).
		Dur("after", r.Clock.Now().Sub(startedAt)).Str("outcome", response.Outcome).Msg("call given up")
	return response
}

// try asks the present owner, and reports whether the call may have arrived without an answer.
func (r *Receptionist) attempt(ctx context.Context, method string, request messenger.JobRequest) (messenger.JobResponse, bool) {
	noOwner := messenger.JobResponse{Outcome: messenger.OutcomeNotOwner}
	target, _ := r.Ownership.Owner()
	switch {
	case target == "":
		return noOwner, false
	case target == r.Address:
		return r.HandleLocally(ctx, method, request), false
	case request.Relayed:
		return r.forward(ctx, target, method, request)
	}
	if relay := r.Ownership.Relay(); relay != "" {
		target, request.Relayed = relay, true
	}
	return r.forward(ctx, target, method, request)
}

func (r *Receptionist) forward(ctx context.Context, target, method string, request messenger.JobRequest) (messenger.JobResponse, bool) {
	attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	response, sent, err := r.Peers.Call(attemptCtx, target, method, request)
	if err != nil {
		r.Log.Warn().Err(err).Str("method", method).Str("job", jobID(request)).Str("entry", target).Bool("sent", sent).Msg("entry did not answer")
		return messenger.JobResponse{Outcome: messenger.OutcomeNotOwner}, sent
	}
	return response, false
}

// Answer carries the call out here, which only the owner can.
func (r *Receptionist) HandleLocally(ctx context.Context, method string, request messenger.JobRequest) messenger.JobResponse {
	switch method {
	case messenger.MethodSubmit:
		return r.Local.Submit(ctx, request)
	case messenger.MethodState:
		return r.Local.State(ctx, request)
	case messenger.MethodCancel:
		return r.Local.Cancel(ctx, request)
	case messenger.MethodCount:
		return r.Local.Count(ctx, request)
	}
	return messenger.JobResponse{Outcome: messenger.OutcomeInvalid, Reason: "unknown method " + method}
}

func jobID(request messenger.JobRequest) string {
	if request.ID != "" {
		return request.ID
	}
	return request.Job.ID
}
