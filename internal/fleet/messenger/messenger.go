// Package messenger defines the messages between agents and entries that concern batch jobs.
package messenger

import (
	"time"

	"bamboohook/internal/batch/job"
	"bamboohook/resource"
)

// RPC methods of entries and agents.
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
	// VMUnknown is the state before the first heartbeat of the endpoint.
	VMUnknown = "unknown"
	// VMNotListening means that no endpoint process listens on the VM, so that nothing runs there.
	VMNotListening = "absent"
)

// Outcomes of runs. The owner starts the task again after all outcomes except RunDone, and counts only RunFailed as a failure of the task.
// RunBroken and RunAlone are set by endpoints only.
const (
	RunDone         = "done"
	RunFailed       = "failed"
	RunStopped      = "stopped"
	RunLeaseExpired = "lapsed"
	RunBroken       = "broken"
	RunAlone        = "alone"
	// RunLost is set by the owner for a run that its endpoint no longer knows.
	RunLost = "gone"
)

// Outcomes of starts.
const (
	StartDone = "started"
	// StartRefused means that the run was not started and never will be.
	StartRefused = "refused"
	// StartUnknown means that the run may have been started. Later reports show whether it was.
	StartUnknown = "unclear"
)

type (
	// Report is the state of a VM, which its agent sends to the owner.
	Report struct {
		// VM is the address at which the agent accepts orders.
		VM string `json:"vm"`
		// Generation changes with each start of the agent process. Sequence increases with each report.
		Generation string `json:"generation"`
		Sequence   uint64 `json:"sequence"`
		// Epoch is the highest epoch that the agent knows of.
		Epoch uint64 `json:"epoch"`
		// SentMS is when the report was sent, in milliseconds since the start of the agent process.
		SentMS int64 `json:"sent"`
		// Incarnation identifies the endpoint process by its start time in Unix milliseconds. It is 0 if unknown.
		Incarnation int64           `json:"life"`
		EndpointID  string          `json:"endpoint,omitempty"`
		Service     string          `json:"service,omitempty"`
		DataCentre  string          `json:"data-centre,omitempty"`
		Rack        string          `json:"rack,omitempty"`
		Labels      []string        `json:"labels,omitempty"`
		Capacity    resource.Amount `json:"capacity"`
		State       string          `json:"state"`
		// Listed reports whether Runs and Results are complete, that is, whether this endpoint process has sent a listing.
		Listed bool `json:"listed"`
		// Remaining is the minimum time that a draining VM keeps running.
		Remaining time.Duration `json:"remaining,omitempty"`
		Runs      []Run         `json:"runs,omitempty"`
		Results   []RunResult   `json:"ends,omitempty"`
	}

	// Run is the state of one run of a task at an endpoint.
	Run struct {
		Task       string `json:"task"`
		Number     int    `json:"number"`
		Checkpoint string `json:"checkpoint,omitempty"`
		// Percent is the progress of the task. For a long-running task it is 100 as soon as the task has finished its startup.
		Percent int `json:"percent"`
		// Measurement is the tail latency in milliseconds of a long-running task with a latency target. For other tasks it is the
		// number of milli-processors in use.
		Measurement int `json:"figure"`
	}

	// RunResult is the outcome of a run that has ended. An endpoint process numbers its results consecutively in Sequence. The
	// sequence number 0 marks a result that the endpoint did not list.
	RunResult struct {
		Sequence   int64  `json:"sequence"`
		Task       string `json:"task"`
		Number     int    `json:"number"`
		Outcome    string `json:"outcome"`
		Checkpoint string `json:"checkpoint,omitempty"`
	}

	// ReportResponse is an entry's response to a report.
	ReportResponse struct {
		// Owner is the address of the owner. It is empty if none is known.
		Owner string `json:"owner"`
		Epoch uint64 `json:"epoch"`
		// Granted allows the agent to renew leases until the duration of a grant has passed since it sent the report.
		Granted bool `json:"granted"`
		// Incarnation is copied from the report. RecordedSequence is the sequence number of the last result of that incarnation
		// that need not be reported again.
		Incarnation      int64 `json:"life"`
		RecordedSequence int64 `json:"recorded"`
		// Entries are the addresses of all known entries.
		Entries []string `json:"entries,omitempty"`
	}

	// Orders are the changes that an owner requests from an agent. All of them refer to one incarnation of the endpoint.
	Orders struct {
		Epoch       uint64 `json:"epoch"`
		Owner       string `json:"owner"`
		Incarnation int64  `json:"life"`
		// ReportSentMS is SentMS of the report on which the orders are based. The agent rejects starts based on an old report.
		ReportSentMS int64   `json:"based"`
		Starts       []Start `json:"starts,omitempty"`
		Stops        []Stop  `json:"stops,omitempty"`
		Paces        []Pace  `json:"paces,omitempty"`
	}

	// Start requests the start of a run.
	Start struct {
		Task       string `json:"task"`
		Number     int    `json:"number"`
		Payload    string `json:"payload"`
		Checkpoint string `json:"checkpoint,omitempty"`
		// Ticket is the advice service's permission to run the step on this VM. It is empty if the queue needs no advice.
		// BestEffort marks a run that only uses processors which other runs leave idle.
		Ticket     string          `json:"ticket,omitempty"`
		Size       resource.Amount `json:"size"`
		BestEffort bool            `json:"fills,omitempty"`
	}

	// Stop requests the end of a run.
	Stop struct {
		Task   string `json:"task"`
		Number int    `json:"number"`
	}

	// Pace limits a run to a percentage of its full rate.
	Pace struct {
		Task    string `json:"task"`
		Number  int    `json:"number"`
		Percent int    `json:"percent"`
	}

	// OrdersResponse is an agent's response to orders. Sequence is the sequence number of the agent's next report.
	OrdersResponse struct {
		Accepted bool           `json:"accepted"`
		Reason   string         `json:"reason,omitempty"`
		Epoch    uint64         `json:"epoch"`
		Sequence uint64         `json:"sequence"`
		Starts   []StartOutcome `json:"starts,omitempty"`
	}

	// StartOutcome reports one start of an OrdersResponse. Outcome is StartDone, StartRefused or StartUnknown.
	StartOutcome struct {
		Task    string `json:"task"`
		Number  int    `json:"number"`
		Outcome string `json:"outcome"`
		Reason  string `json:"reason,omitempty"`
	}

	// Ping is an entry's state. Entries exchange it as the request and as the response of a ping.
	Ping struct {
		Address string `json:"address"`
		Epoch   uint64 `json:"epoch"`
		Owner   string `json:"owner"`
		// IsOwner reports whether this process of the sender holds the ownership. It is false after a restart, although Owner may
		// name the sender.
		IsOwner bool `json:"owning,omitempty"`
		// StoreAge is the time since the store last responded to the sender. OwnerAge is the time since the sender last heard from
		// the owner.
		StoreAge time.Duration `json:"store-age"`
		OwnerAge time.Duration `json:"owner-age"`
		// Version is the version of the sender's configuration.
		Version int64 `json:"version"`
		// Weight is the priority of the entry in the election of an owner. It increases with the entry's processor share and
		// bandwidth.
		Weight   float64  `json:"weight"`
		Draining bool     `json:"draining,omitempty"`
		Entries  []string `json:"entries,omitempty"`
	}

	// JobRequest is a caller's request about batch jobs, which an entry forwards to the owner.
	JobRequest struct {
		Job job.Job `json:"job,omitzero"`
		ID  string  `json:"id,omitempty"`
		// Queue restricts the request to jobs of that queue.
		Queue string `json:"queue"`
		// Version is the version of the configuration in which the entry looked up the queue.
		Version int64 `json:"version"`
		// Relayed marks a request that is sent through another entry, because the entry that received it from the caller can't
		// reach the owner. Such a request must not be relayed again.
		Relayed bool `json:"relayed,omitempty"`
	}

	// JobResponse is the owner's response to a JobRequest.
	JobResponse struct {
		Outcome string `json:"outcome"`
		State   string `json:"state,omitempty"`
		Count   int    `json:"count,omitempty"`
		Reason  string `json:"reason,omitempty"`
		// RetryAfter is the delay after which the caller may repeat a rejected request.
		RetryAfter time.Duration `json:"retry-after,omitempty"`
	}
)

// Outcomes of job requests.
const (
	OutcomeDone = "done"
	// OutcomeNotExecuted means that the request was not executed and never will be.
	OutcomeNotExecuted = "not-run"
	// OutcomeOverload means that the request was not executed because of overload.
	OutcomeOverload = "overload"
	// OutcomeUnknown means that the request may have been executed.
	OutcomeUnknown  = "unknown"
	OutcomeNotFound = "missing"
	// OutcomeNotOwner means that the receiver doesn't own the jobs and did not execute the request.
	OutcomeNotOwner = "not-owner"
	OutcomeInvalid  = "invalid"
)
