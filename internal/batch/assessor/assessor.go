// Package assessor recognises that best-effort work is short of processors, so that not all of it can be in time.
package assessor

import "time"

const (
	// shortShare is the share of the requested processors that best-effort tasks must be unable to use for the work to count as short of processors, and
	// sufficientShare the one below which it no longer does. Between the two the state stays, so that it does not change with each wave of the load.
	shortShare      = 0.2
	sufficientShare = 0.1
	// shortAfter and sufficientAfter are how long the share must be beyond its bound. A short burst of starts is throttled until the first measurements, which
	// take two reports; a wave of the load of long-running tasks takes several seconds.
	shortAfter      = time.Second
	sufficientAfter = 4 * time.Second
)

// Assessor observes how much of the requested processors the best-effort tasks can use. The zero value has observed nothing. It is not safe for concurrent use.
type Assessor struct {
	short bool
	// beyondSince is since when the share has been beyond the bound at which the state changes, or the zero time if it is not.
	beyondSince time.Time
	missing     float64
}

// Observe adds an observation: the processors that the running best-effort tasks request, and those that they may use, both in the same unit. It reports whether
// the state has changed.
func (a *Assessor) Observe(now time.Time, requested, usable float64) bool {
	a.missing = 0
	if requested > 0 {
		a.missing = max(1-usable/requested, 0)
	}
	beyond, after := a.missing > shortShare, shortAfter
	if a.short {
		beyond, after = a.missing < sufficientShare, sufficientAfter
	}
	if !beyond {
		a.beyondSince = time.Time{}
		return false
	}
	if a.beyondSince.IsZero() {
		a.beyondSince = now
	}
	if now.Sub(a.beyondSince) < after {
		return false
	}
	a.short, a.beyondSince = !a.short, time.Time{}
	return true
}

// Short reports whether best-effort work is short of processors.
func (a *Assessor) Short() bool { return a.short }

// MissingShare returns the share of the requested processors that could not be used at the last observation.
func (a *Assessor) MissingShare() float64 { return a.missing }
