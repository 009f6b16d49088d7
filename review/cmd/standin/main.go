// Command standin plays one case of the review. It exits with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the
// case could not run.
package main

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/BurntSushi/toml"

	"bamboohook/review/internal/rig"
)

const (
	exitHeld = iota
	exitBroken
	exitNotRun
	// caseTimeout is the longest time that a case may take.
	caseTimeout = 110 * time.Second
	deployFile  = "deploy/system.toml"
)

// play is one case. It returns whether the rule was broken. trouble is false if the disruption is to be left out.
type play func(ctx context.Context, i *rig.Installation, trouble bool) (broken bool, err error)

// plays holds the cases by name.
var plays = map[string]play{
	"lasting-task": lastingTask,
	"advice":       advice,
	"advice-burst": adviceBurst,
	"large-record": largeRecord,
	"cancelled":    cancelled,
}

func main() { os.Exit(run()) }

// run plays the case that the first argument names. The second argument is the file for the record. It runs in the root of the repository.
func run() int {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return exitNotRun
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, caseTimeout)
	defer cancel()
	broken, err := runCase(ctx, os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitNotRun
	case broken:
		fmt.Println("the rule was broken")
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}

func runCase(ctx context.Context, name, recordFile string, trouble bool) (broken bool, err error) {
	commands, err := deployCommands()
	if err != nil {
		return false, err
	}
	file, err := os.Create(recordFile)
	if err != nil {
		return false, err
	}
	defer func() { _ = file.Close() }()
	writer := bufio.NewWriter(file)
	defer func() { _ = writer.Flush() }()
	folder, err := os.MkdirTemp("", "bamboohook-review-")
	if err != nil {
		return false, err
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(folder) }()
	}
	i := &rig.Installation{Commands: commands, Folder: folder, Record: rig.NewRecord(writer), Entries: 3}
	defer i.Stop()
	i.Record.Printf("case %s, trouble %t", name, trouble)
	broken, err = plays[name](ctx, i, trouble)
	if err == nil {
		err = ctx.Err()
	}
	i.Record.Printf("the rule was broken: %t, error: %v", broken, err)
	return broken, err
}

// deployCommands returns the command lines of the roles in the deploy file.
func deployCommands() (map[string]string, error) {
	var deploy struct {
		Roles map[string]struct{ Run string }
	}
	if _, err := toml.DecodeFile(filepath.FromSlash(deployFile), &deploy); err != nil {
		return nil, err
	}
	commands := map[string]string{}
	for name, role := range deploy.Roles {
		commands[name] = role.Run
	}
	return commands, nil
}

// await polls a condition until it holds or the time is over, and returns whether it held.
func await(ctx context.Context, limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); ctx.Err() == nil && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// running returns the number of runs of the tasks of a job.
func running(i *rig.Installation, job string) int {
	count := 0
	for _, e := range i.Record.Events(job) {
		if e.Kind == "start" {
			count++
		} else {
			count--
		}
	}
	return count
}
