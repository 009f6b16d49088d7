package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/fleet/sleeper"
	"bamboohook/internal/standin/estate"
)

// Bounds of the platform's rules.
const (
	contactTime = 3 * time.Second
	configTime  = 2 * time.Second
	cancelTime  = 3 * time.Second
	visibleTime = 3 * time.Second
	stopTime    = 200 * time.Millisecond
	finishTime  = 14 * time.Second
	maxHold     = 6 * time.Second
	maxGrace    = 6 * time.Second
	callTimeout = 4 * time.Second
	// completionTimeout is the time until all jobs have ended after the last fault and the last submission: a lease whose holder is not
	// heard again, and then the bounds of contact and finish.
	completionTimeout = maxHold + contactTime + finishTime
)

const (
	// vmsPerEntry is the ratio of agents to entries beyond the minimum of minEntries.
	vmsPerEntry = 15
	minEntries  = 3
	// submitInterval is the time between two jobs for each VM. minSubmitInterval limits the load of large installations on the machine.
	submitInterval    = 900 * time.Millisecond
	minSubmitInterval = 25 * time.Millisecond
	specTimeout       = 4 * time.Minute
)

func addSoak(seed uint64) {
	Describe(fmt.Sprintf("Jobs with the faults of seed %d", seed), Ordered, ContinueOnFailure, func() {
		var problems, staleStates []string
		BeforeAll(func(ctx SpecContext) { problems, staleStates = play(ctx, seed) }, NodeTimeout(specTimeout))
		It("keep the rules", func() {
			Expect(problems).To(BeEmpty(), "SOAK_SEED=%d", seed)
		})
		It("are not shown in an earlier state by machines out of touch", func() {
			Expect(staleStates).To(BeEmpty(), "SOAK_SEED=%d", seed)
		})
	})
}

// play plays a seed. It returns the violations of rules, and separately the states that went back at machines out of touch.
func play(ctx SpecContext, seed uint64) (problems, staleStates []string) {
	entries := max(minEntries, processCount/(vmsPerEntry+1))
	vms := processCount - entries
	Expect(vms).To(BeNumerically(">", 0))
	subnet, err := estate.ReserveSubnet()
	Expect(err).NotTo(HaveOccurred())
	i := &estate.Installation{ProgramDir: programDir, OutputDir: outputDir(seed), Subnet: subnet, Entries: entries, VMs: vms, Grace: maxGrace}
	defer i.Stop()
	Expect(i.Start(ctx)).To(Succeed())
	r := rand.New(rand.NewPCG(seed, 0))
	// A source of its own leaves the faults of a seed as they were before these were added.
	faults := append(drawFaults(r, entries, vms), drawConfigurationFaults(rand.New(rand.NewPCG(seed, 1)))...)
	fmt.Fprintf(GinkgoWriter, "seed %d, %d entries, %d VMs, output in %s, faults:\n", seed, entries, vms, i.OutputDir)
	origin := time.Now()
	for _, f := range faults {
		fmt.Fprintf(GinkgoWriter, "%s %s %s for %s\n", origin.Add(f.offset).Format("15:04:05.000"), f.kind, f.target, f.duration.Round(time.Millisecond))
	}
	p := &player{installation: i}
	c := &callers{installation: i, entries: entries}
	c.publish(0)
	jobs := playAll(ctx, r, p, c, faults)
	Expect(ctx.Err()).NotTo(HaveOccurred())
	Expect(p.errs).To(BeEmpty())
	events := sortEvents(i.Events())
	problems = append(jobs.problems, endedProcesses(i)...)
	for _, j := range jobs.jobs {
		problems = append(problems, stateViolations(j, events, p.inTouch)...)
		staleStates = append(staleStates, regressions(j, p.inTouch, false)...)
		problems = append(problems, cancelViolations(j, events, p.inTouch, p.lastEnd())...)
	}
	problems = append(problems, runViolations(events, jobs.jobs)...)
	for _, e := range events {
		fmt.Fprintf(GinkgoWriter, "%s (%s) %s\n", e.Time.Format("15:04:05.000"), e.Time.Sub(origin).Round(time.Millisecond), e)
	}
	fmt.Fprintf(GinkgoWriter, "seed %d: %d jobs, %d accepted, %d cancelled, %d events\n", seed, len(jobs.jobs), jobs.accepted(), jobs.cancelled(), len(events))
	return problems, staleStates
}

// endedProcesses returns the processes that have ended by themselves. All others run after the faults.
func endedProcesses(i *estate.Installation) []string {
	var names, problems []string
	for n := range i.Entries {
		names = append(names, estate.EntryName(n))
	}
	for n := range i.VMs {
		names = append(names, estate.AgentName(n))
	}
	for _, name := range names {
		if process := i.Process(name); !process.Running() {
			problems = append(problems, fmt.Sprintf("%s has ended by itself with exit code %d", name, process.ExitCode()))
		}
	}
	return problems
}

// played is what the callers have seen.
type played struct {
	jobs     map[string]*job
	problems []string
}

// playAll plays the faults while callers submit jobs, and returns when all jobs have ended or completionTimeout has passed since the last
// fault and the last submission.
func playAll(ctx context.Context, r *rand.Rand, p *player, c *callers, faults []fault) played {
	watchCtx, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	jobCtx, stopJobs := context.WithCancel(ctx)
	defer stopJobs()
	result := played{jobs: map[string]*job{}}
	observations := make([][]routeObservation, c.entries)
	var faultGroup, jobGroup, watchGroup sync.WaitGroup
	for n := range c.entries {
		watchGroup.Go(func() { observations[n] = c.watchRoutes(watchCtx, n) })
	}
	faultsDone := make(chan struct{})
	faultGroup.Go(func() {
		defer close(faultsDone)
		p.play(ctx, faults, c.publish)
	})
	ticker := time.NewTicker(max(minSubmitInterval, submitInterval/time.Duration(len(p.installation.Instances))))
	defer ticker.Stop()
	for n, faulty := 0, true; faulty; n++ {
		j := drawJob(r, n)
		result.jobs[j.id] = j
		jobGroup.Go(func() { c.run(jobCtx, j) })
		select {
		case <-faultsDone:
			faulty = false
		case <-ticker.C:
		}
	}
	faultGroup.Wait()
	timer := time.AfterFunc(completionTimeout+max(0, time.Until(p.lastEnd())), stopJobs)
	defer timer.Stop()
	jobGroup.Wait()
	// The tasks of cancelled jobs have to be gone, and the last configuration has to be in use, after this time.
	sleeper.Sleep(ctx, time.Until(p.lastEnd().Add(contactTime+cancelTime+2*stopTime)))
	stopWatch()
	watchGroup.Wait()
	for _, o := range observations {
		result.problems = append(result.problems, routeViolations(o, c.published, p.inTouch)...)
	}
	return result
}

func (p played) accepted() int {
	count := 0
	for _, j := range p.jobs {
		if !j.accepted.IsZero() {
			count++
		}
	}
	return count
}

func (p played) cancelled() int {
	count := 0
	for _, j := range p.jobs {
		if !j.cancelled.IsZero() {
			count++
		}
	}
	return count
}

// outputDir returns the directory for the settings and logs of the processes: one below SOAK_OUTPUT, or a temporary one.
func outputDir(seed uint64) string {
	parent := os.Getenv("SOAK_OUTPUT")
	if parent == "" {
		return GinkgoT().TempDir()
	}
	dir := filepath.Join(parent, fmt.Sprint(seed))
	Expect(os.MkdirAll(dir, 0o700)).To(Succeed())
	return dir
}
