package main

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"bamboohook/internal/standin/worker"
	"bamboohook/resource"
)

type workerCommand struct {
	Address       string        `help:"IP address and port to listen on." default:"127.0.0.1:7401"`
	Processors    float64       `help:"Processors of the VM." default:"64"`
	MemoryGB      int64         `help:"Memory of the VM in GB." default:"250" name:"memory-gb"`
	Accelerators  int64         `help:"Accelerators of the VM."`
	UsageLag      time.Duration `help:"Age of the reported usage." default:"5s"`
	SizeFactor    float64       `help:"True size relative to the declared." default:"1"`
	RunTimeFactor float64       `help:"True run time relative to the declared." default:"1"`
	Seed          uint64        `help:"Seed of dropped answers." default:"1"`
	Slow          time.Duration `help:"Fault: delay of every answer."`
	Down          bool          `help:"Fault: close every connection without effect."`
	DropRate      float64       `help:"Fault: share of calls, from 0 to 1, whose answer is dropped after they took effect."`
	FailStarts    bool          `help:"Fault: every started task fails at once."`
}

// Run runs the stand-in for the worker interface of a VM until ctx is done.
func (c *workerCommand) Run(ctx context.Context, logger zerolog.Logger) error {
	w := worker.New(worker.Options{
		Capacity: resource.Amount{
			MilliProcessors: int64(c.Processors * 1000), MemoryBytes: c.MemoryGB * 1_000_000_000, Accelerators: c.Accelerators,
		},
		UsageLag: c.UsageLag, SizeFactor: c.SizeFactor, RunTimeFactor: c.RunTimeFactor, Seed: c.Seed,
	})
	w.SetFaults(worker.Faults{Slow: c.Slow, Down: c.Down, DropRate: c.DropRate, FailStarts: c.FailStarts})
	return serve(ctx, logger, c.Address, w.Handler())
}
