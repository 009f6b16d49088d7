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
		// has ended, and in jobs with blocks, of which only earlier versions have recorded it.
		Occurrences map[int][]tasksProgress `json:"occurrences,omitempty"`
		// Finished is a bit set of the occurrences whose tasks are all done, in jobs with blocks.
		Finished []byte `json:"finished,omitempty"`
	}

	// tasksProgress is the stored progress of the tasks of a step in one occurrence, or of a block. The keys of its maps are the indexes in this list
	// of tasks that are not done.
	tasksProgress struct {
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
		// EarlierFailures holds how many failed runs of each task are not in FailedRuns any more.
		EarlierFailures map[int]int `json:"earlier-failures,omitempty"`
	}
)

// Progress encodes the progress of the job as a whole for the store. In a job without blocks, it contains the progress of all tasks.
func (j *Job) Progress() []byte {
	encoded, _ := j.encodeMain(0)
	return encoded
}

// encodeMain encodes the progress of the job as a whole within the size. The second result is the number of checkpoints that were left out.
func (j *Job) encodeMain(maxRecordBytes int) ([]byte, int) {
	progress := jobProgress{State: j.state, EndedAt: j.endedAt}
	if !j.Live() {
		return encodeWithin(maxRecordBytes, nil, func(int) any { return progress })
	}
	if j.hasBlocks() {
		for number, o := range j.openedOccurrences {
			if o.unfinishedSteps == 0 {
				progress.Finished = setBit(progress.Finished, number)
			}
		}
		return encodeWithin(maxRecordBytes, nil, func(int) any { return progress })
	}
	var tasks []*Task
	for _, o := range j.openedOccurrences {
		tasks = append(tasks, o.tasks...)
	}
	return encodeWithin(maxRecordBytes, tasks, func(maxCheckpoint int) any {
		progress.Occurrences = map[int][]tasksProgress{}
		for number, o := range j.openedOccurrences {
			for _, s := range o.steps {
				progress.Occurrences[number] = append(progress.Occurrences[number], progressOf(s.Tasks, maxCheckpoint))
			}
		}
		return progress
	})
}

// progressOf returns the progress of the tasks for the store, without checkpoints that are longer than maxCheckpoint.
func progressOf(tasks []*Task, maxCheckpoint int) tasksProgress {
	r := tasksProgress{
		Checkpoints: map[int]string{}, LastRunNumbers: map[int]int{}, FailedRuns: map[int][]int{}, FailedRunVMs: map[int][]string{},
		EarlierFailures: map[int]int{},
	}
	for i, t := range tasks {
		if t.done {
			r.Done = setBit(r.Done, i)
			continue
		}
		for _, failed := range t.failedRuns {
			r.FailedRuns[i], r.FailedRunVMs[i] = append(r.FailedRuns[i], failed.number), append(r.FailedRunVMs[i], failed.vm)
		}
		if t.earlierFailures > 0 {
			r.EarlierFailures[i] = t.earlierFailures
		}
		if t.checkpoint != "" && len(t.checkpoint) <= maxCheckpoint {
			r.Checkpoints[i] = t.checkpoint
		}
		if t.lastRunNumber > 1 {
			r.LastRunNumbers[i] = t.lastRunNumber
		}
	}
	return r
}

// setBit sets a bit in a bit set, whose first element is the lowest bit of the first byte, and returns the set.
func setBit(set []byte, n int) []byte {
	for len(set) <= n/8 {
		set = append(set, 0)
	}
	set[n/8] |= 1 << (n % 8)
	return set
}

func hasBit(set []byte, n int) bool { return n/8 < len(set) && set[n/8]&(1<<(n%8)) != 0 }

// maxRestoredRunNumber is the highest plausible number of a run in a stored record. The numbers of many more runs can follow it.
const maxRestoredRunNumber = math.MaxInt32

// Restore adds a job from its stored records: the accepted job, its encoded progress, which may be empty, and the records of its blocks by their
// names. After an error, it has added nothing.
func (b *Bookkeeper) Restore(accepted job.Job, encodedProgress []byte, blocks map[string][]byte, now time.Time) error {
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
	blockProgress, err := decodeBlocks(accepted, blocks)
	if err != nil {
		return err
	}
	j := b.Accept(accepted)
	j.recorded.main = encodedProgress
	for id := range blockProgress {
		j.recorded.store(id)
	}
	if progress.State != "" {
		j.visibleState = progress.State
	}
	if progress.State != "" && progress.State != StateQueued && progress.State != StateRunning {
		b.endJob(j, progress.State, progress.EndedAt)
		return nil
	}
	j.started = progress.State == StateRunning || len(blockProgress) > 0
	if j.started {
		j.visibleState = StateRunning
	}
	restored := j.restoreOccurrences(progress, blockProgress, b.waitingTime(now))
	j.recorded.changed, j.recorded.isChanged = nil, nil
	b.OpenDueOccurrences(j, now)
	for _, o := range restored {
		j.updateRestoredOccurrence(b, o, now)
	}
	if len(progress.Occurrences) > 0 && j.hasBlocks() {
		j.recorded.main = nil
		for _, o := range restored {
			for number := range o.countBlocks() {
				j.markBlock(blockID{o.number, number})
			}
		}
	}
	if j.started && j.Live() {
		j.state = StateRunning
	}
	return nil
}

