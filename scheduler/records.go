package scheduler

import (
	"time"

	"bamboohook/resource"
	"bamboohook/task"
)

// Record kinds that this package replays.
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

// Reasons of an Interruption. Status counts only those with ReasonEvicted as evictions.
const (
	// ReasonEvicted means that the attempt was stopped to free its resources.
	ReasonEvicted = "evicted"
	// ReasonDrained means that the agent stopped the attempt because its VM is draining.
	ReasonDrained = "drained"
	// ReasonLeaseExpired means that the VM reported that the attempt was stopped because its lease expired.
	ReasonLeaseExpired = "lapsed"
	// ReasonLost means that the owner learned nothing about the end of the attempt, but its VM no longer runs it.
	ReasonLost      = "lost"
	ReasonCancelled = "cancelled"
)

// Bounds of a job. Whether a record takes effect depends on them, so all entries must use the same values.
const (
	MaxTasks        = 100_000
	MaxRetries      = 100
	MaxIDBytes      = 128
	MaxPayloadBytes = 64 << 10
	// maxEndedJobs is how many ended jobs are kept. At 15,000 jobs a day, an ended job is kept for at least a day. Once
	// it is removed, a new job may use its id again.
	maxEndedJobs = 20_000
)

type (
	// Job submits a job. Of several records with the same id, only the first has an effect. Jobs and cancellations
	// come from callers and carry no epoch, so any entry may append them.
	Job struct {
		ID    string          `json:"id"`
		Team  string          `json:"team"`
		Kind  string          `json:"kind"`
		Tasks int             `json:"tasks"`
		Size  resource.Amount `json:"size"`
		// RunTime is the declared run time of each task.
		RunTime time.Duration `json:"run-time"`
		Payload string        `json:"payload,omitempty"`
		// Retries is how many times at most a failed task is started again.
		Retries int `json:"retries"`
	}

	// Assignment begins an attempt of a task. One of the listed VMs may run it. The epoch is that of the owner that
	// appends the record.
	Assignment struct {
		task.Identity
		VMs []string `json:"vms"`
		// Size and RunTime are the demand that the owner expects. Zero means that the values declared by the job are
		// expected.
		Size    resource.Amount `json:"size,omitzero"`
		RunTime time.Duration   `json:"run-time,omitzero"`
	}

	// Result ends an attempt that has completed or failed. The epoch is that of the owner that appends the record.
	Result struct {
		task.Identity
		Outcome string `json:"outcome"`
		Reason  string `json:"reason,omitempty"`
		VM      string `json:"vm,omitempty"`
	}

	// Interruption ends an attempt that has neither completed nor failed, for one of the reasons above or a reason of
	// the owner. It is appended only when the attempt certainly no longer runs. The task then waits again, unless its
	// job was cancelled. The epoch is that of the owner that appends the record.
	Interruption struct {
		task.Identity
		// Checkpoint is the checkpoint from which the next attempt resumes. If it is empty, the previous checkpoint
		// stays in use.
		Checkpoint string `json:"checkpoint,omitempty"`
		Reason     string `json:"reason"`
		VM         string `json:"vm,omitempty"`
	}

	// Cancel cancels a job. No further attempt starts, and the owner of the job's shard stops the running attempts.
	Cancel struct {
		Job    string `json:"job"`
		Reason string `json:"reason,omitempty"`
	}

	// Park keeps further attempts of a job from starting. Running attempts continue. The epoch is that of the owner
	// that appends the record.
	Park struct {
		Job    string `json:"job"`
		Shard  int    `json:"shard"`
		Epoch  uint64 `json:"epoch"`
		Reason string `json:"reason"`
	}

	// Task describes a waiting or running task, with all that is needed to start it.
	Task struct {
		// Identity names the current attempt of a running task, or the next attempt of a waiting task. The epoch is
		// that of the assignment record, or 0 for a waiting task.
		task.Identity
		Team string
		Kind string
		// Size and RunTime are the values of the assignment, or for a waiting task those that the job declares.
		Size    resource.Amount
		RunTime time.Duration
		// DeclaredSize and DeclaredRunTime are the values that the job declares.
		DeclaredSize    resource.Amount
		DeclaredRunTime time.Duration
		// Submitted is the log time of the job's record.
		Submitted  time.Time
		Payload    string
		Checkpoint string
		// VMs are the VMs that may run the attempt. The caller must not modify the slice.
		VMs []string
		// Cancelled and Parked tell whether the job was cancelled or parked.
		Cancelled bool
		Parked    bool
	}

	// Status is the state of a job, the number of its tasks in each phase and the number of evictions so far.
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
