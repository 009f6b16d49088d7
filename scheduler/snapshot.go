package scheduler

import (
	"container/list"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"bamboohook/claimer"
	"bamboohook/resource"
)

type (
	// snapshot is the encoded form of a Scheduler. Claimer is the snapshot of its claimer. Ended holds the ids of the
	// ended jobs.
	snapshot struct {
		Claimer  json.RawMessage  `json:"claims"`
		JobCount uint64           `json:"count"`
		Jobs     []jobSnapshot    `json:"jobs"`
		Ended    []string         `json:"ended"`
		Shards   []queuesSnapshot `json:"shards"`
	}

	// queuesSnapshot holds the ids of the jobs in the two queues of a shard, in their order.
	queuesSnapshot struct {
		Waiting []string `json:"waiting"`
		Running []string `json:"running"`
	}

	// jobSnapshot is the encoded form of a job. Waiting and Running hold task numbers. Tasks leaves out the tasks that
	// have never been assigned.
	jobSnapshot struct {
		Record    Job       `json:"record"`
		Number    uint64    `json:"number"`
		Submitted time.Time `json:"submitted,omitzero"`
		Cancelled bool      `json:"cancelled,omitempty"`
		Parked    bool      `json:"parked,omitempty"`
		Reason    string    `json:"reason,omitempty"`
		// Counts holds, in this order, the number of done tasks, failed tasks, cancelled tasks and evictions.
		Counts  [4]int         `json:"counts"`
		Waiting []int          `json:"waiting,omitempty"`
		Running []int          `json:"running,omitempty"`
		Tasks   []taskSnapshot `json:"tasks,omitempty"`
	}

	// taskSnapshot is the encoded form of a task that was assigned at least once.
	taskSnapshot struct {
		Number     int             `json:"number"`
		Phase      phase           `json:"phase"`
		Attempt    int             `json:"attempt"`
		Failures   int             `json:"failures,omitempty"`
		Epoch      uint64          `json:"epoch,omitempty"`
		VMs        []string        `json:"vms,omitempty"`
		Checkpoint string          `json:"checkpoint,omitempty"`
		Size       resource.Amount `json:"size,omitzero"`
		RunTime    time.Duration   `json:"run-time,omitzero"`
	}
)

// Snapshot returns the whole state as JSON, including the owners of the shards. Equal states give equal bytes.
func (s *Scheduler) Snapshot() []byte {
	out := snapshot{Claimer: s.claimer.Snapshot(), JobCount: s.jobCount, Ended: jobIDs(s.endedJobs)}
	for _, q := range s.shards {
		out.Shards = append(out.Shards, queuesSnapshot{jobIDs(q.waiting), jobIDs(q.running)})
	}
	// List sorts the jobs by number. The iteration order of the map of jobs would differ from call to call.
	for _, status := range s.List(len(s.jobs)) {
		out.Jobs = append(out.Jobs, s.jobs[status.ID].snapshot())
	}
	encoded, err := json.Marshal(out)
	if err != nil {
		panic("scheduler: cannot encode state: " + err.Error())
	}
	return encoded
}

// Restore replaces the state by a snapshot. On error the state is unchanged.
func (s *Scheduler) Restore(encoded []byte) error {
	var in snapshot
	if err := json.Unmarshal(encoded, &in); err != nil {
		return eris.Wrap(err, "scheduler: cannot decode snapshot")
	}
	restoredClaimer := claimer.New(claimer.Options{Entry: s.claimer.Entry()})
	if err := restoredClaimer.Restore(in.Claimer); err != nil {
		return eris.Wrap(err, "scheduler: cannot decode shard owners in snapshot")
	}
	if restoredClaimer.ShardCount() != len(in.Shards) || len(in.Shards) == 0 {
		return eris.Errorf("scheduler: snapshot has queues for %d shards and owners for %d; the numbers must be equal and not 0", len(in.Shards), restoredClaimer.ShardCount())
	}
	restoredScheduler := New(restoredClaimer)
	restoredScheduler.jobCount = in.JobCount
	for _, encodedJob := range in.Jobs {
		j, err := encodedJob.restore(restoredScheduler.ShardOf(encodedJob.Record.ID))
		if err != nil {
			return err
		}
		restoredScheduler.jobs[encodedJob.Record.ID] = j
	}
	if err := restoredScheduler.restoreQueues(in); err != nil {
		return err
	}
	// The claimer that the scheduler was created with is overwritten instead of replaced, because callers keep a
	// pointer to it.
	*s.claimer = *restoredClaimer
	restoredScheduler.claimer = s.claimer
	*s = *restoredScheduler
	return nil
}

