package scheduler

import (
	"time"

	"bamboohook/resource"
	"bamboohook/task"
)

// Kinds of the records that this package owns.
const (
	KindJob        = "job"
	KindAssignment = "assignment"
	KindResult     = "result"
	KindEviction   = "eviction"
	KindCancel     = "cancel"
	KindPark       = "park"
)

// Outcomes of an attempt in a Result.
const (
	OutcomeDone   = "done"
	OutcomeFailed = "failed"
)

// Reasons why an attempt ended without an outcome, in an Eviction. Only ReasonEvicted counts as an eviction in Status.
const (
	ReasonEvicted   = "evicted"
	ReasonDrained   = "drained"
	ReasonLapsed    = "lapsed"
	ReasonLost      = "lost"
	ReasonCancelled = "cancelled"
)

// Bounds of a job. They are part of the replay rules: all entries must use the same values.
const (
	MaxTasks        = 100_000
	MaxRetries      = 100
	MaxIDBytes      = 128
	MaxPayloadBytes = 64 << 10
	// maxEnded is how many ended jobs are remembered; an id that was forgotten is accepted again. It exceeds a day's
	// 15,000 jobs.
	maxEndedJobs = 20_000
)

type (
	// Job accepts a job. The first record of an id counts. Jobs and cancellations come from callers and
	// carry no epoch, so that any entry may record them.
	Job struct {
		ID    string          `json:"id"`
		Team  string          `json:"team"`
		Kind  string          `json:"kind"`
		Tasks int             `json:"tasks"`
		Size  resource.Amount `json:"size"`
		// RunTime is declared for each task.
		RunTime time.Duration `json:"run-time"`
		Payload string        `json:"payload,omitempty"`
		// Retries is how often a failed task is tried again.
		Retries int `json:"retries"`
	}

	// Assignment starts an attempt, which may run at one of the VMs. The epoch is that of the recording owner.
	Assignment struct {
		task.Identity
		VMs []string `json:"vms"`
		// Size and RunTime are what the owner expects of the attempt; zero stands for what the job declares.
		Size    resource.Amount `json:"size,omitzero"`
		RunTime time.Duration   `json:"run-time,omitzero"`
	}

	// Result ends an attempt with an outcome. The epoch is that of the recording owner.
	Result struct {
		task.Identity
		Outcome string `json:"outcome"`
		Reason  string `json:"reason,omitempty"`
		VM      string `json:"vm,omitempty"`
	}

	// Eviction ends an attempt without an outcome, after it surely stopped; the task waits again. The epoch is that of
	// the recording owner.
	Eviction struct {
		task.Identity
		// Checkpoint is where the next attempt resumes; empty keeps the previous one.
		Checkpoint string `json:"checkpoint,omitempty"`
		Reason     string `json:"reason"`
		VM         string `json:"vm,omitempty"`
	}

	// Cancel ends a job: no further attempt starts, and its running attempts are to be stopped.
	Cancel struct {
		Job    string `json:"job"`
		Reason string `json:"reason,omitempty"`
	}

	// Park ends the starts of a job's tasks; running attempts go on. The epoch is that of the recording owner.
	Park struct {
		Job    string `json:"job"`
		Shard  int    `json:"shard"`
		Epoch  uint64 `json:"epoch"`
		Reason string `json:"reason"`
	}

	// Task is a waiting task or a current attempt with what is needed to start it.
	Task struct {
		// Identity has the attempt that runs or, for a waiting task, the next one. Its epoch is that of
		// the assignment record, or 0 for a waiting task.
		task.Identity
		Team string
		Kind string
		// Size and RunTime are those of the assignment, or what the job declares for a waiting task.
		Size    resource.Amount
		RunTime time.Duration
		// Declared and DeclaredRunTime are what the job declares.
		DeclaredSize    resource.Amount
		DeclaredRunTime time.Duration
		// Submitted is the log time of the job's record.
		Submitted  time.Time
		Payload    string
		Checkpoint string
		// VMs are those that the attempt is bound to. The caller must not change them.
		VMs []string
		// Cancelled and Parked are true if the job was cancelled or parked.
		Cancelled bool
		Parked    bool
	}

	// Status is the state of a job and the number of its tasks in each state.
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
