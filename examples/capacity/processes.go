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
	measured = 3 * time.Second
	settle   = 1500 * time.Millisecond
	patience = 20 * time.Second
	// release is short, because nothing has to survive the end of a measurement.
	release = time.Second
)

// measureProcesses measures real processes: an entry with simulated agents, then agents with real entries.
func measureProcesses(r *report) error {
	folder, err := os.MkdirTemp("", "bamboohook-capacity-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	build := exec.Command("go", "build", "-buildvcs=false", "-o", folder+string(filepath.Separator), "./cmd/...")
	if output, err := build.CombinedOutput(); err != nil {
		return fmt.Errorf("cannot build the programs: %w: %s", err, output)
	}
	if err := measureEntry(r, folder); err != nil {
		return err
	}
	if err := measureFetches(r, folder); err != nil {
		return err
	}
	if err := measureAgents(r, folder); err != nil {
		return err
	}
	return measureRunning(r, folder)
}

func installation(folder string, vms, entries int, f func(*launcher.Installation) error) error {
	sub, err := os.MkdirTemp(folder, "run-")
	if err != nil {
		return err
	}
	i := &launcher.Installation{
		Launcher: &launcher.Launcher{ProgramDir: folder, OutputDir: sub}, VMs: vms, Entries: entries,
		Services: []string{"preview=2ms/0.3", "road-check=2ms/0.3"},
	}
	if err := i.ReserveNetwork(); err != nil {
		return err
	}
	defer i.Release(release)
	if err := i.StartAll(); err != nil {
		return err
	}
	return f(i)
}

// measureEntry measures one entry with growing numbers of simulated VMs that each run 14 tasks.
func measureEntry(r *report, folder string) error {
	return installation(folder, 0, 1, func(i *launcher.Installation) error {
		s, err := newSimulation(strings.Replace(i.EntryOperatorAddress(0), ":21002", ":21001", 1))
		if err != nil {
			return err
		}
		defer s.stop()
		sizes := []float64{75, 150, 300, 600}
		shares, memory, rates := make([]float64, 4), make([]float64, 4), make([]float64, 4)
		for n, size := range sizes {
			added := int(size) - s.size()
			s.grow(int(size))
			time.Sleep(2 * tickStep)
			began := time.Now()
			if err := submitJobs(i.EntryCallerAddress(0), n, added*wholeTasks); err != nil {
				return err
			}
			if err := launcher.Await("start of all tasks", 2*patience, func() bool { return s.running() == int(size)*wholeTasks }); err != nil {
				return fmt.Errorf("%w; %d of %d run", err, s.running(), int(size)*wholeTasks)
			}
			rates[n] = float64(added*wholeTasks) / time.Since(began).Seconds()
			time.Sleep(settle)
			shares[n], memory[n], err = sample(i.OutputDir, "entry-1.ini")
			if err != nil {
				return err
			}
		}
		if s.failures.Load() > 0 {
			fmt.Printf("\n%d heartbeats failed.\n\n", s.failures.Load())
		}
		r.add("entry-processor", "VMs with 14 running tasks", "% of a core", sizes, shares)
		r.add("entry-memory", "VMs with 14 running tasks", "MB resident", sizes, memory)
		r.add("entry-starts", "VMs with 14 running tasks", "starts/s reached", sizes, rates)
		return nil
	})
}

// submitJobs submits 16 jobs that have the number of tasks together, so that most shards have some.
func submitJobs(caller string, series, tasks int) error {
	const parts = 16
	for p := range parts {
		count := tasks*(p+1)/parts - tasks*p/parts
		body, err := json.Marshal(message.JobRequest{
			ID: fmt.Sprintf("%d-%s", series, jobName(p)), Team: "design", Kind: "face-build", Tasks: count, RunTime: time.Hour,
			Size: resource.Amount{MilliProcessors: 64_000 / int64(wholeTasks)},
		})
		if err != nil {
			return err
		}
		answer, err := http.Post("http://"+caller+"/v1/jobs", "application/json", bytes.NewReader(body))
		if err != nil {
			return err
		}
		text, _ := io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		if answer.StatusCode >= 300 {
			return fmt.Errorf("job was not accepted: %d %s", answer.StatusCode, text)
		}
	}
	return nil
}

// measureAgents measures real agents without tasks by the number of entries, and the entries beside them.
func measureAgents(r *report, folder string) error {
	const vms = 6
	sizes := []float64{1, 2, 4, 8}
	shares, memory, entry := make([]float64, 4), make([]float64, 4), make([]float64, 4)
	for n, entries := range sizes {
		if err := installation(folder, vms, int(entries), func(i *launcher.Installation) error {
			time.Sleep(settle)
			type result struct {
				share float64
				err   error
			}
			other := make(chan result, 1)
			go func() {
				share, _, err := sample(i.OutputDir, "entry-1.ini")
				other <- result{share, err}
			}()
			var err error
			shares[n], memory[n], err = sampleAll(i, vms)
			beside := <-other
			entry[n] = beside.share
			if err == nil {
				err = beside.err
			}
			return err
		}); err != nil {
			return err
		}
	}
	r.add("agent-processor-entries", "entries", "% of a core", sizes, shares)
	r.add("agent-memory-entries", "entries", "MB resident", sizes, memory)
	r.add("entry-processor-entries", "entries, with 6 VMs", "% of a core", sizes, entry)
	return nil
}

// measureRunning measures real agents with 3 entries by the number of running tasks.
func measureRunning(r *report, folder string) error {
	const vms = 4
	return installation(folder, vms, entriesARegion, func(i *launcher.Installation) error {
		sizes := []float64{0, 7, 14, 20}
		shares, memory := make([]float64, 4), make([]float64, 4)
		submitted := 0
		for n, each := range sizes {
			if total := int(each) * vms; total > submitted {
				id := fmt.Sprintf("run-%d", n)
				if _, err := i.RunCommand("job", "submit", "--caller="+i.EntryCallerAddress(0), "--id="+id, "--team=design", "--kind=face-build",
					fmt.Sprintf("--tasks=%d", total-submitted), "--processors=3.2", "--memory=0.1", "--run-time=1h"); err != nil {
					return err
				}
				submitted = total
				if err := launcher.Await("start of tasks", patience, func() bool {
					status, err := i.RunCommand("job", "status", "--caller="+i.EntryCallerAddress(0), id)
					return err == nil && strings.Contains(status, "waiting 0") || strings.Contains(status, "running")
				}); err != nil {
					return err
				}
			}
			time.Sleep(2 * settle)
			var err error
			if shares[n], memory[n], err = sampleAll(i, vms); err != nil {
				return err
			}
		}
		r.add("agent-processor", "running tasks of the VM, 3 entries", "% of a core", sizes, shares)
		r.add("agent-memory", "running tasks of the VM, 3 entries", "MB resident", sizes, memory)
		return nil
	})
}

// sampleAll returns the mean of the agents.
func sampleAll(i *launcher.Installation, vms int) (share, memory float64, err error) {
	files := make([]string, vms)
	for n := range files {
		files[n] = i.VMName(n) + ".ini"
	}
	return sample(i.OutputDir, files...)
}

// sample returns the share of a core, in percent, and the resident memory in MB of the processes that this program
// started with the settings files, each as the mean.
func sample(folder string, files ...string) (share, memory float64, err error) {
	ids, err := children(folder, files)
	if err != nil {
		return 0, 0, err
	}
	before, began := 0.0, time.Now()
	for _, id := range ids {
		used, err := ticksOf(id)
		if err != nil {
			return 0, 0, err
		}
		before += used
	}
	<-time.After(measured)
	after := 0.0
	for _, id := range ids {
		used, err := ticksOf(id)
		if err != nil {
			return 0, 0, err
		}
		resident, err := residentOf(id)
		if err != nil {
			return 0, 0, err
		}
		after, memory = after+used, memory+resident
	}
	count := float64(len(ids))
	// A tick is 10 ms, so ticks in a second are percent of a core.
	return (after - before) / time.Since(began).Seconds() / count, memory / count, nil
}
