// Package receptionist routes callers' requests about batch jobs, which arrive at any entry, to the entry that owns the jobs.
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
	// attemptTimeout bounds one call to the owner. After it, the request is sent to the entry that is the owner then.
	attemptTimeout = 1400 * time.Millisecond
	// retryPause is the time until a request is sent again after a call without success. It doubles with each call to the same owner, up to
	// maxRetryPause, because a request with a large job sent again and again fills the links of both entries.
	retryPause    = 20 * time.Millisecond
	maxRetryPause = 160 * time.Millisecond
	// ownerWaitTimeout is how long a request waits for an entry that responds as the owner. An election takes about half of it.
	ownerWaitTimeout = 1500 * time.Millisecond
	// storeUnavailableAge is the time since the last contact with the store after which no election of an owner is likely to succeed
	// soon.
	storeUnavailableAge = 2 * time.Second
	// noOwnerRetryAfter is the delay after which callers are asked to repeat a request if there is no owner and the store does not respond.
	noOwnerRetryAfter = 1500 * time.Millisecond
	// electionRetryAfter is that delay if the store responds. An election has begun before the request was given up and ends soon. Callers get whole
	// seconds, so 1.5 s would become 2 s.
	electionRetryAfter = time.Second
)

type (
	// LocalOwner executes requests in this process. It responds with OutcomeNotOwner while this process is not the owner.
	LocalOwner interface {
		Submit(ctx context.Context, request messenger.JobRequest) messenger.JobResponse
		JobState(ctx context.Context, request messenger.JobRequest) messenger.JobResponse
		Cancel(ctx context.Context, request messenger.JobRequest) messenger.JobResponse
		CountQueuedJobs(ctx context.Context, request messenger.JobRequest) messenger.JobResponse
		Explain(ctx context.Context, request messenger.JobRequest) messenger.JobResponse
	}

	// PeerClient is a client of the other entries.
	PeerClient interface {
		// SendJobRequest sends a request to the entry at the address entry. It returns sent false if the request was certainly not
		// sent.
		SendJobRequest(ctx context.Context, entry, method string, request messenger.JobRequest) (response messenger.JobResponse, sent bool, err error)
	}

	// Ownership provides what this entry knows about the owner of the jobs.
	Ownership interface {
		// Owner returns the address of the owner, or "" if none is known, and the epoch.
		Owner() (string, uint64)
		// Relay returns the address of an entry that reaches the owner if this entry doesn't, or "".
		Relay() string
		// RecordOwnerCall records whether the entry at the address has responded as the owner.
		RecordOwnerCall(address string, responded bool)
		// StoreAge returns the time since the last contact of this entry with the store.
		StoreAge() time.Duration
	}

	// Clock provides the current time.
	Clock interface {
		Now() time.Time
	}

	// Receptionist routes the requests that arrive at one entry, which has the address Address. Set the exported fields before use.
	// Receptionist is safe for concurrent use.
	Receptionist struct {
		Address    string
		LocalOwner LocalOwner
		PeerClient PeerClient
		Ownership  Ownership
		Clock      Clock
		Log        zerolog.Logger
		Meter      *meter.Meter
	}
)

// Handle sends the request to the owner and returns its response, or another response if the owner doesn't respond in time or ctx is done.
// It returns OutcomeNotExecuted, OutcomeOverload or OutcomeInvalid only if no copy of the request that it has sent has an effect, now or later.
func (r *Receptionist) Handle(ctx context.Context, method string, request messenger.JobRequest) messenger.JobResponse {
	startedAt := r.Clock.Now()
	response := r.sendToOwner(ctx, method, request, startedAt)
	r.Meter.Count("calls-" + method + "-" + response.Outcome)
	r.Meter.Observe("call-"+method, r.Clock.Now().Sub(startedAt))
	return response
}

// sendToOwner sends the request to the owner until an owner responds, ctx is done, or it is clear that there is no owner or that the time
// for waiting for one is over.
func (r *Receptionist) sendToOwner(ctx context.Context, method string, request messenger.JobRequest, startedAt time.Time) messenger.JobResponse {
	mayHaveEffect := false
	pause := retryPause
	for ctx.Err() == nil {
		calledOwner, calledEpoch := r.Ownership.Owner()
		response := r.attempt(ctx, method, request)
		mayHaveEffect = mayHaveEffect || response.MayHaveEffect
		if response.Outcome != messenger.OutcomeNotOwner {
			return r.concludeResponse(method, request, response, mayHaveEffect)
		}
		if request.Relayed {
			return response
		}
		if owner, _ := r.Ownership.Owner(); owner == "" || r.Clock.Now().Sub(startedAt) > ownerWaitTimeout {
			if r.Clock.Now().Sub(startedAt) > ownerWaitTimeout || r.Ownership.StoreAge() > storeUnavailableAge {
				break
			}
		}
		r.waitForOwner(ctx, calledOwner, calledEpoch, pause)
		pause = min(2*pause, maxRetryPause)
		if owner, epoch := r.Ownership.Owner(); owner != calledOwner || epoch != calledEpoch {
			pause = retryPause
		}
	}
	response := messenger.JobResponse{Outcome: messenger.OutcomeNotExecuted, Reason: "no owner", RetryAfter: noOwnerRetryAfter}
	if r.Ownership.StoreAge() <= storeUnavailableAge {
		response.RetryAfter = electionRetryAfter
	}
	if mayHaveEffect {
		response = messenger.JobResponse{Outcome: messenger.OutcomeUnknown, Reason: "owner did not answer"}
	}
	owner, epoch := r.Ownership.Owner()
	r.Log.Info().Str("method", method).Str("job", jobID(request)).Str("owner", owner).Uint64("epoch", epoch).
		Dur("after", r.Clock.Now().Sub(startedAt)).Str("outcome", response.Outcome).Msg("job request given up: no owner responded")
	return response
}

