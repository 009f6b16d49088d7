package load

import (
	"time"

	"golang.org/x/sys/unix"
)

// sleepPrecisely blocks the thread for d. Timers of the Go runtime fire up to 1 ms late on an idle machine, which is
// more than the latency differences that a run measures.
func sleepPrecisely(d time.Duration) {
	duration := unix.NsecToTimespec(int64(d))
	_ = unix.Nanosleep(&duration, nil)
}
