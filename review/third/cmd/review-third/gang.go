package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"bamboohook/review/third/internal/installation"
	"bamboohook/review/third/internal/worker"
)

const (
	// lastingJobs are handed in within handInTime. Of them, hopelessJobs can never be done: their tasks fail soon after each start.
	lastingJobs  = 26
	hopelessJobs = 2
	handInTime   = 3 * time.Second
	// finishTime is finish_s, idleTime the time for which a job may have nothing running after that.
	finishTime = 14 * time.Second
	idleTime   = 3 * time.Second
	watchTime  = 40 * time.Second
)

// job returns the body of a submission with one step. extra holds further fields of the step.
func job(behaviour worker.Step, count, cpu int, extra map[string]any) map[string]any {
	step := map[string]any{"Count": count, "Cpu": cpu, "MemMb": 200, "EstimateMs": behaviour.Ms}
	for name, value := range extra {
		step[name] = value
	}
	spec := fmt.Sprintf(`{"Steps":[{"Ms":%d,"Fails":%t,"Lasts":%t,"Gang":%d,"FirstFailsMs":%d}]}`, behaviour.Ms, behaviour.Fails, behaviour.Lasts, behaviour.Gang, behaviour.FirstFailsMs)
	return map[string]any{"Spec": spec, "Steps": []map[string]any{step}}
}

// handInLastingJobs starts the installation and hands in the jobs that last. If firstFails is not 0, the first task of each fourth job fails once: that of the
// first job after this time, and that of each further one failInterval later.
func handInLastingJobs(ctx context.Context, i *installation.Installation, trouble bool, firstFails time.Duration) error {
	i.Queues = []installation.Queue{
		{Name: "preview", Priority: 0, MaxAttempts: 2, Stretch: 1.5, TargetLatencyMs: 250},
		{Name: "buildall", Priority: 2, MaxAttempts: 3, Stretch: 2, TargetLatencyMs: 1000},
		{Name: "indexer", Priority: 0, MaxAttempts: 3, Stretch: 2.2, TargetLatencyMs: 2500},
	}
	if err := i.Start(ctx); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	for n := range lastingJobs {
		fails := trouble && n >= lastingJobs-hopelessJobs
		count := 2
		if n >= lastingJobs-hopelessJobs {
			count = 12
		}
		behaviour := worker.Step{Ms: 300, Fails: fails, Lasts: true}
		if firstFails > 0 && n%4 == 0 && n < lastingJobs-hopelessJobs {
			behaviour.FirstFailsMs = int((firstFails + time.Duration(n/4)*failInterval).Milliseconds())
		}
		body := job(behaviour, count, 500, map[string]any{"LongRunning": true, "Image": "index"})
		if !i.Submit(ctx, n, "indexer", fmt.Sprintf("%016x", 0x1000+n), body) {
			return fmt.Errorf("job %d was not accepted", n)
		}
		time.Sleep(handInTime/lastingJobs - 5*time.Millisecond)
	}
	return nil
}

// playStarvedGang hands in jobs that last, two of which can never be done, and then a gang. The gang must not wait with nothing running while nearly all of
// the service is free.
func playStarvedGang(ctx context.Context, i *installation.Installation, trouble bool) (string, error) {
	if err := handInLastingJobs(ctx, i, trouble, 0); err != nil {
		return "", err
	}
	time.Sleep(15 * time.Second)
	const gang, members = "00000000000000aa", 16
	body := job(worker.Step{Ms: 1000, Gang: members}, members, 16000, map[string]any{"Gang": true})
	if !i.Submit(ctx, 0, "buildall", gang, body) {
		return "", fmt.Errorf("the gang was not accepted")
	}
	handedIn := time.Now()
	i.Note("the traffic ends")
	for time.Since(handedIn) < finishTime+watchTime {
		time.Sleep(time.Second)
		if i.State(ctx, 1, "buildall", gang) == "completed" {
			break
		}
	}
	return longestIdle(i, gang, handedIn.Add(finishTime), time.Now()), nil
}

// longestIdle describes a span of idleTime or more between the times in which no task of the job ran, or returns "".
func longestIdle(i *installation.Installation, id string, from, to time.Time) string {
	running, idleSince := map[string]bool{}, from
	var longest time.Duration
	for _, e := range i.Events() {
		if !strings.HasPrefix(e.Task, id+".") {
			continue
		}
		if e.Kind == "start" {
			if len(running) == 0 && e.At.After(idleSince) {
				longest = max(longest, e.At.Sub(idleSince))
			}
			running[e.Task] = true
			continue
		}
		delete(running, e.Task)
		if len(running) == 0 {
			idleSince = e.At
			if e.Kind == "done" {
				idleSince = to
			}
			if idleSince.Before(from) {
				idleSince = from
			}
		}
	}
	if len(running) == 0 {
		longest = max(longest, to.Sub(idleSince))
	}
	i.Note("longest time after finish_s in which job %s had nothing running: %s", id, longest.Round(time.Millisecond))
	if longest < idleTime {
		return ""
	}
	return fmt.Sprintf("LOST: job %s had nothing running for %s", id, longest.Round(time.Millisecond))
}
