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
	// Tasks that last fail once, the first one after firstFail and the others failInterval later each.
	firstFail    = 18 * time.Second
	failInterval = 4 * time.Second
	// absentTime is how long a task that lasts may have no run after its last one: 6 s, and 3 s with nothing running.
	absentTime = 9 * time.Second
	lastTime   = 70 * time.Second
)

// playAbsentTasks lets single tasks of jobs that last fail once, long after two other jobs that can never be done were handed in. Each must run again soon.
func playAbsentTasks(ctx context.Context, i *installation.Installation, trouble bool) (string, error) {
	if err := handInLastingJobs(ctx, i, trouble, firstFail); err != nil {
		return "", err
	}
	time.Sleep(lastTime)
	return longestAbsence(i, fmt.Sprintf("%016x", 0x1000+lastingJobs-hopelessJobs)), nil
}

// longestAbsence describes the longest time without a run of a task that has had one, if that is absentTime or more. It leaves out the tasks of jobs from the
// given one on.
func longestAbsence(i *installation.Installation, firstHopeless string) string {
	endedAt := map[string]time.Time{}
	var longest time.Duration
	var longestTask string
	absences := 0
	count := func(task string, from, to time.Time) {
		if to.Sub(from) >= absentTime {
			absences++
		}
		if to.Sub(from) > longest {
			longest, longestTask = to.Sub(from), task
		}
	}
	observe := func(e worker.Event) {
		id, _, _ := strings.Cut(e.Task, ".")
		switch from, ended := endedAt[e.Task]; {
		case id >= firstHopeless:
		case e.Kind != "start":
			endedAt[e.Task] = e.At
		case ended:
			count(e.Task, from, e.At)
			delete(endedAt, e.Task)
		}
	}
	for _, e := range i.Events() {
		observe(e)
	}
	for task, from := range endedAt {
		count(task, from, time.Now())
	}
	i.Note("longest time without a run: %s of %s", longest.Round(time.Millisecond), longestTask)
	if absences == 0 {
		return ""
	}
	return fmt.Sprintf("LOST: %d tasks that last had no run for %s or more, %s for %s", absences, absentTime, longestTask, longest.Round(time.Millisecond))
}
