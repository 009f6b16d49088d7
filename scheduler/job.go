package scheduler

import (
	"container/list"
	"time"

	"bamboohook/resource"
)

// Phases of a task. The values are part of snapshots.
const (
	phaseWaiting phase = iota
	phaseRunning
	phaseDone
	phaseFailed
	phaseCancelled
)

// States of a job in Status.
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
	phase uint8

	// taskState is the state of one task.
	taskState struct {
		phase       phase
		lastAttempt int
		failures    int
		// listIndex is the position of the task in job.waiting or job.running.
		listIndex  int
		epoch      uint64
		vms        []string
		checkpoint string
		// size and runTime are the values of the assignment. Zero means the values that the job declares.
		size    resource.Amount
		runTime time.Duration
	}

	counts struct {
		done, failed, cancelled, evictions int
	}

	job struct {
		record Job
		shard  int
		// number is the position of the job in the order of all jobs.
		number    uint64
		submitted time.Time
		cancelled bool
		parked    bool
		reason    string
		tasks     []taskState
		// waiting and running hold the numbers of the tasks in these phases. WaitingTasks yields the tasks of waiting
		// from the last element to the first.
		waiting []int
		running []int
		counts  counts
		// waitingElement and runningElement are the elements of the job in the queues of its shard, or nil.
		waitingElement *list.Element
		runningElement *list.Element
	}
)

// Valid reports whether the job is within the bounds that the constants of this package set.
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

func (j *job) ended() bool {
	return j.counts.done+j.counts.failed+j.counts.cancelled == j.record.Tasks
}

func (j *job) addToList(taskNumbers *[]int, taskNumber int) {
	j.tasks[taskNumber].listIndex = len(*taskNumbers)
	*taskNumbers = append(*taskNumbers, taskNumber)
}

// dequeue removes the task from the queue. The last task of the queue takes its place.
func (j *job) removeFromList(taskNumbers *[]int, taskNumber int) {
	numbers, i := *taskNumbers, j.tasks[taskNumber].listIndex
	last := len(numbers) - 1
	numbers[i] = numbers[last]
	j.tasks[numbers[i]].listIndex = i
	*taskNumbers = numbers[:last]
}

// requeue ends the current attempt of a task without counting an outcome. The task waits again, or is cancelled if
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

// finish ends the current attempt and its task, and increments the count of the phase.
func (j *job) finish(taskNumber int, to phase, count *int) {
	j.removeFromList(&j.running, taskNumber)
	t := &j.tasks[taskNumber]
	t.phase, t.vms, t.checkpoint = to, nil, ""
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
