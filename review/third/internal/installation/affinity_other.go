//go:build !linux

package installation

import "os/exec"

func startOnOneProcessor(cmd *exec.Cmd) error { return cmd.Start() }
