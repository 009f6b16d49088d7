package main

import (
	"context"
	"errors"
	"time"

	"bamboohook/review/internal/rig"
)

const (
	lastingTasks = 3
	// restartTime and awayTime are those of the rule LOST: a task that lasts has nothing running for awayTime, from restartTime after its last run.
	restartTime = 6 * time.Second
	awayTime    = 3 * time.Second
	// calmTime is the time without disruption before awayTime.
	calmTime = 4 * time.Second
)

// lastingTask hands in a job with tasks that last. The disruption is that one of them ends by itself with the outcome "done". The rule is broken if
// it does not run again.
func lastingTask(ctx context.Context, i *rig.Installation, trouble bool) (bool, error) {
	i.Workers = 4
	if err := i.Start(ctx); err != nil {
		return false, err
	}
	id := rig.NewID()
	accepted := i.Submit(ctx, rig.IndexPath, id, rig.Job{
		Spec: rig.Spec{Lasts: true}.Encode(), Steps: []rig.Step{{Count: lastingTasks, CPU: 13000, MemMb: 26000, EstimateMs: 500, LongRunning: true}},
	})
	if !accepted || !await(ctx, 5*time.Second, func() bool { return running(i, id) == lastingTasks }) {
		return false, errors.New("the tasks that last did not start")
	}
	time.Sleep(calmTime)
	if trouble {
		// The first of the tasks ends as any program may that has nothing left to do.
		task := id + ".0.0.0"
		ended := false
		for _, w := range i.WorkerFakes {
			ended = ended || w.EndRun(task, "done")
		}
		if !ended {
			return false, errors.New("the task that was to end is not running")
		}
	}
	time.Sleep(restartTime + calmTime)
	missing := 0
	for until := time.Now().Add(awayTime); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if missing = lastingTasks - running(i, id); missing == 0 {
			break
		}
	}
	i.Record.Printf("state %s; %d of %d tasks did not run for %s", i.State(ctx, rig.IndexPath, id), missing, lastingTasks, awayTime)
	return missing > 0, nil
}
