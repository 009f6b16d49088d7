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
	// shards is the default of the entries' settings.
	shards = 8
)

type (
	// region is the installation of one scenario. Its methods fail the scenario and not the whole suite.
	region struct {
		Gomega
		*launcher.Installation
		// jobs counts the tasks of the submitted jobs.
		jobs map[string]int
		// lost are the intervals at workers that were killed.
		lost []interval
	}

	// interval is a time for which an attempt ran at a VM.
	interval struct {
		worker.Interval
		vm int
		// task is the identifier without the attempt.
		task string
	}
)

func run(name string, scenario func(*region), g Gomega) {
	r := &region{
		Gomega: g, jobs: map[string]int{},
		Installation: &launcher.Installation{
			Launcher: &launcher.Launcher{ProgramDir: programs, OutputDir: filepath.Join(folder, strings.ReplaceAll(name, " ", "-"))},
			VMs:      3, Entries: 3, Services: []string{"preview=2ms"},
		},
	}
	r.Expect(os.MkdirAll(r.OutputDir, 0o700)).To(Succeed())
	r.Expect(r.ReserveNetwork()).To(Succeed())
	defer r.Release(0)
	scenario(r)
}

// begin starts the installation with processors at each VM and waits until both sides know each other and all entries
// own their part of the shards.
func (r *region) begin(processors int) {
	r.WorkerArgs = []string{fmt.Sprintf("--processors=%d", processors)}
	r.Expect(r.StartAll()).To(Succeed())
	r.await("all VMs in the view of all entries", 10*time.Second, func() bool {
		up := 0
		for n := range r.Entries {
			var fleet []message.FleetVM
			if _, err := launcher.Call(http.MethodGet, r.EntryOperatorAddress(n), message.PathFleet, nil, &fleet); err != nil {
				return false
			}
			for _, v := range fleet {
				if v.Status == message.StateUp && v.Capacity.MilliProcessors > 0 {
					up++
				}
			}
		}
		return up == r.VMs*r.Entries
	})
	r.await("even ownership of the shards", 30*time.Second, r.balanced)
}

func (r *region) await(what string, patience time.Duration, ready func() bool) {
	r.Expect(launcher.Await(what, patience, ready)).To(Succeed())
}

// try submits a job through the entry and returns the status code and failure.
func (r *region) try(entry int, id string, tasks int, processors float64, runTime time.Duration) (int, message.ErrorResponse) {
	var failure message.ErrorResponse
	status, err := launcher.Call(http.MethodPost, r.EntryCallerAddress(entry), "/v1/jobs", message.JobRequest{
		ID: id, Team: "design", Kind: "face-build", Tasks: tasks, RunTime: runTime,
		Size: resource.Amount{MilliProcessors: int64(1000 * processors), MemoryBytes: gibibyte},
	}, &failure)
	r.Expect(err).NotTo(HaveOccurred())
	return status, failure
}

func (r *region) submit(entry int, id string, tasks int, processors float64, runTime time.Duration) {
	status, failure := r.try(entry, id, tasks, processors, runTime)
	r.Expect(status).To(Equal(http.StatusCreated), failure.Message)
	r.jobs[id] = tasks
}

// status returns the status of the job at the entry; its state is empty if there is none.
func (r *region) status(entry int, id string) message.JobStatus {
	var s message.JobStatus
	if code, err := launcher.Call(http.MethodGet, r.EntryCallerAddress(entry), "/v1/jobs/"+id, nil, &s); err != nil || code != http.StatusOK {
		return message.JobStatus{}
	}
	return s
}

func (r *region) awaitDone(entry int, patience time.Duration) {
	deadline := time.Now().Add(patience)
	for id := range r.jobs {
		var last message.JobStatus
		err := launcher.Await("end of job "+id, time.Until(deadline), func() bool {
			last = r.status(entry, id)
			return last.State == "done"
		})
		r.Expect(err).NotTo(HaveOccurred(), "last status %+v, intervals %s", last, r.describe(id))
	}
}

// describe lists the intervals of a job or task.
func (r *region) describe(name string) string {
	var b strings.Builder
	for _, v := range r.intervals() {
		if strings.HasPrefix(v.ID, name+"/") {
			fmt.Fprintf(&b, "\n%s at %s from %s to %s: %s, progress %.2f to %.2f", v.ID, r.VMName(v.vm),
				v.Start.Format(time.StampMilli), v.End.Format(time.StampMilli), v.EndState, v.StartProgress, v.EndProgress)
		}
	}
	return b.String()
}

