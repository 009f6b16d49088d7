// Package messenger defines what agents and entries tell each other on the path of batch jobs.
package messenger

import (
	"time"

	"bamboohook/internal/batch/job"
	"bamboohook/resource"
)

// Methods between processes.
const (
	MethodReport        = "report"
	MethodOrders        = "orders"
	MethodPing          = "ping"
	MethodSubmit        = "submit"
	MethodState         = "state"
	MethodCancel        = "cancel"
	MethodCount         = "count"
	MethodConfiguration = "configuration"
)

// States of a VM in a report.
const (
	VMUp       = "up"
	VMDraining = "draining"
	// VMUnknown is before the endpoint has described itself.
	VMUnknown = "unknown"
	// VMAbsent tells that no endpoint process listens, so that nothing runs.
	VMNotListening = "absent"
)

// How a run ended.
const (
	ResultDone         = "done"
	ResultFailed       = "failed"
	ResultStopped      = "stopped"
	ResultLeaseExpired = "lapsed"
	ResultBroken       = "broken"
	ResultAlone        = "alone"
	// EndGone is set by the agent for a run that its endpoint no longer knows.
	ResultLost = "gone"
)

// Outcomes of a start.
const (
	StartDone = "started"
	// StartRefused tells that the run does not run and never will.
	StartRefused = "refused"
	// StartUnclear tells that the run may run; later reports show it.
	StartUnclear = "unclear"
)

