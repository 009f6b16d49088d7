// Package coordinator owns batch jobs: it accepts them, lets agents run their tasks and records what came of it.
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
	// Agents delivers orders to the agent at the address. An error leaves open whether they were carried out.
	Agents interface {
		SendOrders(ctx context.Context, vm string, orders messenger.Orders) (messenger.OrdersResponse, error)
	}

	// Journal stores records in groups.
	Journal interface {
		Append(e committer.Write)
		Notify()
		Degraded() bool
	}

	// Advisor tells which VMs the policy of a queue allows for a step.
	Advisor interface {
		// Advise returns the tickets of the endpoints that may run the step, and how long they hold.
		Advise(ctx context.Context, step string, endpoints []string) (map[string]string, time.Duration, error)
	}

	// Clock tells the time, including suspended time.
	Clock interface {
		Now() time.Time
	}

	// Leases holds the lengths on which safety after a lost VM rests. They are those of the agents.
	Leases struct {
		// Grant is how long an agent renews leases without an answer of its owner.
		Grant time.Duration
		// Run is how long a run goes on without a renewal.
		Run time.Duration
		// Contact is how long an owner grants without contact to the store.
		Contact time.Duration
		// Drift is the error of the clocks over these times, and the delay of timers.
		Drift time.Duration
	}

	// Limits are bounds that the platform states.
	Limits struct {
		// Retention is how long the state of an ended job can be asked for.
		Retention time.Duration
		// MissTolerance is how long a long-running task may miss its target because of filling tasks.
		MissTolerance time.Duration
	}

	// Queue is what the configuration says of a route.
	Queue struct {
		dispatcher.Queue
		// Advised tells that starts need a ticket of the Advisor.
		Advised bool
	}

	// Coordinator owns jobs while Granting allows it. Set the exported fields before Run. Concurrent use is safe.
	Coordinator struct {
		Agents  Agents
		Journal Journal
		// Advisor may be nil, then no queue is advised.
		Advisor Advisor
		Clock   Clock
		// WallClock tells the time of day, by which occurrences are due.
		WallClock Clock
		Log       zerolog.Logger
		Meter     *meter.Meter
		Leases    Leases
		Limits    Limits
		// Address is that of this entry.
		Address string
		// Granting tells whether no other entry can own the jobs now.
		Granting func() bool
		// Spawn runs a function in the background; nil starts a goroutine.
		Spawn func(func())

		state state
	}

	// vm is a VM with the runs that it has or may have.
	vm struct {
		dispatcher.VM
		generation string
		sequence   uint64
		sent       int64
		life       int64
		endpoint   string
		state      string
		listed     bool
		remaining  time.Duration
		// heard is when the last report arrived, zero if none has since the epoch began.
		heard time.Time
		runs  map[string]*run
		// processed is the last end taken over, recorded the last one that is stored; pending are those between.
		processed int64
		recorded  int64
		pending   map[int64]struct{}
		pacer     pacer.Pacer
		breaker   breaker.Breaker
		// closedUntil keeps starts away after a refusal.
		closedUntil time.Time
		// mayRun tells that the VM may have runs that a successor must find; stored that the store says so.
		mayRun bool
		stored bool
		// announced is when the agent was last told of this owner before its first report.
		announced time.Time
		tickets   map[string]ticket
	}

	ticket struct {
		text  string
		until time.Time
	}

	// run is a run at a VM that may take room there.
	run struct {
		name   string
		task   *bookkeeper.Task
		vm     *vm
		number int
		ticket string
		// current is false for a run whose outcome does not matter any more.
		current bool
		// answered tells that the agent has confirmed the start; reports from sequence on must show the run.
		answered  bool
		sequence  uint64
		orderedAt time.Time
		// sentAt is when the start was last sent, zero while it waits to be sent.
		sentAt   time.Time
		stopping bool
		stopAt   time.Time
		report   messenger.Run
		// pace is the share in percent that the run should work at, paced the one that the agent has confirmed.
		pace   int
		paced  int
		paceAt time.Time
		// climbedAt is when the pace rose last.
		climbedAt time.Time
		// stuckSince is when the pace became too low to get anything done, zero if it is not.
		stuckSince time.Time
	}

	accepted struct {
		Job   job.Job `json:"job"`
		Queue Queue   `json:"queue"`
	}
)
