package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"bamboohook/internal/launcher"
	"bamboohook/internal/message"
	"bamboohook/resource"
)

const (
	sampleDuration   = 3 * time.Second
	settleTime       = 1500 * time.Millisecond
	taskStartTimeout = 20 * time.Second
	// stopTimeout is short because the processes keep no data that is needed after a measurement.
	stopTimeout = time.Second
)

// measureProcesses measures the processor share and memory of separate processes: an entry with simulated agents, an
// entry that agents fetch from, and agents.
func measureProcesses(r *report) error {
	programDir, err := os.MkdirTemp("", "bamboohook-capacity-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(programDir) }()
	build := exec.Command("go", "build", "-buildvcs=false", "-o", programDir+string(filepath.Separator), "./cmd/...")
	if output, err := build.CombinedOutput(); err != nil {
		return fmt.Errorf("cannot build the programs: %w: %s", err, output)
	}
	if err := measureEntry(r, programDir); err != nil {
		return err
	}
	if err := measureFetches(r, programDir); err != nil {
		return err
	}
	if err := measureAgentsByEntries(r, programDir); err != nil {
		return err
	}
	return measureAgentsByTasks(r, programDir)
}

// withInstallation starts an installation with the numbers of VMs and entries, calls f and stops the installation.
func withInstallation(programDir string, vms, entries int, f func(*launcher.Installation) error) error {
	outputDir, err := os.MkdirTemp(programDir, "run-")
	if err != nil {
		return err
	}
	i := &launcher.Installation{
		Launcher: &launcher.Launcher{ProgramDir: programDir, OutputDir: outputDir}, VMs: vms, Entries: entries,
		Services: []string{"preview=2ms/0.3", "road-check=2ms/0.3"},
	}
	if err := i.ReserveNetwork(); err != nil {
		return err
	}
	defer i.Release(stopTimeout)
	if err := i.StartAll(); err != nil {
		return err
	}
	return f(i)
}

// measureEntry measures the processor share, memory and rate of task starts of one entry process with an increasing
// number of simulated VMs that each run 14 tasks.
func measureEntry(r *report, programDir string) error {
	return withInstallation(programDir, 0, 1, func(i *launcher.Installation) error {
		s, err := newAgentSimulation(strings.Replace(i.EntryOperatorAddress(0), ":21002", ":21001", 1))
		if err != nil {
			return err
		}
		defer s.stop()
		sizes := []float64{75, 150, 300, 600}
		processorShares, memory, startRates := make([]float64, 4), make([]float64, 4), make([]float64, 4)
		for n, size := range sizes {
			added := int(size) - s.size()
			s.grow(int(size))
			time.Sleep(2 * tickInterval)
			startTime := time.Now()
			if err := submitJobs(i.EntryCallerAddress(0), n, added*roundedTasksPerVM); err != nil {
				return err
			}
			if err := launcher.Await("start of all tasks", 2*taskStartTimeout, func() bool { return s.runningTasks() == int(size)*roundedTasksPerVM }); err != nil {
				return fmt.Errorf("%w; %d of %d tasks are running", err, s.runningTasks(), int(size)*roundedTasksPerVM)
			}
			startRates[n] = float64(added*roundedTasksPerVM) / time.Since(startTime).Seconds()
			time.Sleep(settleTime)
			processorShares[n], memory[n], err = sample(i.OutputDir, "entry-1.ini")
			if err != nil {
				return err
			}
		}
		if s.failures.Load() > 0 {
			fmt.Printf("\n%d heartbeats failed.\n\n", s.failures.Load())
		}
		r.addPoints("entry-processor", "VMs with 14 running tasks", "% of a core", sizes, processorShares)
		r.addPoints("entry-memory", "VMs with 14 running tasks", "MB resident", sizes, memory)
		r.addPoints("entry-starts", "VMs with 14 running tasks", "starts/s reached", sizes, startRates)
		return nil
	})
}

// submitJobs submits 16 jobs that together have the given number of tasks. With 16 jobs, most shards contain at
// least one job. The job IDs start with idPrefix, so that the jobs of several calls have different IDs.
func submitJobs(callerAddress string, idPrefix, tasks int) error {
	const jobCount = 16
	for p := range jobCount {
		count := tasks*(p+1)/jobCount - tasks*p/jobCount
		requestBody, err := json.Marshal(message.JobRequest{
			ID: fmt.Sprintf("%d-%s", idPrefix, jobName(p)), Team: "design", Kind: "face-build", Tasks: count, RunTime: time.Hour,
			Size: resource.Amount{MilliProcessors: 64_000 / int64(roundedTasksPerVM)},
		})
		if err != nil {
			return err
		}
		response, err := http.Post("http://"+callerAddress+"/v1/jobs", "application/json", bytes.NewReader(requestBody))
		if err != nil {
			return err
		}
		responseText, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if response.StatusCode >= 300 {
			return fmt.Errorf("job was not accepted: status %d: %s", response.StatusCode, responseText)
		}
	}
	return nil
}

// measureAgentsByEntries measures the processor share and memory of agents without tasks for different numbers of
// entries. At the same time, it measures the processor share of the first entry.
func measureAgentsByEntries(r *report, programDir string) error {
	const vms = 6
	sizes := []float64{1, 2, 4, 8}
	processorShares, memory, entryShares := make([]float64, 4), make([]float64, 4), make([]float64, 4)
	for n, entries := range sizes {
		if err := withInstallation(programDir, vms, int(entries), func(i *launcher.Installation) error {
			time.Sleep(settleTime)
			type result struct {
				share float64
				err   error
			}
			entrySamples := make(chan result, 1)
			go func() {
				share, _, err := sample(i.OutputDir, "entry-1.ini")
				entrySamples <- result{share, err}
			}()
			var err error
			processorShares[n], memory[n], err = sampleAll(i, vms)
			entrySample := <-entrySamples
			entryShares[n] = entrySample.share
			if err == nil {
				err = entrySample.err
			}
			return err
		}); err != nil {
			return err
		}
	}
	r.addPoints("agent-processor-entries", "entries", "% of a core", sizes, processorShares)
	r.addPoints("agent-memory-entries", "entries", "MB resident", sizes, memory)
	r.addPoints("entry-processor-entries", "entries, with 6 VMs", "% of a core", sizes, entryShares)
	return nil
}

// measureAgentsByTasks measures the processor share and memory of agents for different numbers of running tasks on each
// VM. The installation has 3 entries.
func measureAgentsByTasks(r *report, programDir string) error {
	const vms = 4
	return withInstallation(programDir, vms, entriesPerRegion, func(i *launcher.Installation) error {
		sizes := []float64{0, 7, 14, 20}
		processorShares, memory := make([]float64, 4), make([]float64, 4)
		submitted := 0
		for n, tasksOnVM := range sizes {
			if total := int(tasksOnVM) * vms; total > submitted {
				id := fmt.Sprintf("run-%d", n)
				if _, err := i.RunCommand("job", "submit", "--caller="+i.EntryCallerAddress(0), "--id="+id, "--team=design", "--kind=face-build",
					fmt.Sprintf("--tasks=%d", total-submitted), "--processors=3.2", "--memory=0.1", "--run-time=1h"); err != nil {
					return err
				}
				submitted = total
				if err := launcher.Await("start of tasks", taskStartTimeout, func() bool {
					status, err := i.RunCommand("job", "status", "--caller="+i.EntryCallerAddress(0), id)
					return err == nil && strings.Contains(status, "waiting 0") || strings.Contains(status, "running")
				}); err != nil {
					return err
				}
			}
			time.Sleep(2 * settleTime)
			var err error
			if processorShares[n], memory[n], err = sampleAll(i, vms); err != nil {
				return err
			}
		}
		r.addPoints("agent-processor", "running tasks of the VM, 3 entries", "% of a core", sizes, processorShares)
		r.addPoints("agent-memory", "running tasks of the VM, 3 entries", "MB resident", sizes, memory)
		return nil
	})
}

// sampleAll samples the agents of all VMs and returns the mean processor share in percent of a core and the mean
// resident memory in MB.
func sampleAll(i *launcher.Installation, vms int) (share, memory float64, err error) {
	files := make([]string, vms)
	for n := range files {
		files[n] = i.VMName(n) + ".ini"
	}
	return sample(i.OutputDir, files...)
}

// sample measures the child processes with the settings files for sampleDuration. It returns their mean processor share
// in percent of a core and their mean resident memory in MB.
func sample(outputDir string, files ...string) (share, memory float64, err error) {
	ids, err := childProcesses(outputDir, files)
	if err != nil {
		return 0, 0, err
	}
	before, startTime := 0.0, time.Now()
	for _, id := range ids {
		used, err := processorTicks(id)
		if err != nil {
			return 0, 0, err
		}
		before += used
	}
	<-time.After(sampleDuration)
	after := 0.0
	for _, id := range ids {
		used, err := processorTicks(id)
		if err != nil {
			return 0, 0, err
		}
		resident, err := residentMB(id)
		if err != nil {
			return 0, 0, err
		}
		after, memory = after+used, memory+resident
	}
	count := float64(len(ids))
	// A clock tick is 10 ms, so the ticks per second are the share of a core in percent.
	return (after - before) / time.Since(startTime).Seconds() / count, memory / count, nil
}
