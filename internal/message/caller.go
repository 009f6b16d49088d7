package message

import (
	"time"

	"bamboohook/resource"
)

// Headers of the caller API and of the request port of an agent.
const (
	HeaderIdempotent = "Bamboohook-Idempotent"
	HeaderKey        = "Bamboohook-Key"
	HeaderTimeout    = "Bamboohook-Timeout"
	HeaderRequestID  = "Bamboohook-Request-Id"
	HeaderAttempt    = "Bamboohook-Attempt"
	HeaderMethod     = "Bamboohook-Method"
	HeaderKind       = "Bamboohook-Kind"
	HeaderOutcome    = "Bamboohook-Outcome"
	HeaderReason     = "Bamboohook-Reason"
	HeaderVM         = "Bamboohook-Vm"
	HeaderInFlight   = "Bamboohook-In-Flight"
)

// Outcomes of a request. OutcomeNotRun is given only with proof that the work did not run.
const (
	OutcomeDone    = "done"
	OutcomeNotRun  = "not-run"
	OutcomeUnknown = "unknown"
)

// Reasons of a refusal or failure.
const (
	ReasonDraining       = "draining"
	ReasonPastDeadline   = "past-deadline"
	ReasonBusy           = "busy"
	ReasonOverload       = "overload"
	ReasonNoEndpoint     = "no-endpoint"
	ReasonUnknownService = "unknown-service"
	ReasonBadRequest     = "bad-request"
	ReasonTooLarge       = "too-large"
	ReasonConnectionLost = "connection-lost"
	ReasonKeyUnknown     = "key-unknown"
	ReasonNotReady       = "not-ready"
	ReasonLogUnavailable = "log-unavailable"
	ReasonCancelled      = "cancelled"
	ReasonUnknownJob     = "unknown-job"
	// ReasonUnknownAttempt is given by an agent that never had the attempt.
	ReasonUnknownAttempt = "unknown-attempt"
)

type (
	// Failure is the body of every error answer of the caller API.
	ErrorResponse struct {
		Outcome string `json:"outcome"`
		Reason  string `json:"reason"`
		Message string `json:"message"`
		// RetryAfterMS is when a repeat is useful, in milliseconds; 0 means that a repeat is not useful.
		RetryAfterMS int64  `json:"retry-after-ms"`
		RequestID    string `json:"request-id"`
	}

	// JobRequest submits a batch job.
	JobRequest struct {
		// ID makes a repeated submission recognisable; the entry chooses one if it is empty.
		ID   string `json:"id,omitempty"`
		Team string `json:"team"`
		// Kind is the kind of work, such as face-build or route-plan.
		Kind  string `json:"kind"`
		Tasks int    `json:"tasks"`
		// Size is declared for each task.
		Size resource.Amount `json:"size"`
		// RunTime is declared for each task.
		RunTime time.Duration `json:"run-time"`
		Payload string        `json:"payload,omitempty"`
	}

	// JobStatus is the state of a job and counts of its tasks by state.
	JobStatus struct {
		ID        string `json:"id"`
		Team      string `json:"team"`
		Kind      string `json:"kind"`
		State     string `json:"state"`
		Tasks     int    `json:"tasks"`
		Waiting   int    `json:"waiting"`
		Running   int    `json:"running"`
		Done      int    `json:"done"`
		Failed    int    `json:"failed"`
		Cancelled int    `json:"cancelled"`
		// Evictions counts evicted attempts.
		Evictions int     `json:"evictions"`
		Progress  float64 `json:"progress"`
		Reason    string  `json:"reason,omitempty"`
	}
)
