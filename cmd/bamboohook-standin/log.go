package main

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"bamboohook/internal/standin/logservice"
)

type logCommand struct {
	Address          string        `help:"IP address and port to listen on." default:"127.0.0.1:7000"`
	Retention        time.Duration `help:"Age beyond which entries are dropped." default:"1h"`
	RetentionEntries int           `help:"Entries kept in each stream." default:"100000"`
	Delay            time.Duration `help:"Fault: delay of every answer."`
	Down             bool          `help:"Fault: fail every append and read."`
	DropRate         float64       `help:"Fault: share of appends, from 0 to 1, whose answer is dropped after they took effect."`
	Seed             uint64        `help:"Seed of dropped answers." default:"1"`
}

// Run runs the stand-in for the log service until ctx is done.
func (c *logCommand) Run(ctx context.Context, logger zerolog.Logger) error {
	s := logservice.New(logservice.Options{
		Retention: c.Retention, RetentionEntries: c.RetentionEntries,
		Faults: logservice.Faults{Delay: c.Delay, Down: c.Down, ResponseDropProbability: c.DropRate, Seed: c.Seed},
	})
	return serve(ctx, logger, c.Address, s.Handler())
}
