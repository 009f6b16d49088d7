package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"bamboohook/internal/fleet/sleeper"
	"bamboohook/internal/standin/estate"
	"bamboohook/internal/standin/instance"
	"bamboohook/internal/standin/metastore"
)

const (
	seriesCount    = 2
	seriesDuration = 6 * time.Second
	// quietTime separates the series. It exceeds contactTime, so that the rules for machines in touch apply for a while.
	quietTime        = contactTime + 4*time.Second
	maxFaultGap      = 900 * time.Millisecond
	minFaultDuration = 100 * time.Millisecond
	maxFaultDuration = 4 * time.Second
	// A fault affects at most maxGroupSize processes at once, or one in groupRatio of a large installation.
	maxGroupSize = 3
	groupRatio   = 10
	// maxLateness is the time until an endpoint has executed a delayed start, or the store a late append.
	maxLateness = 4 * time.Second
	// delayedStartShare is the share of starts that are executed late.
	delayedStartShare = 0.2
	changedMemoryMB   = 200
	// holdsPerSeries is the number of times in each series at which all open connections to the store become silent.
	holdsPerSeries = 2
	// The kinds of faults around changes of the configuration: open connections to the store become silent, and a configuration with
	// largeRouteCount more routes is published a short time later.
	faultHold, faultPublishLarge = "hold", "publish-large"
	largeRouteCount              = 2800
	maxHoldLead                  = 900 * time.Millisecond
)

type (
	// fault is a disturbance of one target. Offset is the time from the start of the first series.
	fault struct {
		kind, target     string
		offset, duration time.Duration
	}

	// interval is the time of a fault that was played.
	interval struct {
		start, end time.Time
	}

	// player plays faults and records when they were in effect. It is safe for concurrent use.
	player struct {
		installation *estate.Installation
		mutex        sync.Mutex
		intervals    []interval
		errs         []error
	}
)

// faultKinds lists the faults of each kind of target. "hangup" and "publish" are planned changes and do not count as disturbances.
var faultKinds = map[string][]string{
	"process":  {"pause", "pause", "kill", "kill", "drain", "hangup"},
	"endpoint": {"crash", "restart", "delay"},
	"store":    {metastore.FaultBusy, metastore.FaultUnresponsive, metastore.FaultResponseLost, metastore.FaultLateAppend},
	"operator": {"publish"},
}

// drawFaults draws the faults of all series. The faults of one target do not overlap.
func drawFaults(r *rand.Rand, entries, vms int) []fault {
	var faults []fault
	busyUntil := map[string]time.Duration{}
	for s := range seriesCount {
		start := time.Duration(s) * (seriesDuration + quietTime)
		for offset := start; offset < start+seriesDuration; offset += drawDuration(r, 0, maxFaultGap) {
			targetKind, targets := drawTargets(r, entries, vms)
			kinds := faultKinds[targetKind]
			kind := kinds[r.IntN(len(kinds))]
			for _, target := range targets {
				f := fault{kind, target, offset, drawDuration(r, minFaultDuration, maxFaultDuration)}
				if busyUntil[target] > offset {
					continue
				}
				// The end of the series also ends its faults.
				f.duration = min(f.duration, start+seriesDuration-offset)
				busyUntil[target] = offset + f.duration + maxGrace + time.Second
				faults = append(faults, f)
			}
		}
	}
	return faults
}

// drawConfigurationFaults draws changes to large configurations shortly after open connections to the store have become silent. These do not count as
// disturbances, so that a change must be in use in time after them, too.
func drawConfigurationFaults(r *rand.Rand) []fault {
	var faults []fault
	for s := range seriesCount {
		start := time.Duration(s) * (seriesDuration + quietTime)
		for range holdsPerSeries {
			// The second half of the quiet time belongs to the machines in touch.
			offset := start + drawDuration(r, 0, seriesDuration+quietTime)
			faults = append(faults, fault{faultHold, "store", offset, 0}, fault{faultPublishLarge, "operator", offset + drawDuration(r, 0, maxHoldLead), 0})
		}
	}
	return faults
}

