// Package messenger defines the messages about batch jobs that entries and agents send each other.
package messenger

import (
	"time"

	"bamboohook/internal/batch/job"
	"bamboohook/internal/fleet/evacuation"
	"bamboohook/internal/fleet/routetable"
	"bamboohook/resource"
)

// RPC methods. Agents serve MethodOrders, entries serve the others.
const (
	MethodReport        = "report"
	MethodOrders        = "orders"
	MethodPing          = "ping"
	MethodSubmit        = "submit"
	MethodState         = "state"
	MethodCancel        = "cancel"
	MethodCount         = "count"
	MethodExplain       = "explain"
	MethodConfiguration = "configuration"
)

// MaxEpoch is the highest valid epoch. Fencing tokens contain the epoch in their highest bits, so they would wrap around above it.
const MaxEpoch = 1<<28 - 1

// States of a VM in a report.
const (
	// VMUp means that the endpoint accepts runs, VMDraining that it is about to shut down and accepts none.
	VMUp       = "up"
	VMDraining = "draining"
	// VMUnknown is the state until the agent has received a heartbeat of the current endpoint process.
	VMUnknown = "unknown"
	// VMNotListening means that no endpoint process listens on the VM, so that no run exists there.
	VMNotListening = "absent"
	// VMSilent means that the endpoint has not responded for so long that the leases of all runs have expired, so that no run is at work there. The
	// agent renews no lease and executes no start until the endpoint has responded and the owner has numbered the agent process again.
	VMSilent = "silent"
)

// HasNoRuns reports whether a VM in the state certainly has no run at work, whatever runs were known there before.
func HasNoRuns(state string) bool { return state == VMNotListening || state == VMSilent }

// Outcomes of runs. The owner starts the task again after all outcomes except RunDone, and counts only RunFailed as a failure of the task.
const (
	RunDone   = "done"
	RunFailed = "failed"
	// RunStopped is the outcome of a run that was ordered to stop.
	RunStopped = "stopped"
	// RunLeaseExpired is the outcome of a run whose lease was not renewed in time.
	RunLeaseExpired = "lapsed"
	// RunBroken is the outcome of a run that the endpoint ended because another task of its gang had ended. The owner handles it like
	// RunStopped.
	RunBroken = "broken"
	// RunAlone is the outcome of a run that the endpoint ended because it had waited in vain for the other tasks of its gang. The owner
	// handles it like RunStopped.
	RunAlone = "alone"
	// RunLost is set by the owner for a run that has disappeared from the list of runs of its endpoint.
	RunLost = "gone"
)

// Outcomes of starts.
const (
	// StartDone means that the run was started. It may have ended since.
	StartDone = "started"
	// StartRefused means that the run was not started and never will be.
	StartRefused = "refused"
	// StartUnknown means that the run may have been started. Later reports show whether it was.
	StartUnknown = "unclear"
)

const (
	// ReasonEvacuated is the reason with which an agent refuses a start because its data centre is evacuated.
	ReasonEvacuated = "evacuated"
	// ReasonEndpointBusy is the reason with which an agent refuses a start that it has not sent, because its endpoint falls behind.
	ReasonEndpointBusy = "endpoint-busy"
)

