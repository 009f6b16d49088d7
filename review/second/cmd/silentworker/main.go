// Command silentworker loses a worker for good, in such a way that its address is silent, and checks that the tasks which ran there run elsewhere.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"bamboohook/review/second/internal/rig"
)

const (
	entries = 3
	workers = 8
	// jobs are handed in, each with as many tasks as there are workers. The tasks take runTime.
	jobs    = 3
	runTime = "3000"
	// finishTime is finish_s, idleTime the time for which a job may have nothing running.
	finishTime = 14 * time.Second
	idleTime   = 3 * time.Second
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
	for n := range workers {
		r.Workers = append(r.Workers, &rig.Worker{ID: fmt.Sprintf("i-%d", n), Zone: "z", Kind: "a", Rack: "r1", CPU: 64000, MemMb: 256000, RunTime: rig.Milliseconds})
	}
	defer r.Stop()
	if err := r.Start(); err != nil {
		fmt.Println(err)
		return rig.ExitNotRun
	}
	time.Sleep(2 * time.Second)
	var ids []string
	for n := range jobs {
		id := fmt.Sprintf("%016x", n+1)
		if !r.Submit(id, runTime, 5*time.Second, rig.Step{"Count": workers, "Cpu": 1000, "MemMb": 1000, "EstimateMs": 3000}) {
			fmt.Println("a job was not accepted")
			return rig.ExitNotRun
		}
		ids = append(ids, id)
	}
	time.Sleep(time.Second)
	if running := r.Workers[0].Running(); running < 1 {
		fmt.Println("no task runs at the worker")
		return rig.ExitNotRun
	}
	if trouble {
		r.Workers[0].Silence()
	}
	time.Sleep(3*time.Second + finishTime)
	_, runsBefore, _ := record.Counts()
	running := 0
	for _, w := range r.Workers {
		running += w.Running()
	}
	time.Sleep(idleTime)
	completed := 0
	for _, id := range ids {
		if r.State(0, id) == "completed" {
			completed++
		}
	}
	tasks, runs, done := record.Counts()
	text := fmt.Sprintf("%d of %d jobs completed, %d tasks, %d runs, %d done", completed, jobs, tasks, runs, done)
	record.Printf("%s", text)
	fmt.Println(text)
	if completed < jobs {
		if running > 0 || runs > runsBefore {
			fmt.Println("the jobs are still at work")
			return rig.ExitNotRun
		}
		fmt.Println("LOST broken: tasks of the lost worker do not run again, although the other workers are empty")
		return rig.ExitBroken
	}
	return rig.ExitHeld
}
