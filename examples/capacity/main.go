// Command capacity measures how the cost of the processes grows with the size of an installation, fits a line to each
// series of measurements and projects the cost at the size that the constants in fleet.go describe. Each argument names
// a section of measurements to run. Without arguments, all sections run, which takes under 3 minutes, and the projection
// is printed. Only the section "processes" starts other processes, and it stops them before it ends.
package main

import (
	"fmt"
	"os"
	"slices"
	"time"
)

// measurementSections lists the sections in the order in which they run. The projection runs after all of them because
// it needs their fits.
var measurementSections = []struct {
	name string
	run  func(*report) error
}{
	{"heartbeat", measureHeartbeats},
	{"owner", measureOwner},
	{"records", measureRecords},
	{"append", measureAppends},
	{"configuration", measureConfiguration},
	{"memory", measureMemory},
	{"processes", measureProcesses},
}

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func run(selected []string) error {
	for _, name := range selected {
		if !slices.ContainsFunc(measurementSections, func(s struct {
			name string
			run  func(*report) error
		},
		) bool {
			return s.name == name
		}) {
			return fmt.Errorf("unknown section %q; the sections are heartbeat, owner, records, append, configuration, memory and processes", name)
		}
	}
	r := &report{fits: map[string]linearFit{}}
	for _, s := range measurementSections {
		if len(selected) > 0 && !slices.Contains(selected, s.name) {
			continue
		}
		startTime := time.Now()
		r.section = s.name
		fmt.Printf("\n## %s\n\n| line | driver (sizes) | values | unit | intercept | slope | residual |\n| --- | --- | --- | --- | --- | --- | --- |\n", s.name)
		if err := s.run(r); err != nil {
			return err
		}
		fmt.Printf("\n`go run ./examples/capacity %s`, %s\n", s.name, time.Since(startTime).Round(time.Second))
	}
	if len(selected) == 0 {
		r.project()
	}
	return nil
}
