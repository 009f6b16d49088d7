//go:build !unix

package main

import "time"

var processStart = time.Now()

// processorTime returns the time that passed, because the processor time is not available on this platform.
func processorTime() time.Duration { return time.Since(processStart) }
