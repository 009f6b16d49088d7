//go:build unix

package main

import (
	"syscall"
	"time"
)

// processorTime returns the processor time that this process has used in user and system mode.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic("capacity: cannot read the processor time of this process: " + err.Error())
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
