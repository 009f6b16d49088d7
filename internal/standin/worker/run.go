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

const checkpointTokenPrefix = "progress:"

// run is one task attempt. Times are those of the worker's clock.
type run struct {
	request         message.WorkerStart
	state           string
	reason          string
	trueSize        resource.Amount
	runTime         time.Duration
	startTime       time.Time
	endTime         time.Time
	leaseExpiry     time.Time
	updateTime      time.Time
	progress        float64
	share           float64
	checkpointToken string
	historyIndex    int
}

// settle brings every running task to the present. The caller holds the mutex.
func (w *Worker) advanceAll() time.Time {
	now := w.options.Clock.Now()
	for _, r := range w.tasks {
		if r.state == StateRunning {
			w.advanceRun(r, now)
		}
	}
	return now
}

// advance moves a running task to now, or to its completion or the end of its lease if that is earlier.
func (w *Worker) advanceRun(r *run, now time.Time) {
	end := now
	if !r.leaseExpiry.After(now) {
		end = r.leaseExpiry
	}
	if r.share > 0 {
		remaining := time.Duration(math.Round((1 - r.progress) * float64(r.runTime) / r.share))
		if completion := r.updateTime.Add(remaining); !completion.After(end) {
			r.progress = 1
			w.finishRun(r, StateDone, "", completion)
			return
		}
	}
	r.progress = min(1, r.progress+float64(end.Sub(r.updateTime))*r.share/float64(r.runTime))
	r.updateTime = end
	if !r.leaseExpiry.After(now) {
		w.finishRun(r, StateLapsed, "lease expired", r.leaseExpiry)
	}
}

func (w *Worker) finishRun(r *run, state, reason string, at time.Time) {
	r.state, r.reason, r.endTime, r.updateTime = state, reason, at, at
	i := &w.history[r.historyIndex]
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
func (w *Worker) startRun(s message.WorkerStart, now time.Time) (*run, error) {
	progress, err := parseCheckpointToken(s.Checkpoint)
	if err != nil {
		return nil, err
	}
	sizeFactor := firstPositive(w.faults.SizeFactor, w.options.SizeFactor)
	runTimeFactor := firstPositive(w.faults.RunTimeFactor, w.options.RunTimeFactor)
	r := &run{
		request: s, state: StateRunning, startTime: now, updateTime: now, leaseExpiry: now.Add(s.Lease),
		trueSize: scaleAmount(jobSize(s), sizeFactor), runTime: max(1, time.Duration(float64(s.RunTime)*runTimeFactor)),
		progress: progress, share: 1, checkpointToken: s.Checkpoint, historyIndex: len(w.history),
	}
	w.tasks[s.ID] = r
	w.history = append(w.history, Interval{ID: s.ID, Start: now, StartProgress: progress, EndProgress: progress})
	w.counters.Starts++
	w.countDeclaredSizes()
	if w.faults.FailStarts || s.Payload == PayloadFail {
		w.finishRun(r, StateFailed, "injected failure", now)
	}
	return r, nil
}

// trueSize is what the size factor applies to: the size of the job, not one that a scheduler has corrected.
func jobSize(s message.WorkerStart) resource.Amount {
	if s.JobSize != (resource.Amount{}) {
		return s.JobSize
	}
	return s.Size
}

func (w *Worker) countDeclaredSizes() {
	var sum resource.Amount
	for _, r := range w.tasks {
		if r.state == StateRunning {
			sum = sum.Add(r.request.Size)
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

func (w *Worker) taskReport(r *run, now time.Time) message.WorkerTask {
	return message.WorkerTask{
		ID: r.request.ID, Kind: r.request.Kind, State: r.state, Size: r.request.Size, Progress: r.progress,
		Checkpoint: r.checkpointToken, Reason: r.reason, Share: r.share,
		Usage: w.usageAt(r, now.Add(-w.options.UsageLag)), UsageAge: w.options.UsageLag,
	}
}

// usage is what the task used at a time. The present share stands for the past one, which is not kept.
func (w *Worker) usageAt(r *run, at time.Time) resource.Amount {
	if at.Before(r.startTime) || (r.state != StateRunning && !at.Before(r.endTime)) {
		return resource.Amount{}
	}
	u := r.trueSize
	u.MilliProcessors = int64(float64(u.MilliProcessors) * r.share)
	return u
}

func (w *Worker) sortedRuns() []*run {
	runs := make([]*run, 0, len(w.tasks))
	for _, r := range w.tasks {
		runs = append(runs, r)
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].request.ID < runs[j].request.ID })
	return runs
}

// CheckpointToken returns the checkpoint token of a progress from 0 to 1.
func CheckpointToken(progress float64) string {
	return checkpointTokenPrefix + strconv.FormatFloat(progress, 'g', -1, 64)
}

func parseCheckpointToken(token string) (float64, error) {
	if token == "" {
		return 0, nil
	}
	text, ok := strings.CutPrefix(token, checkpointTokenPrefix)
	progress, err := strconv.ParseFloat(text, 64)
	if !ok || err != nil || !(progress >= 0 && progress <= 1) {
		return 0, eris.New("worker: checkpoint is not a token of this service")
	}
	return progress, nil
}

func scaleAmount(a resource.Amount, factor float64) resource.Amount {
	return resource.Amount{
		MilliProcessors: int64(math.Round(float64(a.MilliProcessors) * factor)),
		MemoryBytes:     int64(math.Round(float64(a.MemoryBytes) * factor)),
		Accelerators:    a.Accelerators,
	}
}

func firstPositive(a, b float64) float64 {
	if a > 0 {
		return a
	}
	return b
}
