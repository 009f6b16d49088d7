// Package boottimer is a clock that includes the time for which the machine was suspended and is not set
// by anyone. A lease measured on it can't outlive its length through a pause of the VM.
package boottimer

import "time"

// maxWait bounds how long After waits without looking at the clock, because timers of the runtime stand
// still while the machine is suspended.
const maxSleep = 100 * time.Millisecond

// Clock tells a time that only moves forward, at the rate of real time. Use its times only for comparison with
// each other; they are based on the wall clock at the start of the process and don't follow later changes of it. The
// zero value is ready. Concurrent use is safe.
type Clock struct{}

var (
	startWall = time.Now().Round(0)
	startBoot = sinceBoot()
)

// Now returns the current time, without the monotonic reading of package time, which excludes suspended time.
func (Clock) Now() time.Time {
	return startWall.Add(sinceBoot() - startBoot)
}

// After returns a channel that receives the time once d has elapsed on this clock. After a suspension it is
// late by at most 100 ms. It uses one goroutine until then.
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
