package scheduler

import (
	"container/list"
	"time"

	"bamboohook/resource"
)

// Phases of a task, as numbers that are stored in snapshots. A task in phaseRunning has been assigned to VMs, whether
// or not its attempt was started. A task in phaseFailed has failed more often than its job allows.
const (
	phaseWaiting phase = iota
	phaseRunning
	phaseDone
	phaseFailed
	phaseCancelled
)

// States of a job in Status. A job is waiting while none of its tasks is running, done or failed. A cancelled job is
// cancelling until its running attempts have ended. An ended job is cancelled if any of its tasks is cancelled,
// otherwise failed if any task is failed, and otherwise done.
const (
	StateWaiting    = "waiting"
	StateRunning    = "running"
	StateDone       = "done"
	StateFailed     = "failed"
	StateCancelling = "cancelling"
	StateCancelled  = "cancelled"
	StateParked     = "parked"
)

type (
	// phase is the phase of a task.
	phase uint8

	// taskState is what the replayed records tell about one task.
	taskState struct {
		phase phase
		// lastAttempt is the number of the last attempt that was assigned, or 0 if there was none. failures is the
		// number of attempts that failed.
		lastAttempt int
		failures    int
		// listIndex is the index of the task in job.waiting or job.running, whichever list it is in.
		listIndex int
		// epoch is that of the last assignment. vms are the VMs of the current attempt, or empty if there is none.
		epoch      uint64
		vms        []string
		checkpoint string
		// size and runTime are the expected demand in the assignment. They are zero if the assignment sets none, and
		// then the values that the job declares apply.
		size    resource.Amount
		runTime time.Duration
	}

	// counts holds the number of tasks of a job in each final phase, and the number of evictions so far.
	counts struct {
		done, failed, cancelled, evictions int
	}

	// job is a job with the state of its tasks. record is the record that submitted it.
	job struct {
		record Job
		shard  int
		// number counts the jobs in the order of their records in the stream. submitted is the log time of the job's
		// record.
		number    uint64
		submitted time.Time
		cancelled bool
		parked    bool
		reason    string
		tasks     []taskState
		// waiting and running hold the numbers of the tasks in these phases. WaitingTasks yields the tasks in waiting
		// from the last element to the first.
		waiting []int
		running []int
		counts  counts
		// waitingElement and runningElement are the elements of the job in the shard's queues of jobs with waiting tasks
		// and of jobs with running tasks, or nil if the job is not in the queue.
		waitingElement *list.Element
		runningElement *list.Element
	}
)

// Valid reports whether the job has an id and tasks, no negative values, and no value above MaxIDBytes, MaxTasks,
// MaxPayloadBytes and MaxRetries.
func (r Job) Valid() bool {
	return r.ID != "" && len(r.ID) <= MaxIDBytes && r.Tasks >= 1 && r.Tasks <= MaxTasks && !r.Size.Negative() &&
		r.RunTime >= 0 && len(r.Payload) <= MaxPayloadBytes && r.Retries >= 0 && r.Retries <= MaxRetries
}

func newJob(r Job, shard int, number uint64, submitted time.Time) *job {
	j := &job{
		record: r, shard: shard, number: number, submitted: submitted,
		tasks: make([]taskState, r.Tasks), waiting: make([]int, 0, r.Tasks),
	}
	for t := r.Tasks - 1; t >= 0; t-- {
		j.addToList(&j.waiting, t)
	}
	return j
}

// ended reports whether all tasks of the job are done, failed or cancelled.
func (j *job) ended() bool {
	return j.counts.done+j.counts.failed+j.counts.cancelled == j.record.Tasks
}

// addToList appends the task to the list of task numbers, which is waiting or running.
func (j *job) addToList(taskNumbers *[]int, taskNumber int) {
	j.tasks[taskNumber].listIndex = len(*taskNumbers)
	*taskNumbers = append(*taskNumbers, taskNumber)
}

// removeFromList removes the task from the list of task numbers, which is waiting or running. The last task of the
// list takes its place.
func (j *job) removeFromList(taskNumbers *[]int, taskNumber int) {
	numbers, i := *taskNumbers, j.tasks[taskNumber].listIndex
	last := len(numbers) - 1
	numbers[i] = numbers[last]
	j.tasks[numbers[i]].listIndex = i
	*taskNumbers = numbers[:last]
}

// requeue ends the current attempt of a task that has not completed. The task waits again, or counts as cancelled if
// the job was cancelled.
func (j *job) requeue(taskNumber int) {
	if j.cancelled {
		j.finish(taskNumber, phaseCancelled, &j.counts.cancelled)
		return
	}
	j.removeFromList(&j.running, taskNumber)
	t := &j.tasks[taskNumber]
	t.phase, t.vms, t.size, t.runTime = phaseWaiting, nil, resource.Amount{}, 0
	j.addToList(&j.waiting, taskNumber)
}

// completableBy reports whether the given attempt, if it has completed, completes the task. An earlier attempt may have
// completed on a VM that was cut off, after its loss was recorded. The waiting tasks of a cancelled job already count as
// cancelled.
func (t *taskState) completableBy(attempt int, jobCancelled bool) bool {
	if attempt < 1 || attempt > t.lastAttempt {
		return false
	}
	return t.phase == phaseRunning || t.phase == phaseWaiting && !jobCancelled
}

// finish ends the current attempt of a task, if there is one, moves the task to a final phase and increments the count
// of that phase.
func (j *job) finish(taskNumber int, finalPhase phase, count *int) {
	t := &j.tasks[taskNumber]
	if t.phase == phaseWaiting {
		j.removeFromList(&j.waiting, taskNumber)
	} else {
		j.removeFromList(&j.running, taskNumber)
	}
	t.phase, t.vms, t.checkpoint = finalPhase, nil, ""
	*count++
}

func (j *job) status() Status {
	s := Status{
		ID: j.record.ID, Team: j.record.Team, Kind: j.record.Kind, Tasks: j.record.Tasks, Reason: j.reason,
		Waiting: len(j.waiting), Running: len(j.running), Done: j.counts.done, Failed: j.counts.failed,
		Cancelled: j.counts.cancelled, Evictions: j.counts.evictions,
	}
	s.Progress = float64(s.Done) / float64(s.Tasks)
	switch {
	case j.ended() && s.Cancelled > 0:
		s.State = StateCancelled
	case j.ended() && s.Failed > 0:
		s.State = StateFailed
	case j.ended():
		s.State = StateDone
	case j.cancelled:
		s.State = StateCancelling
	case j.parked:
		s.State = StateParked
	case s.Running+s.Done+s.Failed > 0:
		s.State = StateRunning
	default:
		s.State = StateWaiting
	}
	return s
}
