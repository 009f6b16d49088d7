package main

import (
	"context"
	"errors"
	"sync"
	"time"

	"bamboohook/review/internal/rig"
)

const (
	// pauseTime is how long the owner stands still. It is too short for another entry to become the owner.
	pauseTime = 600 * time.Millisecond
	pauses    = 3
	// patience is how long a client waits before it leaves: half of the objective of the class preview.
	patience = 125 * time.Millisecond
	// Of the clients of each pause, leaving of every clientGroup leave: a share of 0.4, the largest of the site.
	jobsInPause   = 25
	leaving       = 2
	clientGroup   = 5
	sendInterval  = 15 * time.Millisecond
	pauseInterval = 4 * time.Second
	// cancelTime is cancel_ms, stopTimeout is StopTimeoutMs.
	cancelTime  = 3 * time.Second
	stopTimeout = 200 * time.Millisecond
)

// cancelled hands in jobs at one entry. Some of the clients leave before there is a response, and cancel their jobs at another entry. The disruption is
// that the entry that owns the jobs stands still meanwhile. The rule is broken if a job runs on after its cancelling was acknowledged.
func cancelled(ctx context.Context, i *rig.Installation, trouble bool) (bool, error) {
	i.Workers = firstWorkers
	if err := i.Start(ctx); err != nil {
		return false, err
	}
	// Agents that have just started may refuse orders for two seconds.
	time.Sleep(3 * time.Second)
	owner, ok := i.Owner()
	if !ok {
		return false, errors.New("no entry owns the jobs")
	}
	var (
		group        sync.WaitGroup
		mutex        sync.Mutex
		acknowledged = map[string]time.Time{}
	)
	for range pauses {
		if trouble {
			i.Record.Printf("entry %d, which owns the jobs, stands still for %s", owner, pauseTime)
			group.Go(func() { i.PauseEntry(owner, pauseTime) })
			time.Sleep(sendInterval)
		}
		for n := range jobsInPause {
			group.Go(func() {
				id := rig.NewID()
				j := rig.Job{Spec: rig.Spec{Lasts: true}.Encode(), Steps: []rig.Step{{Count: 1, CPU: 500, MemMb: 1000, EstimateMs: 500, LongRunning: true}}}
				if n%clientGroup >= leaving {
					i.Submit(ctx, rig.IndexPath, id, j)
					return
				}
				i.SubmitOnce(ctx, (owner+1)%i.Entries, rig.IndexPath, id, j, patience)
				if i.Cancel(ctx, (owner+2)%i.Entries, rig.IndexPath, id) {
					mutex.Lock()
					acknowledged[id] = time.Now()
					mutex.Unlock()
				}
			})
			time.Sleep(sendInterval)
		}
		time.Sleep(pauseInterval)
	}
	group.Wait()
	time.Sleep(cancelTime + stopTimeout)
	runOn := 0
	for id := range acknowledged {
		if running(i, id) > 0 {
			runOn++
			i.Record.Printf("job %s runs on %s after its cancelling was acknowledged; state %s", id, time.Since(acknowledged[id]).Round(time.Millisecond), i.State(ctx, rig.IndexPath, id))
		}
	}
	i.Record.Printf("%d of %d jobs run on after their cancelling was acknowledged", runOn, len(acknowledged))
	return runOn > 0, nil
}
