// Command platform runs jobs through entries and agents on a simulated platform on loopback. It can inject a fault, which
// is chosen by a flag, and prints a summary.
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
	// subnetByte is the second byte of all addresses of the installation.
	subnetByte       = 90
	stopTimeout      = 5 * time.Second
	submitRetryDelay = 300 * time.Millisecond
	pollInterval     = 10 * time.Millisecond
	// taskMilliProcessors is the size of each task in thousandths of a processor.
	taskMilliProcessors = 300
	// jobTimeout limits the time until a job is accepted, and again the time from then until it completes.
	jobTimeout             = 30 * time.Second
	maxLatencyMicroseconds = int64(time.Minute / time.Microsecond)
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

	// summary counts the outcomes of the jobs and records their latencies in microseconds. The jobs
	// counted by notAccepted were not accepted within jobTimeout or before the program was interrupted. An incomplete job
	// was accepted but did not complete in time.
	summary struct {
		mutex                          sync.Mutex
		accepted, notAccepted          int
		completed, incomplete          int
		acceptLatency, completeLatency *hdrhistogram.Histogram
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
	outputDir, err := os.MkdirTemp("", "bamboohook-platform-")
	if err != nil {
		return eris.Wrap(err, "cannot create the output directory")
	}
	if !o.Keep {
		defer func() { _ = os.RemoveAll(outputDir) }()
	}
	programDir := filepath.Join(outputDir, "bin")
	if output, err := exec.CommandContext(ctx, "go", "build", "-o", programDir+"/", "bamboohook/cmd/...").CombinedOutput(); err != nil {
		return eris.Wrapf(err, "cannot build the programs: %s", output)
	}
	e := &estate.Installation{ProgramDir: programDir, OutputDir: outputDir, Subnet: subnetByte, Entries: o.Entries, VMs: o.VMs, Grace: stopTimeout}
	defer e.Stop()
	startTime := time.Now()
	if err := e.Start(ctx); err != nil {
		return err
	}
	fmt.Printf("%d entries and %d VMs are ready after %s\n", o.Entries, o.VMs, time.Since(startTime).Round(time.Millisecond))
	s := &summary{acceptLatency: hdrhistogram.New(1, maxLatencyMicroseconds, 2), completeLatency: hdrhistogram.New(1, maxLatencyMicroseconds, 2)}
	var group sync.WaitGroup
	for n := range o.Jobs {
		group.Go(func() { s.runJob(ctx, e, o, n) })
		if n == o.Jobs/3 {
			group.Go(func() { injectFault(e, o) })
		}
		time.Sleep(o.Every)
	}
	group.Wait()
	s.print(e, o)
	if o.Keep {
		fmt.Println("logs are in", outputDir)
	}
	return nil
}

// runJob submits one job and waits until it completes. Like a real caller it repeats the submission, each time at another
// entry, until the job is accepted.
func (s *summary) runJob(ctx context.Context, e *estate.Installation, o options, n int) {
	id := fmt.Sprintf("%016x", n+1)
	startTime := time.Now()
	accepted := false
	for attempt := 0; !accepted && time.Since(startTime) < jobTimeout && ctx.Err() == nil; attempt++ {
		accepted = e.Submit(ctx, (n+attempt)%o.Entries, id, o.Length, estate.Step{Tasks: o.Tasks, MilliProcessors: taskMilliProcessors},
			estate.Step{Tasks: o.Tasks, MilliProcessors: taskMilliProcessors, After: []int{0}})
		if !accepted {
			time.Sleep(submitRetryDelay)
		}
	}
	s.mutex.Lock()
	if !accepted {
		s.notAccepted++
		s.mutex.Unlock()
		return
	}
	s.accepted++
	_ = s.acceptLatency.RecordValue(min(time.Since(startTime).Microseconds(), maxLatencyMicroseconds))
	s.mutex.Unlock()
	for deadline := time.Now().Add(jobTimeout); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(pollInterval) {
		if e.State(ctx, n%o.Entries, id) == "completed" {
			s.mutex.Lock()
			s.completed++
			_ = s.completeLatency.RecordValue(min(time.Since(startTime).Microseconds(), maxLatencyMicroseconds))
			s.mutex.Unlock()
			return
		}
	}
	s.mutex.Lock()
	s.incomplete++
	s.mutex.Unlock()
}

// injectFault causes the fault given in the options and removes it after FaultFor.
func injectFault(e *estate.Installation, o options) {
	owner := e.JobsOwner()
	if o.Fault != "none" {
		fmt.Printf("fault: %s for %s (the owner is entry %d)\n", o.Fault, o.FaultFor, owner)
	}
	switch o.Fault {
	case "owner-killed":
		e.Process(estate.EntryName(owner)).Kill()
		time.Sleep(o.FaultFor)
		printError(e.StartProcess(estate.EntryName(owner)))
	case "owner-frozen":
		e.Process(estate.EntryName(owner)).Signal(syscall.SIGSTOP)
		time.Sleep(o.FaultFor)
		e.Process(estate.EntryName(owner)).Signal(syscall.SIGCONT)
	case "agent-killed":
		e.Process(estate.AgentName(0)).Kill()
		time.Sleep(o.FaultFor)
		printError(e.StartProcess(estate.AgentName(0)))
	case "endpoint-replaced":
		e.Instances[0].Kill()
		time.Sleep(o.FaultFor)
		e.Instances[0].Restart()
	case "late-orders":
		delayStarts(e.Instances, 0.2)
		time.Sleep(o.FaultFor)
		delayStarts(e.Instances, 0)
	case "store-silent", "store-lost":
		e.Store.SetFault("", map[string]string{"store-silent": metastore.FaultUnresponsive, "store-lost": metastore.FaultResponseLost}[o.Fault])
		time.Sleep(o.FaultFor)
		e.Store.SetFault("", "")
	}
}

// delayStarts makes the instances execute the given share of the starts 1 to 4 seconds later and send no response to
// them.
func delayStarts(instances []*instance.Instance, share float64) {
	for _, i := range instances {
		i.DelayStarts(share)
	}
}

func printError(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "platform:", err)
	}
}

func (s *summary) print(e *estate.Installation, o options) {
	eventCounts := map[string]int{}
	for _, event := range e.Events() {
		eventCounts[event.Kind]++
	}
	fmt.Printf("jobs: %d handed in, %d accepted, %d refused for good, %d completed, %d not completed\n", o.Jobs, s.accepted, s.notAccepted, s.completed, s.incomplete)
	fmt.Printf("runs: %d started, %d done, %d stopped, %d lapsed, %d ended with their endpoint (%d tasks)\n",
		eventCounts["start"], eventCounts["done"], eventCounts["stopped"], eventCounts["lapsed"], eventCounts["crash"], 2*o.Tasks*o.Jobs)
	for _, h := range []struct {
		name      string
		histogram *hdrhistogram.Histogram
	}{{"accepted after", s.acceptLatency}, {"completed after", s.completeLatency}} {
		fmt.Printf("%-16s p50 %4d ms, p90 %4d ms, p99 %4d ms, most %4d ms\n", h.name, h.histogram.ValueAtQuantile(50)/1000, h.histogram.ValueAtQuantile(90)/1000,
			h.histogram.ValueAtQuantile(99)/1000, h.histogram.Max()/1000)
	}
}
