package main

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"bamboohook/appender"
	"bamboohook/internal/boottimer"
	"bamboohook/internal/standin/logservice"
	"bamboohook/scheduler"
	"bamboohook/stream"
	"bamboohook/task"
)

const appendDuration = 2 * time.Second

// measureAppends measures how many appends, bytes and records per second the appender writes when records are submitted
// at a given rate. The appender combines waiting records into one append. The measurement runs in real time.
func measureAppends(r *report) error {
	rates, appendRates, byteRates, recordRates := []float64{55, 110, 220, 440}, make([]float64, 4), make([]float64, 4), make([]float64, 4)
	for i, n := range rates {
		appendRates[i], byteRates[i], recordRates[i] = measureAppendRates(1, int(n))
	}
	r.addPoints("appends", "records/s of one writer", "appends/s", rates, appendRates)
	r.addPoints("append-bytes", "records/s of one writer", "bytes/s", rates, byteRates)
	r.addPoints("append-records", "records/s offered to one writer", "records/s appended", rates, recordRates)
	r.measure("appends-writers", "writers that share 220 records/s", "appends/s", []float64{1, 2, 4, 8}, func(n int) float64 {
		appendRate, _, _ := measureAppendRates(n, peakStartsPerSecond)
		return appendRate
	})
	b := newRegionSimulation(100, roundedTasksPerVM)
	// Each VM has one job, which was submitted with one append of one record. These appends and their records are
	// not counted.
	appended := b.appendCount - b.vmCount
	fmt.Printf("\nAn owner that assigned and started 1,400 tasks as fast as it could: %d appends in %s of its own time with %.0f records each.\n",
		appended, b.now.Sub(time.Unix(1_800_000_000, 0)), float64(b.appendedRecords-b.vmCount)/float64(appended))
	return nil
}

// measureAppendRates submits assignment records at the rate, in turn to each of the writers, for appendDuration. It
// returns the appends, bytes and records per second that reached the log.
func measureAppendRates(writers, rate int) (appendRate, byteRate, recordRate float64) {
	store := logservice.NewStore(logservice.Options{})
	ctx, cancel := context.WithCancel(context.Background())
	var runGroup, callGroup sync.WaitGroup
	appenders := make([]*appender.Appender, writers)
	for w := range writers {
		appenders[w] = appender.New(appender.Options{Log: store, Clock: boottimer.Clock{}, Stream: "batch", Writer: fmt.Sprintf("entry-%d-%s", w, generation)})
		runGroup.Go(func() { appenders[w].Run(ctx) })
	}
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	for n := range int(appendDuration.Seconds() * float64(rate)) {
		<-ticker.C
		record := stream.NewRecord(scheduler.KindAssignment, scheduler.Assignment{
			Identity: task.Identity{Job: jobName(n), Attempt: 1, Shard: 3, Epoch: 123_456}, VMs: []string{vmName(1), vmName(2), vmName(3)},
		})
		callGroup.Go(func() { appenders[n%writers].Append(ctx, record) })
	}
	ticker.Stop()
	callGroup.Wait()
	cancel()
	runGroup.Wait()
	page, err := store.Read(context.Background(), "batch", 1, 1000, 0)
	if err != nil {
		panic(err)
	}
	recordCount := 0
	for _, e := range page.Entries {
		var b stream.Batch
		if json.Unmarshal(e.Value, &b) != nil {
			panic("capacity: cannot decode a batch")
		}
		byteRate += float64(len(e.Value))
		recordCount += len(b.Records)
	}
	seconds := appendDuration.Seconds()
	return float64(len(page.Entries)) / seconds, byteRate / seconds, float64(recordCount) / seconds
}
