package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"bamboohook/review/third/internal/installation"
	"bamboohook/review/third/internal/worker"
)

const (
	// jobsPerSecond jobs with a Spec of specBytes come for trafficTime. Then the first thickEntries machines are removed.
	jobsPerSecond = 18
	specBytes     = 4000
	trafficTime   = 72 * time.Second
	thickEntries  = 2
	// asked is the number of jobs that are asked for after finishTime, and askTime the time for it.
	asked   = 20
	askTime = 12 * time.Second
)

// playTakeover removes the machines with wide links, so that one with a thin link must become the owner. The accepted jobs must still be known.
func playTakeover(ctx context.Context, i *installation.Installation, trouble bool) (string, error) {
	i.Entries, i.Links = 4, []float64{200, 200, 10, 10}
	i.Queues = []installation.Queue{{Name: "road-check", Priority: 0, MaxAttempts: 2, Stretch: 1.5, TargetLatencyMs: 300}}
	if err := i.Start(ctx); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	var accepted atomic.Int64
	var group sync.WaitGroup
	ticker := time.NewTicker(time.Second / jobsPerSecond)
	defer ticker.Stop()
	ids := []string{}
	for startedAt := time.Now(); time.Since(startedAt) < trafficTime; <-ticker.C {
		id := fmt.Sprintf("%016x", 0x2000+len(ids))
		ids = append(ids, id)
		body := job(worker.Step{Ms: 200}, 1, 500, nil)
		spec := body["Spec"].(string)
		body["Spec"] = spec + strings.Repeat(" ", specBytes-len(spec))
		group.Go(func() {
			if i.Submit(ctx, len(ids), "road-check", id, body) {
				accepted.Add(1)
			}
		})
	}
	group.Wait()
	i.Note("the traffic ends: %d of %d jobs accepted", accepted.Load(), len(ids))
	endedAt := time.Now()
	if trouble {
		for n := range thickEntries {
			i.Note("entry %d gets SIGTERM and is removed", n)
			p := i.Process("entry", n)
			_ = p.Signal(syscall.SIGTERM)
			_, _ = p.Wait()
		}
	}
	if accepted.Load() < int64(len(ids)) {
		return "", fmt.Errorf("%d of %d jobs were accepted", accepted.Load(), len(ids))
	}
	time.Sleep(time.Until(endedAt.Add(finishTime)))
	unanswered, known := map[string]bool{}, map[string]bool{}
	for _, id := range ids[len(ids)-asked:] {
		unanswered[id] = true
	}
	var mutex sync.Mutex
	for askedSince := time.Now(); len(unanswered) > 0 && time.Since(askedSince) < askTime; time.Sleep(time.Second) {
		for id := range unanswered {
			group.Go(func() {
				for entry := range thickEntries {
					if i.State(ctx, thickEntries+entry, "road-check", id) != "" {
						mutex.Lock()
						defer mutex.Unlock()
						known[id] = true
						return
					}
				}
			})
		}
		group.Wait()
		for id := range known {
			delete(unanswered, id)
		}
	}
	if len(unanswered) == 0 {
		return "", nil
	}
	return fmt.Sprintf("LOST: %d of %d accepted jobs got no state within %s", len(unanswered), asked, askTime), nil
}
