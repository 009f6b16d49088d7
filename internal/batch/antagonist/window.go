package antagonist

import "time"

// interval is the least time between two measurements of a VM; measured latencies change no faster.
const interval = 240 * time.Millisecond

// window averages the shares of a VM between two measurements.
type window struct {
	begun, at time.Time
	last      map[string]float64
	programs  map[string]*use
}

// use is a share over time.
type use struct{ sum, least, most float64 }

// advance takes the present shares and reports whether the window is complete.
func (w *window) advance(shares map[string]float64, now time.Time) bool {
	if w.programs == nil {
		w.begun, w.at, w.programs = now, now, map[string]*use{}
	}
	elapsed := now.Sub(w.at).Seconds()
	for _, present := range []map[string]float64{w.last, shares} {
		for program := range present {
			u, ok := w.programs[program]
			if !ok {
				// It was not there when the window began.
				u = &use{}
				if w.begun.Equal(w.at) {
					u.least = w.last[program]
				}
				w.programs[program] = u
			}
			u.least, u.most = min(u.least, shares[program]), max(u.most, shares[program], w.last[program])
		}
	}
	for program, u := range w.programs {
		// The share changed at some time since the last report.
		u.sum += elapsed * (w.last[program] + shares[program]) / 2
	}
	w.last, w.at = shares, now
	return now.Sub(w.begun) >= interval
}

// take ends the window. It returns the average shares that are not next to nothing, and by how much each share has changed in it.
func (w *window) take() (average, changed map[string]float64) {
	average, changed = map[string]float64{}, map[string]float64{}
	elapsed := w.at.Sub(w.begun).Seconds()
	for program, u := range w.programs {
		if u.most > u.least {
			changed[program] = u.most - u.least
		}
		if mean := u.sum / elapsed; mean >= leastShare {
			average[program] = mean
		}
	}
	w.begun, w.programs = w.at, map[string]*use{}
	return average, changed
}
