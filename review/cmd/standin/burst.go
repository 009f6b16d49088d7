package main

import (
	"context"
	"sync"
	"time"

	"bamboohook/review/internal/rig"
)

const (
	// jobInterval is the time between two jobs of the site's class buildall, of which 1.2 come in a second. burstJobInterval and burstTime are those of the largest
	// burst of the site, 2.6 times as many for 6.3 s.
	jobInterval      = time.Second * 10 / 12
	burstJobInterval = jobInterval * 10 / 26
	burstTime        = 6300 * time.Millisecond
	calmBefore       = 12 * time.Second
	calmAfter        = 10 * time.Second
	buildTime        = 2200 * time.Millisecond
)

// adviceBurst hands in builds for an advised queue whose policy allows all workers. The disruption is a burst of such jobs. The rule is broken if a job
// has nothing running for awayTime, from finishTime after the end of the traffic, although nearly all of the capacity is free.
func adviceBurst(ctx context.Context, i *rig.Installation, trouble bool) (bool, error) {
	i.Workers, i.AdvisedPath = firstWorkers, rig.BuildPath
	i.Advisor = &rig.Advisor{
		Allowed: map[string]bool{}, Decision: 100 * time.Millisecond, PerWorker: 10 * time.Millisecond, Valid: 3 * time.Second,
		OnAnswer: func(step string, asked, approved []string) {
			i.Record.Printf("advice: step %s, asked for %d workers, approved %d", step, len(asked), len(approved))
		},
	}
	for n := range firstWorkers {
		i.Advisor.Allowed[rig.WorkerID(n)] = true
	}
	if err := i.Start(ctx); err != nil {
		return false, err
	}
	// Agents that have just started may refuse orders for two seconds.
	time.Sleep(3 * time.Second)
	var (
		group    sync.WaitGroup
		mutex    sync.Mutex
		accepted []string
	)
	build := rig.Step{Count: 8, CPU: 7000, MemMb: 13000, EstimateMs: buildTime.Milliseconds(), Checkpointing: true}
	second := build
	second.After = []int{0}
	send := func(duration, interval time.Duration) {
		for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(interval) {
			group.Go(func() {
				id := rig.NewID()
				if i.Submit(ctx, rig.BuildPath, id, rig.Job{Spec: rig.Spec{Ms: buildTime.Milliseconds(), Saves: true}.Encode(), Steps: []rig.Step{build, second}}) {
					mutex.Lock()
					accepted = append(accepted, id)
					mutex.Unlock()
				}
			})
		}
	}
	send(calmBefore, jobInterval)
	burstInterval := jobInterval
	if trouble {
		burstInterval = burstJobInterval
		i.Record.Printf("the burst begins")
	}
	send(burstTime, burstInterval)
	i.Record.Printf("the burst is over")
	send(calmAfter, jobInterval)
	group.Wait()
	i.Record.Printf("the traffic is over")
	time.Sleep(finishTime)
	return countIdle(ctx, i, accepted) > 0, nil
}

// countIdle returns how many of the jobs have nothing running for awayTime and are not shown as completed.
func countIdle(ctx context.Context, i *rig.Installation, jobs []string) int {
	idle := map[string]bool{}
	for _, id := range jobs {
		idle[id] = true
	}
	for until := time.Now().Add(awayTime); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		for id := range idle {
			if running(i, id) > 0 {
				delete(idle, id)
			}
		}
	}
	busy := 0
	for _, w := range i.WorkerFakes {
		busy += w.RunCount()
	}
	for id := range idle {
		if state := i.State(ctx, rig.BuildPath, id); state != "queued" && state != "running" {
			delete(idle, id)
		}
	}
	i.Record.Printf("%d of %d jobs have nothing running and are not done; %d tasks are running on %d workers", len(idle), len(jobs), busy, len(i.WorkerFakes))
	return len(idle)
}
