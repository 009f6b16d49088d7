package worker

import (
	"math"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"bamboohook/internal/message"
	"bamboohook/resource"
)

// PayloadFail makes a task fail at once.
const PayloadFail = "fail"

const tokenPrefix = "progress:"

// run is one task attempt. Times are those of the worker's clock.
type run struct {
	start    message.WorkerStart
	state    string
	reason   string
	size     resource.Amount
	length   time.Duration
	began    time.Time
	ended    time.Time
	expires  time.Time
	at       time.Time
	progress float64
	share    float64
	token    string
	interval int
}

// settle brings every running task to the present. The caller holds the mutex.
func (w *Worker) settle() time.Time {
	now := w.options.Clock.Now()
	for _, r := range w.tasks {
		if r.state == StateRunning {
			w.advance(r, now)
		}
	}
	return now
}

// advance moves a running task to now, or to its completion or the end of its lease if that is earlier.
func (w *Worker) advance(r *run, now time.Time) {
	until := now
	if !r.expires.After(now) {
		until = r.expires
	}
	if r.share > 0 {
		remaining := time.Duration(math.Round((1 - r.progress) * float64(r.length) / r.share))
		if done := r.at.Add(remaining); !done.After(until) {
			r.progress = 1
			w.finish(r, StateDone, "", done)
			return
		}
	}
	r.progress = min(1, r.progress+float64(until.Sub(r.at))*r.share/float64(r.length))
	r.at = until
	if !r.expires.After(now) {
		w.finish(r, StateLapsed, "lease expired", r.expires)
	}
}

func (w *Worker) finish(r *run, state, reason string, at time.Time) {
	r.state, r.reason, r.ended, r.at = state, reason, at, at
	i := &w.history[r.interval]
	i.End, i.EndState, i.EndProgress = at, state, r.progress
	switch state {
	case StateDone:
		w.counters.Completed++
	case StateFailed:
		w.counters.Failed++
	case StateStopped:
		w.counters.Stopped++
	case StateLapsed:
		w.counters.Lapsed++
	}
}

// begin starts a task that the worker doesn't know. The caller holds the mutex and has settled.
func (w *Worker) begin(s message.WorkerStart, now time.Time) (*run, error) {
	progress, err := parseToken(s.Checkpoint)
	if err != nil {
		return nil, err
	}
	sizeFactor := positive(w.faults.SizeFactor, w.options.SizeFactor)
	lengthFactor := positive(w.faults.RunTimeFactor, w.options.RunTimeFactor)
	r := &run{
		start: s, state: StateRunning, began: now, at: now, expires: now.Add(s.Lease),
		size: scale(trueSize(s), sizeFactor), length: max(1, time.Duration(float64(s.RunTime)*lengthFactor)),
		progress: progress, share: 1, token: s.Checkpoint, interval: len(w.history),
	}
	w.tasks[s.ID] = r
	w.history = append(w.history, Interval{ID: s.ID, Start: now, StartProgress: progress, EndProgress: progress})
	w.counters.Starts++
	w.countDeclared()
	if w.faults.FailStarts || s.Payload == PayloadFail {
		w.finish(r, StateFailed, "injected failure", now)
	}
	return r, nil
}

// trueSize is what the size factor applies to: the size of the job, not one that a scheduler has corrected.
func trueSize(s message.WorkerStart) resource.Amount {
	if s.JobSize != (resource.Amount{}) {
		return s.JobSize
	}
	return s.Size
}

func (w *Worker) countDeclared() {
	var sum resource.Amount
	for _, r := range w.tasks {
		if r.state == StateRunning {
			sum = sum.Add(r.start.Size)
		}
	}
	if !sum.Fits(w.options.Capacity) {
		w.counters.Overcommits++
	}
	m := &w.counters.MaxDeclared
	m.MilliProcessors = max(m.MilliProcessors, sum.MilliProcessors)
	m.MemoryBytes = max(m.MemoryBytes, sum.MemoryBytes)
	m.Accelerators = max(m.Accelerators, sum.Accelerators)
}

func (w *Worker) report(r *run, now time.Time) message.WorkerTask {
	return message.WorkerTask{
		ID: r.start.ID, Kind: r.start.Kind, State: r.state, Size: r.start.Size, Progress: r.progress,
		Checkpoint: r.token, Reason: r.reason, Share: r.share,
		Usage: w.usage(r, now.Add(-w.options.UsageLag)), UsageAge: w.options.UsageLag,
	}
}

// usage is what the task used at a time. The present share stands for the past one, which is not kept.
func (w *Worker) usage(r *run, at time.Time) resource.Amount {
	if at.Before(r.began) || (r.state != StateRunning && !at.Before(r.ended)) {
		return resource.Amount{}
	}
	u := r.size
	u.MilliProcessors = int64(float64(u.MilliProcessors) * r.share)
	return u
}

func (w *Worker) sorted() []*run {
	all := make([]*run, 0, len(w.tasks))
	for _, r := range w.tasks {
		all = append(all, r)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].start.ID < all[j].start.ID })
	return all
}

// CheckpointToken returns the checkpoint token of a progress from 0 to 1.
func CheckpointToken(progress float64) string {
	return tokenPrefix + strconv.FormatFloat(progress, 'g', -1, 64)
}

func parseToken(token string) (float64, error) {
	if token == "" {
		return 0, nil
	}
	text, ok := strings.CutPrefix(token, tokenPrefix)
	p, err := strconv.ParseFloat(text, 64)
	if !ok || err != nil || !(p >= 0 && p <= 1) {
		return 0, eris.New("worker: checkpoint is not a token of this service")
	}
	return p, nil
}

func scale(a resource.Amount, factor float64) resource.Amount {
	return resource.Amount{
		MilliProcessors: int64(math.Round(float64(a.MilliProcessors) * factor)),
		MemoryBytes:     int64(math.Round(float64(a.MemoryBytes) * factor)),
		Accelerators:    a.Accelerators,
	}
}

func positive(a, b float64) float64 {
	if a > 0 {
		return a
	}
	return b
}
