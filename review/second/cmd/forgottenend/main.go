// Command forgottenend lets a worker crash and start again under its ID while short jobs are handed in, and checks that no task runs twice.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"bamboohook/review/second/internal/rig"
)

const (
	entries      = 3
	plainWorkers = 7
	heartbeat    = 1100 * time.Millisecond
	// A job with a task for the worker is handed in each submitEvery, jobs in all. The tasks take runTime.
	jobs        = 90
	submitEvery = 200 * time.Millisecond
	runTime     = "100"
	// The worker crashes crashes times, first after firstCrash and then each crashEvery. It is down for downTime.
	crashes    = 3
	firstCrash = 3 * time.Second
	crashEvery = 5030 * time.Millisecond
	downTime   = 100 * time.Millisecond
	calmTime   = 4 * time.Second
	watchTime  = 8 * time.Second
)

func main() {
	program := flag.String("program", "target/bamboohook", "the program of the deploy file")
	path := flag.String("record", "record.txt", "the record")
	flag.Parse()
	os.Exit(run(*program, *path, os.Getenv("TROUBLE") != "0"))
}

func run(program, path string, trouble bool) int {
	record, err := rig.NewRecord(path)
	if err != nil {
		fmt.Println(err)
		return rig.ExitNotRun
	}
	defer func() { _ = record.Close() }()
	r := &rig.Rig{Program: program, Entries: entries, Record: record}
	for n := range plainWorkers + 1 {
		r.Workers = append(r.Workers, &rig.Worker{
			ID: fmt.Sprintf("i-%d", n), Zone: "z", Kind: "a", Rack: "r1", CPU: 64000, MemMb: 256000, RunTime: rig.Milliseconds, FirstHeartbeat: heartbeat,
		})
	}
	worker := r.Workers[plainWorkers]
	worker.Kind = "b"
	defer r.Stop()
	if err := r.Start(); err != nil {
		fmt.Println(err)
		return rig.ExitNotRun
	}
	time.Sleep(calmTime)
	step := rig.Step{"Count": 1, "Cpu": 1000, "MemMb": 1000, "EstimateMs": 100, "Requires": "b"}
	crashed := make(chan error, 1)
	go func() {
		time.Sleep(firstCrash)
		for range crashes {
			if trouble {
				worker.Crash()
				time.Sleep(downTime)
				if err := worker.Start(); err != nil {
					crashed <- err
					return
				}
			}
			time.Sleep(crashEvery)
		}
		crashed <- nil
	}()
	completed, accepted := 0, 0
	for began := time.Now(); accepted < jobs; accepted++ {
		time.Sleep(time.Until(began.Add(time.Duration(accepted) * submitEvery)))
		if !r.Submit(fmt.Sprintf("%016x", accepted+1), runTime, 5*time.Second, step) {
			return rig.ExitNotRun
		}
	}
	if err := <-crashed; err != nil {
		fmt.Println(err)
		return rig.ExitNotRun
	}
	time.Sleep(watchTime)
	for n := range accepted {
		if r.State(0, fmt.Sprintf("%016x", n+1)) == "completed" {
			completed++
		}
	}
	tasks, runs, done := record.Counts()
	twice := record.Twice()
	text := fmt.Sprintf("%d of %d jobs completed, %d tasks, %d runs, %d done, %d times TWICE", completed, accepted, tasks, runs, done, len(twice))
	record.Printf("%s", text)
	fmt.Println(text)
	for _, line := range twice {
		record.Printf("TWICE: %s", line)
	}
	if len(twice) > 0 {
		fmt.Println("TWICE broken, first:", twice[0])
		return rig.ExitBroken
	}
	if completed < accepted {
		return rig.ExitNotRun
	}
	return rig.ExitHeld
}