// restoreOccurrences restores the tasks of the occurrences of which the store has progress, and returns these occurrences.
func (j *Job) restoreOccurrences(progress jobProgress, blocks map[blockID]tasksProgress, now time.Time) []*occurrence {
	restored := map[int]*occurrence{}
	open := func(number int) *occurrence {
		if restored[number] == nil {
			restored[number] = j.openOccurrence(number, now)
		}
		return restored[number]
	}
	for number, steps := range progress.Occurrences {
		o := open(number)
		for n, s := range steps {
			restoreTasks(o.steps[n].Tasks, s)
		}
	}
	for id, tasks := range blocks {
		open(id.occurrence)
		restoreTasks(j.blockTasks(id), tasks)
	}
	for number := range j.Occurrences {
		if hasBit(progress.Finished, number) {
			for _, t := range open(number).tasks {
				t.restoreDone()
			}
		}
	}
	return slices.Collect(maps.Values(restored))
}

// decodeBlocks decodes the records of a job's blocks. It returns an error if one of them does not match the job.
func decodeBlocks(accepted job.Job, encoded map[string][]byte) (map[blockID]tasksProgress, error) {
	tasks := 0
	for _, s := range accepted.Steps {
		tasks += s.TaskCount
	}
	blocks := map[blockID]tasksProgress{}
	for name, value := range encoded {
		id, ok := parseBlockID(name)
		if !ok || id.occurrence >= accepted.Occurrences || id.number*tasksPerBlock >= tasks {
			return nil, eris.Errorf("bookkeeper: job %s has no block %s", accepted.ID, name)
		}
		var p tasksProgress
		if err := json.Unmarshal(value, &p); err != nil {
			return nil, eris.Wrapf(err, "bookkeeper: cannot decode block %s of job %s", name, accepted.ID)
		}
		if !p.plausible() {
			return nil, eris.Errorf("bookkeeper: block %s of job %s has a number that is out of range", name, accepted.ID)
		}
		blocks[id] = p
	}
	return blocks, nil
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
		if !slices.ContainsFunc(steps, func(s tasksProgress) bool { return !s.plausible() }) {
			continue
		}
		return eris.Errorf("bookkeeper: progress of job %s has a run number that is out of range", j.ID)
	}
	return nil
}

// plausible reports whether all run numbers have plausible successors and all counts can be counts.
func (p tasksProgress) plausible() bool {
	numbers := slices.Concat(
		slices.Collect(maps.Values(p.LastRunNumbers)), slices.Concat(slices.Collect(maps.Values(p.FailedRuns))...),
		slices.Collect(maps.Values(p.EarlierFailures)),
	)
	return !slices.ContainsFunc(numbers, func(n int) bool { return n < 0 || n > maxRestoredRunNumber })
}

// restoreTasks sets the progress of the tasks from the store.
func restoreTasks(tasks []*Task, r tasksProgress) {
	for i, t := range tasks {
		// The record of a block replaces what an earlier version has recorded about its tasks.
		t.checkpoint, t.lastRunNumber, t.earlierFailures, t.failedRuns = r.Checkpoints[i], r.LastRunNumbers[i], r.EarlierFailures[i], nil
		for n, number := range r.FailedRuns[i] {
			failed := failedRun{number: number}
			if vms := r.FailedRunVMs[i]; n < len(vms) {
				failed.vm = vms[n]
			}
			t.failedRuns = append(t.failedRuns, failed)
			t.SkipRunNumbersTo(number)
		}
		if hasBit(r.Done, i) {
			t.restoreDone()
		}
	}
}

// restoreDone sets the task as done, as the store contains it. Records of earlier versions may contain long-running tasks as done.
func (t *Task) restoreDone() {
	if t.done || t.Step.LongRunning {
		return
	}
	t.done, t.waiting = true, false
	t.Step.remaining--
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
	o.markReadySteps(b.waitingTime(now))
	if o.unfinishedSteps > 0 {
		return
	}
	o.dropBlocks(&j.recorded)
	j.finishedOccurrences++
	if j.finishedOccurrences == j.Occurrences {
		b.endJob(j, StateCompleted, now)
	}
}
