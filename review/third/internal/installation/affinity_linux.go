package installation

import (
	"os/exec"
	"runtime"

	"golang.org/x/sys/unix"
)

// startOnOneProcessor starts the command so that it sees and uses one processor, like the machines of the platform have.
func startOnOneProcessor(cmd *exec.Cmd) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var all, one unix.CPUSet
	if err := unix.SchedGetaffinity(0, &all); err != nil {
		return err
	}
	for n := range 1024 {
		if all.IsSet(n) {
			one.Set(n)
			break
		}
	}
	if err := unix.SchedSetaffinity(0, &one); err != nil {
		return err
	}
	// The process inherits the processors of the thread that starts it.
	err := cmd.Start()
	if restoreErr := unix.SchedSetaffinity(0, &all); err == nil {
		err = restoreErr
	}
	return err
}
