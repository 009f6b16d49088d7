// Command manyends kills and restarts the agent of a worker that has more ended runs to list than it lists at a time, and checks that no task
// starts again after it was done.
package main

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"time"

	"bamboohook/review/second/internal/rig"
)

const (
	entries      = 3
	plainWorkers = 3
	jobs         = 16
	tasksPerJob  = 60
	submitEvery  = 120 * time.Millisecond
	// All tasks end together, at endAt after the first submission. The agent is killed at killAt and started again downTime later, while the leases last.
	endAt    = 6 * time.Second
	killAt   = 4500 * time.Millisecond
	downTime = 2 * time.Second
	waitTime = 15 * time.Second
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
		w := &rig.Worker{ID: fmt.Sprintf("i-%d", n), Zone: "z", Kind: "a", Rack: "r1", CPU: 64000, MemMb: 256000, RunTime: rig.Milliseconds}
		if n == plainWorkers {
			w.Kind = "b"
		}
		r.Workers = append(r.Workers, w)
	}
	defer r.Stop()
	if err := r.Start(); err != nil {
		fmt.Println(err)
		return rig.ExitNotRun
	}
	time.Sleep(2 * time.Second)
	began := time.Now()
	var ids []string
	for n := range jobs {
		time.Sleep(time.Until(began.Add(time.Duration(n) * submitEvery)))
		id, left := fmt.Sprintf("%016x", n+1), time.Until(began.Add(endAt)).Milliseconds()
		step := rig.Step{"Count": tasksPerJob, "Cpu": 50, "MemMb": 64, "EstimateMs": left, "Requires": "b"}
		if !r.Submit(id, strconv.FormatInt(left, 10), 2*time.Second, step) {
			fmt.Println("a job was not accepted")
			return rig.ExitNotRun
		}
		ids = append(ids, id)
	}
	time.Sleep(time.Until(began.Add(killAt)))
	running := r.Workers[plainWorkers].Running()
	record.Printf("%d tasks run at worker %s", running, r.Workers[plainWorkers].ID)
	if running < jobs*tasksPerJob {
		fmt.Println("only", running, "tasks run")
		return rig.ExitNotRun
	}
	agent := rig.AgentName(plainWorkers)
	if trouble {
		r.Kill(agent)
		time.Sleep(downTime)
		if err := r.StartProcess(agent); err != nil {
			fmt.Println(err)
			return rig.ExitNotRun
		}
	}
	completed := 0
	for deadline := time.Now().Add(waitTime); completed < len(ids) && time.Now().Before(deadline); time.Sleep(time.Second) {
		completed = 0
		for _, id := range ids {
			if r.State(0, id) == "completed" {
				completed++
			}
		}
	}
	tasks, runs, done := record.Counts()
	fmt.Printf("%d of %d jobs completed, %d tasks, %d runs, %d done\n", completed, len(ids), tasks, runs, done)
	twice := record.Twice()
	record.Printf("%d of %d jobs completed, %d tasks, %d runs, %d done, %d times TWICE", completed, len(ids), tasks, runs, done, len(twice))
	for _, text := range twice {
		record.Printf("TWICE: %s", text)
	}
	if len(twice) > 0 {
		fmt.Printf("TWICE broken %d times, first: %s\n", len(twice), twice[0])
		return rig.ExitBroken
	}
	if completed < len(ids) {
		fmt.Println("not all jobs completed; TWICE held")
		return rig.ExitNotRun
	}
	return rig.ExitHeld
}
