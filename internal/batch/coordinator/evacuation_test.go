package coordinator_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/batch/coordinator"
	"bamboohook/internal/batch/job"
	"bamboohook/internal/fleet/evacuation"
	"bamboohook/internal/fleet/messenger"
	"bamboohook/resource"
)

// evacuate makes the entry know that the data centres are evacuated, and no others.
func (c *testCluster) evacuate(dataCentres ...string) {
	requests := map[string]bool{}
	for _, name := range dataCentres {
		requests[name] = true
	}
	c.evacuations = evacuation.New(requests, c.evacuations.VersionOrZero())
}

// newSplitCluster returns a cluster whose VMs are by turns in the data centres "a" and "b": those with even numbers are in "a".
func newSplitCluster(vms int) *testCluster {
	cluster := newTestCluster(vms)
	for n := range vms {
		cluster.agents[fmt.Sprint("vm-", n)].dataCentre = []string{"a", "b"}[n%2]
	}
	cluster.simulate(time.Second)
	return cluster
}

// runsIn returns the number of runs in the data centre, and the number of starts that the owner has sent there.
func (c *testCluster) runsIn(dataCentre string) (runs, starts int) {
	for _, a := range c.agents {
		if a.dataCentre == dataCentre {
			runs, starts = runs+len(a.runs), starts+len(a.startOrders)
		}
	}
	return runs, starts
}

// agentsIn returns the agents of the data centre.
func (c *testCluster) agentsIn(dataCentre string) []*agent {
	var agents []*agent
	for _, a := range c.agents {
		if a.dataCentre == dataCentre {
			agents = append(agents, a)
		}
	}
	return agents
}

// metrics returns the text of the coordinator's meter.
func (c *testCluster) metrics() string {
	var text strings.Builder
	_, err := c.coordinator.Meter.WriteTo(&text)
	Expect(err).NotTo(HaveOccurred())
	return text.String()
}

// wholeVM is a step of tasks that need a VM each.
func wholeVM(tasks int) job.Step { return job.Step{TaskCount: tasks, Size: taskSize(4000)} }

