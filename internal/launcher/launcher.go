// Package launcher runs a small installation of the scheduler as separate processes on the loopback interface, for the demo and for
// tests.
package launcher

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const pollInterval = 20 * time.Millisecond

type (
	// Launcher starts processes and ends the processes that it has started. Set the exported fields before use.
	Launcher struct {
		// ProgramDir is the directory with the programs bamboohook and bamboohook-standin.
		ProgramDir string
		// OutputDir is the directory for the settings files and the output of the processes.
		OutputDir string

		mutex     sync.Mutex
		processes []*Process
	}

	// Process is a process that a Launcher has started. Its channel exited is closed when the process has ended.
	Process struct {
		name   string
		cmd    *exec.Cmd
		exited chan struct{}
		err    error
	}
)

// BuildPrograms builds the programs of this module into a directory.
func BuildPrograms(dir string) error {
	output, err := exec.Command("go", "build", "-o", dir, "bamboohook/cmd/...").CombinedOutput()
	return eris.Wrapf(err, "launcher: cannot build the programs: %s", output)
}

// Start starts a program of ProgramDir with args and returns the process. The output of the process is appended to the file
// <name>.log in OutputDir.
func (l *Launcher) Start(name, program string, args ...string) (*Process, error) {
	output, err := os.OpenFile(filepath.Join(l.OutputDir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, eris.Wrap(err, "launcher: cannot open the output file")
	}
	defer func() { _ = output.Close() }()
	cmd := exec.Command(filepath.Join(l.ProgramDir, program), args...)
	cmd.Stdout, cmd.Stderr = output, output
	if err := cmd.Start(); err != nil {
		return nil, eris.Wrapf(err, "launcher: cannot start %s", name)
	}
	p := &Process{name: name, cmd: cmd, exited: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.exited)
	}()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.processes = append(l.processes, p)
	return p, nil
}

// Close ends all started processes with SIGTERM. It sends SIGKILL to a process that still runs after the timeout. The process
// that was started first, which is the log service, is ended after the others, with the same timeout again, because the others
// append records to the log while they drain.
func (l *Launcher) Close(timeout time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.processes) == 0 {
		return
	}
	stopProcesses(l.processes[1:], timeout)
	stopProcesses(l.processes[:1], timeout)
	l.processes = nil
}

// stopProcesses ends the processes with SIGTERM, or with SIGKILL after the timeout. It sends SIGCONT first, because a process that was
// paused with SIGSTOP does not handle SIGTERM.
func stopProcesses(processes []*Process, timeout time.Duration) {
	for _, p := range processes {
		p.Signal(syscall.SIGCONT)
		p.Signal(syscall.SIGTERM)
	}
	deadline := time.Now().Add(timeout)
	for _, p := range processes {
		if !p.Wait(time.Until(deadline)) {
			p.Kill()
		}
	}
}

// Process returns the process that was started with the name, the last one if there are several, or nil if there is none.
func (l *Launcher) Process(name string) *Process {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for n := len(l.processes) - 1; n >= 0; n-- {
		if l.processes[n].name == name {
			return l.processes[n]
		}
	}
	return nil
}

// States describes the state of each process that the Launcher has started, in the order of the starts: how it ended, or the state that the
// operating system reports for it, such as "T (stopped)".
func (l *Launcher) States() []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	states := make([]string, 0, len(l.processes))
	for _, p := range l.processes {
		states = append(states, p.name+": "+p.state())
	}
	return states
}

// state returns how the process ended. If it still runs, state returns what the proc file system reports, or "running" if there is none.
func (p *Process) state() string {
	if !p.Running() {
		return p.cmd.ProcessState.String()
	}
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	for line := range strings.Lines(string(status)) {
		if state, ok := strings.CutPrefix(line, "State:"); ok {
			return strings.TrimSpace(state)
		}
	}
	return "running"
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Running reports whether the process still runs.
func (p *Process) Running() bool { return !p.Wait(0) }

// Signal sends a signal to the process if it still runs.
func (p *Process) Signal(signal syscall.Signal) {
	select {
	case <-p.exited:
	default:
		_ = p.cmd.Process.Signal(signal)
	}
}

// Kill sends SIGKILL to the process and waits until it has ended.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

// Wait waits until the process has ended, but at most for the timeout, and reports whether it has ended.
func (p *Process) Wait(timeout time.Duration) bool {
	select {
	case <-p.exited:
		return true
	case <-time.After(max(0, timeout)):
		return false
	}
}

// ExitCode returns the exit code of the process, or -1 if the process still runs or was ended by a signal.
func (p *Process) ExitCode() int {
	select {
	case <-p.exited:
		return p.cmd.ProcessState.ExitCode()
	default:
		return -1
	}
}

// RunCommand runs the program bamboohook with args, waits until it has ended and returns its output. It returns an error if the
// exit code is not 0.
func (l *Launcher) RunCommand(args ...string) (string, error) {
	output, err := exec.Command(filepath.Join(l.ProgramDir, "bamboohook"), args...).CombinedOutput()
	return string(output), eris.Wrapf(err, "launcher: command bamboohook %s failed with the output: %s", strings.Join(args, " "), strings.TrimSpace(string(output)))
}

// Await calls happened repeatedly until it returns true. If it still returns false after the timeout, Await returns an error that
// contains event, a description of what was awaited.
func Await(event string, timeout time.Duration, happened func() bool) error {
	deadline := time.Now().Add(timeout)
	for !happened() {
		if time.Now().After(deadline) {
			return eris.Errorf("launcher: %s did not happen within %s", event, timeout)
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// Get sends an HTTP GET request and returns the status code and the body of the response. The status code is 0 if there is no
// complete response.
func Get(address, path string) (int, string) {
	client := http.Client{Timeout: 10 * time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s%s", address, path))
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(body)
}
