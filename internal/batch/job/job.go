// Package job describes batch jobs: steps of tasks that depend on earlier steps.
package job

import (
	"time"

	"github.com/rotisserie/eris"

	"bamboohook/resource"
)

// Bounds of a job. A job beyond them is refused when it is submitted.
const (
	MaxSteps        = 64
	MaxTasksPerStep = 4096
	MaxOccurrences  = 10_000
	// MaxPayloadBytes is what an endpoint takes at most.
	MaxPayloadBytes = 4000
)

type (
	// Job is one submission. The steps of each occurrence run once.
	Job struct {
		ID string `json:"id"`
		// Queue names the route by which the job came; the configuration of the queue applies.
		Queue   string `json:"queue"`
		Payload string `json:"payload,omitempty"`
		Steps   []Step `json:"steps"`
		// Occurrences is at least 1. Occurrence K is due at First + K x Interval.
		Occurrences int           `json:"occurrences"`
		FirstDue    time.Time     `json:"first,omitzero"`
		Interval    time.Duration `json:"interval,omitempty"`
		// AcceptedAt is when the job was first received, by the wall clock of the entry that owns it.
		AcceptedAt time.Time `json:"accepted"`
	}

	// Step is a set of equal tasks.
	Step struct {
		Tasks int `json:"tasks"`
		// Size is what each task takes. The processors of a filling step are not reserved.
		Size     resource.Amount `json:"size"`
		Estimate time.Duration   `json:"estimate,omitempty"`
		// After lists earlier steps whose tasks must all be done.
		After []int `json:"after,omitempty"`
		// Checkpoints tells that a stopped task can resume from where it was.
		Checkpoints bool `json:"checkpoints,omitempty"`
		// Gang tells that the tasks run only together.
		Gang     bool `json:"gang,omitempty"`
		SameRack bool `json:"same-rack,omitempty"`
		// Label is required of the VM; empty means any.
		Label string `json:"label,omitempty"`
		// PreferredRack is where the data is; empty means that all racks are equal.
		PreferredRack string `json:"rack,omitempty"`
		// MaxPerVM bounds the tasks of the step at one VM; 0 means no bound.
		MaxPerVM int `json:"per-vm,omitempty"`
		// Speculative allows copies of a task to run in parallel.
		Speculative bool `json:"speculative,omitempty"`
		// LongRunning tasks run until the job is cancelled.
		LongRunning bool `json:"long-running,omitempty"`
		// Image names the program; tasks of one image behave alike.
		Image string `json:"image,omitempty"`
		// TailTarget is what the tail latency of a long-running task must stay below; 0 means no target.
		TailTarget time.Duration `json:"tail-target,omitempty"`
		// BestEffort tells that the tasks take the processors that other tasks leave unused.
		BestEffort bool `json:"fills,omitempty"`
		// MaxDisruptions is how many tasks of a long-running step may be interrupted at once.
		MaxDisruptions int `json:"disruptions,omitempty"`
	}
)

// Validate returns an error that names the first thing wrong with the job, or nil.
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
		if s.Tasks < 1 || s.Tasks > MaxTasksPerStep {
			return eris.Errorf("job: step %d has %d tasks, want 1 to %d", n, s.Tasks, MaxTasksPerStep)
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

// Due returns when the occurrence may start; the zero time means at once.
func (j Job) Due(occurrence int) time.Time {
	if j.FirstDue.IsZero() {
		return time.Time{}
	}
	return j.FirstDue.Add(time.Duration(occurrence) * j.Interval)
}
