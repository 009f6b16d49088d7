package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"bamboohook/internal/fleet/sleeper"
	"bamboohook/internal/launcher"
	"bamboohook/internal/standin/estate"
)

const (
	maxAttempts  = 8
	retryDelay   = 300 * time.Millisecond
	pollInterval = 200 * time.Millisecond
	// cancelledShare is the share of jobs that are cancelled. Their tasks take longRunTime, so that they still run then.
	cancelledShare = 0.2
	longRunTime    = 10 * time.Second
	maxRunTime     = 1500 * time.Millisecond
	maxCancelDelay = 3 * time.Second
	// repeatedShare is the share of jobs whose submission arrives once more after it was accepted.
	repeatedShare = 0.1
	maxTasks      = 4
	// Every leavingInterval-th caller leaves before the response to its submission, at most maxLeaveDelay after it, and then cancels the job.
	leavingInterval = 10
	maxLeaveDelay   = 150 * time.Millisecond
)

type (
	// observation is a response to a request for the state of a job.
	observation struct {
		sent, received time.Time
		entry, status  int
		state          string
	}

	// job is a job and what its caller has seen. Times are zero if they have not come.
	job struct {
		id          string
		runTime     time.Duration
		steps       []estate.Step
		cancel      bool
		cancelDelay time.Duration
		repeatDelay time.Duration
		// leaveAfter is the time after which the caller closes the connection of the submission without a response, or 0 if it stays.
		leaveAfter   time.Duration
		onlyRefused  bool
		accepted     time.Time
		cancelSent   time.Time
		cancelled    time.Time
		observations []observation
	}

	// routeObservation is a response to a request that uses the route of one version of the configuration.
	routeObservation struct {
		sent, received time.Time
		process        *launcher.Process
		version        int
		status         int
	}

	// callers submit, observe and cancel jobs through all entries.
	callers struct {
		installation *estate.Installation
		entries      int

		mutex     sync.Mutex
		published []time.Time
	}
)

func drawJob(r *rand.Rand, n int) *job {
	j := &job{id: fmt.Sprintf("%016x", 0xabc000+n), runTime: drawDuration(r, 50*time.Millisecond, maxRunTime), onlyRefused: true}
	j.steps = []estate.Step{{Tasks: 1 + r.IntN(maxTasks), MilliProcessors: 500 * (1 + r.IntN(3))}}
	if r.IntN(2) == 0 {
		j.steps = append(j.steps, estate.Step{Tasks: 1 + r.IntN(maxTasks), MilliProcessors: 500 * (1 + r.IntN(3)), After: []int{0}})
	}
	if r.Float64() < cancelledShare {
		j.cancel, j.cancelDelay, j.runTime = true, drawDuration(r, 0, maxCancelDelay), longRunTime
	}
	if r.Float64() < repeatedShare {
		j.repeatDelay = drawDuration(r, time.Second, 4*time.Second)
	}
	if n%leavingInterval == leavingInterval-1 {
		j.cancel, j.cancelDelay, j.repeatDelay, j.runTime = true, 0, 0, longRunTime
		j.leaveAfter = maxLeaveDelay * time.Duration(n/leavingInterval%5+1) / 5
	}
	return j
}

// run submits the job and asks for its state until it has ended or ctx is done. A caller that leaves only cancels the job.
func (c *callers) run(ctx context.Context, j *job) {
	if j.leaveAfter > 0 {
		callCtx, leave := context.WithTimeout(ctx, j.leaveAfter)
		defer leave()
		j.onlyRefused = false
		c.installation.SubmitStatus(callCtx, int(j.runTime+j.leaveAfter)%c.entries, j.id, j.runTime, j.steps...)
		c.cancel(ctx, j)
		return
	}
	for attempt := range maxAttempts {
		status := c.installation.SubmitStatus(ctx, (attempt+int(j.runTime))%c.entries, j.id, j.runTime, j.steps...)
		if status == http.StatusOK {
			j.accepted = time.Now()
			break
		}
		if status != http.StatusTooManyRequests && status != http.StatusServiceUnavailable {
			j.onlyRefused = false
		}
		sleeper.Sleep(ctx, retryDelay)
	}
	if j.accepted.IsZero() {
		return
	}
	j.onlyRefused = false
	var group sync.WaitGroup
	defer group.Wait()
	if j.repeatDelay > 0 {
		group.Go(func() {
			sleeper.Sleep(ctx, j.repeatDelay)
			c.installation.SubmitStatus(ctx, rand.IntN(c.entries), j.id, j.runTime, j.steps...)
		})
	}
	if j.cancel {
		group.Go(func() { c.cancel(ctx, j) })
	}
	for ctx.Err() == nil {
		o := observation{sent: time.Now(), entry: rand.IntN(c.entries)}
		o.state, o.status = c.installation.StateStatus(ctx, o.entry, j.id)
		o.received = time.Now()
		j.observations = append(j.observations, o)
		if o.state == stateCompleted || o.state == stateCancelled {
			// One more look shows whether the state stays.
			if n := len(j.observations); n > 1 && j.observations[n-2].state == o.state {
				return
			}
		}
		sleeper.Sleep(ctx, pollInterval)
	}
}

// cancel cancels the job. It repeats the request at other entries until there is an answer.
func (c *callers) cancel(ctx context.Context, j *job) {
	sleeper.Sleep(ctx, j.cancelDelay)
	j.cancelSent = time.Now()
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		status, _, _, err := c.installation.Call(callCtx, rand.IntN(c.entries), http.MethodDelete, j.id, nil)
		cancel()
		if err == nil && (status == http.StatusOK || status == http.StatusGone) {
			j.cancelled = time.Now()
			return
		}
		sleeper.Sleep(ctx, retryDelay)
	}
}

// publish publishes a configuration with a route for its version only, and extra routes that nobody uses.
func (c *callers) publish(extraRoutes int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	prefixes := []string{routePrefix(len(c.published))}
	for n := range extraRoutes {
		prefixes = append(prefixes, fmt.Sprintf("/extra-route-%d/", n))
	}
	c.installation.PublishConfiguration(estate.RouteService, prefixes...)
	c.published = append(c.published, time.Now())
}

func routePrefix(version int) string { return fmt.Sprintf("/version-%d/", version) }

// watchRoutes uses the routes of the last versions at one entry until ctx is done.
func (c *callers) watchRoutes(ctx context.Context, entry int) []routeObservation {
	var observations []routeObservation
	for n := 0; ctx.Err() == nil; n++ {
		c.mutex.Lock()
		version := len(c.published) - 1 - n%3
		c.mutex.Unlock()
		process := c.installation.Process(estate.EntryName(entry))
		if version >= 0 {
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			sent := time.Now()
			status, _, _, err := c.installation.CallPath(callCtx, entry, http.MethodGet, routePrefix(version), nil)
			cancel()
			if err == nil && process == c.installation.Process(estate.EntryName(entry)) {
				observations = append(observations, routeObservation{sent, time.Now(), process, version, status})
			}
		}
		sleeper.Sleep(ctx, pollInterval)
	}
	return observations
}
