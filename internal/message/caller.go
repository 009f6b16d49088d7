package message

import (
	"time"

	"bamboohook/resource"
)

// HTTP headers of the requests and responses between callers and entries and between entries and agents. An entry may
// send a caller's request to agents several times; HeaderAttempt is the number of the attempt, and HeaderMethod the HTTP
// method of the caller's request. HeaderInFlight is the number of requests that are running on the agent's VM.
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

// Outcomes of a request. OutcomeNotRun is returned only if the request is known not to have run. OutcomeUnknown means
// that the request may have run.
const (
	OutcomeDone    = "done"
	OutcomeNotRun  = "not-run"
	OutcomeUnknown = "unknown"
)

// Reasons for the rejection or failure of a request.
const (
	// ReasonDraining means that the entry or the agent accepts no new requests because it is about to stop.
	ReasonDraining     = "draining"
	ReasonPastDeadline = "past-deadline"
	// ReasonBusy means that the agent cannot accept the request, because all slots of its endpoint are in use or its
	// journal of idempotency keys is full.
	ReasonBusy = "busy"
	// ReasonOverload means that the entry rejects the request because its kind is over its share of the service's slots,
	// or that an agent cannot issue another idempotency key.
	ReasonOverload       = "overload"
	ReasonNoEndpoint     = "no-endpoint"
	ReasonUnknownService = "unknown-service"
	ReasonBadRequest     = "bad-request"
	ReasonTooLarge       = "too-large"
	// ReasonConnectionLost means that the connection to the agent or the endpoint failed before the response was complete.
	ReasonConnectionLost = "connection-lost"
	// ReasonKeyUnknown means that the idempotency key is too old or was not issued by this run of the agent.
	ReasonKeyUnknown = "key-unknown"
	// ReasonNotReady means that the process does not yet know the state that it needs for the request.
	ReasonNotReady       = "not-ready"
	ReasonLogUnavailable = "log-unavailable"
	ReasonCancelled      = "cancelled"
	ReasonUnknownJob     = "unknown-job"
	// ReasonUnknownAttempt is returned by an agent that has no such attempt.
	ReasonUnknownAttempt = "unknown-attempt"
)

type (
	// ErrorResponse is the body of the error responses to callers and operators. Outcome tells whether the request may
	// have run, Reason names the cause, and Message is a text for people.
	ErrorResponse struct {
		Outcome string `json:"outcome"`
		Reason  string `json:"reason"`
		Message string `json:"message"`
		// RetryAfterMS is the time in milliseconds after which the request may be retried; 0 means that a retry would not
		// succeed.
		RetryAfterMS int64  `json:"retry-after-ms"`
		RequestID    string `json:"request-id"`
	}

	// JobRequest is a request to run a batch job.
	JobRequest struct {
		// ID identifies the job, so that a repeated request does not run the job twice. If it is empty, the entry chooses
		// an identifier.
		ID   string `json:"id,omitempty"`
		Team string `json:"team"`
		// Kind is the type of work, such as face-build or route-plan.
		Kind  string `json:"kind"`
		Tasks int    `json:"tasks"`
		// Size is the declared size of each task.
		Size resource.Amount `json:"size"`
		// RunTime is the declared run time of each task.
		RunTime time.Duration `json:"run-time"`
		Payload string        `json:"payload,omitempty"`
	}

	// JobStatus is the state of a job with the numbers of its tasks by state.
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
		// Evictions is the number of attempts that were stopped to free their resources for other work. Progress is the
		// completed fraction of the job, from 0 to 1.
		Evictions int     `json:"evictions"`
		Progress  float64 `json:"progress"`
		Reason    string  `json:"reason,omitempty"`
	}
)
