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

// Errors that guarantee that a call to the endpoint has no effect. After any other error the call may have taken effect or may still do so.
var (
	// ErrRefused reports that the endpoint rejected the call, or that the call was not sent because no connection could be made or
	// because the agent's grant has ended.
	ErrRefused = eris.New("attendant: endpoint refused the call")
	// ErrFenced reports that the endpoint rejected the call because it has seen a fencing token higher than the call's.
	ErrFenced = eris.New("attendant: the endpoint has seen a higher fencing token")
	// ErrOtherIncarnation reports that an endpoint process other than the expected one received the call and did not execute it.
	ErrOtherIncarnation = eris.New("attendant: endpoint was replaced")
	// ErrNotListening reports that the connection was refused because no process listens at the endpoint's address.
	ErrNotListening = eris.New("attendant: no endpoint listens")
)

type (
	// Endpoint is a client of the process that runs tasks on this VM.
	Endpoint interface {
		List(ctx context.Context, q Query) (Listing, error)
		Start(ctx context.Context, s StartCall) error
		Stop(ctx context.Context, s StopCall) error
		Pace(ctx context.Context, p PaceCall) error
	}

	// Reporter sends reports to entries.
	Reporter interface {
		SendReport(ctx context.Context, entry string, r messenger.Report) (messenger.ReportResponse, error)
	}

	// Clock is a clock that keeps running while the machine is suspended.
	Clock interface {
		Now() time.Time
	}

	// Query requests the list of runs. A DeadlineMS other than 0 also renews the leases of all runs.
	Query struct {
		// EndpointID is the ID of the endpoint process that should respond. If it is empty, any process may respond. FencingToken
		// must not be lower than the highest token that the endpoint has seen.
		EndpointID   string
		FencingToken uint64
		// RecordedSequence allows the endpoint to discard its run results up to this sequence number.
		RecordedSequence int64
		// DeadlineMS is when the leases expire, in milliseconds on the endpoint's clock.
		DeadlineMS int64
		// Wait is how long the endpoint may delay its response while no run ends.
		Wait time.Duration
	}

	// Listing is the endpoint's list of runs and of the run results that it has not been allowed to discard yet. Incarnation is the
	// start time of the endpoint process in Unix milliseconds, ClockMS its monotonic clock in milliseconds.
	Listing struct {
		Incarnation int64
		ClockMS     int64
		Runs        []messenger.Run
		Results     []messenger.RunResult
	}

	// StartCall starts a run whose lease expires at DeadlineMS, in milliseconds on the endpoint's clock.
	StartCall struct {
		EndpointID   string
		FencingToken uint64
		DeadlineMS   int64
		messenger.Start
	}

	// StopCall stops a run. If the run has not started yet, the call prevents its start.
	StopCall struct {
		EndpointID   string
		FencingToken uint64
		messenger.Stop
	}

	// PaceCall limits a run to a percentage of its full rate.
	PaceCall struct {
		EndpointID   string
		FencingToken uint64
		messenger.Pace
	}

	// Heartbeat is an endpoint's state, which the endpoint sends repeatedly. Sequence increases with each heartbeat.
	Heartbeat struct {
		EndpointID  string
		Incarnation int64
		Sequence    int64
		Service     string
		DataCentre  string
		Rack        string
		Labels      []string
		Capacity    resource.Amount
		Draining    bool
		// Remaining is the minimum time that a draining endpoint keeps running.
		Remaining time.Duration
	}

	// Leases holds the durations of grants and leases. Owners must be configured with the same values.
	Leases struct {
		// Grant is how long the agent renews leases after the owner's last response.
		Grant time.Duration
		// Run is how long a run continues after the last renewal of its lease.
		Run time.Duration
	}

	// Attendant is the agent of one endpoint. Set the exported fields before calling Run. Attendant is safe for concurrent use.
	Attendant struct {
		// Address is where this agent accepts orders. Generation is different for each agent process.
		Address    string
		Generation string
		Endpoint   Endpoint
		Reporter   Reporter
		Clock      Clock
		Log        zerolog.Logger
		Meter      *meter.Meter
		Leases     Leases
		// Seeds are the addresses of some entries. DiscoverEntries returns the addresses of further entries. It is called when no
		// known entry responds.
		Seeds           []string
		DiscoverEntries func(ctx context.Context) []string

		mutex     sync.Mutex
		startedAt time.Time
		// reportRequests makes reportLoop send a report at once.
		reportRequests chan struct{}
		// cancelReport cancels the report in progress. It is nil if there is none.
		cancelReport context.CancelFunc
		epoch        uint64
		owner        string
		entries      []string
		discovering  bool
		grantedUntil time.Time
		heartbeat    Heartbeat
		deregistered bool
		fencingToken uint64
		// lastAppliedRequestAt is when the last applied listing was requested.
		lastAppliedRequestAt time.Time
		incarnation          int64
		// listed reports whether the current endpoint process has sent a listing.
		listed              bool
		endpointClockMS     int64
		endpointClockReadAt time.Time
		refusedConnections  int
		recordedSequence    int64
		lastResultSequence  int64
		pendingResults      []messenger.RunResult
		runs                map[string]*run
		// highestStopped contains the highest run number of each task for which a stop was ordered.
		highestStopped map[string]int
		reportSequence uint64
		// measurementsReportedAt is when measurements of runs were last reported.
		measurementsReportedAt time.Time
	}

	// run is a run that occupies capacity of the endpoint or may do so.
	run struct {
		messenger.Run
		size       resource.Amount
		bestEffort bool
		phase      phase
		// confirmedAt is when the endpoint confirmed the start. A listing requested earlier may lack the run although it runs.
		confirmedAt time.Time
		// decisiveToken is the lowest fencing token of a list request whose response proves whether a start with an unknown outcome
		// took effect.
		decisiveToken uint64
	}

	phase int
)

const (
	phaseStarting phase = iota
	phaseRunning
	// phaseUnknown means that the agent doesn't know whether the start took effect.
	phaseUnknown
)
