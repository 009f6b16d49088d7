package batch_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/gomega"

	"bamboohook/claimer"
	"bamboohook/internal/launcher"
	"bamboohook/internal/message"
	"bamboohook/internal/replayer"
	"bamboohook/internal/standin/logservice"
	"bamboohook/internal/standin/worker"
	"bamboohook/resource"
	"bamboohook/scheduler"
	"bamboohook/stream"
)

const (
	gibibyte = 1 << 30
	// shardCount is the default in the entries' settings.
	shardCount = 8
	// failedRunsDir is the directory in which the output of failed scenarios is kept. Empty means that of the operating system for
	// temporary files.
	failedRunsDir = ""
	// dumpTimeout limits the time for which a failed scenario waits until its processes have written their goroutines.
	dumpTimeout = 5 * time.Second
)

type (
	// installation is a set of entries, VMs and a log service for one scenario. An expectation that fails through its Gomega fails
	// only that scenario.
	installation struct {
		Gomega
		*launcher.Installation
		// jobs is the number of tasks of each submitted job.
		jobs map[string]int
		// lostIntervals are the intervals at workers that were killed and no longer return their histories.
		lostIntervals []interval
	}

	// interval is the time from the start to the end of an attempt on a VM.
	interval struct {
		worker.Interval
		vm int
		// task is the task ID, without the attempt number.
		task string
	}
)

// run runs a scenario with an installation of its own, whose processes the scenario starts.
func run(name string, scenario func(*installation), g Gomega) {
	i := &installation{
		Gomega: g, jobs: map[string]int{},
		Installation: &launcher.Installation{
			Launcher: &launcher.Launcher{ProgramDir: programDir, OutputDir: filepath.Join(outputDir, strings.ReplaceAll(name, " ", "-"))},
			VMs:      3, Entries: 3, Services: []string{"preview=2ms"},
		},
	}
	i.Expect(os.MkdirAll(i.OutputDir, 0o700)).To(Succeed())
	i.Expect(i.ReserveNetwork()).To(Succeed())
	defer i.Release(0)
	completed := false
	defer func() {
		if !completed {
			i.keepFailedRun(name)
		}
	}()
	scenario(i)
	completed = true
}

// keepFailedRun copies the settings and logs of all processes to a new directory, which remains after the test, and adds the states of the
// processes, the records of the stream, the histories of the workers, the events of the entries and agents and the goroutines of the processes,
// which it ends. A failure beside load is too rare to be repeated with more output.
func (i *installation) keepFailedRun(name string) {
	dir, err := os.MkdirTemp(failedRunsDir, "bamboohook-batch-"+filepath.Base(i.OutputDir)+"-")
	if err != nil {
		fmt.Printf("%s: cannot keep the output: %v\n", name, err)
		return
	}
	states := strings.Join(i.States(), "\n")
	fmt.Printf("%s failed at %s; its output is kept in %s; processes:\n%s\n", name, time.Now().Format(time.StampMilli), dir, states)
	save := func(file string, content []byte) {
		if err := os.WriteFile(filepath.Join(dir, file), content, 0o600); err != nil {
			fmt.Printf("%s: cannot keep %s: %v\n", name, file, err)
		}
	}
	save("states.txt", []byte(states))
	// A paused process does not respond, so the requests are sent at the same time.
	var group sync.WaitGroup
	for file, source := range i.diagnosticSources() {
		group.Go(func() {
			status, body := launcher.Get(source[0], source[1])
			save(file, fmt.Appendf(nil, "status %d\n%s", status, body))
		})
	}
	group.Wait()
	i.dumpGoroutines()
	if err := os.CopyFS(dir, os.DirFS(i.OutputDir)); err != nil {
		fmt.Printf("%s: cannot keep the logs: %v\n", name, err)
	}
}

// dumpGoroutines ends the processes with SIGQUIT, at which the Go runtime writes the stacks of all goroutines to the log of the process. They
// show where a process hangs that neither ended nor responds. A paused process is continued first, because it does not handle SIGQUIT.
func (i *installation) dumpGoroutines() {
	names := []string{"log"}
	for n := range i.Entries {
		names = append(names, i.EntryName(n))
	}
	for n := range i.VMs {
		names = append(names, i.VMName(n), i.VMName(n)+"-worker")
	}
	for _, name := range names {
		if p := i.Process(name); p != nil {
			p.Signal(syscall.SIGCONT)
			p.Signal(syscall.SIGQUIT)
		}
	}
	deadline := time.Now().Add(dumpTimeout)
	for _, name := range names {
		if p := i.Process(name); p != nil && !p.Wait(time.Until(deadline)) {
			fmt.Printf("%s has not written its goroutines within %s\n", name, dumpTimeout)
		}
	}
}