// at returns the intervals at the worker of a VM, or none if it does not answer.
func (r *region) at(vm int) []interval {
	var history []worker.Interval
	_, _ = launcher.Call(http.MethodGet, r.WorkerAddress(vm), worker.PathHistory, nil, &history)
	found := make([]interval, 0, len(history))
	for _, v := range history {
		found = append(found, interval{v, vm, v.ID[:strings.LastIndexByte(v.ID, '/')]})
	}
	return found
}

// intervals returns all intervals in the order of their starts.
func (r *region) intervals() []interval {
	all := slices.Clone(r.lost)
	for n := range r.VMs {
		all = append(all, r.at(n)...)
	}
	slices.SortFunc(all, func(a, b interval) int { return a.Start.Compare(b.Start) })
	return all
}

// byTask returns the intervals of each task in the order of their starts.
func (r *region) byTask() map[string][]interval {
	tasks := map[string][]interval{}
	for _, v := range r.intervals() {
		tasks[v.task] = append(tasks[v.task], v)
	}
	return tasks
}

// busiest returns the VM that runs the most tasks and these tasks.
func (r *region) busiest() (vm int, running []interval) {
	for n := range r.VMs {
		now := slices.DeleteFunc(r.at(n), func(v interval) bool { return !v.End.IsZero() })
		if len(now) > len(running) {
			vm, running = n, now
		}
	}
	r.Expect(running).NotTo(BeEmpty())
	return vm, running
}

// records returns the records of the region's stream.
func (r *region) records() []replayer.Record {
	var found []replayer.Record
	for from := uint64(1); ; {
		var page stream.Page
		path := fmt.Sprintf("%sbatch-region-1?from=%d&limit=500", message.PathStreams, from)
		_, err := launcher.Call(http.MethodGet, r.LogAddress(), path, nil, &page)
		r.Expect(err).NotTo(HaveOccurred())
		for _, v := range page.Entries {
			var batch stream.Batch
			r.Expect(json.Unmarshal(v.Value, &batch)).To(Succeed())
			for _, record := range batch.Records {
				found = append(found, replayer.Record{Record: record, Offset: v.Offset, Time: v.Time})
			}
		}
		if len(page.Entries) == 0 {
			return found
		}
		from = page.Next
	}
}

// claims returns the ownership of the shards by the region's stream.
func (r *region) claims() *claimer.Claimer {
	c := claimer.New(claimer.Options{ShardCount: shards})
	for _, v := range r.records() {
		c.Apply(v.Record, v.Offset, v.Time)
	}
	return c
}

// ownerOf returns the entry that owns the shard of the job.
func (r *region) ownerOf(job string) int {
	c := r.claims()
	owner := c.Ownership(scheduler.New(c).ShardOf(job)).Owner
	n := -1
	for n = range r.Entries {
		if strings.HasPrefix(owner, r.EntryName(n)+"-") {
			break
		}
	}
	r.Expect(owner).To(HavePrefix(r.EntryName(n)+"-"), "owner of job "+job)
	return n
}

// balanced reports whether each entry owns a part of the shards.
func (r *region) balanced() bool {
	c, owned := r.claims(), map[string]int{}
	for n := range shards {
		owned[c.Ownership(n).Owner]++
	}
	return len(owned) == r.Entries && owned[""] == 0 && slices.Min(slices.Collect(maps.Values(owned))) >= shards/r.Entries
}

// check verifies that no task ran in two places at once, each was completed once, and no VM was overcommitted.
func (r *region) check() {
	tasks := r.byTask()
	for job, count := range r.jobs {
		for n := range count {
			name := fmt.Sprintf("%s/%d", job, n)
			completed := 0
			for _, v := range tasks[name] {
				if v.EndState == worker.StateDone {
					completed++
				}
			}
			r.Expect(completed).To(Equal(1), "completions of %s: %s", name, r.describe(job))
		}
	}
	r.checkPlaces(tasks)
}

func (r *region) checkPlaces(tasks map[string][]interval) {
	for name, intervals := range tasks {
		for n := range intervals {
			r.Expect(intervals[n].End).NotTo(BeZero(), "%s still runs", name)
			if n > 0 {
				r.Expect(intervals[n].Start).NotTo(BeTemporally("<", intervals[n-1].End), "%s ran in two places: %s", name, r.describe(name))
			}
		}
	}
	for n := range r.VMs {
		var counters worker.Counters
		_, _ = launcher.Call(http.MethodGet, r.WorkerAddress(n), worker.PathCounters, nil, &counters)
		r.Expect(counters.Overcommits).To(BeZero(), r.VMName(n))
	}
}

// setLog replaces the faults of the log service.
func (r *region) setLog(f logservice.Faults) {
	status, err := launcher.Call(http.MethodPost, r.LogAddress(), logservice.PathFaults, f, nil)
	r.Expect(err).NotTo(HaveOccurred())
	r.Expect(status).To(Equal(http.StatusNoContent))
}
