package bookkeeper

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"bamboohook/internal/batch/job"
)

type (
	// progress is the record of what has happened to a job since it was accepted.
	progress struct {
		State       string         `json:"state"`
		Ended       time.Time      `json:"ended,omitzero"`
		Occurrences map[int][]step `json:"occurrences,omitempty"`
	}

	step struct {
		// Done holds a bit for each task, the first task in the lowest bit of the first byte.
		Done        []byte         `json:"done,omitempty"`
		Checkpoints map[int]string `json:"checkpoints,omitempty"`
		Runs        map[int]int    `json:"runs,omitempty"`
		// FailedRuns holds the numbers of the failed runs of each task.
		FailedRuns map[int][]int `json:"failed-runs,omitempty"`
	}
)

// Progress encodes what has happened to the job.
func (j *Job) Progress() []byte {
	p := progress{State: j.state, Ended: j.ended}
	if j.Live() {
		p.Occurrences = map[int][]step{}
		for _, number := range slices.Sorted(maps.Keys(j.occurrences)) {
			for _, s := range j.occurrences[number].steps {
				p.Occurrences[number] = append(p.Occurrences[number], s.record())
			}
		}
	}
	encoded, err := json.Marshal(p)
	if err != nil {
		panic("bookkeeper: cannot encode progress: " + err.Error())
	}
	return encoded
}

func (s *Step) record() step {
	r := step{Checkpoints: map[int]string{}, Runs: map[int]int{}, FailedRuns: map[int][]int{}}
	for i, t := range s.Tasks {
		if t.done {
			for len(r.Done) <= i/8 {
				r.Done = append(r.Done, 0)
			}
			r.Done[i/8] |= 1 << (i % 8)
			continue
		}
		if len(t.failed) > 0 && !t.Step.LongRunning {
			r.FailedRuns[i] = t.failed
		}
		if t.checkpoint != "" {
			r.Checkpoints[i] = t.checkpoint
		}
		if t.lastRun > 1 {
			r.Runs[i] = t.lastRun
		}
	}
	return r
}

// Restore enters a job from its records; progress may be empty.
func (b *Bookkeeper) Restore(accepted job.Job, encoded []byte, now time.Time) error {
	var p progress
	if len(encoded) > 0 {
		if err := json.Unmarshal(encoded, &p); err != nil {
			return eris.Wrapf(err, "bookkeeper: progress of job %s does not parse", accepted.ID)
		}
	}
	j := b.Accept(accepted)
	if p.State != "" {
		j.shown = p.State
	}
	if p.State != "" && p.State != StateQueued && p.State != StateRunning {
		b.end(j, p.State, p.Ended)
		return nil
	}
	for number, steps := range p.Occurrences {
		if number < 0 || number >= j.Occurrences || len(steps) != len(j.Steps) {
			return eris.Errorf("bookkeeper: progress of job %s does not fit its steps", accepted.ID)
		}
		o := j.open(number, now)
		j.opened = max(j.opened, number+1)
		for n, s := range steps {
			o.steps[n].restore(s)
		}
	}
	b.OpenDueOccurrences(j, now)
	for number := range p.Occurrences {
		j.settle(b, j.occurrences[number], now)
	}
	j.started = p.State == StateRunning
	if j.started && j.Live() {
		j.state = StateRunning
	}
	return nil
}

func (s *Step) restore(r step) {
	for i, t := range s.Tasks {
		t.done = i/8 < len(r.Done) && r.Done[i/8]&(1<<(i%8)) != 0
		t.failed, t.checkpoint, t.lastRun = r.FailedRuns[i], r.Checkpoints[i], r.Runs[i]
		for _, run := range t.failed {
			t.ObserveRun(run)
		}
		if t.done {
			s.remaining--
			t.waiting = false
		}
	}
}

// settle completes what the restored tasks complete.
func (j *Job) settle(b *Bookkeeper, o *occurrence, now time.Time) {
	o.open = 0
	for _, s := range o.steps {
		if s.remaining > 0 {
			o.open++
		}
	}
	o.unlock(now)
	if o.open > 0 {
		return
	}
	j.finished++
	if j.finished == j.Occurrences {
		b.end(j, StateCompleted, now)
	}
}
