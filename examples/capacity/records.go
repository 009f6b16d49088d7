package main

import (
	"encoding/json"
	"runtime"
	"time"

	"bamboohook/claimer"
	"bamboohook/follower"
	"bamboohook/resource"
	"bamboohook/scheduler"
	"bamboohook/stream"
	"bamboohook/task"
)

// recordHistory builds the records that jobs leave in the batch stream of a region.
type recordHistory struct {
	records     []stream.Record
	epochs      [shardCount]uint64
	shardLookup *scheduler.Scheduler
}

func newRecordHistory() *recordHistory {
	h := &recordHistory{shardLookup: scheduler.New(claimer.New(claimer.Options{ShardCount: shardCount}))}
	h.records = append(h.records, stream.NewRecord(claimer.KindPresence, claimer.Presence{Entry: "entry-1-" + generation, Sequence: 1}))
	for s := range shardCount {
		h.records = append(h.records, stream.NewRecord(claimer.KindClaim, claimer.Claim{Shard: s, Entry: "entry-1-" + generation}))
		h.epochs[s] = uint64(len(h.records))
	}
	return h
}

func (h *recordHistory) submit(n, tasks int) scheduler.Job {
	j := scheduler.Job{
		ID: jobName(n), Team: "design", Kind: "face-build", Tasks: tasks, RunTime: 10 * time.Minute, Retries: 3,
		Size: resource.Amount{MilliProcessors: 4000, MemoryBytes: 8 << 30},
	}
	h.records = append(h.records, stream.NewRecord(scheduler.KindJob, j))
	return j
}

func (h *recordHistory) identity(job string, n int) task.Identity {
	shard := h.shardLookup.ShardOf(job)
	return task.Identity{Job: job, Task: n, Attempt: 1, Shard: shard, Epoch: h.epochs[shard]}
}

func (h *recordHistory) assign(job string, n int) {
	h.records = append(h.records, stream.NewRecord(scheduler.KindAssignment, scheduler.Assignment{
		Identity: h.identity(job, n), VMs: []string{vmName(n % fleetVMs), vmName((n + 1) % fleetVMs), vmName((n + 2) % fleetVMs)},
	}))
}

func (h *recordHistory) finish(job string, n int) {
	h.records = append(h.records, stream.NewRecord(scheduler.KindResult, scheduler.Result{
		Identity: h.identity(job, n), Outcome: scheduler.OutcomeDone, VM: vmName(n % fleetVMs),
	}))
}

// replay applies the records to a new scheduler, each at an offset of its own. It panics if a record is not applied.
func (h *recordHistory) replay() *scheduler.Scheduler {
	s := scheduler.New(claimer.New(claimer.Options{ShardCount: shardCount}))
	appendTime := time.Unix(1_800_000_000, 0)
	for i, r := range h.records {
		if v := s.Apply(r, uint64(i+1), appendTime); v != scheduler.Applied {
			panic("capacity: record of kind " + r.Kind + " was not applied, its verdict is " + string(v))
		}
	}
	return s
}

// newJobHistory returns the history of count jobs with 10 tasks each. All of the jobs are in the given state, which is
// waiting, running or done.
func newJobHistory(count int, state string) *recordHistory {
	const tasksPerJob = 10
	h := newRecordHistory()
	for n := range count {
		j := h.submit(n, tasksPerJob)
		for t := range tasksPerJob {
			if state != scheduler.StateWaiting {
				h.assign(j.ID, t)
			}
			if state == scheduler.StateDone {
				h.finish(j.ID, t)
			}
		}
	}
	return h
}

