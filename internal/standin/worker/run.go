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

// PayloadFail is the payload of a task that fails as soon as it starts.
const PayloadFail = "fail"

const checkpointTokenPrefix = "progress:"

// run is an attempt of a task. All times are those of the worker's clock.
type run struct {
	request         message.WorkerStart
	state           string
	reason          string
	actualSize      resource.Amount
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

// advanceAll updates all running tasks to the current time and returns it. The caller holds the mutex.
func (w *Worker) advanceAll() time.Time {
	now := w.options.Clock.Now()
	for _, r := range w.runs {
		if r.state == StateRunning {
			w.advanceRun(r, now)
		}
	}
	return now
}

// advanceRun updates the progress of a running task up to now. The task ends if it has completed or its lease has expired by then.
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

func (w *Worker) finishRun(r *run, state, reason string, end time.Time) {
	r.state, r.reason, r.endTime, r.updateTime = state, reason, end, end
	interval := &w.history[r.historyIndex]
	interval.End, interval.EndState, interval.EndProgress = end, state, r.progress
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

// startRun starts a task with an ID that the worker does not have yet. The caller holds the mutex and has called advanceAll.
func (w *Worker) startRun(s message.WorkerStart, now time.Time) (*run, error) {
	progress, err := parseCheckpointToken(s.Checkpoint)
	if err != nil {
		return nil, err
	}
	sizeFactor := firstPositive(w.faults.SizeFactor, w.options.SizeFactor)
	runTimeFactor := firstPositive(w.faults.RunTimeFactor, w.options.RunTimeFactor)
	r := &run{
		request: s, state: StateRunning, startTime: now, updateTime: now, leaseExpiry: now.Add(s.Lease),
		actualSize: scaleAmount(jobSize(s), sizeFactor), runTime: max(1, time.Duration(float64(s.RunTime)*runTimeFactor)),
		progress: progress, share: 1, checkpointToken: s.Checkpoint, historyIndex: len(w.history),
	}
	w.runs[s.ID] = r
	w.history = append(w.history, Interval{ID: s.ID, Start: now, StartProgress: progress, EndProgress: progress})
	w.counters.Starts++
	w.updateSizeCounters()
	if w.faults.FailStarts || s.Payload == PayloadFail {
		w.finishRun(r, StateFailed, "injected failure", now)
	}
	return r, nil
}

// jobSize returns the size to which the size factor applies. It is the declared size of the job, if known, and not a size
// that the scheduler has corrected.
func jobSize(s message.WorkerStart) resource.Amount {
	if s.DeclaredSize != (resource.Amount{}) {
		return s.DeclaredSize
	}
	return s.Size
}

// updateSizeCounters updates Overcommits and MaxDeclared after a start. The caller holds the mutex.
func (w *Worker) updateSizeCounters() {
	var sum resource.Amount
	for _, r := range w.runs {
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

// usageAt returns the resource usage of a task at a past time. It uses the current processor share, because the worker does not
// record earlier ones.
func (w *Worker) usageAt(r *run, at time.Time) resource.Amount {
	if at.Before(r.startTime) || (r.state != StateRunning && !at.Before(r.endTime)) {
		return resource.Amount{}
	}
	u := r.actualSize
	u.MilliProcessors = int64(float64(u.MilliProcessors) * r.share)
	return u
}

func (w *Worker) sortedRuns() []*run {
	runs := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		runs = append(runs, r)
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].request.ID < runs[j].request.ID })
	return runs
}

// CheckpointToken returns the checkpoint token for a progress from 0 to 1.
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
