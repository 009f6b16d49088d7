// Package cli implements the command-line interface of bamboohook.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// Exit codes of all commands: ExitDone for success, ExitFailed for a failure, ExitUsage for wrong arguments or an invalid file,
// ExitRefused for a request that was rejected without effect, and ExitUnknown if a request may or may not have taken effect.
const (
	ExitDone    = 0
	ExitFailed  = 1
	ExitUsage   = 2
	ExitRefused = 3
	ExitUnknown = 4
)

const description = `Schedules latency-critical requests and batch tasks on shared VMs.

Exit codes: 0 done, 1 failed, 2 wrong use or wrong file, 3 refused without effect, 4 outcome unknown.`

type (
	commands struct {
		Entry      entryCommand      `cmd:"" help:"Run an entry, which callers and operators reach."`
		Agent      agentCommand      `cmd:"" help:"Run an agent, beside an endpoint."`
		Settings   settingsCommand   `cmd:"" help:"Work with settings files."`
		Inventory  inventoryCommand  `cmd:"" help:"Work with inventory files."`
		Publish    publishCommand    `cmd:"" help:"Publish an inventory and rules."`
		Show       showCommand       `cmd:"" help:"Show the configuration in effect."`
		Diff       diffCommand       `cmd:"" help:"Show what publishing a file would change."`
		History    historyCommand    `cmd:"" help:"Show the accepted changes."`
		Fleet      fleetCommand      `cmd:"" help:"Show all VMs."`
		Job        jobCommand        `cmd:"" help:"Submit and follow batch jobs."`
		Timeline   timelineCommand   `cmd:"" help:"Show the events of all processes in causal order."`
		Completion completionCommand `cmd:"" help:"Print a completion script for a shell."`
		Platform   platformCommand   `cmd:"" help:"Run the processes on the users' platform."`
		Version    versionCommand    `cmd:"" help:"Print the version."`
	}

	// session holds the context and the output streams of one command.
	session struct {
		ctx    context.Context
		stdout io.Writer
		stderr io.Writer
	}

	// exitError is an error that sets the exit code of the command. A command that returns another error exits with ExitFailed.
	exitError struct {
		code    int
		message string
	}
)

// Error implements error.
func (e exitError) Error() string { return e.message }

// Run parses args, executes the command that they name and returns its exit code. SIGTERM and SIGINT cancel the context of
// the command.
func Run(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var c commands
	exitCode := -1
	parser, err := kong.New(&c, kong.Name("bamboohook"), kong.Description(description),
		kong.Writers(stdout, stderr), kong.UsageOnError(), kong.Exit(func(code int) { exitCode = code }))
	if err != nil {
		panic("cli: invalid command definition: " + err.Error())
	}
	kongCtx, err := parser.Parse(args)
	if exitCode >= 0 {
		return exitCode
	}
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "bamboohook:", err)
		return ExitUsage
	}
	err = kongCtx.Run(&session{ctx: ctx, stdout: stdout, stderr: stderr})
	if err == nil {
		return ExitDone
	}
	_, _ = fmt.Fprintln(stderr, "bamboohook:", err)
	var exitErr exitError
	if errors.As(err, &exitErr) {
		return exitErr.code
	}
	return ExitFailed
}
