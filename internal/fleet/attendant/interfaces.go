// Package attendant runs beside an endpoint: it carries out an owner's orders there, renews leases and reports what runs.
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

// Outcomes of calls to the endpoint without success. Any other error leaves open whether the call took or takes effect.
var (
	// ErrRefused reports that the endpoint refused the call, which has no effect.
	ErrRefused = eris.New("attendant: endpoint refused the call")
	// ErrFenced reports that the endpoint has seen a higher token; the call has no effect.
	ErrFenced = eris.New("attendant: endpoint has seen a higher token")
	// ErrOtherLife reports that another endpoint process answered.
	ErrOtherIncarnation = eris.New("attendant: endpoint was replaced")
	// ErrAbsent reports that no process listens at the endpoint's address.
	ErrNotListening = eris.New("attendant: no endpoint listens")
)

type (
	// Endpoint runs tasks.
	Endpoint interface {
		List(ctx context.Context, q Query) (Listing, error)
		Start(ctx context.Context, s StartCall) error
		Stop(ctx context.Context, s StopCall) error
		Pace(ctx context.Context, p PaceCall) error
	}

	// Owners carries reports to entries.
	Reporter interface {
		Report(ctx context.Context, entry string, r messenger.Report) (messenger.ReportResponse, error)
	}

	// Clock tells the time, including suspended time.
	Clock interface {
		Now() time.Time
	}

	// Query asks what runs, and renews the leases of all runs if Deadline is not 0.
	Query struct {
		// Endpoint is the id of the expected process; empty accepts any.
		Endpoint string
		Token    uint64
		// Recorded lets the endpoint forget its ends up to this one.
		RecordedSequence int64
		// Deadline is the end of the leases on the endpoint's clock, in milliseconds.
		Deadline int64
		// Wait is how long the answer may wait for an end.
		Wait time.Duration
	}

	// Listing is what runs. Life is the start of the process in Unix milliseconds, Clock its steady clock in milliseconds.
	Listing struct {
		Incarnation int64
		Clock       int64
		Runs        []messenger.Run
		Results     []messenger.RunResult
	}

	// StartCall starts a run whose lease ends at Deadline on the endpoint's clock, in milliseconds.
	StartCall struct {
		Endpoint string
		Token    uint64
		Deadline int64
		messenger.Start
	}

	// StopCall stops a run, or keeps it from starting for good.
	StopCall struct {
		Endpoint string
		Token    uint64
		messenger.Stop
	}

	// PaceCall sets the pace of a run.
	PaceCall struct {
		Endpoint string
		Token    uint64
		messenger.Pace
	}

	// Description is what an endpoint says of itself in a heartbeat.
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
		// Remaining is how long a draining endpoint stays at least.
		Remaining time.Duration
	}

	// Leases holds the lengths of grants and leases, which owners know too.
	Leases struct {
		// Grant is how long leases are renewed without an answer of an owner.
		Grant time.Duration
		// Run is how long a run goes on without a renewal.
		Run time.Duration
	}

	// Attendant is the state beside one endpoint. Set the exported fields before Run. Concurrent use is safe.
	Attendant struct {
		// Address is where this agent takes orders; Generation changes with each start.
		Address    string
		Generation string
		Endpoint   Endpoint
		Reporter   Reporter
		Clock      Clock
		Log        zerolog.Logger
		Meter      *meter.Meter
		Leases     Leases
		// Seeds are addresses of entries; More returns further ones when none of them answers.
		Seeds           []string
		DiscoverEntries func(ctx context.Context) []string

		mutex          sync.Mutex
		started        time.Time
		reportRequests chan struct{}
		// abort ends the report under way, nil if there is none.
		cancelReport context.CancelFunc
		epoch        uint64
		owner        string
		entries      []string
		discovering  bool
		grantUntil   time.Time
		heartbeat    Heartbeat
		deregistered bool
		token        uint64
		// listSent is when the last list that was taken over was asked for.
		lastListSent        time.Time
		incarnation         int64
		listed              bool
		endpointClock       int64
		endpointClockReadAt time.Time
		refusedConnections  int
		recordedSequence    int64
		lastResultSequence  int64
		results             []messenger.RunResult
		runs                map[string]*run
		stoppedNumbers      map[string]int
		sequence            uint64
		// figuresAt is when figures of runs were last reported.
		measurementsReportedAt time.Time
	}

	// run is a run that takes room at the endpoint or may do so.
	run struct {
		messenger.Run
		size       resource.Amount
		bestEffort bool
		phase      phase
		// answeredAt is when the endpoint confirmed the start; older lists say nothing about the run.
		confirmedAt time.Time
		// fence is the token from which a list decides about an unclear start.
		decisiveToken uint64
	}

	phase int
)

const (
	phaseStarting phase = iota
	phaseRunning
	phaseUnclear
)
