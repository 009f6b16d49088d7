// Command review-third plays the script cases of the third review. Its arguments are the number of the case, the program of the deploy file and the file for the record.
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"bamboohook/review/third/internal/installation"
)

// cases holds the cases by number. Each returns what broke the rule, or "". trouble reports whether the disruption happens.
var cases = map[string]func(ctx context.Context, i *installation.Installation, trouble bool) (string, error){
	"11": playTakeover,
	"12": playStarvedGang,
	"13": playAbsentTasks,
	"14": playLateDeregistration,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-third CASE PROGRAM RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(number, program, recordFile string) int {
	record, err := os.Create(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = record.Close() }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	i := &installation.Installation{Entries: 3, Workers: 11, Program: program, Record: record}
	defer i.Stop()
	// run.sh ends a script that takes too long with SIGTERM. Its processes must not outlive it.
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		i.Stop()
		os.Exit(2)
	}()
	broken, err := cases[number](ctx, i, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		i.Note("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken != "":
		i.Note("the rule was broken: %s", broken)
		fmt.Println("broken:", broken)
		return 1
	}
	i.Note("the rule held")
	fmt.Println("held")
	return 0
}