// waitForOwner waits until another entry than the one that was called is the owner, at most for the given time.
func (r *Receptionist) waitForOwner(ctx context.Context, calledOwner string, calledEpoch uint64, timeout time.Duration) {
	for ; timeout > 0 && sleeper.Sleep(ctx, min(timeout, retryPause)); timeout -= retryPause {
		if owner, epoch := r.Ownership.Owner(); owner != calledOwner || epoch != calledEpoch {
			return
		}
	}
}

// concludeResponse returns the response to all copies of the request. response is the owner's response to the last one, and mayHaveEffect
// reports whether the owner may still execute an earlier one. The refusal of one copy says nothing about the others, so the outcome is then
// unknown. A done request and a missing job are facts about the job, whichever copy they answer.
func (r *Receptionist) concludeResponse(method string, request messenger.JobRequest, response messenger.JobResponse, mayHaveEffect bool) messenger.JobResponse {
	if !mayHaveEffect || response.Outcome == messenger.OutcomeDone || response.Outcome == messenger.OutcomeNotFound || response.Outcome == messenger.OutcomeUnknown {
		return response
	}
	r.Log.Info().Str("method", method).Str("job", jobID(request)).Str("outcome", response.Outcome).Str("reason", response.Reason).
		Msg("repeat of a job request was refused after a copy without a response; the outcome is unknown")
	return messenger.JobResponse{Outcome: messenger.OutcomeUnknown, Reason: "owner did not answer, and refused the repeat: " + response.Reason}
}

// attempt sends the request to the current owner once, directly or through another entry. If no owner responds, the outcome is
// OutcomeNotOwner, and MayHaveEffect reports whether a receiver may execute the request.
func (r *Receptionist) attempt(ctx context.Context, method string, request messenger.JobRequest) messenger.JobResponse {
	target, epoch := r.Ownership.Owner()
	switch target {
	case "":
		return messenger.JobResponse{Outcome: messenger.OutcomeNotOwner}
	case r.Address:
		return r.HandleLocally(ctx, method, request)
	}
	ctx, stop := r.untilOwnerChanges(ctx, target, epoch)
	defer stop()
	if request.Relayed {
		return r.forwardRequest(ctx, target, method, request)
	}
	if relay := r.Ownership.Relay(); relay != "" {
		target, request.Relayed = relay, true
	}
	return r.forwardRequest(ctx, target, method, request)
}

// untilOwnerChanges returns a context that also ends as soon as another owner is known. A former owner whose machine has ended does not respond, and
// the store refuses what any other former owner writes. The caller must call the returned function.
func (r *Receptionist) untilOwnerChanges(ctx context.Context, owner string, epoch uint64) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	watch := time.AfterFunc(retryPause, func() {
		r.waitForOwner(ctx, owner, epoch, attemptTimeout)
		cancel()
	})
	return ctx, func() {
		watch.Stop()
		cancel()
	}
}

// forwardRequest sends the request to the entry at the address target. If there is no response, it returns OutcomeNotOwner, and MayHaveEffect
// unless the request was certainly not sent.
func (r *Receptionist) forwardRequest(ctx context.Context, target, method string, request messenger.JobRequest) messenger.JobResponse {
	attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	response, sent, err := r.PeerClient.SendJobRequest(attemptCtx, target, method, request)
	if !request.Relayed {
		r.Ownership.RecordOwnerCall(target, err == nil && response.Outcome != messenger.OutcomeNotOwner)
	}
	if err != nil {
		r.Log.Warn().Err(err).Str("method", method).Str("job", jobID(request)).Str("entry", target).Bool("sent", sent).
			Msg("forwarding a job request failed")
		return messenger.JobResponse{Outcome: messenger.OutcomeNotOwner, MayHaveEffect: sent}
	}
	return response
}

// HandleLocally executes the request in this process, without forwarding it to another entry.
func (r *Receptionist) HandleLocally(ctx context.Context, method string, request messenger.JobRequest) messenger.JobResponse {
	switch method {
	case messenger.MethodSubmit:
		return r.LocalOwner.Submit(ctx, request)
	case messenger.MethodState:
		return r.LocalOwner.JobState(ctx, request)
	case messenger.MethodCancel:
		return r.LocalOwner.Cancel(ctx, request)
	case messenger.MethodCount:
		return r.LocalOwner.CountQueuedJobs(ctx, request)
	case messenger.MethodExplain:
		return r.LocalOwner.Explain(ctx, request)
	}
	return messenger.JobResponse{Outcome: messenger.OutcomeInvalid, Reason: "unknown method " + method}
}

// jobID returns the ID of the job that the request is about, or "" if there is none.
func jobID(request messenger.JobRequest) string {
	if request.ID != "" {
		return request.ID
	}
	return request.Job.ID
}
