// Package attendant implements the agent that runs on the same VM as an endpoint. It executes the orders of the owner, which is the entry
// that schedules the batch jobs. It renews the leases of the endpoint's runs and reports their state to the owner.
package attendant

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"bamboohook/internal/fleet/messenger"
	"bamboohook/internal/fleet/meter"
	"bamboohook/resource"
)

// Errors of calls to the endpoint. After one of them the call certainly has no effect. After any other error the call may have taken effect
// or may still do so. The agent sends the texts of the errors other than ErrFenced to the owner as the reason for a refused start.
var (
	// ErrRefused reports that the call certainly was not executed: the endpoint rejected it, or the agent did not send it because no
	// connection could be made or because the agent's grant has ended.
	ErrRefused = eris.New("attendant: endpoint refused the call")
	// ErrFenced reports that the endpoint rejected the call because it has seen a fencing token higher than the call's.
	ErrFenced = eris.New("attendant: the endpoint has seen a higher fencing token")
	// ErrOtherIncarnation reports that an endpoint process other than the expected one received the call and did not execute it. The
	// expected process was replaced.
	ErrOtherIncarnation = eris.New("attendant: endpoint was replaced")
	// ErrNotListening reports that the connection was refused because no process listens at the endpoint's address.
	ErrNotListening = eris.New("attendant: no endpoint listens")
)