var _ = Describe("Evacuation of a data centre", func() {
	// Guards against new work in the data centre, and against running tasks that are stopped or lost because of the request.
	It("starts nothing there until the withdrawal, and lets running tasks go on", func() {
		cluster := newSplitCluster(4)
		submitJob(cluster, job.Job{ID: "before", Occurrences: 1, Steps: []job.Step{wholeVM(4)}})
		cluster.simulate(time.Second)
		Expect(cluster.countRuns()).To(HaveLen(4))
		cluster.evacuate("a")
		submitJob(cluster, job.Job{ID: "after", Occurrences: 1, Steps: []job.Step{wholeVM(4)}})
		cluster.simulate(20 * time.Second)
		runs, starts := cluster.runsIn("a")
		Expect([]int{runs, starts}).To(Equal([]int{2, 2}))
		Expect(cluster.countRuns()).To(HaveLen(4))
		Expect(cluster.metrics()).To(And(ContainSubstring("evacuated-vms-a 2\n"), ContainSubstring("evacuated-runs-a 2\n")))
		for _, a := range cluster.agentsIn("a") {
			Expect(a.evacuated).To(BeTrue())
			Expect(a.stops).To(BeEmpty())
		}
		cluster.finishAllRuns(messenger.RunDone)
		cluster.simulate(time.Second)
		runs, starts = cluster.runsIn("a")
		Expect([]int{runs, starts}).To(Equal([]int{0, 2}))
		Expect(cluster.countRuns()).To(HaveLen(2))
		cluster.evacuate()
		cluster.simulate(500 * time.Millisecond)
		Expect(cluster.countRuns()).To(HaveLen(4))
		Expect(cluster.metrics()).To(ContainSubstring("evacuated-runs-a 0\n"))
	})

	// Guards against a task of the data centre that is started there again after its run has ended early.
	for _, outcome := range []string{messenger.RunFailed, messenger.RunStopped, messenger.RunLeaseExpired} {
		It("starts a task elsewhere whose run there has ended as "+outcome, func() {
			cluster := newSplitCluster(2)
			submitJob(cluster, job.Job{ID: "j", Occurrences: 1, Steps: []job.Step{wholeVM(2)}})
			cluster.simulate(time.Second)
			cluster.evacuate("a")
			moved := ""
			for task := range cluster.agents["vm-0"].runs {
				moved = task
			}
			cluster.agents["vm-0"].finishRun(moved, outcome)
			for task := range cluster.agents["vm-1"].runs {
				cluster.agents["vm-1"].finishRun(task, messenger.RunDone)
			}
			cluster.simulate(2 * time.Second)
			Expect(cluster.agents["vm-1"].runs).To(HaveKey(moved))
			Expect(cluster.agents["vm-0"].runs).To(BeEmpty())
		})
	}

	// Guards against an owner that places tasks before it has learned of the request, and against one that waits although the platform sets no bound.
	for name, c := range map[string]struct {
		maxAge, age time.Duration
		known       bool
		runsAtFirst int
	}{
		"plans at once without a bound":                          {runsAtFirst: 4},
		"plans nothing before it knows the set":                  {maxAge: 11 * time.Second, runsAtFirst: 0},
		"plans nothing while its knowledge is too old":           {maxAge: 11 * time.Second, known: true, age: 12 * time.Second, runsAtFirst: 0},
		"plans as usual while its knowledge is almost that old":  {maxAge: 11 * time.Second, known: true, age: 10 * time.Second, runsAtFirst: 4},
		"plans as usual with old knowledge if there is no bound": {known: true, age: time.Hour, runsAtFirst: 4},
		"plans at once if it knows that nothing is evacuated":    {maxAge: 11 * time.Second, known: true, runsAtFirst: 4},
		"plans at once with knowledge of two seconds ago":        {maxAge: 11 * time.Second, known: true, age: 2 * time.Second, runsAtFirst: 4},
	} {
		It("changes the owner in the middle: the new one "+name, func() {
			cluster := newSplitCluster(4)
			submitJob(cluster, job.Job{ID: "j", Occurrences: 1, Steps: []job.Step{{TaskCount: 4, Size: taskSize(4000)}}})
			cluster.mayGrantLeases = false
			cluster.simulate(300 * time.Millisecond)
			cluster.mayGrantLeases = true
			for _, a := range cluster.agents {
				a.runs, a.startOrders = map[string]messenger.Run{}, nil
			}
			cluster.maxEvacuationAge, cluster.evacuationAge = c.maxAge, c.age
			if c.known {
				cluster.evacuate()
			}
			cluster.takeOver()
			cluster.simulate(3 * time.Second)
			Expect(cluster.countRuns()).To(HaveLen(c.runsAtFirst))
			if c.runsAtFirst > 0 {
				return
			}
			cluster.evacuate("b")
			cluster.evacuationAge = 0
			cluster.simulate(3 * time.Second)
			Expect(cluster.countRuns()).To(HaveLen(2))
			_, starts := cluster.runsIn("b")
			Expect(starts).To(BeZero())
		})
	}

	// Guards against an outage of the store, in which operators cannot request anything, that stops all starts although leases may be renewed.
	It("goes on with old knowledge while the store responds to nobody", func() {
		cluster := newSplitCluster(2)
		cluster.evacuate()
		cluster.maxEvacuationAge, cluster.evacuationAge = 11*time.Second, 12*time.Second
		cluster.takeOver()
		submitJob(cluster, job.Job{ID: "j", Occurrences: 1, Steps: []job.Step{{TaskCount: 2, Size: taskSize(4000)}}})
		cluster.simulate(2 * time.Second)
		Expect(cluster.countRuns()).To(BeEmpty())
		cluster.timeSinceOwned = 3 * time.Second
		cluster.simulate(2 * time.Second)
		Expect(cluster.countRuns()).To(HaveLen(2))
	})

	// Guards against agents that accept starts again because a new owner does not know of the request yet.
	It("lets the agents go on refusing starts while a new owner does not know the set", func() {
		cluster := newSplitCluster(2)
		cluster.evacuate("a")
		cluster.simulate(time.Second)
		Expect(cluster.agents["vm-0"].evacuated).To(BeTrue())
		cluster.evacuations, cluster.maxEvacuationAge = nil, 11*time.Second
		cluster.takeOver()
		cluster.simulate(2 * time.Second)
		Expect(cluster.agents["vm-0"].evacuated).To(BeTrue())
		Expect(cluster.agents["vm-1"].evacuated).To(BeFalse())
		cluster.evacuate()
		cluster.simulate(time.Second)
		Expect(cluster.agents["vm-0"].evacuated).To(BeFalse())
	})

	// Guards against starts at an agent process that does not know of the request yet.
	It("starts nothing at an agent process that was started during the evacuation", func() {
		cluster := newSplitCluster(2)
		cluster.evacuate("a")
		submitJob(cluster, job.Job{ID: "j", Occurrences: 1, Steps: []job.Step{wholeVM(2)}})
		cluster.simulate(time.Second)
		a := cluster.agents["vm-0"]
		a.restart("h")
		response := cluster.coordinator.Report(a.composeReport())
		Expect(response.Session).NotTo(BeZero())
		Expect(response.Evacuated).To(BeTrue(), "the first response that numbers the process says so")
		a.processResponse(response)
		a.runsUnlisted = false
		cluster.simulate(3 * time.Second)
		Expect(a.evacuated).To(BeTrue())
		Expect(a.startOrders).To(BeEmpty())
	})

	// Guards against starts on a VM whose data centre is unknown, and against agents that are told of an evacuation that does not concern them.
	It("starts nothing on a VM that reports no data centre while any is evacuated", func() {
		cluster := newSplitCluster(2)
		cluster.agents["vm-2"] = &agent{
			name: "vm-2", generation: "g", incarnation: 100, state: messenger.VMUp, runs: map[string]messenger.Run{}, nextResultSequence: 1, paces: map[string]int{},
		}
		cluster.evacuate("a")
		cluster.simulate(time.Second)
		submitJob(cluster, job.Job{ID: "j", Occurrences: 1, Steps: []job.Step{wholeVM(3)}})
		cluster.simulate(3 * time.Second)
		Expect(cluster.countRuns()).To(HaveLen(1))
		Expect(cluster.agents["vm-1"].evacuated).To(BeFalse())
		cluster.evacuate()
		cluster.simulate(time.Second)
		Expect(cluster.countRuns()).To(HaveLen(3))
	})

	// Guards against starts because of a heartbeat that names no data centre or another one.
	for name, c := range map[string]struct {
		endpoint, agent string
		evacuated       bool
	}{
		"another name of the endpoint":               {"odd", "a", true},
		"no name of the endpoint":                    {"", "a", true},
		"another name in the settings":               {"a", "odd", true},
		"neither name is that of the data centre":    {"b", "odd", false},
		"no name of the endpoint, the settings' one": {"", "b", false},
	} {
		It("starts nothing on a VM of which either the endpoint or the settings name the data centre: "+name, func() {
			cluster := newTestCluster(1)
			cluster.agents["vm-0"].dataCentre, cluster.agents["vm-0"].agentDataCentre = c.endpoint, c.agent
			cluster.evacuate("a")
			cluster.simulate(time.Second)
			Expect(cluster.agents["vm-0"].evacuated).To(Equal(c.evacuated))
			submitJob(cluster, job.Job{ID: "j", Occurrences: 1, Steps: []job.Step{wholeVM(1)}})
			cluster.simulate(time.Second)
			Expect(len(cluster.agents["vm-0"].runs) == 0).To(Equal(c.evacuated))
		})
	}

	// Guards against a start that is repeated after the request, against a second run of its task, and against a run that is stopped although it exists.
	for name, c := range map[string]struct {
		// executed reports whether the agent has carried out the start, whose response is lost.
		executed bool
		silent   time.Duration
	}{
		"the run exists, and a report lists it":   {executed: true},
		"the run does not exist":                  {silent: 3 * time.Second},
		"the run exists, and the agent is silent": {executed: true, silent: 3 * time.Second},
	} {
		It("does not repeat a start without a response: "+name, func() {
			cluster := newSplitCluster(2)
			a, b := cluster.agents["vm-0"], cluster.agents["vm-1"]
			b.state = messenger.VMDraining
			cluster.simulate(time.Second)
			submitJob(cluster, job.Job{ID: "j", Occurrences: 1, Steps: []job.Step{wholeVM(1)}})
			a.dropResponses, a.silent = c.executed, !c.executed
			cluster.coordinator.PlanOnce(context.Background())
			Expect(a.startOrders).To(HaveLen(1))
			a.dropResponses, a.silent = false, c.silent > 0
			cluster.evacuate("a")
			b.state = messenger.VMUp
			cluster.simulate(max(c.silent, time.Second))
			a.silent = false
			cluster.simulate(10 * time.Second)
			Expect(a.startOrders).To(HaveLen(1))
			Expect(cluster.countRuns()).To(Equal(map[string]int{"j.0.0.0": 1}))
			if c.executed {
				Expect(a.runs).To(HaveLen(1))
				Expect(a.stops).To(BeEmpty())
			} else {
				Expect(b.runs).To(HaveLen(1))
			}
		})
	}

	// Guards against tasks that wait for a VM to which their starts were never sent.
	It("withdraws starts that were not sent yet", func() {
		cluster := newSplitCluster(2)
		cluster.agents["vm-1"].state = messenger.VMDraining
		cluster.simulate(time.Second)
		submitJob(cluster, job.Job{ID: "first", Occurrences: 1, Steps: []job.Step{{TaskCount: 1000, Size: resource.Amount{MilliProcessors: 1, MemoryBytes: 1}}}})
		cluster.simulate(3 * time.Second)
		cluster.finishAllRuns(messenger.RunDone)
		cluster.simulate(time.Second)
		cluster.agents["vm-0"].startOrders = nil
		cluster.deferCalls = true
		// The window has 512 starts, which are more than fit in one message.
		submitJob(cluster, job.Job{
			ID: "j", Payload: strings.Repeat("x", 4000), Occurrences: 1, Steps: []job.Step{{TaskCount: 500, Size: resource.Amount{MilliProcessors: 1, MemoryBytes: 1}}},
		})
		for range 6 {
			cluster.agents["vm-0"].silent = true
			cluster.simulate(100 * time.Millisecond)
			if cluster.agents["vm-0"].startOrders != nil {
				break
			}
		}
		sent := len(cluster.agents["vm-0"].startOrders)
		Expect(sent).To(And(BeNumerically(">", 200), BeNumerically("<", 300)))
		cluster.evacuate("a")
		cluster.agents["vm-1"].state = messenger.VMUp
		cluster.simulate(400 * time.Millisecond)
		Expect(cluster.agents["vm-0"].startOrders).To(HaveLen(sent))
		cluster.agents["vm-0"].silent = false
		cluster.simulate(10 * time.Second)
		Expect(cluster.agents["vm-0"].startOrders).To(HaveLen(sent))
		Expect(cluster.agents["vm-1"].runs).To(HaveLen(500))
		Expect(cluster.countRuns()).To(HaveLen(500))
	})

	// Guards against a gang that waits for members which the evacuation keeps from starting.
	It("stops a gang of which some members were refused, and starts it elsewhere", func() {
		cluster := newSplitCluster(4)
		cluster.agents["vm-4"] = &agent{
			name: "vm-4", dataCentre: "b", generation: "g", incarnation: 100, state: messenger.VMDraining, runs: map[string]messenger.Run{}, nextResultSequence: 1, paces: map[string]int{},
		}
		cluster.simulate(time.Second)
		// The agents know of the request from an owner that has lost the ownership to this one.
		for _, a := range cluster.agentsIn("a") {
			a.evacuated = true
		}
		submitJob(cluster, job.Job{ID: "g", Occurrences: 1, Steps: []job.Step{{TaskCount: 3, Size: taskSize(4000), Gang: true}}})
		cluster.coordinator.PlanOnce(context.Background())
		runs, _ := cluster.runsIn("a")
		Expect(runs).To(BeZero())
		Expect(cluster.countRuns()).NotTo(BeEmpty(), "the gang is half started")
		cluster.evacuate("a")
		cluster.simulate(2 * time.Second)
		Expect(cluster.countRuns()).To(BeEmpty())
		cluster.agents["vm-4"].state = messenger.VMUp
		cluster.simulate(2 * time.Second)
		Expect(cluster.countRuns()).To(Equal(map[string]int{"g.0.0.0": 1, "g.0.0.1": 1, "g.0.0.2": 1}))
		runs, _ = cluster.runsIn("a")
		Expect(runs).To(BeZero())
		numbers := map[int]int{}
		for _, a := range cluster.agents {
			for _, r := range a.runs {
				numbers[r.Number]++
			}
		}
		Expect(numbers).To(HaveLen(1), "all runs of the gang have the same number")
	})

	// Guards against work that returns to the data centre together with its VMs.
	It("starts the tasks of lost VMs elsewhere, and nothing on VMs that come back", func() {
		cluster := newSplitCluster(4)
		submitJob(cluster, job.Job{ID: "j", Occurrences: 1, Steps: []job.Step{wholeVM(2)}})
		cluster.simulate(time.Second)
		cluster.evacuate("a")
		for _, a := range cluster.agentsIn("a") {
			a.silent = true
		}
		cluster.simulate(10 * time.Second)
		for _, a := range cluster.agentsIn("a") {
			// The machines have lost power.
			a.silent, a.incarnation, a.runs, a.startOrders = false, 200, map[string]messenger.Run{}, nil
			a.restart("h")
			a.runsUnlisted = false
		}
		submitJob(cluster, job.Job{ID: "k", Occurrences: 1, Steps: []job.Step{wholeVM(2)}})
		cluster.simulate(10 * time.Second)
		runs, starts := cluster.runsIn("a")
		Expect([]int{runs, starts}).To(Equal([]int{0, 0}))
		Expect(cluster.countRuns()).To(HaveLen(2))
		cluster.evacuate()
		cluster.simulate(time.Second)
		Expect(cluster.countRuns()).To(HaveLen(4))
	})

	// Guards against long-running tasks that stay on a VM that ends, and against a place for them in the same data centre.
	It("moves the tasks that can move from a draining VM of the data centre to another data centre", func() {
		cluster := newSplitCluster(6)
		step := job.Step{TaskCount: 2, Size: taskSize(4000), LongRunning: true}
		submitJob(cluster, job.Job{ID: "j", Occurrences: 1, Steps: []job.Step{step}})
		cluster.simulate(time.Second)
		cluster.evacuate("a")
		for _, a := range cluster.agentsIn("a") {
			if len(a.runs) > 0 {
				a.state = messenger.VMDraining
			}
		}
		cluster.simulate(3 * time.Second)
		runs, _ := cluster.runsIn("a")
		Expect(runs).To(BeZero())
		Expect(cluster.countRuns()).To(Equal(map[string]int{"j.0.0.0": 1, "j.0.0.1": 1}))
	})

	// Guards against jobs that are refused, or wait without a reason in the log, because only an evacuated data centre has VMs for them.
	It("accepts jobs that fit only there, logs why they wait, and starts them after the withdrawal", func() {
		cluster := newSplitCluster(2)
		cluster.agents["vm-0"].labels = []string{"special"}
		var log bytes.Buffer
		cluster.log = &log
		cluster.takeOver()
		cluster.simulate(time.Second)
		cluster.evacuate("a")
		submitJob(cluster, job.Job{ID: "j", Occurrences: 1, Steps: []job.Step{{TaskCount: 1, Size: taskSize(100), Label: "special"}}})
		cluster.simulate(20 * time.Second)
		Expect(cluster.countRuns()).To(BeEmpty())
		Expect(log.String()).To(MatchRegexp(`"task":"j.0.0.0".*"refusals":\{"evacuated":1,"no-room":1\}.*the task that has waited longest`))
		Expect(log.String()).To(MatchRegexp(`"begun":\["a"\].*the owner applies changed evacuations`))
		// Other tasks use the rest of the fleet meanwhile, also the VM that is not held for the waiting task.
		submitJob(cluster, job.Job{ID: "k", Occurrences: 1, Steps: []job.Step{wholeVM(1)}})
		cluster.simulate(time.Second)
		Expect(cluster.agents["vm-1"].runs).To(HaveKey("k.0.0.0"))
		cluster.evacuate()
		cluster.simulate(time.Second)
		Expect(cluster.agents["vm-0"].runs).To(HaveKey("j.0.0.0"))
	})

	// Guards against probes of an open circuit breaker in the data centre.
	It("sends no probe to a VM whose circuit breaker is open", func() {
		cluster := newSplitCluster(2)
		cluster.queue.Attempts = 0
		cluster.configure()
		cluster.agents["vm-1"].state = messenger.VMDraining
		for n := range 6 {
			submitJob(cluster, job.Job{ID: fmt.Sprint("j", n), Occurrences: 1, Steps: []job.Step{{TaskCount: 1, Size: taskSize(100)}}})
		}
		for range 10 {
			cluster.simulate(200 * time.Millisecond)
			cluster.finishAllRuns(messenger.RunFailed)
		}
		cluster.evacuate("a")
		cluster.simulate(400 * time.Millisecond)
		sent := len(cluster.agents["vm-0"].startOrders)
		Expect(sent).To(BeNumerically(">", 3))
		cluster.simulate(30 * time.Second)
		Expect(cluster.agents["vm-0"].startOrders).To(HaveLen(sent))
		cluster.evacuate()
		cluster.simulate(time.Second)
		Expect(len(cluster.agents["vm-0"].startOrders)).To(BeNumerically(">", sent))
	})

	// Guards against requests for tickets that no start can use.
	It("requests no tickets for its VMs", func() {
		cluster := newSplitCluster(2)
		advised := cluster.queue
		advised.Advised = true
		advisor := &advisor{allowed: []string{"i-vm-0", "i-vm-1"}, asked: map[string]int{}}
		cluster.coordinator.Advisor, cluster.deferCalls = advisor, true
		cluster.configurationVersion++
		cluster.coordinator.Configure(cluster.configurationVersion, map[string]coordinator.Queue{"q": advised})
		cluster.evacuate("a")
		submitJob(cluster, job.Job{ID: "j", Occurrences: 1, Steps: []job.Step{wholeVM(2)}})
		cluster.simulate(5 * time.Second)
		Expect(cluster.agents["vm-1"].runs).To(HaveLen(1))
		Expect(cluster.agents["vm-0"].startOrders).To(BeEmpty())
		Expect(advisor.asked).NotTo(HaveKey(ContainSubstring("vm-0")))
	})
})
