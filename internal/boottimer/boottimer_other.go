//go:build !linux

package boottimer

import "time"

var processStart = time.Now()

// sinceBoot returns the time since the start of the process instead of the machine. It uses the monotonic clock of the Go runtime,
// which may stop while the machine is suspended.
func sinceBoot() time.Duration { return time.Since(processStart) }