// measureRecords measures the size of batches of records, the time of replaying records, the memory of the resulting
// state and the size and time of snapshots.
func measureRecords(r *report) error {
	counts := []float64{1, 10, 50, 100}
	batchBytes := func(addRecord func(h *recordHistory, n int)) func(int) float64 {
		return func(n int) float64 {
			h := newRecordHistory()
			first := len(h.records)
			for i := range n {
				addRecord(h, i)
			}
			return float64(len(encodeBatch(h.records[first:])))
		}
	}
	r.measure("bytes-job", "job records in a batch", "bytes", counts, batchBytes(func(h *recordHistory, n int) { h.submit(n, 10) }))
	r.measure("bytes-assignment", "assignments in a batch", "bytes", counts, batchBytes(func(h *recordHistory, n int) { h.assign(jobName(n), n) }))
	r.measure("bytes-result", "results in a batch", "bytes", counts, batchBytes(func(h *recordHistory, n int) { h.finish(jobName(n), n) }))
	jobCounts := []float64{250, 500, 1000, 2000}
	recordCount := func(n float64) float64 { return n * 21 }
	recordCounts, decodeTimes, applyTimes := make([]float64, 4), make([]float64, 4), make([]float64, 4)
	for i, n := range jobCounts {
		h := newJobHistory(int(n), scheduler.StateDone)
		recordCounts[i] = recordCount(n)
		decodeTimes[i] = processorTimePerCall(1, func() { encodeAndDecode(h.records) }) / 1000
		applyTimes[i] = processorTimePerCall(1, func() { h.replay() }) / 1000
	}
	r.addPoints("replay-decode", "records, in batches of 28", "ms", recordCounts, decodeTimes)
	r.addPoints("replay-apply", "records", "ms", recordCounts, applyTimes)
	stateMemory := func(state string) func(int) float64 {
		return func(n int) float64 {
			h := newJobHistory(n, state)
			growth := retainedHeap(func() any { return h.replay() }) / 1e6
			// The first reading of the heap includes the records. If they were freed before the second reading, the
			// result would be too small.
			runtime.KeepAlive(h)
			return growth
		}
	}
	r.measure("memory-waiting", "waiting jobs of 10 tasks", "MB", jobCounts, stateMemory(scheduler.StateWaiting))
	r.measure("memory-running", "running jobs of 10 tasks", "MB", jobCounts, stateMemory(scheduler.StateRunning))
	r.measure("memory-done", "ended jobs", "MB", jobCounts, stateMemory(scheduler.StateDone))
	sizes, snapshotTimes, restoreTimes := make([]float64, 4), make([]float64, 4), make([]float64, 4)
	for i, n := range jobCounts {
		s := newJobHistory(int(n), scheduler.StateRunning).replay()
		encoded := s.Snapshot()
		sizes[i] = float64(len(encoded)) / 1e6
		snapshotTimes[i] = processorTimePerCall(2, func() { s.Snapshot() }) / 1000
		restoreTimes[i] = processorTimePerCall(2, func() {
			if err := s.Restore(encoded); err != nil {
				panic(err)
			}
		}) / 1000
	}
	r.addPoints("snapshot-bytes", "running jobs of 10 tasks", "MB", jobCounts, sizes)
	r.addPoints("snapshot-time", "running jobs of 10 tasks", "ms", jobCounts, snapshotTimes)
	r.addPoints("restore-time", "running jobs of 10 tasks", "ms", jobCounts, restoreTimes)
	r.measure("restore-done-time", "ended jobs", "ms", jobCounts, func(n int) float64 {
		s := newJobHistory(n, scheduler.StateDone).replay()
		encoded := s.Snapshot()
		return processorTimePerCall(2, func() {
			if err := s.Restore(encoded); err != nil {
				panic(err)
			}
		}) / 1000
	})
	r.measure("snapshot-done-bytes", "ended jobs", "MB", jobCounts, func(n int) float64 {
		return float64(len(newJobHistory(n, scheduler.StateDone).replay().Snapshot())) / 1e6
	})
	return nil
}

// encodeBatch returns the value that an append of the records writes to the log.
func encodeBatch(records []stream.Record) []byte {
	value, err := json.Marshal(stream.Batch{Writer: "entry-1-" + generation, Sequence: 123_456, Records: records})
	if err != nil {
		panic(err)
	}
	return value
}

// encodeAndDecode encodes the records into pages and decodes them as a follower does. A page has 100 batches. A batch
// has 27 records, one for each task that a region starts in 500 ms at the peak.
func encodeAndDecode(records []stream.Record) {
	const recordsPerBatch, batchesPerPage = peakStartsPerSecond / regionCount / 2, 100
	for len(records) > 0 {
		var page stream.Page
		for len(records) > 0 && len(page.Entries) < batchesPerPage {
			n := min(recordsPerBatch, len(records))
			page.Entries = append(page.Entries, stream.Entry{Offset: 1, Value: encodeBatch(records[:n])})
			records = records[n:]
		}
		body, _ := json.Marshal(page)
		var decoded stream.Page
		if json.Unmarshal(body, &decoded) != nil {
			panic("capacity: cannot decode a page")
		}
		for _, e := range decoded.Entries {
			if _, err := follower.DecodeBatch(e.Value); err != nil {
				panic(err)
			}
		}
	}
}
