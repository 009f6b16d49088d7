package antagonist

import "time"

// minWindow is the shortest time between two updates of the estimates for a VM. A measured latency takes at least this long to follow a
// change.
const minWindow = 240 * time.Millisecond

// window averages the share of a VM's processors that each best-effort program uses between two updates of the estimates.
type window struct {
	// startedAt is when the window began, updatedAt when advance was last called.
	startedAt, updatedAt time.Time
	// lastShares holds the shares at updatedAt, statistics the shares since startedAt, both by the names of the programs.
	lastShares map[string]float64
	statistics map[string]*shareStatistics
}

// shareStatistics describes the share of a program during a window: its integral over time in seconds, its lowest and its highest value.
type shareStatistics struct{ shareSeconds, lowest, highest float64 }

// advance updates the window with the current shares and reports whether the window is long enough to end.
func (w *window) advance(shares map[string]float64, now time.Time) bool {
	if w.statistics == nil {
		w.startedAt, w.updatedAt, w.statistics = now, now, map[string]*shareStatistics{}
	}
	elapsed := now.Sub(w.updatedAt).Seconds()
	for _, shareMap := range []map[string]float64{w.lastShares, shares} {
		for program := range shareMap {
			u, ok := w.statistics[program]
			if !ok {
				// A program that appears after the first update of the window had no share when the window began.
				u = &shareStatistics{}
				if w.startedAt.Equal(w.updatedAt) {
					u.lowest = w.lastShares[program]
				}
				w.statistics[program] = u
			}
			u.lowest, u.highest = min(u.lowest, shares[program]), max(u.highest, shares[program], w.lastShares[program])
		}
	}
	for program, u := range w.statistics {
		// The share changed at an unknown time since the last update, so the mean of the old and the new share is used.
		u.shareSeconds += elapsed * (w.lastShares[program] + shares[program]) / 2
	}
	w.lastShares, w.updatedAt = shares, now
	return now.Sub(w.startedAt) >= minWindow
}

// finish ends the window and begins the next one. It returns the average shares of the programs, without those below minShare, and the
// difference between the highest and the lowest share of each program whose share changed.
func (w *window) finish() (averageShares, shareRanges map[string]float64) {
	averageShares, shareRanges = map[string]float64{}, map[string]float64{}
	elapsed := w.updatedAt.Sub(w.startedAt).Seconds()
	for program, u := range w.statistics {
		if u.highest > u.lowest {
			shareRanges[program] = u.highest - u.lowest
		}
		if averageShare := u.shareSeconds / elapsed; averageShare >= minShare {
			averageShares[program] = averageShare
		}
	}
	w.startedAt, w.statistics = w.updatedAt, map[string]*shareStatistics{}
	return averageShares, shareRanges
}
