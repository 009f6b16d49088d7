package bookkeeper

import (
	"encoding/json"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"bamboohook/internal/batch/job"
)

type (
	// jobProgress is the stored record of a job's progress since it was accepted.
	jobProgress struct {
		State   string    `json:"state"`
		EndedAt time.Time `json:"ended,omitzero"`
		// Occurrences holds the progress of each step in the opened occurrences, by the numbers of the occurrences. It is empty once the job
		// has ended.
		Occurrences map[int][]stepProgress `json:"occurrences,omitempty"`
	}

	// stepProgress is the stored progress of a step in one occurrence. The keys of its maps are the indexes of tasks that are not done.
	stepProgress struct {
		// Done is a bit set of the tasks that are done. The first task is the lowest bit of the first byte.
		Done        []byte         `json:"done,omitempty"`
		Checkpoints map[int]string `json:"checkpoints,omitempty"`
		// LastRunNumbers holds the highest run number of each task if it is above 1. Without an entry, the next owner numbers the runs of the task from
		// 1 again, unless it knows of an earlier run from FailedRuns or from a report.
		LastRunNumbers map[int]int `json:"runs,omitempty"`
		// FailedRuns holds the numbers of the failed runs of each task. It is empty for long-running tasks, whose failures are not limited.
		FailedRuns map[int][]int `json:"failed-runs,omitempty"`
		// FailedRunVMs holds the VMs of FailedRuns in the same order. Records of earlier versions lack it. Then one failure of each number counts.
		FailedRunVMs map[int][]string `json:"failed-run-vms,omitempty"`
	}
)

// Progress encodes the progress of the job for the store.
func (j *Job) Progress() []byte {
	progress := jobProgress{State: j.state, EndedAt: j.endedAt}
	if j.Live() {
		progress.Occurrences = map[int][]stepProgress{}
		for _, number := range slices.Sorted(maps.Keys(j.openedOccurrences)) {
			for _, s := range j.openedOccurrences[number].steps {
				progress.Occurrences[number] = append(progress.Occurrences[number], s.progress())
			}
		}
	}
	encoded, err := json.Marshal(progress)
	if err != nil {
		panic("bookkeeper: cannot encode the progress of a job: " + err.Error())
	}
	return encoded
}

// progress returns the progress of the step for the store.
func (s *Step) progress() stepProgress {
	r := stepProgress{Checkpoints: map[int]string{}, LastRunNumbers: map[int]int{}, FailedRuns: map[int][]int{}, FailedRunVMs: map[int][]string{}}
	for i, t := range s.Tasks {
		if t.done {
			for len(r.Done) <= i/8 {
				r.Done = append(r.Done, 0)
			}
			r.Done[i/8] |= 1 << (i % 8)
			continue
		}
		for _, failed := range t.failedRuns {
			r.FailedRuns[i], r.FailedRunVMs[i] = append(r.FailedRuns[i], failed.number), append(r.FailedRunVMs[i], failed.vm)
		}
		if t.checkpoint != "" {
			r.Checkpoints[i] = t.checkpoint
		}
		if t.lastRunNumber > 1 {
			r.LastRunNumbers[i] = t.lastRunNumber
		}
	}
	return r
}

// maxRestoredRunNumber is the highest plausible number of a run in a stored record. The numbers of many more runs can follow it.
const maxRestoredRunNumber = math.MaxInt32

// Restore adds a job from its stored records: the accepted job and its encoded progress, which may be empty. After an error, it has added
// nothing.
func (b *Bookkeeper) Restore(accepted job.Job, encodedProgress []byte, now time.Time) error {
	var progress jobProgress
	if len(encodedProgress) > 0 {
		if err := json.Unmarshal(encodedProgress, &progress); err != nil {
			return eris.Wrapf(err, "bookkeeper: cannot decode the progress of job %s", accepted.ID)
		}
	}
	if err := accepted.Validate(); err != nil {
		return eris.Wrapf(err, "bookkeeper: the record of job %s is invalid", accepted.ID)
	}
	if err := progress.validate(accepted); err != nil {
		return err
	}
	j := b.Accept(accepted)
	if progress.State != "" {
		j.visibleState = progress.State
	}
	if progress.State != "" && progress.State != StateQueued && progress.State != StateRunning {
		b.endJob(j, progress.State, progress.EndedAt)
		return nil
	}
	for number, steps := range progress.Occurrences {
		o := j.openOccurrence(number, now)
		j.nextOccurrence = max(j.nextOccurrence, number+1)
		for n, s := range steps {
			o.steps[n].restore(s)
		}
	}
	b.OpenDueOccurrences(j, now)
	for number := range progress.Occurrences {
		j.updateRestoredOccurrence(b, j.openedOccurrences[number], now)
	}
	j.started = progress.State == StateRunning
	if j.started && j.Live() {
		j.state = StateRunning
	}
	return nil
}

// validate returns an error if the progress does not match the job, or contains an unknown state or a run number without plausible successors.
func (p jobProgress) validate(j job.Job) error {
	switch p.State {
	case "", StateQueued, StateRunning, StateCompleted, StateFailed, StateCancelled:
	default:
		return eris.Errorf("bookkeeper: progress of job %s has an unknown state", j.ID)
	}
	for number, steps := range p.Occurrences {
		if number < 0 || number >= j.Occurrences || len(steps) != len(j.Steps) {
			return eris.Errorf("bookkeeper: progress of job %s does not match its occurrences and steps", j.ID)
		}
		for _, s := range steps {
			numbers := slices.Concat(slices.Collect(maps.Values(s.LastRunNumbers)), slices.Concat(slices.Collect(maps.Values(s.FailedRuns))...))
			if slices.ContainsFunc(numbers, func(n int) bool { return n < 0 || n > maxRestoredRunNumber }) {
				return eris.Errorf("bookkeeper: progress of job %s has a run number that is out of range", j.ID)
			}
		}
	}
	return nil
}

// restore sets the progress of the step's tasks from the store.
func (s *Step) restore(r stepProgress) {
	for i, t := range s.Tasks {
		// Records of earlier versions may contain long-running tasks as done.
		t.done = !s.LongRunning && i/8 < len(r.Done) && r.Done[i/8]&(1<<(i%8)) != 0
		t.checkpoint, t.lastRunNumber = r.Checkpoints[i], r.LastRunNumbers[i]
		for n, number := range r.FailedRuns[i] {
			failed := failedRun{number: number}
			if vms := r.FailedRunVMs[i]; n < len(vms) {
				failed.vm = vms[n]
			}
			t.failedRuns = append(t.failedRuns, failed)
			t.SkipRunNumbersTo(number)
		}
		if t.done {
			s.remaining--
			t.waiting = false
		}
	}
}

// updateRestoredOccurrence updates the number of unfinished steps and the ready steps after the tasks of the occurrence were restored. It
// completes the job if all its occurrences are finished.
func (j *Job) updateRestoredOccurrence(b *Bookkeeper, o *occurrence, now time.Time) {
	o.unfinishedSteps = 0
	for _, s := range o.steps {
		if s.remaining > 0 {
			o.unfinishedSteps++
		}
	}
	o.markReadySteps(now)
	if o.unfinishedSteps > 0 {
		return
	}
	j.finishedOccurrences++
	if j.finishedOccurrences == j.Occurrences {
		b.endJob(j, StateCompleted, now)
	}
}