// diagnosticSources returns the address and path of each source that keepFailedRun saves, by file name.
func (i *installation) diagnosticSources() map[string][2]string {
	sources := map[string][2]string{"records.txt": {i.LogAddress(), message.PathStreams + "batch-region-1?from=1&limit=1000"}}
	for n := range i.Entries {
		sources[i.EntryName(n)+"-events.txt"] = [2]string{i.EntryOperatorAddress(n), message.PathEvents}
		sources[i.EntryName(n)+"-jobs.txt"] = [2]string{i.EntryCallerAddress(n), "/v1/jobs"}
	}
	for n := range i.VMs {
		sources[i.VMName(n)+"-events.txt"] = [2]string{i.AgentOperatorAddress(n), message.PathEvents}
		sources[i.VMName(n)+"-history.txt"] = [2]string{i.WorkerAddress(n), worker.PathHistory}
	}
	return sources
}

// startAndWait starts the installation with the number of processors on each VM. It waits until all entries have heartbeats from
// all VMs and own equal parts of the shards.
func (i *installation) startAndWait(processors int) {
	i.WorkerArgs = []string{fmt.Sprintf("--processors=%d", processors)}
	i.Expect(i.StartAll()).To(Succeed())
	i.await("heartbeats from all VMs to all entries", 10*time.Second, func() bool {
		up := 0
		for n := range i.Entries {
			var fleet []message.FleetVM
			if _, err := launcher.Call(http.MethodGet, i.EntryOperatorAddress(n), message.PathFleet, nil, &fleet); err != nil {
				return false
			}
			for _, v := range fleet {
				if v.Status == message.StateUp && v.Capacity.MilliProcessors > 0 {
					up++
				}
			}
		}
		return up == i.VMs*i.Entries
	})
	i.await("equal distribution of the shards", 30*time.Second, i.shardsBalanced)
}

func (i *installation) await(event string, timeout time.Duration, ready func() bool) {
	i.Expect(launcher.Await(event, timeout, ready)).To(Succeed())
}

// trySubmit submits a job through the entry and returns the status code and the error response.
func (i *installation) trySubmit(entry int, id string, tasks int, processors float64, runTime time.Duration) (int, message.ErrorResponse) {
	var failure message.ErrorResponse
	status, err := launcher.Call(http.MethodPost, i.EntryCallerAddress(entry), "/v1/jobs", message.JobRequest{
		ID: id, Team: "design", Kind: "face-build", Tasks: tasks, RunTime: runTime,
		Size: resource.Amount{MilliProcessors: int64(1000 * processors), MemoryBytes: gibibyte},
	}, &failure)
	i.Expect(err).NotTo(HaveOccurred())
	return status, failure
}

func (i *installation) submit(entry int, id string, tasks int, processors float64, runTime time.Duration) {
	status, failure := i.trySubmit(entry, id, tasks, processors, runTime)
	i.Expect(status).To(Equal(http.StatusCreated), failure.Message)
	i.jobs[id] = tasks
}

// status returns the status of a job according to the entry. Its state is empty if the entry returns none.
func (i *installation) status(entry int, id string) message.JobStatus {
	var s message.JobStatus
	if code, err := launcher.Call(http.MethodGet, i.EntryCallerAddress(entry), "/v1/jobs/"+id, nil, &s); err != nil || code != http.StatusOK {
		return message.JobStatus{}
	}
	return s
}

func (i *installation) awaitDone(entry int, timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	for id := range i.jobs {
		var last message.JobStatus
		err := launcher.Await("end of job "+id, time.Until(deadline), func() bool {
			last = i.status(entry, id)
			return last.State == "done"
		})
		i.Expect(err).NotTo(HaveOccurred(), "last status %+v, intervals %s", last, i.describe(id))
	}
}

// describe lists the intervals of a job or task for failure messages.
func (i *installation) describe(name string) string {
	var b strings.Builder
	for _, v := range i.intervals() {
		if strings.HasPrefix(v.ID, name+"/") {
			fmt.Fprintf(&b, "\n%s at %s from %s to %s: %s, progress %.2f to %.2f", v.ID, i.VMName(v.vm),
				v.Start.Format(time.StampMilli), v.End.Format(time.StampMilli), v.EndState, v.StartProgress, v.EndProgress)
		}
	}
	return b.String()
}

// intervalsAt returns the intervals at the worker of a VM, or none if the worker does not respond.
func (i *installation) intervalsAt(vm int) []interval {
	var history []worker.Interval
	_, _ = launcher.Call(http.MethodGet, i.WorkerAddress(vm), worker.PathHistory, nil, &history)
	intervals := make([]interval, 0, len(history))
	for _, v := range history {
		intervals = append(intervals, interval{v, vm, v.ID[:strings.LastIndexByte(v.ID, '/')]})
	}
	return intervals
}

