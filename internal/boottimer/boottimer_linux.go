package boottimer

import (
	"time"

	"golang.org/x/sys/unix"
)

func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// CLOCK_BOOTTIME exists since Linux 2.6.39. Without it, leases could outlast their duration while the machine is suspended.
		panic("boottimer: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Duration(t.Nano())
}