type (
	// Report is the state of a VM and its endpoint, which the agent on the VM sends to the owner.
	Report struct {
		// VM is the address at which the agent accepts orders. It identifies the VM.
		VM string `json:"vm"`
		// Generation is a string that is different for each agent process. Sequence is the number of the report, which increases
		// with each report of that process.
		Generation string `json:"generation"`
		Sequence   uint64 `json:"sequence"`
		// Epoch is the highest epoch that the agent knows of.
		Epoch uint64 `json:"epoch"`
		// Session is the number that the owner of Epoch has given to the agent process, or 0 if the process has received none.
		Session uint64 `json:"session,omitempty"`
		// SentMS is when the report was sent, in milliseconds since the start of the agent process.
		SentMS int64 `json:"sent"`
		// Incarnation identifies the endpoint process by its start time in Unix milliseconds. It is 0 if unknown.
		Incarnation int64  `json:"life"`
		EndpointID  string `json:"endpoint,omitempty"`
		Service     string `json:"service,omitempty"`
		DataCentre  string `json:"data-centre,omitempty"`
		// AgentDataCentre is the data centre in the settings of the agent, unless that is DataCentre, which the endpoint has named.
		AgentDataCentre string          `json:"agent-data-centre,omitempty"`
		Rack            string          `json:"rack,omitempty"`
		Labels          []string        `json:"labels,omitempty"`
		Capacity        resource.Amount `json:"capacity"`
		// State is VMUp, VMDraining, VMUnknown, VMNotListening or VMSilent.
		State string `json:"state"`
		// Listed reports whether Runs is complete: the current endpoint process has listed its runs to the agent, and no start of an earlier
		// agent process can take effect after that.
		Listed bool `json:"listed"`
		// ListAge is the time between the arrival of that list and the sending of the report.
		ListAge time.Duration `json:"list-age,omitempty"`
		// ResultsMissing reports that the endpoint may hold more run results than Results contains, because it lists only a limited number at a
		// time. A run that is in neither list may then have ended with any outcome.
		ResultsMissing bool `json:"results-missing,omitempty"`
		// Evacuated is the one of the last response that the agent process has used.
		Evacuated bool `json:"evacuated,omitempty"`
		// StartsRefusedFor is how much longer the agent process refuses starts because a former owner may not be aware of its successor. 0 means
		// that it does not refuse them for that reason.
		StartsRefusedFor time.Duration `json:"starts-refused-for,omitempty"`
		// RemainingTime is the minimum time that a draining VM keeps running.
		RemainingTime time.Duration `json:"remaining,omitempty"`
		Runs          []Run         `json:"runs,omitempty"`
		// UnreadableTasks are the tasks of listed runs that the agent cannot read otherwise. A run of such a task is not lost although Runs
		// does not contain it.
		UnreadableTasks []string `json:"unreadable,omitempty"`
		// UnnamedRuns reports that the endpoint lists a run of which not even the task can be read. Then a run is not lost although Runs does
		// not contain it.
		UnnamedRuns bool `json:"unnamed,omitempty"`
		// UnknownRuns reports that such a run may be one that the agent process does not know: every list of the endpoint process that it has seen
		// contained one.
		UnknownRuns bool `json:"unknown-runs,omitempty"`
		// Results are the results that the owner has not recorded yet.
		Results []RunResult `json:"ends,omitempty"`
	}

	// Run is the state of one run of a task at an endpoint. Number is the number of the run among those of the task.
	Run struct {
		Task   string `json:"task"`
		Number int    `json:"number"`
		// Checkpoint names the last checkpoint of the task, from which a later run can resume.
		Checkpoint string `json:"checkpoint,omitempty"`
		// Progress is the completed part of the task as a percentage. For a long-running task it is 100 as soon as the task has finished its startup.
		Progress int `json:"percent"`
		// Unconfirmed means that the agent has ordered the start and doesn't know yet whether the endpoint has executed it.
		Unconfirmed bool `json:"unconfirmed,omitempty"`
		// StartUnanswered means that a copy of the start had no response. It may still reach the next endpoint process, also if the endpoint
		// has confirmed another copy.
		StartUnanswered bool `json:"start-unanswered,omitempty"`
		// Unlisted means that the endpoint's last list lacks the run, but contains a run of which not even the task can be read.
		Unlisted bool `json:"unlisted,omitempty"`
		// LatencyOrUsage is the tail latency in milliseconds of a long-running task with a latency target. For other tasks it is the
		// number of milli-processors in use.
		LatencyOrUsage int `json:"figure"`
	}

	// RunResult is the outcome of a run that has ended. Sequence is the number that the endpoint process gives to the result, counted
	// from 1. A result that the owner creates itself, for example for a lost run, has the Sequence 0.
	RunResult struct {
		Sequence int64  `json:"sequence"`
		Task     string `json:"task"`
		Number   int    `json:"number"`
		// Outcome is one of the outcomes of runs, such as RunDone.
		Outcome    string `json:"outcome"`
		Checkpoint string `json:"checkpoint,omitempty"`
	}

	// ReportResponse is an entry's response to a report.
	ReportResponse struct {
		// Owner is the address of the owner, and Epoch its epoch. Owner is empty if none is known.
		Owner string `json:"owner"`
		Epoch uint64 `json:"epoch"`
		// Session is the number of the agent process, or 0 if the entry is not the owner. The owner gives the processes of a VM rising numbers.
		// Outdated means that a later process of the VM has received a number, so that the sender must act like a new process.
		Session  uint64 `json:"session,omitempty"`
		Outdated bool   `json:"outdated,omitempty"`
		// Evacuated means that nothing may be started in the data centre of the report. Only the owner's response says so.
		Evacuated bool `json:"evacuated,omitempty"`
		// Granted permits the agent to renew the leases of runs for a limited time, which both sides are configured with. The time
		// counts from the sending of the report.
		Granted bool `json:"granted"`
		// OwnerConfirmed reports that the store has shown, in response to a request that was sent after the first report of this agent process had
		// arrived, that the owner had no successor. So no earlier process of the VM has reported to one.
		OwnerConfirmed bool `json:"owner-confirmed,omitempty"`
		// Incarnation is copied from the report. RecordedSequence is the sequence number of the last run result of that endpoint
		// process that the owner has recorded, so that it need not be reported again.
		Incarnation      int64 `json:"life"`
		RecordedSequence int64 `json:"recorded"`
		// ReportInterval is the shortest time between two reports that only contain new measurements, or no news. 0 leaves it to the agent.
		ReportInterval time.Duration `json:"report-interval,omitempty"`
		// Entries are the addresses of some entries, beginning with those that are likely to be the next owners. EntryCount is the number
		// of all known entries.
		Entries    []string `json:"entries,omitempty"`
		EntryCount int      `json:"entry-count,omitempty"`
	}

	// Orders are the changes that the owner of an epoch requests from an agent process, which has the number Session. All of them refer to
	// the endpoint process with the incarnation.
	Orders struct {
		Epoch       uint64 `json:"epoch"`
		Owner       string `json:"owner"`
		Session     uint64 `json:"session,omitempty"`
		Incarnation int64  `json:"life"`
		// OwnerConfirmed is that of a ReportResponse. It is only set if the last report says that the agent process refuses starts.
		OwnerConfirmed bool `json:"owner-confirmed,omitempty"`
		// ReportSentMS is SentMS of the report on which the owner has based the orders. The agent rejects starts based on an old
		// report.
		ReportSentMS int64   `json:"based"`
		Starts       []Start `json:"starts,omitempty"`
		Stops        []Stop  `json:"stops,omitempty"`
		Paces        []Pace  `json:"paces,omitempty"`
	}

	// Start requests the start of a run. Number is the number of the run among those of the task.
	Start struct {
		Task   string `json:"task"`
		Number int    `json:"number"`
		// Payload is what the task is to do, in a form that only the endpoint understands. The run resumes from Checkpoint, unless
		// that is empty.
		Payload    string `json:"payload"`
		Checkpoint string `json:"checkpoint,omitempty"`
		// Ticket is the advice service's permission to run the task on this VM. It is empty if the task needs no such permission.
		Ticket string          `json:"ticket,omitempty"`
		Size   resource.Amount `json:"size"`
		// BestEffort marks a run that only uses processors which other runs leave idle.
		BestEffort bool `json:"fills,omitempty"`
	}

	// Stop requests the end of a run. Number is the number of the run among those of the task.
	Stop struct {
		Task   string `json:"task"`
		Number int    `json:"number"`
	}

	// Pace limits a run to a percentage of its full rate. Number is the number of the run among those of the task.
	Pace struct {
		Task    string `json:"task"`
		Number  int    `json:"number"`
		Percent int    `json:"percent"`
	}

	// OrdersResponse is an agent's response to orders. Accepted is false if the agent has rejected all of them. Reason then says why.
	// Otherwise Starts contains the outcome of each ordered start. Epoch is the highest epoch that the agent knows of. Sequence is the
	// sequence number of the agent's next report, the first one that certainly contains the started runs.
	OrdersResponse struct {
		Accepted bool           `json:"accepted"`
		Reason   string         `json:"reason,omitempty"`
		Epoch    uint64         `json:"epoch"`
		Sequence uint64         `json:"sequence"`
		Starts   []StartOutcome `json:"starts,omitempty"`
		// Stopped holds the stops that the endpoint process of the orders has confirmed. Their runs end within the platform's limit for stops.
		Stopped []Stop `json:"stopped,omitempty"`
		// UnsetPaces holds the paces that the endpoint process has not confirmed. They may be in force or not.
		UnsetPaces []Pace `json:"unset-paces,omitempty"`
	}

	// StartOutcome is the outcome of one of the ordered starts. Outcome is StartDone, StartRefused or StartUnknown. Reason explains the
	// last two.
	StartOutcome struct {
		Task    string `json:"task"`
		Number  int    `json:"number"`
		Outcome string `json:"outcome"`
		Reason  string `json:"reason,omitempty"`
	}

	// Ping is the state of an entry. An entry sends it to another entry, which responds with its own state.
	Ping struct {
		// Address is the address of the sender. Epoch is the highest epoch that the sender knows of, and Owner the address of its
		// owner.
		Address string `json:"address"`
		Epoch   uint64 `json:"epoch"`
		Owner   string `json:"owner"`
		// IsOwner reports whether the sending process holds the ownership of the jobs. It is false after a restart of the sender,
		// although Owner may still contain the sender's address.
		IsOwner bool `json:"owning,omitempty"`
		// StoreAge is the time since the store last responded to the sender, OwnerAge the time since the sender last heard from the
		// owner, and OwnerKnownAge the time since any entry last heard from the owner, as far as the sender knows. One hour stands for no
		// contact. OwnerAge and OwnerKnownAge are 0 if the sender is the owner.
		StoreAge      time.Duration `json:"store-age"`
		OwnerAge      time.Duration `json:"owner-age"`
		OwnerKnownAge time.Duration `json:"owner-known-age"`
		// Claiming is the epoch that the sender is claiming, or 0 if it isn't claiming any.
		Claiming uint64 `json:"claiming,omitempty"`
		// Version is the version of the sender's configuration.
		Version int64 `json:"version"`
		// ConfigurationAge is the time since the store certainly had no newer configuration than that, as far as the sender knows. 0 means that it does
		// not tell.
		ConfigurationAge time.Duration `json:"configuration-age,omitempty"`
		// EvacuationVersion is the version of the sender's set of evacuated data centres, or 0 if the sender knows none.
		EvacuationVersion int64 `json:"evacuation-version,omitempty"`
		// Weight is the priority of the entry in the election of an owner. It increases with the entry's processor share and
		// bandwidth.
		Weight float64 `json:"weight"`
		// Draining reports whether the sender is about to end and gives up the ownership. Yielding reports that the sender, which is the
		// owner, gives up the ownership to an entry with a higher weight.
		Draining bool `json:"draining,omitempty"`
		Yielding bool `json:"yielding,omitempty"`
		// CongestionTime is the longest time for which congestion of the sender's link or processor may delay its messages.
		CongestionTime time.Duration `json:"congestion-time,omitempty"`
		// Peers are some of the entries that the sender knows to be live.
		Peers []RelayedEntry `json:"peers,omitempty"`
	}

	// Configuration is what an entry knows of the operators' topic. The configuration is nil if the entry has none. Evacuations is nil if the entry does
	// not know the evacuated data centres, and EvacuationAge the time since the store certainly had no later record about them.
	Configuration struct {
		*routetable.Configuration
		Evacuations   *evacuation.Set `json:"evacuations,omitempty"`
		EvacuationAge time.Duration   `json:"evacuation-age,omitempty"`
	}

	// RelayedEntry is what the sender of a ping knows about another entry.
	RelayedEntry struct {
		Address string  `json:"address"`
		Weight  float64 `json:"weight"`
		// Age is the time since any entry last heard from this one, as far as the sender knows.
		Age time.Duration `json:"age"`
		// Available reports whether the entry could own the jobs: it has contact with the store and isn't draining.
		Available bool `json:"available,omitempty"`
	}

	// JobRequest is a caller's request about batch jobs. The entry that receives it from the caller forwards it to the owner.
	JobRequest struct {
		// Job is the job to submit. Requests about a known job contain its ID instead.
		Job job.Job `json:"job,omitzero"`
		ID  string  `json:"id,omitempty"`
		// Queue is the queue of the job, or the queue whose jobs are counted. A job of another queue counts as unknown.
		Queue string `json:"queue"`
		// Version is the version of the configuration in which the entry has looked up the queue. If the owner's is newer, the owner's decides whether
		// there is such a queue.
		Version int64 `json:"version"`
		// Relayed marks a request that is sent to the owner through another entry, because the entry that received it from the
		// caller can't reach the owner. Such a request must not be relayed again.
		Relayed bool `json:"relayed,omitempty"`
	}

	// JobResponse is the owner's response to a JobRequest.
	JobResponse struct {
		// Outcome is one of the outcomes of job requests, such as OutcomeDone. State is the state of the job, in the response to
		// MethodState. QueuedJobs is the number of accepted jobs in the queue that have not started, in the response to
		// MethodCount.
		Outcome    string `json:"outcome"`
		State      string `json:"state,omitempty"`
		QueuedJobs int    `json:"count,omitempty"`
		// Reason explains the outcome. RetryAfter is the delay after which the caller may repeat a rejected request.
		Reason     string        `json:"reason,omitempty"`
		RetryAfter time.Duration `json:"retry-after,omitempty"`
		// MayHaveEffect reports, with OutcomeNotOwner, that the request may have been executed or may still be: the sender of the
		// response was the owner when it received the request, or has passed the request on without a response.
		MayHaveEffect bool `json:"may-have-effect,omitempty"`
		// Explanation is the response to MethodExplain.
		Explanation *Explanation `json:"explanation,omitempty"`
	}

	// Explanation tells where the tasks of a job would start now. Nothing of the job is accepted.
	Explanation struct {
		Queue   string `json:"queue"`
		Service string `json:"service"`
		// Epoch is that of the owner, Version that of its configuration.
		Epoch   uint64 `json:"epoch"`
		Version int64  `json:"version"`
		// VMs is the number of the service's VMs, UsableVMs that of those on which tasks may start now.
		VMs       int           `json:"vms"`
		UsableVMs int           `json:"usable-vms"`
		Steps     []StepOutlook `json:"steps"`
		// OmittedPlaces is the number of places and waits that are left out because there are too many.
		OmittedPlaces int `json:"omitted-places,omitempty"`
	}

	// StepOutlook tells where the tasks of one step would start now.
	StepOutlook struct {
		Step  int `json:"step"`
		Tasks int `json:"tasks"`
		// After holds the steps that must be done before. If there are any, no task of the step would start now.
		After  []int         `json:"after,omitempty"`
		Places []Place       `json:"places,omitempty"`
		Waits  []RackOutlook `json:"waits,omitempty"`
		// NotStarted is the number of tasks that would start nowhere now. Refusals holds the numbers of VMs by the reasons why one of these must not
		// start there.
		NotStarted int            `json:"not-started,omitempty"`
		Refusals   map[string]int `json:"refusals,omitempty"`
	}

	// Place is a VM on which tasks of a step would start.
	Place struct {
		VM    string `json:"vm"`
		Rack  string `json:"rack,omitempty"`
		Tasks int    `json:"tasks"`
		// ReportAgeMS is the age of the last report of the VM, in milliseconds.
		ReportAgeMS int64 `json:"report-age-ms"`
		// OffRack reports whether the VM is off the preferred rack, OffRackReason why the task does not wait for that one.
		OffRack       bool   `json:"off-rack,omitempty"`
		OffRackReason string `json:"off-rack-reason,omitempty"`
		// PaceShare is the share of the full pace at which the task could work.
		PaceShare float64 `json:"pace-share"`
	}

	// RackOutlook is the wait of a task, or of a whole gang, for its preferred rack. Others have precedence for Ahead places there. The times are in
	// milliseconds.
	RackOutlook struct {
		Rack       string `json:"rack"`
		Tasks      int    `json:"tasks"`
		Ahead      int    `json:"ahead"`
		ExpectedMS int64  `json:"expected-ms"`
		LimitMS    int64  `json:"limit-ms"`
		SavedMS    int64  `json:"saved-ms"`
	}
)

// Outcomes of requests about batch jobs.
const (
	OutcomeDone = "done"
	// OutcomeNotExecuted means that the request was not executed and never will be.
	OutcomeNotExecuted = "not-run"
	// OutcomeOverload means that the request was not executed because of overload.
	OutcomeOverload = "overload"
	// OutcomeUnknown means that the request may have been executed.
	OutcomeUnknown = "unknown"
	// OutcomeNotFound means that the job is unknown.
	OutcomeNotFound = "missing"
	// OutcomeNoQueue means that the request was not executed because there is no such queue any more.
	OutcomeNoQueue = "no-queue"
	// OutcomeNotOwner means that the receiver doesn't own the jobs. It did not execute the request, unless MayHaveEffect is set in the
	// response. The next owner can tell.
	OutcomeNotOwner = "not-owner"
	// OutcomeInvalid means that the request itself is invalid, so that a repeat would be rejected too.
	OutcomeInvalid = "invalid"
)
