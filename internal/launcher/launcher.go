// Package launcher starts a small installation as separate processes on loopback, for the demo and for tests.
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
	// Launcher starts processes and ends those that it started. Set the fields before use.
	Launcher struct {
		// ProgramDir is the directory of the programs bamboohook and bamboohook-standin.
		ProgramDir string
		// OutputDir receives settings files and the output of each process.
		OutputDir string

		mutex     sync.Mutex
		processes []*Process
	}

	// Process is one started process.
	Process struct {
		name   string
		cmd    *exec.Cmd
		exited chan struct{}
		err    error
	}
)

// Start runs a program with args. Its output goes to the file <name>.log in OutputDir.
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

// Close ends all started processes: SIGTERM, and SIGKILL for those that still run after the patience. The
// process that was started first, which is the log service, ends last, because a drain appends records.
func (l *Launcher) Close(patience time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.processes) == 0 {
		return
	}
	end(l.processes[1:], patience)
	end(l.processes[:1], patience)
	l.processes = nil
}

func end(processes []*Process, patience time.Duration) {
	for _, p := range processes {
		p.Signal(syscall.SIGCONT)
		p.Signal(syscall.SIGTERM)
	}
	deadline := time.Now().Add(patience)
	for _, p := range processes {
		if !p.Wait(time.Until(deadline)) {
			p.Kill()
		}
	}
}

// Process returns the process that was started last under the name, or nil.
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

// Running reports whether the process has not ended.
func (p *Process) Running() bool { return !p.Wait(0) }

// Signal sends a signal to the process if it still runs.
func (p *Process) Signal(signal syscall.Signal) {
	select {
	case <-p.exited:
	default:
		_ = p.cmd.Process.Signal(signal)
	}
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

// Wait reports whether the process ended within the patience.
func (p *Process) Wait(patience time.Duration) bool {
	select {
	case <-p.exited:
		return true
	case <-time.After(max(0, patience)):
		return false
	}
}

// ExitCode returns the exit code after the end of the process, and -1 before or after a signal.
func (p *Process) ExitCode() int {
	select {
	case <-p.exited:
		return p.cmd.ProcessState.ExitCode()
	default:
		return -1
	}
}

// RunCommand runs bamboohook with args to its end and returns its output. An exit code other than 0 is an error.
func (l *Launcher) RunCommand(args ...string) (string, error) {
	output, err := exec.Command(filepath.Join(l.ProgramDir, "bamboohook"), args...).CombinedOutput()
	return string(output), eris.Wrapf(err, "launcher: bamboohook %s: %s", strings.Join(args, " "), strings.TrimSpace(string(output)))
}

// Await polls until ready returns true. It returns an error that names what after the patience.
func Await(what string, patience time.Duration, ready func() bool) error {
	deadline := time.Now().Add(patience)
	for !ready() {
		if time.Now().After(deadline) {
			return eris.Errorf("launcher: %s did not happen within %s", what, patience)
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// Get returns the status code and body of an HTTP GET. The code is 0 if there is no answer.
func Get(address, path string) (int, string) {
	client := http.Client{Timeout: 10 * time.Second}
	answer, err := client.Get(fmt.Sprintf("http://%s%s", address, path))
	if err != nil {
		return 0, ""
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, ""
	}
	return answer.StatusCode, string(body)
}
