// Command overhead compares the latency of requests that are sent directly to endpoints with that of requests that pass
// through an entry and an agent. Both run at the same time on loopback. It requires the programs in the directory bin,
// which demo.sh builds.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"bamboohook/internal/launcher"
)

const (
	stopTimeout = 20 * time.Second
	vmCount     = 11
)

func main() {
	service := flag.String("service", "preview=1ms/0.1", "service and processing time of the endpoints")
	rate := flag.Int("rate", 2000, "requests per second, for each of the two ways")
	flag.Parse()
	if err := run(*service, *rate); err != nil {
		fmt.Fprintln(os.Stderr, "overhead:", err)
		os.Exit(1)
	}
}

func run(service string, rate int) error {
	outputDir, err := os.MkdirTemp("", "bamboohook-overhead-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(outputDir) }()
	programDir, err := filepath.Abs("bin")
	if err != nil {
		return err
	}
	i := &launcher.Installation{
		Launcher: &launcher.Launcher{ProgramDir: programDir, OutputDir: outputDir}, VMs: vmCount, Entries: 1, Services: []string{service},
	}
	if err := i.ReserveNetwork(); err != nil {
		return err
	}
	defer i.Release(stopTimeout)
	if err := i.StartAll(); err != nil {
		return err
	}
	args := []string{
		"load", "--entry=" + i.EntryCallerAddress(0), "--service=preview:1:2048", fmt.Sprintf("--rate=%d", rate), "--duration=8s", "--warmup=3s",
	}
	for n := range vmCount {
		args = append(args, "--direct="+i.EndpointAddress(n))
	}
	command := exec.Command(filepath.Join(programDir, "bamboohook-standin"), args...)
	command.Stdout, command.Stderr = os.Stdout, os.Stderr
	return command.Run()
}
