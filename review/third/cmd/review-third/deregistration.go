package main

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"bamboohook/review/third/internal/installation"
	"bamboohook/review/third/internal/worker"
)

const (
	// onlyWorker is the number of the only worker of its kind. Its agent stands still for freezeTime.
	onlyWorker  = 10
	leaveRounds = 10
	freezeTime  = 3200 * time.Millisecond
	drainTime   = 2 * time.Second
	// absence is the time between the end of a life of the worker and the begin of the next one.
	absence = 300 * time.Millisecond
)

// playLateDeregistration lets a worker leave and return under its ID while its agent stands still. The worker must get work after that.
func playLateDeregistration(ctx context.Context, i *installation.Installation, trouble bool) (string, error) {
	i.OneProcessor = true
	i.Queues = []installation.Queue{{Name: "preview", Priority: 0, MaxAttempts: 2, Stretch: 1.5, TargetLatencyMs: 250}}
	if err := i.Start(ctx); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	for round := range leaveRounds {
		w, agent := i.All[onlyWorker], i.Process("agent", onlyWorker)
		w.Drain(ctx)
		time.Sleep(drainTime)
		if trouble {
			_ = agent.Signal(syscall.SIGSTOP)
			// The signal takes effect a little later.
			time.Sleep(100 * time.Millisecond)
		}
		stoppedAt := time.Now()
		w.Leave(ctx)
		i.Note("worker %d has left", onlyWorker)
		time.Sleep(absence)
		w.Return(ctx)
		i.Note("worker %d is back under its ID", onlyWorker)
		time.Sleep(time.Until(stoppedAt.Add(freezeTime)))
		_ = agent.Signal(syscall.SIGCONT)
		id := fmt.Sprintf("%016x", 0x3000+round)
		if !i.Submit(ctx, 0, "preview", id, job(worker.Step{Ms: 200}, 2, 1000, map[string]any{"Requires": "b"})) {
			return "", fmt.Errorf("job %s was not accepted", id)
		}
		submittedAt := time.Now()
		for time.Since(submittedAt) < finishTime+idleTime+time.Second && i.State(ctx, 1, "preview", id) != "completed" {
			time.Sleep(500 * time.Millisecond)
		}
		if broken := longestIdle(i, id, submittedAt.Add(finishTime), time.Now()); broken != "" {
			return broken, nil
		}
	}
	return "", nil
}
