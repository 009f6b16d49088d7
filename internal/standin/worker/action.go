package worker

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"bamboohook/internal/message"
	"bamboohook/resource"
)

var errNotFound = echo.NewHTTPError(http.StatusNotFound, "worker: task is not known")

// Start starts a task. If the worker already has a task with the ID, it returns the state of that one instead. Like the other
// methods, it returns errors of type *echo.HTTPError.
func (w *Worker) Start(s message.WorkerStart) (message.WorkerTask, error) {
	if s.ID == "" || len(s.ID) > 512 || s.Size.Negative() || s.RunTime <= 0 || s.Lease <= 0 || s.Lease > maxLease {
		return message.WorkerTask{}, echo.NewHTTPError(http.StatusBadRequest,
			"worker: a task needs an id of at most 512 bytes, a size without negative amounts, a run time above 0 and a lease of at most 24 hours")
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := w.advanceAll()
	if r, ok := w.runs[s.ID]; ok {
		w.counters.RepeatedStarts++
		return w.taskReport(r, now), nil
	}
	if len(w.runs) >= maxTasks {
		return message.WorkerTask{}, echo.NewHTTPError(http.StatusInsufficientStorage, "worker: too many tasks")
	}
	r, err := w.startRun(s, now)
	if err != nil {
		return message.WorkerTask{}, echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	return w.taskReport(r, now), nil
}

// Task returns the state of a task.
func (w *Worker) Task(id string) (message.WorkerTask, error) {
	return w.withRun(id, false, func(*run, time.Time) error { return nil })
}

// Renew sets the lease of a running task to expire after the given duration.
func (w *Worker) Renew(id string, lease time.Duration) (message.WorkerTask, error) {
	return w.withRun(id, true, func(r *run, now time.Time) error {
		if lease <= 0 || lease > maxLease {
			return echo.NewHTTPError(http.StatusBadRequest, "worker: lease must be above 0 and at most 24 hours")
		}
		r.leaseExpiry = now.Add(lease)
		w.counters.Renewals++
		return nil
	})
}

// Checkpoint makes a checkpoint of a running task and returns the task with the checkpoint token. The task keeps running.
func (w *Worker) Checkpoint(id string) (message.WorkerTask, error) {
	return w.withRun(id, true, func(r *run, _ time.Time) error {
		r.checkpointToken = CheckpointToken(r.progress)
		w.counters.Checkpoints++
		return nil
	})
}

// Throttle limits a running task to a share of its processors, from 0 to 1.
func (w *Worker) Throttle(id string, share float64) (message.WorkerTask, error) {
	return w.withRun(id, true, func(r *run, _ time.Time) error {
		if !(share >= 0 && share <= 1) {
			return echo.NewHTTPError(http.StatusBadRequest, "worker: share must be from 0 to 1")
		}
		r.share = share
		return nil
	})
}

// Stop ends a task. If the task has already ended, Stop has no effect and returns no error.
func (w *Worker) Stop(id string) (message.WorkerTask, error) {
	return w.withRun(id, false, func(r *run, now time.Time) error {
		if r.state == StateRunning {
			w.finishRun(r, StateStopped, "stopped on request", now)
		}
		return nil
	})
}

// Usage returns the capacity, the running tasks with their resource usage, and the total usage of all tasks.
func (w *Worker) Usage() Usage {
	l := w.List()
	u := Usage{WorkerTasks: message.WorkerTasks{Capacity: l.Capacity, Tasks: []message.WorkerTask{}}, Age: w.options.UsageLag}
	for _, t := range l.Tasks {
		u.Total = u.Total.Add(t.Usage)
		if t.State == StateRunning {
			u.Tasks = append(u.Tasks, t)
		}
	}
	return u
}

// Usage is the body of the response to GET message.PathUsage: the list of running tasks, their total usage and its age.
type Usage struct {
	message.WorkerTasks
	Total resource.Amount `json:"total"`
	Age   time.Duration   `json:"age"`
}

// withRun calls f with the run of a task, updated to the current time, and returns the state of the task. It returns an error if the
// task is not known, or if mustBeRunning is true and the task has ended.
func (w *Worker) withRun(id string, mustBeRunning bool, f func(*run, time.Time) error) (message.WorkerTask, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := w.advanceAll()
	r, ok := w.runs[id]
	if !ok {
		return message.WorkerTask{}, errNotFound
	}
	if mustBeRunning && r.state != StateRunning {
		return message.WorkerTask{}, echo.NewHTTPError(http.StatusConflict, "worker: task is "+r.state+" and not running")
	}
	if err := f(r, now); err != nil {
		return message.WorkerTask{}, err
	}
	return w.taskReport(r, now), nil
}