// drawTargets draws what a fault affects: some entries, agents or endpoints, the store, or the operator's configuration.
func drawTargets(r *rand.Rand, entries, vms int) (string, []string) {
	group := func(count int, name func(int) string) []string {
		var targets []string
		for _, n := range r.Perm(count)[:min(count, 1+r.IntN(max(maxGroupSize, count/groupRatio)))] {
			targets = append(targets, name(n))
		}
		return targets
	}
	switch r.IntN(8) {
	case 0, 1, 2:
		return "process", group(entries, estate.EntryName)
	case 3, 4:
		return "process", group(vms, estate.AgentName)
	case 5:
		return "endpoint", group(vms, func(n int) string { return fmt.Sprintf("endpoint-%d", n) })
	case 6:
		return "store", []string{"store"}
	default:
		return "operator", []string{"operator"}
	}
}

// drawDuration draws a duration from least up to, but not including, most.
func drawDuration(r *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(r.Int64N(int64(most-least)))
}

// play plays the faults and returns when the last one has ended. It ends them early when ctx is done.
func (p *player) play(ctx context.Context, faults []fault, publish func(extraRoutes int)) {
	startTime := time.Now()
	var group sync.WaitGroup
	for _, f := range faults {
		group.Go(func() {
			sleeper.Sleep(ctx, time.Until(startTime.Add(f.offset)))
			p.playOne(ctx, f, publish)
		})
	}
	group.Wait()
}

func (p *player) playOne(ctx context.Context, f fault, publish func(extraRoutes int)) {
	index := -1
	if !slices.Contains([]string{"hangup", "publish", faultHold, faultPublishLarge}, f.kind) {
		index = p.begin()
	}
	lateness := time.Duration(0)
	switch f.kind {
	case "publish":
		publish(0)
	case faultPublishLarge:
		publish(largeRouteCount)
	case faultHold:
		p.installation.Store.HoldConnections()
	case "hangup":
		p.note(p.installation.ChangeMemory(f.target, changedMemoryMB))
		p.installation.Process(f.target).Signal(syscall.SIGHUP)
	case "pause":
		process := p.installation.Process(f.target)
		process.Signal(syscall.SIGSTOP)
		sleeper.Sleep(ctx, f.duration)
		process.Signal(syscall.SIGCONT)
	case "kill":
		p.installation.Process(f.target).Kill()
		sleeper.Sleep(ctx, f.duration)
		p.note(p.installation.StartProcess(f.target))
	case "drain":
		process := p.installation.Process(f.target)
		process.Signal(syscall.SIGTERM)
		if !process.Wait(maxGrace) {
			process.Kill()
		}
		sleeper.Sleep(ctx, f.duration)
		p.note(p.installation.StartProcess(f.target))
	case "crash":
		endpoint := p.endpoint(f.target)
		endpoint.Kill()
		sleeper.Sleep(ctx, f.duration)
		endpoint.Restart()
	case "restart":
		p.endpoint(f.target).Restart()
	case "delay":
		p.endpoint(f.target).DelayStarts(delayedStartShare)
		sleeper.Sleep(ctx, f.duration)
		p.endpoint(f.target).DelayStarts(0)
		lateness = maxLateness
	default:
		p.installation.Store.SetFault("", f.kind)
		sleeper.Sleep(ctx, f.duration)
		p.installation.Store.SetFault("", "")
		lateness = maxLateness
	}
	if index >= 0 {
		p.end(index, lateness)
	}
}

func (p *player) endpoint(target string) *instance.Instance {
	var n int
	_, err := fmt.Sscanf(target, "endpoint-%d", &n)
	p.note(err)
	return p.installation.Instances[n]
}

// begin records the start of a fault, which has no end until end is called with the returned index.
func (p *player) begin() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.intervals = append(p.intervals, interval{start: time.Now(), end: time.Now().Add(time.Hour)})
	return len(p.intervals) - 1
}

func (p *player) end(index int, lateness time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.intervals[index].end = time.Now().Add(lateness)
}

func (p *player) note(err error) {
	if err != nil {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		p.errs = append(p.errs, err)
	}
}

// inTouch reports whether no fault was in effect between the times or in contactTime before them.
func (p *player) inTouch(from, to time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, i := range p.intervals {
		if i.start.Before(to) && i.end.After(from.Add(-contactTime)) {
			return false
		}
	}
	return true
}

// lastEnd returns the end of the last fault.
func (p *player) lastEnd() time.Time {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var last time.Time
	for _, i := range p.intervals {
		if i.end.After(last) {
			last = i.end
		}
	}
	return last
}
