package soak_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/standin/estate"
	"bamboohook/internal/standin/instance"
)

// The checks guard the product, so each of them has to find its violation.
var _ = Describe("Check of a soak", func() {
	const id = "0000000000000001"
	origin := time.Now().Add(-time.Minute)
	at := func(seconds float64) time.Time { return origin.Add(time.Duration(seconds * float64(time.Second))) }
	event := func(seconds float64, task, kind string) instance.Event {
		return instance.Event{Time: at(seconds), Instance: "a", Task: id + ".0.0." + task, Run: 1, Kind: kind}
	}
	seen := func(seconds float64, status int, state string) observation {
		return observation{sent: at(seconds), received: at(seconds + 0.1), status: status, state: state}
	}
	calm := func(time.Time, time.Time) bool { return true }
	newJob := func(change func(j *job)) *job {
		j := &job{id: id, accepted: at(0), steps: []estate.Step{{Tasks: 2, MilliProcessors: 5000}}}
		change(j)
		return j
	}
	for name, c := range map[string]struct {
		job        *job
		events     []instance.Event
		violations int
	}{
		"no violation":                                {newJob(func(*job) {}), []instance.Event{event(1, "0", "start"), event(2, "0", "done"), event(2, "0", "noted"), event(3, "1", "start")}, 0},
		"a start beyond the capacity":                 {newJob(func(*job) {}), []instance.Event{event(1, "0", "start"), event(2, "1", "start")}, 1},
		"a start after an end that was taken note of": {newJob(func(*job) {}), []instance.Event{event(1, "0", "start"), event(2, "0", "done"), event(2, "0", "start"), event(3, "0", "noted")}, 1},
		"a start after an end that was never noted":   {newJob(func(*job) {}), []instance.Event{event(1, "0", "start"), event(2, "0", "done"), event(2, "0", "start")}, 0},
		"a start of a job that was only refused":      {newJob(func(j *job) { j.onlyRefused = true }), []instance.Event{event(1, "0", "start")}, 1},
		"a start and a run after the cancellation":    {newJob(func(j *job) { j.cancelSent, j.cancelled = at(1), at(1) }), []instance.Event{event(5, "0", "start"), event(7, "0", "stopped")}, 2},
		"a run without end after the cancellation":    {newJob(func(j *job) { j.cancelSent, j.cancelled = at(1), at(1) }), []instance.Event{event(0.5, "0", "start")}, 1},
		"a run that ends soon after the cancellation": {newJob(func(j *job) { j.cancelSent, j.cancelled = at(1), at(1) }), []instance.Event{event(0.5, "0", "start"), event(4, "0", "stopped")}, 0},
		"a cancellation that gets no answer":          {newJob(func(j *job) { j.cancel, j.cancelSent = true, at(1) }), nil, 1},
	} {
		It("finds the violations among runs in "+name, func() {
			problems := append(runViolations(c.events, map[string]*job{id: c.job}), cancelViolations(c.job, c.events, calm, at(0))...)
			Expect(problems).To(HaveLen(c.violations))
		})
	}
	done := []instance.Event{event(1, "0", "done"), event(2, "1", "done")}
	for name, c := range map[string]struct {
		observations      []observation
		violations, stale int
	}{
		"no violation":                     {[]observation{seen(1, 200, "queued"), seen(2, 200, "running"), seen(3, 200, "completed")}, 0, 0},
		"a completion before all are done": {[]observation{seen(1.5, 200, "completed")}, 1, 0},
		"a state after the last one":       {[]observation{seen(3, 200, "completed"), seen(4, 200, "running"), seen(5, 200, "completed")}, 1, 1},
		"a job that is gone":               {[]observation{seen(4, http.StatusGone, ""), seen(5, 200, "completed")}, 1, 0},
		"a job that nobody cancelled":      {[]observation{seen(4, 200, "cancelled")}, 2, 0},
		"a failure without cause":          {[]observation{seen(4, 200, "failed")}, 2, 0},
		"a job that does not complete":     {[]observation{seen(4, 200, "running")}, 1, 0},
		"a job that is queued again":       {[]observation{seen(1, 200, "running"), seen(2, 200, "queued"), seen(3, 200, "completed")}, 1, 1},
	} {
		It("finds the violations among states in "+name, func() {
			j := newJob(func(j *job) { j.observations = c.observations })
			Expect(stateViolations(j, done, calm)).To(HaveLen(c.violations))
			Expect(regressions(j, calm, false)).To(BeEmpty())
			Expect(regressions(j, func(time.Time, time.Time) bool { return false }, false)).To(HaveLen(c.stale))
		})
	}
	route := func(seconds float64, version, status int) routeObservation {
		return routeObservation{sent: at(seconds), received: at(seconds), version: version, status: status}
	}
	for name, c := range map[string]struct {
		observations []routeObservation
		violations   int
	}{
		"no violation":              {[]routeObservation{route(1, 0, 200), route(11, 0, 200), route(13, 0, 404), route(13, 1, 200)}, 0},
		"a version that comes back": {[]routeObservation{route(10.5, 1, 200), route(11, 0, 200)}, 1},
		"a removed route in use":    {[]routeObservation{route(13, 0, 200)}, 1},
		"a missing route":           {[]routeObservation{route(13, 1, 404)}, 1},
	} {
		It("finds the violations among routes in "+name, func() {
			Expect(routeViolations(c.observations, []time.Time{at(0), at(10)}, calm)).To(HaveLen(c.violations))
		})
	}
})
