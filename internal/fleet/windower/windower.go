// Package windower limits how many calls to a peer may be without an answer. The limit is a congestion window: it grows with the answers that arrive in
// time, and shrinks when the peer falls behind. It does no I/O and reads no clock.
package windower

import "time"

// Windower keeps the window of one peer. Set the exported fields before the first use. It is not safe for concurrent use.
type Windower struct {
	// Least and Most limit the window, in calls. Initial is the window at first. All three must be positive.
	Least, Most, Initial int

	// window is the current window, or 0 before the first use. From threshold on it grows slowly, because it was too large at twice that size; before the
	// first congestion, threshold is 0 and means no such size.
	window, threshold float64
	// shrunkAt is when the window last shrank.
	shrunkAt time.Time
}

// Window returns how many calls may be without an answer.
func (w *Windower) Window() int {
	return int(w.current())
}

// Answered records that n calls were answered in time. Below the size at which the window was last too large, it grows by one for each of them, so that it doubles
// in a round trip. From there on it grows by about one in a round trip.
func (w *Windower) Answered(n int) {
	window := w.current()
	for range n {
		if w.threshold == 0 || window < w.threshold {
			window++
		} else {
			window += 1 / window
		}
	}
	w.window = min(window, float64(w.Most))
}

// Congested records that a call sent at sentAt was answered late or not at all, and halves the window. Calls that were sent before the window last shrank do not
// count, because they belong to the congestion for which it did. It returns whether the window shrank.
func (w *Windower) Congested(sentAt, now time.Time) bool {
	if !w.shrunkAt.IsZero() && !sentAt.After(w.shrunkAt) {
		return false
	}
	w.threshold = max(w.current()/2, float64(w.Least))
	w.window, w.shrunkAt = w.threshold, now
	return true
}

func (w *Windower) current() float64 {
	if w.window == 0 {
		return float64(w.Initial)
	}
	return w.window
}
