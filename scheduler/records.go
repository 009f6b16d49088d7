package scheduler

import (
	"time"

	"bamboohook/resource"
	"bamboohook/task"
)

// Kinds of the records that this package replays.
const (
	KindJob          = "job"
	KindAssignment   = "assignment"
	KindResult       = "result"
	KindInterruption = "eviction"
	KindCancel       = "cancel"
	KindPark         = "park"
)

// Outcomes of an attempt in a Result.
const (
	OutcomeDone   = "done"
	OutcomeFailed = "failed"
)

// Reasons of an Interruption. The owner of a shard may use further reasons. Only interruptions with ReasonEvicted
// count as evictions in Status.
const (
	// ReasonEvicted means that the owner had the attempt checkpointed and stopped, so that its resources become free.
	ReasonEvicted = "evicted"
	// ReasonDrained means that the agent stopped the attempt because its VM is draining.
	ReasonDrained = "drained"
	// ReasonLeaseExpired means that the agent stopped the attempt because its lease expired.
	ReasonLeaseExpired = "lapsed"
	// ReasonLost means that the VM certainly no longer runs the attempt, but that nothing is known about how it ended.
	ReasonLost = "lost"
	// ReasonCancelled means that the attempt was stopped because its job was cancelled.
	ReasonCancelled = "cancelled"
)

// Bounds of a job. They determine whether a record takes effect, so all entries of a region must use the same values.
const (
	MaxTasks        = 100_000
	MaxRetries      = 100
	MaxIDBytes      = 128
	MaxPayloadBytes = 64 << 10
	// maxEndedJobs is how many ended jobs are kept. It exceeds the 15,000 jobs that a region is expected to get in a
	// day, so an ended job is kept for at least a day. Once it is removed, a new job may use its id.
	maxEndedJobs = 20_000
)

type (
	// Job submits a job. Of several records with the same id, only the first takes effect while its job is kept. Jobs
	// and cancellations come from callers and carry no epoch, so any entry may append them.
	Job struct {
		ID    string          `json:"id"`
		Team  string          `json:"team"`
		Kind  string          `json:"kind"`
		Tasks int             `json:"tasks"`
		Size  resource.Amount `json:"size"`
		// RunTime is the run time that the job declares for each of its tasks.
		RunTime time.Duration `json:"run-time"`
		Payload string        `json:"payload,omitempty"`
		// Retries is how many times at most a failed task of the job is started again.
		Retries int `json:"retries"`
	}

	// Assignment begins an attempt of a task, which one of the listed VMs may run. Its epoch is that of the shard's
	// owner, which appends the record.
	Assignment struct {
		task.Identity
		VMs []string `json:"vms"`
		// Size and RunTime are the demand that the owner expects of the attempt. Zero means that the owner expects the
		// values that the job declares.
		Size    resource.Amount `json:"size,omitzero"`
		RunTime time.Duration   `json:"run-time,omitzero"`
	}

	// Result ends an attempt that has completed or failed. A completed attempt completes its task even if the task waits
	// again or has a later attempt, which must then be stopped. Its epoch is that of the shard's owner, which appends the
	// record.
	Result struct {
		task.Identity
		Outcome string `json:"outcome"`
		Reason  string `json:"reason,omitempty"`
		VM      string `json:"vm,omitempty"`
	}

	// Interruption ends an attempt that has neither completed nor failed. Reason is one of the constants ReasonEvicted
	// to ReasonCancelled, or another reason that the owner defines. The record is appended only when the attempt
	// certainly no longer runs. The task then waits again, unless its job was cancelled. The epoch is that of the
	// shard's owner, which appends the record.
	Interruption struct {
		task.Identity
		// Checkpoint is the checkpoint from which the next attempt resumes. If it is empty, the checkpoint of an earlier
		// attempt stays in use.
		Checkpoint string `json:"checkpoint,omitempty"`
		Reason     string `json:"reason"`
		VM         string `json:"vm,omitempty"`
	}

	// Cancel cancels a job. No further attempt of it is assigned, and the owner of its shard stops its running
	// attempts.
	Cancel struct {
		Job    string `json:"job"`
		Reason string `json:"reason,omitempty"`
	}

	// Park parks a job: no further attempt of it is assigned, but its running attempts continue. The epoch is that of
	// the shard's owner, which appends the record.
	Park struct {
		Job    string `json:"job"`
		Shard  int    `json:"shard"`
		Epoch  uint64 `json:"epoch"`
		Reason string `json:"reason"`
	}

	// Task describes a waiting or running task, with all that is needed to assign and start it.
	Task struct {
		// Identity names the current attempt of a running task, or the next attempt of a waiting task. Its epoch is that
		// of the assignment record, or 0 for a waiting task.
		task.Identity
		Team string
		Kind string
		// Size and RunTime are the demand in the assignment of a running task. For a waiting task, or if the assignment
		// sets none, they are the values that the job declares.
		Size    resource.Amount
		RunTime time.Duration
		// DeclaredSize and DeclaredRunTime are the values that the job declares.
		DeclaredSize    resource.Amount
		DeclaredRunTime time.Duration
		// Submitted is the time at which the log service stored the record that submitted the job.
		Submitted  time.Time
		Payload    string
		Checkpoint string
		// VMs are the VMs of the assignment, one of which may run the attempt. The caller must not modify the slice.
		VMs []string
		// Cancelled and Parked tell whether the job was cancelled or parked.
		Cancelled bool
		Parked    bool
	}

	// Status is the state of a job, with the number of its tasks in each phase and the number of its evictions so far.
	// A task counts as running from its assignment, whether or not its attempt was started. Progress is the share of
	// the tasks that are done, from 0 to 1.
	Status struct {
		ID        string  `json:"id"`
		Team      string  `json:"team"`
		Kind      string  `json:"kind"`
		State     string  `json:"state"`
		Tasks     int     `json:"tasks"`
		Waiting   int     `json:"waiting"`
		Running   int     `json:"running"`
		Done      int     `json:"done"`
		Failed    int     `json:"failed"`
		Cancelled int     `json:"cancelled"`
		Evictions int     `json:"evictions"`
		Progress  float64 `json:"progress"`
		Reason    string  `json:"reason,omitempty"`
	}
)
