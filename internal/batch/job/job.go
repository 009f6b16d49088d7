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
	// MaxTasks is the highest number of tasks in all occurrences together. They may all be due at the same time, and the owner then holds
	// all of them in memory.
	MaxTasks = MaxSteps * MaxTasksPerStep
	// MaxPayloadBytes is the length of the longest payload that an endpoint accepts.
	MaxPayloadBytes = 4000
	// MaxTextBytes is the length of the longest label, name of a rack or name of a program.
	MaxTextBytes = 1024
	// MaxAmount is the highest size of a task in each dimension, and MaxTime the longest duration and the longest time between the first and
	// the last occurrence. Sums of them over the tasks and steps of a job do not overflow.
	MaxAmount = 1 << 44
	MaxTime   = 365 * 24 * time.Hour
	// maxYear is the last year that a stored record can contain.
	maxYear = 9999
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
	case j.Occurrences > 1 && j.Interval == 0:
		return eris.New("job: several occurrences without an interval")
	case j.Interval < 0 || j.Interval > MaxTime/time.Duration(j.Occurrences):
		return eris.Errorf("job: interval of %s between %d occurrences, want one above 0 with which they are due within %s", j.Interval, j.Occurrences, MaxTime)
	case !j.FirstDue.IsZero() && (j.FirstDue.Before(time.Unix(0, 0)) || j.FirstDue.UTC().Year() >= maxYear):
		return eris.Errorf("job: first occurrence is due in the year %d, want 1970 to %d", j.FirstDue.UTC().Year(), maxYear-1)
	}
	tasks := 0
	for n, s := range j.Steps {
		if s.TaskCount < 1 || s.TaskCount > MaxTasksPerStep {
			return eris.Errorf("job: step %d has %d tasks, want 1 to %d", n, s.TaskCount, MaxTasksPerStep)
		}
		tasks += s.TaskCount
		if s.Size.Negative() || s.Estimate < 0 || s.MaxPerVM < 0 || s.TailTarget < 0 || s.MaxDisruptions < 0 {
			return eris.Errorf("job: step %d has a negative figure", n)
		}
		if !s.Size.Fits(resource.Amount{MilliProcessors: MaxAmount, MemoryBytes: MaxAmount, Accelerators: MaxAmount}) {
			return eris.Errorf("job: the size of a task in step %d is larger than %d in a dimension", n, int64(MaxAmount))
		}
		if s.Estimate > MaxTime || s.TailTarget > MaxTime {
			return eris.Errorf("job: the estimate or the latency target of step %d is longer than %s", n, MaxTime)
		}
		if longest := max(len(s.Label), len(s.PreferredRack), len(s.Program)); longest > MaxTextBytes {
			return eris.Errorf("job: step %d has a text of %d bytes, want at most %d", n, longest, MaxTextBytes)
		}
		if len(s.After) > MaxSteps {
			return eris.Errorf("job: step %d waits for %d steps, want at most %d", n, len(s.After), MaxSteps)
		}
		for _, a := range s.After {
			if a < 0 || a >= n {
				return eris.Errorf("job: step %d waits for step %d, which is not an earlier one", n, a)
			}
		}
	}
	if tasks*j.Occurrences > MaxTasks {
		return eris.Errorf("job: %d tasks in total in %d occurrences, want at most %d", tasks*j.Occurrences, j.Occurrences, MaxTasks)
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
