// Package coordinator manages the batch jobs. Of the entries, the processes that serve callers, one at a time is the owner of the jobs, and only
// its coordinator is active. The coordinator accepts jobs, orders the agents on the VMs to start and stop runs of their tasks, and records the
// results. The endpoint process on a VM executes the runs, and the agent reports them to the owner.
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
	"bamboohook/internal/fleet/evacuation"
	"bamboohook/internal/fleet/messenger"
	"bamboohook/internal/fleet/meter"
	"bamboohook/internal/fleet/windower"
)

type (
	// Agents sends orders to agents.
	Agents interface {
		// SendOrders sends orders to the agent of the VM and returns its response. After an error, it is unknown whether the agent has
		// carried out the orders.
		SendOrders(ctx context.Context, vm string, orders messenger.Orders) (messenger.OrdersResponse, error)
	}

	// Journal writes records to the store in batches.
	Journal interface {
		// Append queues a write. The journal calls its Done function once the write is stored or has failed.
		Append(w committer.Write)
		// Notify makes the journal call Coordinator.CollectWrites soon.
		Notify()
		// Degraded reports whether the store fails or is slow, so that a write is unlikely to be stored soon.
		Degraded() bool
	}

	// Advisor is a client of the advice service, which decides on which VMs a step of an advised queue may run.
	Advisor interface {
		// Advise requests permission to run the step at the endpoints. It returns the texts of the tickets by the IDs of the endpoints that may
		// run the step, and how long the tickets are valid.
		Advise(ctx context.Context, step string, endpoints []string) (map[string]string, time.Duration, error)
	}

	// Clock returns the current time. It must also advance while the machine is suspended.
	Clock interface {
		Now() time.Time
	}

	// Leases holds the durations that add up to the time after which all runs on a VM without contact to the owner have ended, so that its
	// tasks may run elsewhere. A lease lets a run continue for a limited time. The agent renews the leases of its runs while the owner
	// allows that. Agents must use the same durations.
	Leases struct {
		// Grant is how long an agent may renew leases after it has sent a report, if the owner's response to the report allows that.
		Grant time.Duration
		// Run is how long a run continues after the last renewal of its lease.
		Run time.Duration
		// Contact is how long an owner lets agents renew leases after its last contact with the store.
		Contact time.Duration
		// Drift is the highest error of the clocks over these durations, plus the delay of timers.
		Drift time.Duration
	}

	// Limits holds limits that the settings of the platform define.
	Limits struct {
		// Retention is how long callers can ask for the state of an ended job.
		Retention time.Duration
		// MissTolerance is how long a long-running task may miss its latency target because of best-effort tasks.
		MissTolerance time.Duration
		// StopTimeout is the longest time between the confirmation of a stop by an endpoint and the end of the run.
		StopTimeout time.Duration
		// RemoteFactor is the ratio of the duration of a task off its preferred rack to that on it. Up to 1, no task waits for its rack.
		RemoteFactor float64
		// RecordBytes is the size of the largest record that the store accepts, RequestBytes that of all records in one write. 0 means no limit.
		RecordBytes  int
		RequestBytes int
	}

	// Queue is the configuration of a queue to which jobs are submitted.
	Queue struct {
		dispatcher.Queue
		// Advised reports whether the start of a task needs a ticket from the Advisor. The name of the field is part of the
		// stored records of jobs, like those of the other fields.
		Advised bool
		// AdviceTime and AdviceTimePerVM are how long the Advisor takes for a request and for each VM in it.
		AdviceTime      time.Duration `json:",omitempty"`
		AdviceTimePerVM time.Duration `json:",omitempty"`
	}

	// Coordinator owns the batch jobs between TakeOwnership and Resign. Set the exported fields before Run. It is safe for concurrent use.
	Coordinator struct {
		Agents  Agents
		Journal Journal
		// Advisor may be nil if no queue is advised.
		Advisor Advisor
		Clock   Clock
		// WallClock returns the date and the time of day, by which occurrences become due and ended jobs are removed.
		WallClock Clock
		Log       zerolog.Logger
		Meter     *meter.Meter
		Leases    Leases
		Limits    Limits
		// Address is the address at which agents reach this entry.
		Address string
		// OnOutdated is called when another entry has a newer configuration of the queues. It must not block. It may be nil.
		OnOutdated func()
		// Evacuations returns the set of evacuated data centres, or nil if none is known, and the time since the store certainly had no later record about
		// them. If it is nil, no data centre is ever evacuated. Call WakePlanner when the set changes.
		Evacuations func() (set *evacuation.Set, age time.Duration)
		// MaxEvacuationAge is the age of the set from which on nothing is placed on any VM, since a data centre may be evacuated. The same holds while no
		// set is known. 0 means that no bound applies, and that an unknown set counts as empty.
		MaxEvacuationAge time.Duration
		// MayGrantLeases reports whether agents may renew leases: it is true while no other entry can own the jobs.
		MayGrantLeases func() bool
		// MayShowStates reports whether callers may see the states of jobs. It is false after a pause of this process, in which another entry may have
		// become the owner, until that is known.
		MayShowStates func() bool
		// OwnedAt returns the latest time at which certainly no other entry owned the jobs. A later owner renews leases, so the silence of a VM
		// proves that its leases have expired only if no other entry owned the jobs until then.
		OwnedAt func() time.Time
		// ConfirmedAt returns when the last request was sent to which the store has responded and which shows that this entry was the owner of the
		// epoch, or the zero time. ConfirmOwnership sends such a request at once. Without them, new agent processes that could not ask all entries for
		// the owner accept starts only after a time-out.
		ConfirmedAt      func(epoch uint64) time.Time
		ConfirmOwnership func(ctx context.Context, epoch uint64) error
		// Spawn runs a function in the background. If it is nil, the coordinator starts a goroutine.
		Spawn func(func())

		state state
	}

	// vm is a VM with all runs that it has or may have. Its name is the address of its agent.
	vm struct {
		dispatcher.VM
		// agentGeneration identifies the agent process, incarnation the endpoint process. incarnation is 0 until it is known. session is the
		// number that this owner gave to the agent process, or 0 before its first report. identifiedAt is when it was given.
		agentGeneration string
		session         uint64
		identifiedAt    time.Time
		// startsRefusedUntil is when the agent process accepts starts although it could not ask all entries for the owner, according to the last
		// report. It is the zero time if it accepts them.
		startsRefusedUntil time.Time
		// reportSequence is the sequence number of the last report. reportSentMS is when that report was sent, in milliseconds since the start
		// of the agent process.
		reportSequence uint64
		reportSentMS   int64
		incarnation    int64
		endpointID     string
		// dataCentre is the last reported data centre, or "" before one was reported.
		// agentDataCentre is the one in the settings of the agent, unless that is the same.
		dataCentre      string
		agentDataCentre string
		// reportedState is the state of the VM in the last report.
		reportedState string
		// runsListed reports whether the last report listed all runs of the endpoint process. unknownRuns reports that a row without a readable task
		// may be that of a run that neither the agent nor this owner knows.
		runsListed  bool
		unknownRuns bool
		// listAge is the age of that list when the report was sent. resultsMissing reports that the endpoint may hold more run results.
		listAge        time.Duration
		resultsMissing bool
		// remainingTime is the reported minimum time that a draining VM keeps running. Nothing reads it.
		remainingTime time.Duration
		// lastReportAt is when the last report arrived, or the zero time if none has arrived in this epoch. lastListedAt is the same for the last one that
		// listed the runs, or said that no endpoint listens.
		lastReportAt time.Time
		lastListedAt time.Time
		// runs holds the runs that the VM has or may have, by the names of their tasks.
		runs map[string]*run
		// processedSequence is the sequence number of the last run result that was processed. recordedSequence is the highest number up to
		// which all results are recorded or need no record. unrecordedSequences holds the numbers of the processed results that must still be
		// recorded.
		processedSequence   int64
		recordedSequence    int64
		unrecordedSequences map[int64]struct{}
		pacer               pacer.Pacer
		breaker             breaker.Breaker
		// startWindow limits how many starts may be unconfirmed, by what the agent has confirmed in time. pendingStarts is how many are.
		startWindow   windower.Windower
		pendingStarts int
		// startsRefusedAt is when the agent last refused a start, or the zero time if a later start has succeeded.
		startsRefusedAt time.Time
		// unschedulableUntil is when tasks may start on the VM again after its agent has refused orders or a start.
		unschedulableUntil time.Time
		// mayHaveRuns reports whether the VM may have runs. The next owner must then wait for a report of the VM. recordStored reports whether
		// the store holds the record of the VM that tells the next owner so.
		mayHaveRuns  bool
		recordStored bool
		// hasUnknownRuns reports whether the VM has a run of an unknown task.
		hasUnknownRuns bool
		// recordedService is the service of the VM according to the record of an earlier owner. It only orders the calls of the agents.
		recordedService string
		// announcedAt is when empty orders that name the owner were last sent to the agent. They are sent until its first report in this epoch
		// arrives.
		announcedAt time.Time
	}

	// run is an execution of a task on a VM, from the choice of the VM until the run certainly uses no resources there any more.
	run struct {
		// taskName is the name of the task. task is nil if the owner does not know the task.
		taskName string
		task     *bookkeeper.Task
		vm       *vm
		// number is the number of the run among the runs of its task.
		number int
		// ticketText is the text of the Advisor's ticket for the start, or empty if the queue is not advised.
		ticketText string
		// needed reports whether the result of the run still matters to its task.
		needed bool
		// startPending reports whether this owner has placed the run and does not know yet whether it exists.
		startPending bool
		// confirmed reports whether the run certainly exists or has existed, since confirmedAt.
		confirmed   bool
		confirmedAt time.Time
		// If expectedInReports is set, a complete report with the sequence number visibleFrom or a higher one lists the run unless it has
		// ended. Otherwise, the run may be missing in a report although its start may still reach the endpoint.
		expectedInReports bool
		visibleFrom       uint64
		// If mayReachNextProcess is set, a copy of the start may still reach the next endpoint process of the VM. Only a complete list of the runs
		// shows whether it has, or the time after which the start has expired.
		mayReachNextProcess bool
		// knownSince is when the run was placed on the VM, or when it was found there.
		knownSince time.Time
		// startSentAt is when the start was last sent, or the zero time if it was not sent yet. startsSent is how often it was sent.
		startSentAt time.Time
		startsSent  int
		// stopping reports whether the run should be stopped. stopSentAt is when the stop was last sent, stopsSent is how often it was sent.
		stopping   bool
		stopSentAt time.Time
		stopsSent  int
		// If settling is set, the run is only stopping because a copy of its start was refused while other copies of it may take effect.
		settling bool
		// stopConfirmedAt is when the owner received the first confirmation of a stop by the VM's current endpoint process, unlistedSince when a
		// report first lacked the run because of a row without a readable task. Both are the zero time if that has not happened.
		stopConfirmedAt time.Time
		unlistedSince   time.Time
		// lastReport is the state of the run in the last report that listed it.
		lastReport messenger.Run
		// pace is the pace in percent that the run should have, as package pacer defines it. confirmedPace is the pace that the agent has
		// confirmed, or unconfirmedPace, and paceSentAt the time when a pace was last sent.
		pace          int
		confirmedPace int
		paceSentAt    time.Time
		// raisedAt is when the pace was last raised.
		raisedAt time.Time
		// lostTime is how long the task of a best-effort run has waited before the run, or the run could not work because of its pace. lostTimeAt is when
		// lostTime was last updated.
		lostTime   time.Duration
		lostTimeAt time.Time
		// waited is how long the task had waited when the run was placed on the VM.
		waited time.Duration
		// startedOverdue reports whether the task was overdue when the run was placed on the VM.
		startedOverdue bool
		// offRack reports whether the run is off the preferred rack of its task, or its gang on several racks that should be on one.
		offRack bool
		// paceLowSince is when the pace fell below stuckBelowPercent, or the zero time if it is not below that now.
		paceLowSince time.Time
	}

	// jobRecord is the stored record of an accepted job. Queue is the configuration of the job's queue when the job was accepted.
	jobRecord struct {
		Job   job.Job `json:"job"`
		Queue Queue   `json:"queue"`
		// Epoch is the epoch of the owner that has accepted the job.
		Epoch uint64 `json:"epoch"`
	}
)
