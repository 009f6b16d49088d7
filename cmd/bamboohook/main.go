// Command bamboohook runs the processes of the scheduler, which are entries and agents, and provides the commands for operators and
// callers.
package main

import (
	"os"

	"bamboohook/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
