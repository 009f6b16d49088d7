//go:build !unix

package main

import "time"

var processStart = time.Now()

// processorTime returns the time since the start of the process, because the processor time is only available on Unix.
func processorTime() time.Duration { return time.Since(processStart) }
