package boottimer

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot returns the time since the machine was started, including the time for which it was suspended.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// CLOCK_BOOTTIME has existed since Linux 2.6.39. With another clock, a suspension of the machine would extend leases.
		panic("boottimer: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Duration(t.Nano())
}
