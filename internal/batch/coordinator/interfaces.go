// Package coordinator runs batch jobs on the entry that owns them. It accepts jobs, orders agents to run their tasks, and records the
// results.
package coordinator

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"bamboohook/internal/batch/bookkeeper"
	"bamboohook/internal/batch/breaker"
	"bamboohook/internal/batch/dispatcher"
	"bamboohook/internal/batch/job"
	"bamboohook/internal/batch/pacer"
	"bamboohook/internal/fleet/committer"
	"bamboohook/internal/fleet/messenger"
	"bamboohook/internal/fleet/meter"
)

type (
	// Agents sends orders to the agent at an address. After an error, it is unknown whether the agent has carried them out.
	Agents interface {
		SendOrders(ctx context.Context, vm string, orders messenger.Orders) (messenger.OrdersResponse, error)
	}

	// Journal writes records to the store in groups.
	Journal interface {
		Append(w committer.Write)
		// Notify makes the journal call Collect soon.
		Notify()
		// Degraded reports whether a write is unlikely to be stored soon.
		Degraded() bool
	}

	// Advisor decides on which VMs a step of an advised queue may run.
	Advisor interface {
		// Advise returns a ticket for each endpoint that may run the step, and how long the tickets are valid.
		Advise(ctx context.Context, step string, endpoints []string) (map[string]string, time.Duration, error)
	}

	// Clock returns the current time. It must also advance while the machine is suspended.
	Clock interface {
		Now() time.Time
	}

	// Leases holds the durations after which the runs of a lost VM must have ended, so that its tasks may run elsewhere. The agents must
	// use the same values.
	Leases struct {
		// Grant is how long an agent renews leases without a response from the owner.
		Grant time.Duration
		// Run is how long a run continues without a renewal of its lease.
		Run time.Duration
		// Contact is how long an owner lets agents renew leases without contact to the store.
		Contact time.Duration
		// Drift is the error of the clocks over these durations, plus the delay of timers.
		Drift time.Duration
	}

	// Limits holds the limits that the platform sets.
	Limits struct {
		// Retention is how long callers can ask for the state of an ended job.
		Retention time.Duration
		// MissTolerance is how long a long-running task may miss its latency target because of best-effort tasks.
		MissTolerance time.Duration
	}

	// Queue is the configuration of a queue.
	Queue struct {
		dispatcher.Queue
		// Advised reports whether a start needs a ticket of the Advisor.
		Advised bool
	}

	// Coordinator owns the batch jobs between TakeOwnership and Resign. Set the exported fields before Run. It is safe for concurrent use.
	Coordinator struct {
		Agents  Agents
		Journal Journal
		// Advisor may be nil if no queue is advised.
		Advisor Advisor
		Clock   Clock
		// WallClock returns the time of day, which decides when occurrences are due.
		WallClock Clock
		Log       zerolog.Logger
		Meter     *meter.Meter
		Leases    Leases
		Limits    Limits
		// Address is the address of this entry.
		Address string
		// MayGrantLeases reports whether agents may renew leases: it is true while no other entry can own the jobs.
		MayGrantLeases func() bool
		// Spawn runs a function in the background. If it is nil, the coordinator starts a goroutine.
		Spawn func(func())

		state state
	}

	// vm is a VM with all runs that it has or may have.
	vm struct {
		dispatcher.VM
		agentGeneration string
		reportSequence  uint64
		reportSentMS    int64
		incarnation     int64
		endpointID      string
		state           string
		runsListed      bool
		remaining       time.Duration
		// lastReportAt is when the last report arrived, or the zero time if none has arrived in this epoch.
		lastReportAt time.Time
		runs         map[string]*run
		// processedSequence is the last run result that was processed. recordedSequence is the last one up to which all results are recorded
		// or need no record. pendingResults holds the results between them that are not recorded yet.
		processedSequence   int64
		recordedSequence    int64
		unrecordedSequences map[int64]struct{}
		pacer               pacer.Pacer
		breaker             breaker.Breaker
		// unschedulableUntil is the end of the pause in starts that follows a refusal.
		unschedulableUntil time.Time
		// mayHaveRuns reports whether the VM may have runs that the next owner must find. recordStored reports whether the store holds the
		// record that says so.
		mayHaveRuns  bool
		recordStored bool
		// announcedAt is when the agent was last told who the owner is, before its first report.
		announcedAt time.Time
		tickets     map[string]ticket
	}

	// ticket is the permission of the Advisor to run a step on a VM.
	ticket struct {
		text      string
		expiresAt time.Time
	}

	// run is a run of a task on a VM that may take resources there.
	run struct {
		name       string
		task       *bookkeeper.Task
		vm         *vm
		number     int
		ticketText string
		// needed reports whether the result of the run still matters.
		needed bool
		// confirmed reports whether the agent has confirmed the start. Reports with the sequence visibleFrom or a later one must list the
		// run.
		confirmed   bool
		visibleFrom uint64
		knownSince  time.Time
		// startSentAt is when the start was last sent, or the zero time if it was not sent yet.
		startSentAt time.Time
		stopping    bool
		stopSentAt  time.Time
		lastReport  messenger.Run
		// pace is the pace in percent that the run should have, confirmedPace the one that the agent has confirmed.
		pace          int
		confirmedPace int
		paceSentAt    time.Time
		// raisedAt is when the pace was last raised.
		raisedAt time.Time
		// stuckSince is when the pace became too low for the run to make progress, or the zero time if it is high enough.
		stuckSince time.Time
	}

	// jobRecord is the stored record of an accepted job. Queue is the configuration of its queue at that time.
	jobRecord struct {
		Job   job.Job `json:"job"`
		Queue Queue   `json:"queue"`
	}
)
