// Package job defines batch jobs. A job consists of steps, a step consists of equal tasks, and a step may depend on earlier steps.
package job

import (
	"time"

	"github.com/rotisserie/eris"

	"bamboohook/resource"
)

// Size limits of a job. A submission that exceeds one of them is rejected.
const (
	MaxSteps        = 64
	MaxTasksPerStep = 4096
	MaxOccurrences  = 10_000
	// MaxPayloadBytes is the length of the longest payload that an endpoint accepts.
	MaxPayloadBytes = 4000
)

type (
	// Job is a submitted job. It has one or more occurrences, and each occurrence runs all steps once.
	Job struct {
		ID string `json:"id"`
		// Queue is the name of the queue to which the job was submitted. The configuration of that queue applies to the job.
		Queue string `json:"queue"`
		// Payload is passed unchanged to the endpoint with each start of a task.
		Payload string `json:"payload,omitempty"`
		Steps   []Step `json:"steps"`
		// Occurrences is the number of times that the job runs, at least 1. Occurrence k, counted from 0, is due at FirstDue + k * Interval.
		// If FirstDue is zero, all occurrences are due immediately.
		Occurrences int           `json:"occurrences"`
		FirstDue    time.Time     `json:"first,omitzero"`
		Interval    time.Duration `json:"interval,omitempty"`
		// AcceptedAt is when the owner of the jobs, the entry that manages them, received the submission, by the owner's wall clock.
		AcceptedAt time.Time `json:"accepted"`
	}

	// Step is a set of tasks with equal properties.
	Step struct {
		TaskCount int `json:"tasks"`
		// Size is the amount of resources that each task takes. The processors of a best-effort task are not reserved.
		Size resource.Amount `json:"size"`
		// Estimate is the expected duration of a task.
		Estimate time.Duration `json:"estimate,omitempty"`
		// After lists the earlier steps whose tasks must all be done before this step starts.
		After []int `json:"after,omitempty"`
		// Resumable reports whether a task whose run was stopped can resume from its last checkpoint.
		Resumable bool `json:"checkpoints,omitempty"`
		// Gang reports whether the tasks must start together. When the first of them is done, all of them count as done.
		Gang bool `json:"gang,omitempty"`
		// SameRack reports whether the tasks of a gang start on one rack if they fit there.
		SameRack bool `json:"same-rack,omitempty"`
		// Label is a label that the VM must have. An empty one allows all VMs.
		Label string `json:"label,omitempty"`
		// PreferredRack is the rack that holds the input data of the tasks. If it is empty, all racks are equally suitable.
		PreferredRack string `json:"rack,omitempty"`
		// MaxPerVM is the highest number of tasks of the step on one VM. 0 means no limit.
		MaxPerVM int `json:"per-vm,omitempty"`
		// Speculative is set if several copies of a task may run in parallel. It is stored, but has no effect.
		Speculative bool `json:"speculative,omitempty"`
		// LongRunning reports whether the tasks run until the job is cancelled.
		LongRunning bool `json:"long-running,omitempty"`
		// Program is the name of the program that the tasks run. Tasks with the same program are assumed to behave alike.
		Program string `json:"image,omitempty"`
		// TailTarget is the latency target of a long-running task, the upper limit for its tail latency. 0 means that it has none.
		TailTarget time.Duration `json:"tail-target,omitempty"`
		// BestEffort reports whether the tasks only use processors that other tasks leave unused.
		BestEffort bool `json:"fills,omitempty"`
		// MaxDisruptions is how many tasks of a long-running step may be interrupted at the same time. It is stored, but has no effect.
		MaxDisruptions int `json:"disruptions,omitempty"`
	}
)

// Validate returns an error that describes the first invalid part of the job, or nil.
func (j Job) Validate() error {
	switch {
	case len(j.Steps) == 0 || len(j.Steps) > MaxSteps:
		return eris.Errorf("job: %d steps, want 1 to %d", len(j.Steps), MaxSteps)
	case len(j.Payload) > MaxPayloadBytes:
		return eris.Errorf("job: payload of %d bytes, want at most %d", len(j.Payload), MaxPayloadBytes)
	case j.Occurrences < 1 || j.Occurrences > MaxOccurrences:
		return eris.Errorf("job: %d occurrences, want 1 to %d", j.Occurrences, MaxOccurrences)
	case j.Occurrences > 1 && j.Interval <= 0:
		return eris.New("job: several occurrences without an interval")
	}
	for n, s := range j.Steps {
		if s.TaskCount < 1 || s.TaskCount > MaxTasksPerStep {
			return eris.Errorf("job: step %d has %d tasks, want 1 to %d", n, s.TaskCount, MaxTasksPerStep)
		}
		if s.Size.Negative() || s.Estimate < 0 || s.MaxPerVM < 0 {
			return eris.Errorf("job: step %d has a negative figure", n)
		}
		for _, a := range s.After {
			if a < 0 || a >= n {
				return eris.Errorf("job: step %d waits for step %d, which is not an earlier one", n, a)
			}
		}
	}
	return nil
}

// Due returns when the occurrence may start, or the zero time if it may start immediately.
func (j Job) Due(occurrence int) time.Time {
	if j.FirstDue.IsZero() {
		return time.Time{}
	}
	return j.FirstDue.Add(time.Duration(occurrence) * j.Interval)
}