type (
	// Endpoint is a client of the process that runs tasks on this VM.
	Endpoint interface {
		// All calls must end soon after ctx is done. List returns the runs of the endpoint and the results of ended runs. It also renews leases if the query requests that.
		List(ctx context.Context, q ListQuery) (Listing, error)
		// Start starts a run, Stop stops one, and Pace limits the rate of one.
		Start(ctx context.Context, s StartCall) error
		Stop(ctx context.Context, s StopCall) error
		Pace(ctx context.Context, p PaceCall) error
	}

	// Reporter sends reports to entries.
	Reporter interface {
		// SendReport sends a report to the entry with the address entry and returns its response.
		SendReport(ctx context.Context, entry string, r messenger.Report) (messenger.ReportResponse, error)
	}

	// Clock is a clock that keeps running while the machine is suspended.
	Clock interface {
		Now() time.Time
	}

	// ListQuery requests the lists of runs and of run results. If DeadlineMS is not 0, it also renews the leases of all runs.
	ListQuery struct {
		// EndpointID is the ID of the endpoint process that should respond. If it is empty, any process may respond. The endpoint
		// rejects the query if FencingToken is lower than the highest token that it has seen.
		EndpointID   string
		FencingToken uint64
		// RecordedSequence allows the endpoint to discard its run results up to this sequence number.
		RecordedSequence int64
		// KnownSequence is the sequence number of the last run result that the agent knows. The endpoint does not need it: it shows which numbers in
		// the response are plausible, also if the request acknowledges nothing.
		KnownSequence int64
		// DeadlineMS is when the renewed leases expire, in milliseconds on the endpoint's clock. 0 renews no leases.
		DeadlineMS int64
		// MaxWait is how long the endpoint may delay its response until a run ends.
		MaxWait time.Duration
	}

	// Listing is the endpoint's response to a ListQuery: its runs, and the results of ended runs that no ListQuery has allowed it to discard
	// yet. Incarnation is the start time of the endpoint process in Unix milliseconds, ClockMS the time of its monotonic clock in
	// milliseconds.
	Listing struct {
		Incarnation int64
		ClockMS     int64
		Runs        []messenger.Run
		// Results are in the order of their sequence numbers. One without a task stands for a result that cannot be read; it is recorded
		// like the others, so that the endpoint can discard it.
		Results []messenger.RunResult
		// UnreadableTasks are the tasks of listed runs that cannot be read otherwise. UnreadableResults reports that a result without a
		// usable sequence number was left out, so that the endpoint cannot discard it.
		UnreadableTasks   []string
		UnreadableResults bool
		// UnnamedRuns reports that the endpoint lists a run of which not even the task can be read. It may be any run that Runs lacks.
		UnnamedRuns bool
		// ResultsMissing reports that there may be more results than the endpoint lists at a time.
		ResultsMissing bool
	}

	// StartCall starts a run whose lease expires at DeadlineMS, in milliseconds on the endpoint's clock. Only the endpoint process with
	// the ID EndpointID may execute it, and only if that has seen no fencing token higher than FencingToken.
	StartCall struct {
		EndpointID   string
		FencingToken uint64
		DeadlineMS   int64
		messenger.Start
	}

	// StopCall stops a run. If the run has not started yet, the call prevents its start. EndpointID and FencingToken restrict it as in
	// a StartCall.
	StopCall struct {
		EndpointID   string
		FencingToken uint64
		messenger.Stop
	}

	// PaceCall limits a run to a percentage of its full rate. EndpointID and FencingToken restrict it as in a StartCall.
	PaceCall struct {
		EndpointID   string
		FencingToken uint64
		messenger.Pace
	}

	// Heartbeat is an endpoint's state, which the endpoint sends repeatedly. Incarnation is the start time of the endpoint process in
	// Unix milliseconds. Sequence increases with each heartbeat of that process.
	Heartbeat struct {
		EndpointID  string
		Incarnation int64
		Sequence    int64
		Service     string
		DataCentre  string
		Rack        string
		Labels      []string
		Capacity    resource.Amount
		// Draining reports whether the endpoint is about to shut down, so that it should get no more runs.
		Draining bool
		// RemainingTime is the minimum time that a draining endpoint keeps running.
		RemainingTime time.Duration
	}

	// LeaseDurations holds the durations of leases and grants. A run needs a lease from its agent, and the agent needs a grant from the owner
	// to renew leases. Owners must be configured with the same durations.
	LeaseDurations struct {
		// Grant is how long the agent may renew leases after it sent a report whose response contained a grant.
		Grant time.Duration
		// Run is the duration of a lease: how long a run continues after the last renewal.
		Run time.Duration
		// Longest is the longest lease that an endpoint gives, whatever it is asked for. 0 counts as Run.
		Longest time.Duration
	}

	// Attendant is the agent of one endpoint. Set the exported fields before calling Run. Attendant is safe for concurrent use.
	Attendant struct {
		// Address is where this agent accepts orders. Generation is a string that is different for each agent process.
		Address        string
		Generation     string
		Endpoint       Endpoint
		Reporter       Reporter
		Clock          Clock
		Log            zerolog.Logger
		Meter          *meter.Meter
		LeaseDurations LeaseDurations
		// DataCentre is the data centre of the VM according to the settings, or "".
		DataCentre string
		// StopTimeout is the longest time between the confirmation of a stop by the endpoint and the end of the run.
		StopTimeout time.Duration
		// Seeds are the addresses of some entries. DiscoverEntries returns the addresses of more entries. The agent calls it,
		// unless it is nil, after several reports in a row have failed.
		Seeds           []string
		DiscoverEntries func(ctx context.Context) []string

		mutex sync.Mutex
		// startedAt is when this agent was started. The times in its reports are relative to it.
		startedAt time.Time
		// reportRequests is a channel on which requestReport makes reportLoop send a report at once.
		reportRequests chan struct{}
		// listRequests is a channel on which requestList makes requestedListLoop send a list request at once.
		listRequests chan struct{}
		// cancelReport cancels the report in progress. It is nil if there is none.
		cancelReport context.CancelFunc
		// epoch is the highest known epoch. owner is the address of its owner, or "" if that is unknown or did not respond.
		epoch uint64
		owner string
		// startsRefusedUntil is when the agent may execute starts although not all entries have responded since the process was started. It is the zero
		// time if all have, or once the owner was confirmed.
		startsRefusedUntil time.Time
		// entries are the addresses of entries in the last response to a report or in the last result of DiscoverEntries.
		entries []string
		// discovering reports whether a call of DiscoverEntries is in progress.
		discovering bool
		// evacuated reports whether nothing may be started because the data centre is evacuated, according to the last response of an owner.
		evacuated bool
		// grantedUntil is when the agent must stop renewing leases, because its grant ends.
		grantedUntil time.Time
		// heartbeat is the newest heartbeat. deregistered reports whether the endpoint process that sent it has announced its
		// shutdown.
		heartbeat    Heartbeat
		deregistered bool
		// generation is Generation, with a suffix after the process has acted like a new one. renewals is how often it has done so.
		generation string
		renewals   int
		// session is the number of this process from the owner of the epoch, or 0 while it has none.
		session uint64
		// fencingToken is sent with each call to the endpoint, which rejects a token that is lower than one that it has seen. rejectedToken is
		// the last one that it has rejected.
		fencingToken  uint64
		rejectedToken uint64
		// decisiveToken is the lowest fencing token of a list request whose response contains all runs: starts of earlier agent processes, and
		// those sent before the endpoint process was detected, carry lower tokens.
		decisiveToken uint64
		// lastAppliedRequestAt is the time at which the agent sent the list request for the last applied listing. lastResponseAt is when the
		// endpoint last responded to a list request, or when the agent was started.
		lastAppliedRequestAt time.Time
		lastResponseAt       time.Time
		// listDelay is how long the endpoint usually takes for a list, beyond the delay that the list request permits.
		listDelay time.Duration
		// lastLeaseAt is when a request that begins or renews leases was last sent, or when the agent was started: an earlier agent process may
		// have sent one until then.
		lastLeaseAt time.Time
		// mayBeReplaced reports whether a list request has failed otherwise than by its timeout since the last response. The endpoint process may then be
		// another one with the same ID, for whose clock the deadlines of leases are not meant.
		mayBeReplaced bool
		// silent reports whether all leases have expired without a response of the endpoint.
		silent bool
		// lastStartEndedAt is when the last call that starts a run ended, with or without an answer.
		lastStartEndedAt time.Time
		// discards are the list requests that make the endpoint forget recorded results and have not been answered, at most maxDiscards. Such a
		// request may be carried out by the next endpoint process, which numbers its results anew.
		discards []*discard
		// startsInProgress is the number of starts of which copies are being sent.
		startsInProgress int
		// callQueue contains the orders that wait for their turn at the endpoint.
		callQueue callQueue
		// listCalls are the list requests in progress.
		listCalls sync.WaitGroup
		// listEnded is closed, and replaced, when a list request has ended.
		listEnded chan struct{}
		// incarnation is the start time of the current endpoint process in Unix milliseconds, or 0 before its first response.
		incarnation int64
		// listed reports whether runs and pendingResults contain what the current endpoint process has listed in response to a list request with
		// the decisive token or a higher one.
		listed bool
		// endpointClockMS is the time of the endpoint's clock when this agent's clock showed endpointClockReadAt.
		endpointClockMS     int64
		endpointClockReadAt time.Time
		// refusedConnections is the number of list requests in a row whose connection was refused.
		refusedConnections int
		// recordedSequence is the sequence number of the last run result that the owner has recorded, lastResultSequence that of
		// the last one that the endpoint has listed. pendingResults contains the results after recordedSequence.
		// acknowledgedSequence is the last number that the endpoint was allowed to discard. resultsMissing is that of the last listing.
		recordedSequence     int64
		acknowledgedSequence int64
		lastResultSequence   int64
		// acknowledgementDueSince is when the owner recorded a result, or another one after the last acknowledgement.
		acknowledgementDueSince time.Time
		pendingResults          []messenger.RunResult
		resultsMissing          bool
		// unreadableTasks, unreadableResults and unnamedRuns are those of the last listing.
		unreadableTasks   []string
		unreadableResults bool
		unnamedRuns       bool
		// allRunsKnown reports whether runs contains all runs of the endpoint process. This holds from the first listing without unnamed runs,
		// since only this agent process starts runs after that.
		allRunsKnown bool
		// runs contains the runs by task.
		runs map[string]*run
		// highestStopped contains, for each task, the highest run number that was ordered to stop.
		highestStopped map[string]int
		// reportSequence is the sequence number of the last report.
		reportSequence uint64
		// ownerReportInterval is the shortest time between two reports without results that the owner has asked for.
		ownerReportInterval time.Duration
		// measurementsReportedAt is when a listing last caused a report, which contains the newest measurements of all runs.
		measurementsReportedAt time.Time
		// reportedAt is when the last report to a possible owner was sent, whatever caused it.
		reportedAt time.Time
	}

	// run is a run that occupies capacity of the endpoint or may do so.
	run struct {
		messenger.Run
		size       resource.Amount
		bestEffort bool
		phase      phase
		// queued reports whether the start waits for its turn at the endpoint, so that no copy of it has been sent.
		queued bool
		// confirmedAt is when the endpoint confirmed the start. The response to a list request sent before then may lack the run
		// although it runs.
		confirmedAt time.Time
		// decisiveToken is the lowest fencing token of a list request whose response proves whether a start with an unknown outcome
		// took effect. absent reports that such a response did not contain the run.
		decisiveToken uint64
		absent        bool
		// startUnanswered reports whether a start call had no response, so that it may still reach the next endpoint process.
		startUnanswered bool
		// paceOrders is the number of orders for the pace of the run.
		paceOrders int
		// unlisted reports that the run would be absent if the last listing had no row without a readable task.
		unlisted bool
		// stoppedAt is when the endpoint first confirmed a stop of the run, or the zero time.
		stoppedAt time.Time
	}

	phase int
)

const (
	// phaseStarting means that a call to start the run is in progress.
	phaseStarting phase = iota
	// phaseRunning means that the endpoint has confirmed the start or listed the run.
	phaseRunning
	// phaseUnknown means that the agent doesn't know whether the start took effect.
	phaseUnknown
)
