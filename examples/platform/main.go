// Command platform runs jobs through entries and agents on a fake platform on loopback, with faults by flag, and prints a summary.
package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/alecthomas/kong"
	"github.com/rotisserie/eris"

	"bamboohook/internal/standin/estate"
	"bamboohook/internal/standin/instance"
	"bamboohook/internal/standin/metastore"
)

const (
	// netDemo is the second byte of the demo's addresses.
	netDemo = 90
	grace   = 5 * time.Second
	retry   = 300 * time.Millisecond
	poll    = 10 * time.Millisecond
	// milli is what each task takes, in thousandths of a processor.
	milli = 300
	// finish is how long jobs may take after the last was handed in.
	finish  = 30 * time.Second
	longest = int64(time.Minute / time.Microsecond)
)

type (
	options struct {
		Entries  int           `help:"Entries to start." default:"3"`
		VMs      int           `help:"VMs to start, each with an agent and an endpoint." default:"4" name:"vms"`
		Jobs     int           `help:"Jobs to hand in." default:"50"`
		Every    time.Duration `help:"Time between two jobs." default:"80ms"`
		Tasks    int           `help:"Tasks in each of a job's two steps." default:"3"`
		Length   time.Duration `help:"Time of one task." default:"150ms"`
		Fault    string        `help:"What fails in the middle: none, owner-killed, owner-frozen, agent-killed, endpoint-replaced, late-orders, store-silent, store-lost." enum:"none,owner-killed,owner-frozen,agent-killed,endpoint-replaced,late-orders,store-silent,store-lost" default:"none"`
		FaultFor time.Duration `help:"How long the fault lasts." default:"1500ms"`
		Keep     bool          `help:"Keep the folder with the logs and print its name."`
	}

	// tally is what became of the jobs.
	tally struct {
		mutex              sync.Mutex
		accepted, refused  int
		completed, missing int
		acceptance, whole  *hdrhistogram.Histogram
	}
)

