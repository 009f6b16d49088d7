// Package boottimer provides a clock that includes the time for which the machine was suspended and that changes of the
// system time do not affect. A lease that is measured with it does not last longer because the VM was paused.
package boottimer

import "time"

// maxSleep is the longest time that After sleeps before it reads the clock again, because timers of the Go runtime stop
// while the machine is suspended.
const maxSleep = 100 * time.Millisecond

// Clock is a clock whose time only moves forward, at the rate of real time. Compare its times only with each other: they
// start at the wall clock time of the process start and ignore later changes of the wall clock. The zero value is ready to
// use, also concurrently.
type Clock struct{}

var (
	startWall = time.Now().Round(0)
	startBoot = sinceBoot()
)

// Now returns the current time. It has no monotonic clock reading as in package time, because that excludes suspended time.
func (Clock) Now() time.Time {
	return startWall.Add(sinceBoot() - startBoot)
}

// After returns a channel that receives the current time once d has elapsed on this clock, or up to 100 ms later if the
// machine was suspended. A goroutine runs until then.
func (c Clock) After(d time.Duration) <-chan time.Time {
	deadline := c.Now().Add(d)
	channel := make(chan time.Time, 1)
	go func() {
		for {
			now := c.Now()
			remaining := deadline.Sub(now)
			if remaining <= 0 {
				channel <- now
				return
			}
			time.Sleep(min(remaining, maxSleep))
		}
	}()
	return channel
}
