package attendant_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bamboohook/internal/fleet/attendant"
	"bamboohook/internal/fleet/messenger"
)

// endingEndpoint is a narrowEndpoint whose runs end as done at once, and which lists at most maxListedResults of their results.
type endingEndpoint struct {
	*narrowEndpoint

	resultsMutex sync.Mutex
	results      []messenger.RunResult
	endedAt      []time.Time
	sequence     int64
	longest      time.Duration
}

const maxListedResults = 500

func (e *endingEndpoint) Start(ctx context.Context, s attendant.StartCall) error {
	err := e.narrowEndpoint.Start(ctx, s)
	if err != nil {
		return err
	}
	e.narrowEndpoint.mutex.Lock()
	delete(e.runs, s.Task)
	e.narrowEndpoint.mutex.Unlock()
	e.resultsMutex.Lock()
	defer e.resultsMutex.Unlock()
	e.sequence++
	e.results = append(e.results, messenger.RunResult{Sequence: e.sequence, Task: s.Task, Number: s.Number, Outcome: messenger.RunDone})
	e.endedAt = append(e.endedAt, time.Now())
	return nil
}

func (e *endingEndpoint) List(ctx context.Context, q attendant.ListQuery) (attendant.Listing, error) {
	e.resultsMutex.Lock()
	if len(e.results) > 0 {
		q.MaxWait = 0
	}
	e.resultsMutex.Unlock()
	l, err := e.narrowEndpoint.List(ctx, q)
	if err != nil {
		return l, err
	}
	e.resultsMutex.Lock()
	defer e.resultsMutex.Unlock()
	for len(e.results) > 0 && e.results[0].Sequence <= q.RecordedSequence {
		e.longest = max(e.longest, time.Since(e.endedAt[0]))
		e.results, e.endedAt = e.results[1:], e.endedAt[1:]
	}
	listed := e.results[:min(len(e.results), maxListedResults)]
	l.Results, l.ResultsMissing = append([]messenger.RunResult{}, listed...), len(listed) == maxListedResults
	return l, nil
}

// Guards against results that are not acknowledged as long as starts are in progress. An endpoint lists a limited number of them, so that the owner never hears
// of further ones.
func TestResultsAreAcknowledgedBesideStarts(t *testing.T) {
	const (
		testTime = 20 * time.Second
		// maxAge is the time within which a result must be acknowledged.
		maxAge = 4 * time.Second
	)
	for name, c := range map[string]struct{ processingTime, interval time.Duration }{
		"few starts":  {3 * time.Millisecond, 20 * time.Millisecond},
		"many starts": {3 * time.Millisecond, 5 * time.Millisecond},
		"slow starts": {8 * time.Millisecond, 12 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &endingEndpoint{narrowEndpoint: newNarrowEndpoint(c.processingTime, 0)}
				defer e.calls.Wait()
				attend(t, e, e.bornAt, func(a *attendant.Attendant, o *watchedReporter) {
					var calls sync.WaitGroup
					defer calls.Wait()
					refused := 0
					var mutex sync.Mutex
					n := 0
					for begin := time.Now(); time.Since(begin) < testTime; time.Sleep(c.interval) {
						n++
						task := taskName(n)
						calls.Go(func() {
							r := startRun(a, o.last(), task, 1)
							mutex.Lock()
							defer mutex.Unlock()
							if !r.Accepted || r.Starts[0].Outcome != messenger.StartDone {
								refused++
							}
						})
					}
					e.resultsMutex.Lock()
					defer e.resultsMutex.Unlock()
					longest := e.longest
					if len(e.endedAt) > 0 {
						longest = max(longest, time.Since(e.endedAt[0]))
					}
					t.Logf("%d starts, %d results, %d of them left, the longest time until an acknowledgement is %v; %d refused", n, e.sequence, len(e.results), longest, refused)
					if longest > maxAge {
						t.Errorf("a result was not acknowledged for %v", longest)
					}
				})
			})
		})
	}
}
