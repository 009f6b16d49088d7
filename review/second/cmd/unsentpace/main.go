// Command unsentpace kills and restarts the agent of a worker where a task that fills runs beside one that serves, lets the load of the serving tasks rise
// meanwhile, and checks that the task that fills does not go on disturbing the other.
package main

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"bamboohook/review/second/internal/rig"
)

const (
	entries = 3
	workers = 4
	// The tail latency of a serving task is idleMs divided by the share of its time that neither its own load nor the tasks that fill take.
	idleMs, targetMs  = 4.0, 20
	lowLoad, highLoad = 0.2, 0.79
	// disturbance is the share that a task that fills takes at full pace.
	disturbance, maxBusy = 0.1, 0.98
	servingSpec          = "3600000"
	fillingTime          = 60 * time.Second
	// The load is low for calmTime, in which a fifth of the tasks that fill is done. The agent is down for downTime.
	calmTime = 15 * time.Second
	// The load rises riseAfter after its end.
	downTime  = 2500 * time.Millisecond
	riseAfter = time.Second
	// After contactTime, the agent is in touch again. harmTime is HarmMs.
	contactTime = 3 * time.Second
	harmTime    = 4 * time.Second
	watchTime   = 9 * time.Second
	pollPause   = 10 * time.Millisecond
)

func main() {
	program := flag.String("program", "target/bamboohook", "the program of the deploy file")
	path := flag.String("record", "record.txt", "the record")
	flag.Parse()
	os.Exit(run(*program, *path, os.Getenv("TROUBLE") != "0"))
}

// latency returns the tail latency of a serving task beside the runs, with or without the disturbance by the tasks that fill.
func latency(load float64, runs []rig.RunState, disturbed bool) float64 {
	busy := load
	for _, x := range runs {
		if x.Spec != servingSpec && disturbed {
			busy += disturbance * float64(x.Pace) / 100
		}
	}
	return idleMs / (1 - min(busy, maxBusy))
}

func isServing(x rig.RunState) bool { return x.Spec == servingSpec }

// fillingPace returns the highest pace of a task that fills, and -1 without one.
func fillingPace(runs []rig.RunState) int {
	pace := -1
	for _, x := range runs {
		if !isServing(x) {
			pace = max(pace, x.Pace)
		}
	}
	return pace
}

func run(program, path string, trouble bool) int {
	record, err := rig.NewRecord(path)
	if err != nil {
		fmt.Println(err)
		return rig.ExitNotRun
	}
	defer func() { _ = record.Close() }()
	r := &rig.Rig{Program: program, Entries: entries, Record: record}
	var isHigh atomic.Bool
	load := func() float64 {
		if isHigh.Load() {
			return highLoad
		}
		return lowLoad
	}
	for n := range workers {
		w := &rig.Worker{ID: fmt.Sprintf("i-%d", n), Zone: "z", Kind: "a", Rack: "r1", CPU: 64000, MemMb: 256000, RunTime: rig.Milliseconds}
		w.Measure = func(runs []rig.RunState) map[string]int {
			figures := map[string]int{}
			for _, x := range runs {
				figures[x.Task] = 7000 * x.Pace / 100
				if isServing(x) {
					figures[x.Task] = int(latency(load(), runs, true))
				}
			}
			return figures
		}
		r.Workers = append(r.Workers, w)
	}
	defer r.Stop()
	if err := r.Start(); err != nil {
		fmt.Println(err)
		return rig.ExitNotRun
	}
	time.Sleep(2 * time.Second)
	serving := rig.Step{"Count": workers, "Cpu": 13000, "MemMb": 4000, "EstimateMs": 500, "LongRunning": true, "Image": "serve", "TargetMs": targetMs, "AntiAffinity": 1}
	filling := rig.Step{"Count": workers, "Cpu": 7000, "MemMb": 4000, "EstimateMs": fillingTime.Milliseconds(), "Fills": true, "Image": "fill", "AntiAffinity": 1}
	if !r.Submit("00000000000000a1", servingSpec, 5*time.Second, serving) {
		return rig.ExitNotRun
	}
	time.Sleep(2 * time.Second)
	if !r.Submit("00000000000000a2", strconv.FormatInt(fillingTime.Milliseconds(), 10), 5*time.Second, filling) {
		return rig.ExitNotRun
	}
	time.Sleep(calmTime)
	worker, agent := r.Workers[0], rig.AgentName(0)
	if runs := worker.States(); len(runs) != 2 || fillingPace(runs) <= 0 {
		fmt.Println("the worker does not run a task of each kind:", runs)
		return rig.ExitNotRun
	}
	if trouble {
		r.Kill(agent)
	}
	time.Sleep(riseAfter)
	isHigh.Store(true)
	record.Printf("the load of the serving tasks rises")
	time.Sleep(downTime - riseAfter)
	if trouble {
		if err := r.StartProcess(agent); err != nil {
			fmt.Println(err)
			return rig.ExitNotRun
		}
	}
	time.Sleep(contactTime)
	record.Printf("the agent counts as in touch; pace %d", fillingPace(worker.States()))
	var overSince time.Time
	longest, lastPace := time.Duration(0), 0
	for watchedFrom := time.Now(); time.Since(watchedFrom) < watchTime; time.Sleep(pollPause) {
		runs := worker.States()
		lastPace = fillingPace(runs)
		if lastPace <= 0 || latency(load(), runs, true) <= targetMs || latency(load(), runs, false) > targetMs {
			overSince = time.Time{}
			continue
		}
		if overSince.IsZero() {
			overSince = time.Now()
		}
		longest = max(longest, time.Since(overSince))
	}
	text := fmt.Sprintf("serving task over its target for %s on end because of the task that fills, at pace %d; alone it would take %.1f ms of %d",
		longest.Round(time.Millisecond), lastPace, latency(highLoad, nil, false), targetMs)
	record.Printf("%s", text)
	fmt.Println(text)
	if longest > harmTime {
		fmt.Println("HARM broken")
		return rig.ExitBroken
	}
	return rig.ExitHeld
}
