// Package receptionist routes callers' requests, which arrive at any entry, to the owner of the jobs.
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
	// attemptTimeout bounds one call to the owner. After it the request is sent to the entry that is the owner by then.
	attemptTimeout = 1400 * time.Millisecond
	retryPause     = 20 * time.Millisecond
	// ownerWaitTimeout is how long a request waits for an owner. An election takes about half of it.
	ownerWaitTimeout = 1500 * time.Millisecond
	// storeUnavailableAge is the age of the last contact with the store above which no election can succeed soon.
	storeUnavailableAge = 2 * time.Second
	// noOwnerRetryAfter is the delay that callers are asked to wait before a retry while there is no owner.
	noOwnerRetryAfter = 1500 * time.Millisecond
)

type (
	// LocalOwner executes requests in this process while it is the owner.
	LocalOwner interface {
		Submit(ctx context.Context, request messenger.JobRequest) messenger.JobResponse
		State(ctx context.Context, request messenger.JobRequest) messenger.JobResponse
		Cancel(ctx context.Context, request messenger.JobRequest) messenger.JobResponse
		Count(ctx context.Context, request messenger.JobRequest) messenger.JobResponse
	}

	// PeerClient is a client of the other entries.
	PeerClient interface {
		// SendJobRequest returns sent false if the request was certainly not sent.
		SendJobRequest(ctx context.Context, entry, method string, request messenger.JobRequest) (response messenger.JobResponse, sent bool, err error)
	}

	// Ownership provides the owner of the jobs and the state of the connections to it and to the store.
	Ownership interface {
		Owner() (string, uint64)
		Relay() string
		StoreAge() time.Duration
	}

	// Clock provides the current time.
	Clock interface {
		Now() time.Time
	}

	// Receptionist routes the requests of one entry. Set the exported fields before use. Receptionist is safe for concurrent use.
	Receptionist struct {
		Address    string
		Local      LocalOwner
		PeerClient PeerClient
		Ownership  Ownership
		Clock      Clock
		Log        zerolog.Logger
		Meter      *meter.Meter
	}
)

// Handle sends the request to the owner and returns a response, at the latest when ctx is done. OutcomeNotExecuted is returned only if the
// request certainly had no effect.
func (r *Receptionist) Handle(ctx context.Context, method string, request messenger.JobRequest) messenger.JobResponse {
	startedAt := r.Clock.Now()
	response := r.sendToOwner(ctx, method, request, startedAt)
	r.Meter.Count("calls-" + method + "-" + response.Outcome)
	r.Meter.Observe("call-"+method, r.Clock.Now().Sub(startedAt))
	return response
}

func (r *Receptionist) sendToOwner(ctx context.Context, method string, request messenger.JobRequest, startedAt time.Time) messenger.JobResponse {
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
	response := messenger.JobResponse{Outcome: messenger.OutcomeNotExecuted, Reason: "no owner", RetryAfter: noOwnerRetryAfter}
	if sent {
		response = messenger.JobResponse{Outcome: messenger.OutcomeUnknown, Reason: "owner did not answer"}
	}
	owner, epoch := r.Ownership.Owner()
	r.Log.Info().Str("method", method).Str("job", jobID(request)).Str("owner", owner).Uint64("epoch", epoch).
		Dur("after", r.Clock.Now().Sub(startedAt)).Str("outcome", response.Outcome).Msg("no owner responded to the job request in time")
	return response
}

// attempt sends the request to the current owner. The second result reports whether the target may have received the request although no
// response arrived.
func (r *Receptionist) attempt(ctx context.Context, method string, request messenger.JobRequest) (messenger.JobResponse, bool) {
	noOwner := messenger.JobResponse{Outcome: messenger.OutcomeNotOwner}
	target, _ := r.Ownership.Owner()
	switch {
	case target == "":
		return noOwner, false
	case target == r.Address:
		return r.HandleLocally(ctx, method, request), false
	case request.Relayed:
		return r.forwardRequest(ctx, target, method, request)
	}
	if relay := r.Ownership.Relay(); relay != "" {
		target, request.Relayed = relay, true
	}
	return r.forwardRequest(ctx, target, method, request)
}

func (r *Receptionist) forwardRequest(ctx context.Context, target, method string, request messenger.JobRequest) (messenger.JobResponse, bool) {
	attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	response, sent, err := r.PeerClient.SendJobRequest(attemptCtx, target, method, request)
	if err != nil {
		r.Log.Warn().Err(err).Str("method", method).Str("job", jobID(request)).Str("entry", target).Bool("sent", sent).
			Msg("forwarding a job request failed")
		return messenger.JobResponse{Outcome: messenger.OutcomeNotOwner}, sent
	}
	return response, false
}

// HandleLocally executes the request in this process, which must be the owner.
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