type (
	// Report is what an agent knows of its VM.
	Report struct {
		// VM is the address at which the agent takes orders.
		VM string `json:"vm"`
		// Generation changes with each start of the agent, Sequence rises with each report.
		Generation string `json:"generation"`
		Sequence   uint64 `json:"sequence"`
		// Epoch is the highest epoch of an owner that the agent has heard of.
		Epoch uint64 `json:"epoch"`
		// Sent is the agent's clock in milliseconds since its start.
		SentMS int64 `json:"sent"`
		// Life identifies the endpoint process: it is the time of its start in Unix milliseconds, 0 if unknown.
		Incarnation int64           `json:"life"`
		Endpoint    string          `json:"endpoint,omitempty"`
		Service     string          `json:"service,omitempty"`
		DataCentre  string          `json:"data-centre,omitempty"`
		Rack        string          `json:"rack,omitempty"`
		Labels      []string        `json:"labels,omitempty"`
		Capacity    resource.Amount `json:"capacity"`
		State       string          `json:"state"`
		// Listed tells that Runs and Ends are complete, because the endpoint was asked in this life.
		Listed bool `json:"listed"`
		// Remaining is how long a draining VM stays at least.
		Remaining time.Duration `json:"remaining,omitempty"`
		Runs      []Run         `json:"runs,omitempty"`
		Results   []RunResult   `json:"ends,omitempty"`
	}

	// Run is a run of a task at the endpoint.
	Run struct {
		Task       string `json:"task"`
		Number     int    `json:"number"`
		Checkpoint string `json:"checkpoint,omitempty"`
		// Percent is the progress, or for a long-running task whether it is at work.
		Percent int `json:"percent"`
		// Tail is the tail latency in milliseconds of a long-running task with a target, else the milli-processors in use.
		Measurement int `json:"figure"`
	}

	// End is a run that ended. Sequences of ends rise by one during a life of the endpoint; 0 stands for an end that
	// the endpoint did not list.
	RunResult struct {
		Sequence   int64  `json:"sequence"`
		Task       string `json:"task"`
		Number     int    `json:"number"`
		Outcome    string `json:"outcome"`
		Checkpoint string `json:"checkpoint,omitempty"`
	}

	// ReportAnswer is what an entry answers.
	ReportResponse struct {
		// Owner is the address of the owner, empty if none is known.
		Owner string `json:"owner"`
		Epoch uint64 `json:"epoch"`
		// Granted allows the agent to renew leases for a while, counted from the sending of the report.
		Granted bool `json:"granted"`
		// Life is that of the report; Recorded is the last end that need not be reported again.
		Incarnation      int64 `json:"life"`
		RecordedSequence int64 `json:"recorded"`
		// Entries are the addresses of all known entries.
		Entries []string `json:"entries,omitempty"`
	}

	// Orders are what an owner asks of an agent. All refer to one life of the endpoint.
	Orders struct {
		Epoch       uint64 `json:"epoch"`
		Owner       string `json:"owner"`
		Incarnation int64  `json:"life"`
		// Based is Sent of the report that the orders rest on; the agent refuses orders on old reports.
		ReportSentMS int64   `json:"based"`
		Starts       []Start `json:"starts,omitempty"`
		Stops        []Stop  `json:"stops,omitempty"`
		Paces        []Pace  `json:"paces,omitempty"`
	}

	// Start asks for a run.
	Start struct {
		Task       string          `json:"task"`
		Number     int             `json:"number"`
		Payload    string          `json:"payload"`
		Checkpoint string          `json:"checkpoint,omitempty"`
		Ticket     string          `json:"ticket,omitempty"`
		Size       resource.Amount `json:"size"`
		BestEffort bool            `json:"fills,omitempty"`
	}

	// Stop asks for the end of a run.
	Stop struct {
		Task   string `json:"task"`
		Number int    `json:"number"`
	}

	// Pace sets the share, in percent, at which a run works.
	Pace struct {
		Task    string `json:"task"`
		Number  int    `json:"number"`
		Percent int    `json:"percent"`
	}

	// OrdersAnswer tells what came of orders. Sequence is that of the next report.
	OrdersResponse struct {
		Accepted bool           `json:"accepted"`
		Reason   string         `json:"reason,omitempty"`
		Epoch    uint64         `json:"epoch"`
		Sequence uint64         `json:"sequence"`
		Starts   []StartOutcome `json:"starts,omitempty"`
	}

	// StartOutcome tells what came of one start.
	StartOutcome struct {
		Task    string `json:"task"`
		Number  int    `json:"number"`
		Outcome string `json:"outcome"`
		Reason  string `json:"reason,omitempty"`
	}

	// Ping is what entries tell each other, as call and as answer.
	Ping struct {
		Address string `json:"address"`
		Epoch   uint64 `json:"epoch"`
		Owner   string `json:"owner"`
		// Owning tells that the sender is the owner of the epoch and acts as such.
		IsOwner bool `json:"owning,omitempty"`
		// StoreAge is how long ago the store last answered the sender, OwnerAge how long ago the owner did.
		StoreAge time.Duration `json:"store-age"`
		OwnerAge time.Duration `json:"owner-age"`
		// Version is that of the sender's configuration.
		Version int64 `json:"version"`
		// Weight prefers entries as owners that have more processor and link.
		Weight   float64  `json:"weight"`
		Draining bool     `json:"draining,omitempty"`
		Entries  []string `json:"entries,omitempty"`
	}

	// Call is a caller's request that an entry passes on to the owner.
	JobRequest struct {
		Job job.Job `json:"job,omitzero"`
		ID  string  `json:"id,omitempty"`
		// Queue restricts the call to jobs of that queue.
		Queue string `json:"queue"`
		// Version is that of the configuration by which the caller's entry chose the queue.
		Version int64 `json:"version"`
		// Relayed tells that another entry passes the call on, which must not be passed on again.
		Relayed bool `json:"relayed,omitempty"`
	}

	// CallAnswer is the owner's answer.
	JobResponse struct {
		Outcome string `json:"outcome"`
		State   string `json:"state,omitempty"`
		Count   int    `json:"count,omitempty"`
		Reason  string `json:"reason,omitempty"`
		// RetryAfter is when a refused call may come again.
		RetryAfter time.Duration `json:"retry-after,omitempty"`
	}
)

// Outcomes of a call.
const (
	OutcomeDone = "done"
	// OutcomeNotRun tells that the call had no effect and never will.
	OutcomeNotRun = "not-run"
	// OutcomeOverload is OutcomeNotRun because of too much work.
	OutcomeOverload = "overload"
	OutcomeUnknown  = "unknown"
	OutcomeNotFound = "missing"
	// OutcomeNotOwner tells that the receiver does not own the job and has done nothing.
	OutcomeNotOwner = "not-owner"
	OutcomeInvalid  = "invalid"
)
