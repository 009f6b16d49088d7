package main

import (
	"context"
	"errors"
	"time"

	"bamboohook/review/internal/rig"
)

const (
	occurrences        = 60
	tasksPerOccurrence = 200
	occurrenceInterval = 200 * time.Millisecond
	// taskTime is longer than the script. startTime limits the time until all tasks run, checkpointTime is some times CheckpointIntervalS.
	taskTime       = 3 * time.Minute
	startTime      = 35 * time.Second
	checkpointTime = 2 * time.Second
	// downTime is how long all entries are down, recoveryTime is RecoveryS.
	downTime     = 9500 * time.Millisecond
	recoveryTime = 12 * time.Second
	sampleJobs   = 20
	// servedShare is the share of the requests that RECOVER asks for.
	servedShare = 0.25
)

// largeRecord hands in a scheduled job with many tasks that save checkpoints. The disruption is that all entries lose power for 9.5 s, in which the
// leases of all runs lapse. The rule is broken if less than a quarter of the requests is served more than RecoveryS after they are back, though a
// quarter or more was served before.
func largeRecord(ctx context.Context, i *rig.Installation, trouble bool) (bool, error) {
	i.Workers = 11
	if err := i.Start(ctx); err != nil {
		return false, err
	}
	large := rig.NewID()
	accepted := i.Submit(ctx, rig.BuildPath, large, rig.Job{
		Spec:        rig.Spec{Ms: taskTime.Milliseconds(), Saves: true}.Encode(),
		Steps:       []rig.Step{{Count: tasksPerOccurrence, CPU: 50, MemMb: 100, EstimateMs: taskTime.Milliseconds(), Checkpointing: true}},
		RepeatCount: occurrences, StartAtMs: time.Now().UnixMilli(), IntervalMs: occurrenceInterval.Milliseconds(),
	})
	if !accepted {
		return false, errors.New("the large job was not accepted")
	}
	if !await(ctx, startTime, func() bool { return running(i, large) == occurrences*tasksPerOccurrence }) {
		return false, errors.New("the large job has not started all its tasks")
	}
	// By then each run has a checkpoint.
	time.Sleep(checkpointTime)
	i.Record.Printf("%d runs of the large job", running(i, large))
	before := serveSample(ctx, i)
	if trouble {
		for n := range i.Entries {
			i.KillEntry(n)
		}
		i.Record.Printf("all entries were killed")
	}
	time.Sleep(downTime)
	if trouble {
		for n := range i.Entries {
			if err := i.StartEntry(n); err != nil {
				return false, err
			}
		}
		i.Record.Printf("all entries were started again")
	}
	time.Sleep(recoveryTime)
	after := serveSample(ctx, i)
	i.Record.Printf("served before: %d, after: %d of %d; large job: %s, %d runs", before, after, sampleJobs, i.State(ctx, rig.BuildPath, large), running(i, large))
	// Whether the large job can be cancelled does not decide about the rule. It tells whether an operator could help.
	i.Record.Printf("cancelling the large job was acknowledged: %t", i.Cancel(ctx, 0, rig.BuildPath, large))
	return float64(before) >= servedShare*sampleJobs && float64(after) < servedShare*sampleJobs, nil
}

// serveSample hands in small jobs, one after another, and returns how many were accepted and are completed 3 s after the last one.
func serveSample(ctx context.Context, i *rig.Installation) int {
	var ids []string
	results := make(chan string, sampleJobs)
	for range sampleJobs {
		id := rig.NewID()
		go func() {
			if !i.Submit(ctx, rig.PreviewPath, id, rig.Job{Spec: rig.Spec{Ms: 300}.Encode(), Steps: []rig.Step{{Count: 1, CPU: 500, MemMb: 1000, EstimateMs: 300}}}) {
				id = ""
			}
			results <- id
		}()
		time.Sleep(100 * time.Millisecond)
	}
	for range sampleJobs {
		if id := <-results; id != "" {
			ids = append(ids, id)
		}
	}
	time.Sleep(3 * time.Second)
	served := 0
	for _, id := range ids {
		if i.State(ctx, rig.PreviewPath, id) == "completed" {
			served++
		}
	}
	return served
}