// intervals returns the intervals of all VMs in the order of their starts.
func (i *installation) intervals() []interval {
	all := slices.Clone(i.lostIntervals)
	for n := range i.VMs {
		all = append(all, i.intervalsAt(n)...)
	}
	slices.SortFunc(all, func(a, b interval) int { return a.Start.Compare(b.Start) })
	return all
}

// byTask returns the intervals of each task in the order of their starts.
func (i *installation) byTask() map[string][]interval {
	tasks := map[string][]interval{}
	for _, v := range i.intervals() {
		tasks[v.task] = append(tasks[v.task], v)
	}
	return tasks
}

// busiest returns the VM that runs the most tasks, and those tasks.
func (i *installation) busiest() (vm int, running []interval) {
	for n := range i.VMs {
		current := slices.DeleteFunc(i.intervalsAt(n), func(v interval) bool { return !v.End.IsZero() })
		if len(current) > len(running) {
			vm, running = n, current
		}
	}
	i.Expect(running).NotTo(BeEmpty())
	return vm, running
}

// records returns the records in the log stream that all entries of the region share.
func (i *installation) records() []replayer.Record {
	var records []replayer.Record
	for from := uint64(1); ; {
		var page stream.Page
		path := fmt.Sprintf("%sbatch-region-1?from=%d&limit=500", message.PathStreams, from)
		_, err := launcher.Call(http.MethodGet, i.LogAddress(), path, nil, &page)
		i.Expect(err).NotTo(HaveOccurred())
		for _, v := range page.Entries {
			var batch stream.Batch
			i.Expect(json.Unmarshal(v.Value, &batch)).To(Succeed())
			for _, record := range batch.Records {
				records = append(records, replayer.Record{Record: record, Offset: v.Offset, Time: v.Time})
			}
		}
		if len(page.Entries) == 0 {
			return records
		}
		from = page.Next
	}
}

// claims returns the ownership of the shards according to the records in the log.
func (i *installation) claims() *claimer.Claimer {
	c := claimer.New(claimer.Options{ShardCount: shardCount})
	for _, v := range i.records() {
		c.Apply(v.Record, v.Offset, v.Time)
	}
	return c
}

// ownerOf returns the index of the entry that owns the shard of the job.
func (i *installation) ownerOf(job string) int {
	c := i.claims()
	owner := c.Ownership(scheduler.New(c).ShardOf(job)).Owner
	n := -1
	for n = range i.Entries {
		if strings.HasPrefix(owner, i.EntryName(n)+"-") {
			break
		}
	}
	i.Expect(owner).To(HavePrefix(i.EntryName(n)+"-"), "owner of job "+job)
	return n
}

// shardsBalanced reports whether all shards are owned and each entry owns at least its equal part, rounded down.
func (i *installation) shardsBalanced() bool {
	c, owned := i.claims(), map[string]int{}
	for n := range shardCount {
		owned[c.Ownership(n).Owner]++
	}
	return len(owned) == i.Entries && owned[""] == 0 && slices.Min(slices.Collect(maps.Values(owned))) >= shardCount/i.Entries
}

// checkExecution verifies that each task completed exactly once, that no task ran on two VMs at the same time, and that no VM was
// overcommitted.
func (i *installation) checkExecution() {
	tasks := i.byTask()
	for job, count := range i.jobs {
		for n := range count {
			name := fmt.Sprintf("%s/%d", job, n)
			completed := 0
			for _, v := range tasks[name] {
				if v.EndState == worker.StateDone {
					completed++
				}
			}
			i.Expect(completed).To(Equal(1), "completions of %s: %s", name, i.describe(job))
		}
	}
	i.checkAttempts(tasks)
}

// checkAttempts verifies that all attempts have ended, that no task had two attempts at the same time, and that no VM was
// overcommitted.
func (i *installation) checkAttempts(tasks map[string][]interval) {
	for name, intervals := range tasks {
		for n := range intervals {
			i.Expect(intervals[n].End).NotTo(BeZero(), "%s still runs", name)
			if n > 0 {
				i.Expect(intervals[n].Start).NotTo(BeTemporally("<", intervals[n-1].End), "%s had two attempts at the same time: %s", name, i.describe(name))
			}
		}
	}
	for n := range i.VMs {
		var counters worker.Counters
		_, _ = launcher.Call(http.MethodGet, i.WorkerAddress(n), worker.PathCounters, nil, &counters)
		i.Expect(counters.Overcommits).To(BeZero(), i.VMName(n))
	}
}

// setLogFaults replaces the faults of the log service.
func (i *installation) setLogFaults(f logservice.Faults) {
	status, err := launcher.Call(http.MethodPost, i.LogAddress(), logservice.PathFaults, f, nil)
	i.Expect(err).NotTo(HaveOccurred())
	i.Expect(status).To(Equal(http.StatusNoContent))
}
