// Package boottimer provides a clock that also counts the time for which the machine was suspended. Changes of the wall clock do not
// affect it. So a suspension of the machine does not extend a lease that is measured with this clock.
package boottimer

import "time"

// maxSleep is the longest time for which After sleeps before it reads the clock again. The timers of the Go runtime stop while the
// machine is suspended, so a longer sleep could end much too late.
const maxSleep = 100 * time.Millisecond

// Clock is a clock whose time only moves forward, at the rate of real time. Its time equals that of the wall clock when the process
// starts, but does not follow later changes of the wall clock, so compare its times only with each other. The zero value is
// ready to use. Clock is safe for concurrent use.
type Clock struct{}

var (
	startWallTime = time.Now().Round(0)
	startBootTime = sinceBoot()
)

// Now returns the current time of this clock. Unlike the result of time.Now, it has no monotonic clock reading, because such a
// reading excludes the time for which the machine was suspended.
func (Clock) Now() time.Time {
	return startWallTime.Add(sinceBoot() - startBootTime)
}

// After returns a channel that receives the current time when d has elapsed on this clock, or up to maxSleep later if the machine
// was suspended. It starts a goroutine, which ends when the channel receives the time.
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
