// Package attendant implements the agent that runs on the same VM as an endpoint. It executes the owner's orders at the endpoint,
// renews the leases of the runs there and reports their state to the owner.
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

// Errors of calls to the endpoint after which the call certainly has no effect. After any other error the call may have taken effect or
// may still do so.
var (
	// ErrRefused reports that the endpoint rejected the call.
	ErrRefused = eris.New("attendant: the endpoint rejected the call")
	// ErrFenced reports that the endpoint has seen a higher fencing token than that of the call.
	ErrFenced = eris.New("attendant: the endpoint has seen a higher fencing token")
	// ErrOtherIncarnation reports that an endpoint process other than the expected one responded.
	ErrOtherIncarnation = eris.New("attendant: another endpoint process responded")
	// ErrNotListening reports that the connection was refused because no process listens at the endpoint's address.
	ErrNotListening = eris.New("attendant: no endpoint process is listening")
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

	// Clock returns a time that includes the time during which the machine was suspended.
	Clock interface {
		Now() time.Time
	}

	// Query requests the list of runs. A Deadline other than 0 also renews the leases of all runs.
	Query struct {
		// Endpoint is the ID of the expected process. An empty ID accepts any process.
		EndpointID   string
		FencingToken uint64
		// RecordedSequence allows the endpoint to discard its run results up to this sequence number.
		RecordedSequence int64
		// Deadline is when the leases expire, in milliseconds on the endpoint's clock.
		Deadline int64
		// Wait is how long the endpoint may delay its response until a run ends.
		Wait time.Duration
	}

	// Listing is the endpoint's list of runs and of unacknowledged run results. Incarnation is the start time of the endpoint process
	// in Unix milliseconds, Clock its monotonic clock in milliseconds.
	Listing struct {
		Incarnation int64
		Clock       int64
		Runs        []messenger.Run
		Results     []messenger.RunResult
	}

	// StartCall starts a run whose lease expires at Deadline, in milliseconds on the endpoint's clock.
	StartCall struct {
		EndpointID   string
		FencingToken uint64
		Deadline     int64
		messenger.Start
	}

	// StopCall stops a run. A run that has not started yet will not start any more.
	StopCall struct {
		EndpointID   string
		FencingToken uint64
		messenger.Stop
	}

	// PaceCall sets the share of its full rate at which a run works.
	PaceCall struct {
		EndpointID   string
		FencingToken uint64
		messenger.Pace
	}

	// Heartbeat is the state that an endpoint sends about itself.
	Heartbeat struct {
		ID          string
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
		// Address is where this agent accepts orders. Generation changes with each start of the agent process.
		Address    string
		Generation string
		Endpoint   Endpoint
		Reporter   Reporter
		Clock      Clock
		Log        zerolog.Logger
		Meter      *meter.Meter
		Leases     Leases
		// Seeds are addresses of entries. DiscoverEntries returns further addresses; it is called when no known entry responds.
		Seeds           []string
		DiscoverEntries func(ctx context.Context) []string

		mutex          sync.Mutex
		startedAt      time.Time
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
		// lastListSent is when the last applied listing was requested.
		lastListSentAt      time.Time
		incarnation         int64
		listed              bool
		endpointClock       int64
		endpointClockReadAt time.Time
		refusedConnections  int
		recordedSequence    int64
		lastResultSequence  int64
		pendingResults      []messenger.RunResult
		runs                map[string]*run
		highestStopped      map[string]int
		reportSequence      uint64
		// measurementsReportedAt is when measurements of runs were last reported.
		measurementsReportedAt time.Time
	}

	// run is a run that uses capacity of the endpoint or may be using it.
	run struct {
		messenger.Run
		size       resource.Amount
		bestEffort bool
		phase      phase
		// confirmedAt is when the endpoint confirmed the start. A listing requested earlier may lack the run although it runs.
		confirmedAt time.Time
		// decisiveToken is the lowest fencing token of a listing that proves whether a start with an unclear outcome took effect.
		decisiveToken uint64
	}

	phase int
)

const (
	phaseStarting phase = iota
	phaseRunning
	phaseUnknown
)
