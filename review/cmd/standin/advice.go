package main

import (
	"context"
	"errors"
	"time"

	"bamboohook/review/internal/rig"
)

const (
	// firstWorkers is the number of workers at first, and addedWorkers the share of 0.25 of them, rounded up, that scale_out adds.
	firstWorkers = 11
	addedWorkers = 3
	// allowedWorkers is the number of workers that the queue's policy allows. servingTasks last on them, at most servingTasksPerWorker on each.
	allowedWorkers        = 4
	servingTasks          = 8
	servingTasksPerWorker = 2
	// finishTime is finish_s: the time after the end of the traffic from which jobs must have run.
	finishTime = 14 * time.Second
)

// advice hands in jobs for an advised queue whose policy allows the first workers only. A job of the queue has tasks that last there. The disruption
// is that empty workers are added, which the policy does not allow. The rule is broken if a later job of the queue does not start.
func advice(ctx context.Context, i *rig.Installation, trouble bool) (bool, error) {
	i.Workers = firstWorkers
	i.Advisor = &rig.Advisor{
		Allowed: map[string]bool{}, Decision: 100 * time.Millisecond, PerWorker: 10 * time.Millisecond, Valid: 3 * time.Second,
		OnAnswer: func(step string, asked, approved []string) {
			i.Record.Printf("advice: step %s, asked for %v, approved %v", step, asked, approved)
		},
	}
	i.AdvisedPath = rig.IndexPath
	for n := range allowedWorkers {
		i.Advisor.Allowed[rig.WorkerID(n)] = true
	}
	if err := i.Start(ctx); err != nil {
		return false, err
	}
	// Agents that have just started may refuse orders for two seconds.
	time.Sleep(3 * time.Second)
	serving := rig.NewID()
	accepted := i.Submit(ctx, rig.IndexPath, serving, rig.Job{
		Spec: rig.Spec{Lasts: true}.Encode(),
		Steps: []rig.Step{{
			Count: servingTasks, CPU: 8000, MemMb: 16000, EstimateMs: 500, LongRunning: true, AntiAffinity: servingTasksPerWorker,
		}},
	})
	if !accepted || !await(ctx, 30*time.Second, func() bool { return running(i, serving) == servingTasks }) {
		return false, errors.New("the tasks that last did not start")
	}
	if trouble {
		for n := range addedWorkers {
			if err := i.StartWorker(firstWorkers + n); err != nil {
				return false, err
			}
		}
		i.Record.Printf("%d empty workers were added", addedWorkers)
	}
	time.Sleep(5 * time.Second)
	id := rig.NewID()
	if !i.Submit(ctx, rig.IndexPath, id, rig.Job{Spec: rig.Spec{Ms: 800}.Encode(), Steps: []rig.Step{{Count: 2, CPU: 2000, MemMb: 4000, EstimateMs: 800}}}) {
		return false, errors.New("the job was not accepted")
	}
	started := await(ctx, finishTime+awayTime, func() bool { return len(i.Record.Events(id)) > 0 })
	i.Record.Printf("state %s, started: %t", i.State(ctx, rig.IndexPath, id), started)
	return !started, nil
}