// restoreQueues fills the queues of the shards and the list of ended jobs from the snapshot.
func (s *Scheduler) restoreQueues(in snapshot) error {
	for i, q := range in.Shards {
		for _, id := range q.Waiting {
			j, ok := s.jobs[id]
			if !ok {
				return eris.Errorf("scheduler: queue of jobs with waiting tasks in snapshot contains unknown job %q", id)
			}
			j.waitingElement = s.shards[i].waiting.PushBack(j)
		}
		for _, id := range q.Running {
			j, ok := s.jobs[id]
			if !ok {
				return eris.Errorf("scheduler: queue of jobs with running tasks in snapshot contains unknown job %q", id)
			}
			j.runningElement = s.shards[i].running.PushBack(j)
		}
	}
	for _, id := range in.Ended {
		s.endedJobs.PushBack(id)
	}
	return nil
}

func (j *job) snapshot() jobSnapshot {
	out := jobSnapshot{
		Record: j.record, Number: j.number, Cancelled: j.cancelled, Reason: j.reason, Submitted: j.submitted, Parked: j.parked,
		Waiting: j.waiting, Running: j.running,
		Counts: [4]int{j.counts.done, j.counts.failed, j.counts.cancelled, j.counts.evictions},
	}
	for n, t := range j.tasks {
		if t.lastAttempt > 0 {
			out.Tasks = append(out.Tasks, taskSnapshot{n, t.phase, t.lastAttempt, t.failures, t.epoch, t.vms, t.checkpoint, t.size, t.runTime})
		}
	}
	return out
}

// restore returns the job of the shard, or an error if the snapshot of the job is not valid.
func (in jobSnapshot) restore(shard int) (*job, error) {
	c := in.Counts
	j := &job{
		record: in.Record, shard: shard, number: in.Number, cancelled: in.Cancelled, reason: in.Reason,
		submitted: in.Submitted, parked: in.Parked,
		counts: counts{c[0], c[1], c[2], c[3]},
	}
	if !in.Record.Valid() {
		return nil, eris.Errorf("scheduler: snapshot contains job %q, which has no id, no tasks, a negative value or a value above its limit", in.Record.ID)
	}
	if j.ended() {
		return j, nil
	}
	j.tasks = make([]taskState, in.Record.Tasks)
	for _, t := range in.Tasks {
		if t.Number < 0 || t.Number >= len(j.tasks) {
			return nil, eris.Errorf("scheduler: snapshot of job %q contains task number %d, but the job has %d tasks, numbered from 0", in.Record.ID, t.Number, len(j.tasks))
		}
		j.tasks[t.Number] = taskState{
			phase: t.Phase, lastAttempt: t.Attempt, failures: t.Failures, epoch: t.Epoch, vms: t.VMs, checkpoint: t.Checkpoint,
			size: t.Size, runTime: t.RunTime,
		}
	}
	for _, phaseList := range []struct {
		from []int
		to   *[]int
	}{{in.Waiting, &j.waiting}, {in.Running, &j.running}} {
		for _, n := range phaseList.from {
			if n < 0 || n >= len(j.tasks) {
				return nil, eris.Errorf("scheduler: list of waiting or running tasks of job %q in snapshot contains task number %d, but the job has %d tasks, numbered from 0", in.Record.ID, n, len(j.tasks))
			}
			j.addToList(phaseList.to, n)
		}
	}
	return j, nil
}

// jobIDs returns the ids of the jobs in a list. Its elements are jobs or ids of jobs.
func jobIDs(l *list.List) []string {
	out := make([]string, 0, l.Len())
	for e := l.Front(); e != nil; e = e.Next() {
		switch element := e.Value.(type) {
		case string:
			out = append(out, element)
		case *job:
			out = append(out, element.record.ID)
		}
	}
	return out
}
