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

// Reasons for ending an attempt without an outcome, in an Eviction. Only ReasonEvicted is counted as an eviction in
// Status.
const (
	ReasonEvicted   = "evicted"
	ReasonDrained   = "drained"
	ReasonLapsed    = "lapsed"
	ReasonLost      = "lost"
	ReasonCancelled = "cancelled"
)

// Bounds of a job. Replay depends on them, so all entries must use the same values.
const (
	MaxTasks        = 100_000
	MaxRetries      = 100
	MaxIDBytes      = 128
	MaxPayloadBytes = 64 << 10
	// maxEndedJobs is how many ended jobs are kept. It exceeds the 15,000 jobs of a day. Once an ended job is
	// removed, its id is accepted again.
	maxEndedJobs = 20_000
)

type (
	// Job submits a job. Only the first record with an id has an effect. Jobs and cancellations come from callers and
	// carry no epoch, so any entry may append them.
	Job struct {
		ID    string          `json:"id"`
		Team  string          `json:"team"`
		Kind  string          `json:"kind"`
		Tasks int             `json:"tasks"`
		Size  resource.Amount `json:"size"`
		// RunTime is the declared run time of each task.
		RunTime time.Duration `json:"run-time"`
		Payload string        `json:"payload,omitempty"`
		// Retries is how often a failed task is retried.
		Retries int `json:"retries"`
	}

	// Assignment begins an attempt and lists the VMs, one of which may run it. The epoch is that of the owner that
	// appends the record.
	Assignment struct {
		task.Identity
		VMs []string `json:"vms"`
		// Size and RunTime are the demand that the owner expects. Zero means the values that the job declares.
		Size    resource.Amount `json:"size,omitzero"`
		RunTime time.Duration   `json:"run-time,omitzero"`
	}

	// Result ends an attempt with an outcome. The epoch is that of the owner that appends the record.
	Result struct {
		task.Identity
		Outcome string `json:"outcome"`
		Reason  string `json:"reason,omitempty"`
		VM      string `json:"vm,omitempty"`
	}

	// Eviction ends an attempt without an outcome. It is appended only when the attempt certainly no longer runs, and
	// the task then waits again. The epoch is that of the owner that appends the record.
	Interruption struct {
		task.Identity
		// Checkpoint is the checkpoint from which the next attempt resumes. If it is empty, the previous checkpoint
		// stays in use.
		Checkpoint string `json:"checkpoint,omitempty"`
		Reason     string `json:"reason"`
		VM         string `json:"vm,omitempty"`
	}

	// Cancel cancels a job. No further attempt starts, and the running attempts are stopped.
	Cancel struct {
		Job    string `json:"job"`
		Reason string `json:"reason,omitempty"`
	}

	// Park stops the start of further attempts of a job. Running attempts continue. The epoch is that of the owner
	// that appends the record.
	Park struct {
		Job    string `json:"job"`
		Shard  int    `json:"shard"`
		Epoch  uint64 `json:"epoch"`
		Reason string `json:"reason"`
	}

	// Task describes a waiting task or a current attempt, with all that is needed to start it.
	Task struct {
		// Identity identifies the running attempt, or the next one of a waiting task. The epoch is that of the
		// assignment record, or 0 for a waiting task.
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
		// Cancelled and Parked are true if the job was cancelled or parked.
		Cancelled bool
		Parked    bool
	}

	// Status is the state of a job and the number of its tasks in each phase.
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
