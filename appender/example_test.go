package appender_test

import (
	"context"
	"fmt"

	"bamboohook/appender"
	"bamboohook/internal/standin/logservice"
	"bamboohook/stream"

	"github.com/jonboulle/clockwork"
)

func Example() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	// The log service drops the response to the first append. The appender finds the batch in the stream.
	log := logservice.NewStore(logservice.Options{Faults: logservice.Faults{DropResponses: 1}})
	a := appender.New(appender.Options{Log: log, Clock: clockwork.NewRealClock(), Stream: "configuration", Writer: "entry-1/4f2a"})
	go a.Run(ctx)
	result := a.Append(ctx, stream.NewRecord("note", "hello"))
	fmt.Println(result.Outcome, result.Offset, log.Counters().Appends)
	// Output: appended 1 1
}