func main() {
	var o options
	kong.Parse(&o, kong.Description("Runs jobs through entries and agents on a fake platform on loopback."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := run(ctx, o); err != nil {
		fmt.Fprintln(os.Stderr, "platform:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, o options) error {
	folder, err := os.MkdirTemp("", "bamboohook-platform-")
	if err != nil {
		return eris.Wrap(err, "cannot make a folder")
	}
	if !o.Keep {
		defer func() { _ = os.RemoveAll(folder) }()
	}
	programs := filepath.Join(folder, "bin")
	if output, err := exec.CommandContext(ctx, "go", "build", "-o", programs+"/", "bamboohook/cmd/...").CombinedOutput(); err != nil {
		return eris.Wrapf(err, "cannot build the programs: %s", output)
	}
	e := &estate.Installation{ProgramDir: programs, OutputDir: folder, Subnet: netDemo, Entries: o.Entries, VMs: o.VMs, Grace: grace}
	defer e.Stop()
	begun := time.Now()
	if err := e.Start(ctx); err != nil {
		return err
	}
	fmt.Printf("%d entries and %d VMs are ready after %s\n", o.Entries, o.VMs, time.Since(begun).Round(time.Millisecond))
	t := &tally{acceptance: hdrhistogram.New(1, longest, 2), whole: hdrhistogram.New(1, longest, 2)}
	var group sync.WaitGroup
	for n := range o.Jobs {
		group.Go(func() { t.play(ctx, e, o, n) })
		if n == o.Jobs/3 {
			group.Go(func() { fail(e, o) })
		}
		time.Sleep(o.Every)
	}
	group.Wait()
	t.print(e, o)
	if o.Keep {
		fmt.Println("logs are in", folder)
	}
	return nil
}

// play hands one job in, repeating the call as callers do, and waits for its end.
func (t *tally) play(ctx context.Context, e *estate.Installation, o options, n int) {
	id := fmt.Sprintf("%016x", n+1)
	begun := time.Now()
	accepted := false
	for try := 0; !accepted && time.Since(begun) < finish && ctx.Err() == nil; try++ {
		accepted = e.Submit(ctx, (n+try)%o.Entries, id, o.Length, estate.Step{Tasks: o.Tasks, MilliProcessors: milli},
			estate.Step{Tasks: o.Tasks, MilliProcessors: milli, After: []int{0}})
		if !accepted {
			time.Sleep(retry)
		}
	}
	t.mutex.Lock()
	if !accepted {
		t.refused++
		t.mutex.Unlock()
		return
	}
	t.accepted++
	_ = t.acceptance.RecordValue(min(time.Since(begun).Microseconds(), longest))
	t.mutex.Unlock()
	for end := time.Now().Add(finish); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(poll) {
		if e.State(ctx, n%o.Entries, id) == "completed" {
			t.mutex.Lock()
			t.completed++
			_ = t.whole.RecordValue(min(time.Since(begun).Microseconds(), longest))
			t.mutex.Unlock()
			return
		}
	}
	t.mutex.Lock()
	t.missing++
	t.mutex.Unlock()
}

// fail brings the fault about and ends it.
func fail(e *estate.Installation, o options) {
	owner := e.Owner()
	if o.Fault != "none" {
		fmt.Printf("fault: %s for %s (the owner is entry %d)\n", o.Fault, o.FaultFor, owner)
	}
	switch o.Fault {
	case "owner-killed":
		e.Process(estate.EntryName(owner)).Kill()
		time.Sleep(o.FaultFor)
		report(e.StartProcess(estate.EntryName(owner)))
	case "owner-frozen":
		e.Process(estate.EntryName(owner)).Signal(syscall.SIGSTOP)
		time.Sleep(o.FaultFor)
		e.Process(estate.EntryName(owner)).Signal(syscall.SIGCONT)
	case "agent-killed":
		e.Process(estate.AgentName(0)).Kill()
		time.Sleep(o.FaultFor)
		report(e.StartProcess(estate.AgentName(0)))
	case "endpoint-replaced":
		e.Instances[0].Kill()
		time.Sleep(o.FaultFor)
		e.Instances[0].Restart()
	case "late-orders":
		late(e.Instances, 0.2)
		time.Sleep(o.FaultFor)
		late(e.Instances, 0)
	case "store-silent", "store-lost":
		e.Store.SetFault("", map[string]string{"store-silent": metastore.FaultUnresponsive, "store-lost": metastore.FaultResponseLost}[o.Fault])
		time.Sleep(o.FaultFor)
		e.Store.SetFault("", "")
	}
}

func late(instances []*instance.Instance, share float64) {
	for _, i := range instances {
		i.DelayStarts(share)
	}
}

func report(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "platform:", err)
	}
}

func (t *tally) print(e *estate.Installation, o options) {
	ends := map[string]int{}
	for _, event := range e.Events() {
		ends[event.Kind]++
	}
	fmt.Printf("jobs: %d handed in, %d accepted, %d refused for good, %d completed, %d not completed\n", o.Jobs, t.accepted, t.refused, t.completed, t.missing)
	fmt.Printf("runs: %d started, %d done, %d stopped, %d lapsed, %d ended with their endpoint (%d tasks)\n",
		ends["start"], ends["done"], ends["stopped"], ends["lapsed"], ends["crash"], 2*o.Tasks*o.Jobs)
	for _, h := range []struct {
		name string
		h    *hdrhistogram.Histogram
	}{{"accepted after", t.acceptance}, {"completed after", t.whole}} {
		fmt.Printf("%-16s p50 %4d ms, p90 %4d ms, p99 %4d ms, most %4d ms\n", h.name, h.h.ValueAtQuantile(50)/1000, h.h.ValueAtQuantile(90)/1000,
			h.h.ValueAtQuantile(99)/1000, h.h.Max()/1000)
	}
}
