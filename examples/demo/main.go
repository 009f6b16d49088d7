// Command demo starts a small installation as separate processes on loopback, sends requests through it, runs a batch
// job and prints the results. It stops every process that it started.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"bamboohook/internal/launcher"
	"bamboohook/internal/message"
)

const (
	processTimeout = 15 * time.Second
	requestCount   = 20

	// otherSections holds the sections of the inventory that are published in addition to those of the VMs.
	otherSections = `[service.preview]
urgency = urgent
share = 60%
[service.road-check]
urgency = urgent
share = 40%
[team.design]
processors = 100
[kind.face-build]
processors = 2
memory = 1GiB
run-time = 2s
attempts = 3
[rule.parish-festival]
kinds = face-build
importance = 80
days = fri-sat
`
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func run() error {
	outputDir, err := os.MkdirTemp("", "bamboohook-demo-")
	if err != nil {
		return err
	}
	programDir, err := filepath.Abs("bin")
	if err != nil {
		return err
	}
	i := &launcher.Installation{
		Launcher: &launcher.Launcher{ProgramDir: programDir, OutputDir: outputDir}, VMs: 3, Entries: 2,
		Services: []string{"preview=2ms/0.3", "road-check=2ms/0.3"},
	}
	if err := i.ReserveNetwork(); err != nil {
		return err
	}
	defer i.Release(processTimeout)
	fmt.Println("starting the processes; their output is in", outputDir)
	if err := i.StartAll(); err != nil {
		return err
	}
	if err := publish(i); err != nil {
		return err
	}
	if err := sendRequests(i); err != nil {
		return err
	}
	if err := runJob(i); err != nil {
		return err
	}
	return summarize(i, filepath.Join(outputDir, "timeline.html"))
}

// publish writes an inventory file with the VMs and otherSections and publishes it.
func publish(i *launcher.Installation) error {
	file, err := i.WriteInventory(otherSections)
	if err != nil {
		return err
	}
	verdict, err := i.RunCommand("publish", "--operator="+i.EntryOperatorAddress(0), "--author=demo", file)
	fmt.Print("inventory ", verdict)
	return err
}

// runJob submits a batch job and prints its progress until it ends.
func runJob(i *launcher.Installation) error {
	caller := "--caller=" + i.EntryCallerAddress(0)
	submitOutput, err := i.RunCommand("job", "submit", caller, "--id=faces-1", "--team=design", "--kind=face-build",
		"--tasks=6", "--processors=2", "--memory=1", "--run-time=2s")
	if err != nil {
		return err
	}
	fmt.Print(submitOutput)
	progress, err := i.RunCommand("job", "watch", caller, "faces-1")
	fmt.Print(progress)
	return err
}

// summarize prints the state of the fleet and writes a timeline of the events of all processes to an HTML file.
func summarize(i *launcher.Installation, file string) error {
	operator := "--operator=" + i.EntryOperatorAddress(0)
	fleet, err := i.RunCommand("fleet", operator)
	if err != nil {
		return err
	}
	fmt.Print(fleet)
	if _, err := i.RunCommand("timeline", operator, "--output=html", "--file="+file); err != nil {
		return err
	}
	fmt.Println("the timeline of all processes is in", file)
	return nil
}

// sendRequests sends requests to the services preview and road-check in turn, alternating between the entries, and
// prints how many succeeded.
func sendRequests(i *launcher.Installation) error {
	for n := range i.Entries {
		if err := launcher.Await("the first response from "+i.EntryName(n), processTimeout, func() bool {
			status, _ := launcher.Get(i.EntryCallerAddress(n), "/v1/services/preview/face-1")
			return status == 200
		}); err != nil {
			return err
		}
	}
	succeeded := 0
	startTime := time.Now()
	for n := range requestCount {
		path := []string{"/v1/services/preview/face-7?size=2048", "/v1/services/road-check/caroni-3"}[n%2]
		status, body := launcher.Get(i.EntryCallerAddress(n%i.Entries), path)
		if status == 200 {
			succeeded++
		} else {
			fmt.Println("request failed with status", status, strings.TrimSpace(body))
		}
	}
	fmt.Printf("requests: %d of %d %s in %s\n", succeeded, requestCount, message.OutcomeDone, time.Since(startTime).Round(time.Millisecond))
	if succeeded != requestCount {
		return fmt.Errorf("%d requests failed", requestCount-succeeded)
	}
	return nil
}
