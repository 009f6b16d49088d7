package coordinator_test

import (
	"bytes"
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"bamboohook/internal/batch/job"
	"bamboohook/internal/fleet/messenger"
	"bamboohook/internal/fleet/meter"
)

// rackCluster is a cluster of two racks with two VMs each, of which "r1" is full and a run ends there every 200 ms. Tasks take twice as long off their
// preferred rack.
type rackCluster struct {
	*testCluster
	log     *bytes.Buffer
	counted *meter.Meter
	fillers int
}

func newRackCluster() *rackCluster {
	c := &rackCluster{testCluster: newTestCluster(0), log: &bytes.Buffer{}, counted: &meter.Meter{}}
	c.remoteFactor = 2
	for n := range 4 {
		name := fmt.Sprint("vm-", n)
		c.agents[name] = &agent{
			name: name, rack: fmt.Sprint("r", n/2), generation: "g", incarnation: 100, state: messenger.VMUp, runs: map[string]messenger.Run{},
			nextResultSequence: 1, paces: map[string]int{}, labels: []string{fmt.Sprint("on-r", n/2)},
		}
	}
	c.takeOver()
	c.simulate(time.Second)
	c.submitFillers(38)
	for range 30 {
		c.endFiller()
	}
	return c
}

// takeOver replaces the owner.
func (c *rackCluster) takeOver() {
	c.testCluster.takeOver()
	c.coordinator.Log, c.coordinator.Meter = zerolog.New(c.log), c.counted
}

// submitFillers submits a job with tasks that only run on "r1", which has room for eight of them.
func (c *rackCluster) submitFillers(tasks int) {
	c.fillers++
	step := rackStep(tasks, 200*time.Millisecond)
	step.Label = "on-r1"
	submitJob(c.testCluster, job.Job{ID: fmt.Sprint("filler", c.fillers), Occurrences: 1, Steps: []job.Step{step}})
	c.simulate(100 * time.Millisecond)
}

// endFiller ends the run of a filler on "r1". The next one starts if there is one.
func (c *rackCluster) endFiller() {
	for _, a := range []*agent{c.agents["vm-2"], c.agents["vm-3"]} {
		for task := range a.runs {
			a.finishRun(task, messenger.RunDone)
			c.simulate(200 * time.Millisecond)
			return
		}
	}
}

// replaceFillers ends runs on "r1", one after the other, each of which is replaced by another one.
func (c *rackCluster) replaceFillers(runs int) {
	c.submitFillers(runs)
	for range runs {
		c.endFiller()
	}
}

func rackStep(tasks int, estimate time.Duration) job.Step {
	return job.Step{TaskCount: tasks, Size: taskSize(1000), Estimate: estimate, PreferredRack: "r1"}
}

// lineWith returns the first log line with the message and the task.
func (c *rackCluster) lineWith(message, task string) string {
	for line := range strings.Lines(c.log.String()) {
		if strings.Contains(line, message) && strings.Contains(line, `"`+task+`"`) {
			return line
		}
	}
	return ""
}

func (c *rackCluster) count(name string) string {
	var text bytes.Buffer
	_, err := c.counted.WriteTo(&text)
	Expect(err).NotTo(HaveOccurred())
	for line := range strings.Lines(text.String()) {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			return strings.TrimSpace(value)
		}
	}
	return "0"
}

var _ = Describe("A task whose preferred rack is full", func() {
	var c *rackCluster
	BeforeEach(func() {
		c = newRackCluster()
		c.queue.Stretch = 20
		c.configure()
	})
	submitLocal := func() {
		submitJob(c.testCluster, job.Job{ID: "j", Occurrences: 1, Steps: []job.Step{rackStep(1, 5*time.Second)}})
		c.simulate(100 * time.Millisecond)
	}

	It("waits and then starts on the rack", func() {
		submitLocal()
		Expect(c.countRuns()["j.0.0.0"]).To(BeZero())
		Expect(c.lineWith("task waits for its preferred rack", "j.0.0.0")).To(And(ContainSubstring(`"rack":"r1"`), ContainSubstring(`"expected":`), ContainSubstring(`"rate-age":`)))
		c.endFiller()
		Expect(c.agentWith("j.0.0.0").rack).To(Equal("r1"))
		Expect(c.lineWith("run placed on a VM", "j.0.0.0")).To(And(
			ContainSubstring(`"off-rack":false`), ContainSubstring(`"rack-waited":`), ContainSubstring(`"rack-expected":`)))
		Expect([]string{c.count("rack-waits"), c.count("rack-waits-without-place"), c.count("starts-off-preferred-rack")}).To(Equal([]string{"1", "0", "0"}))
		Expect(c.count("starts-on-preferred-rack")).To(Equal("39"))
	})

	It("starts elsewhere after 2 s while its job has no run", func() {
		submitLocal()
		c.simulate(1700 * time.Millisecond)
		Expect(c.countRuns()["j.0.0.0"]).To(BeZero())
		c.simulate(400 * time.Millisecond)
		Expect(c.agentWith("j.0.0.0").rack).To(Equal("r0"))
		Expect(c.lineWith("run placed on a VM", "j.0.0.0")).To(ContainSubstring(`"rack-reason":"waited-enough"`))
		Expect([]string{c.count("rack-waits-without-place"), c.count("starts-off-preferred-rack")}).To(Equal([]string{"1", "1"}))
	})

	// Guards against a wait for places that no run can make free any more.
	It("starts elsewhere when the VMs of the rack are lost", func() {
		submitLocal()
		Expect(c.countRuns()["j.0.0.0"]).To(BeZero())
		c.agents["vm-2"].silent, c.agents["vm-3"].silent = true, true
		// Reports of the VMs count for 1.2 s.
		c.simulate(1500 * time.Millisecond)
		Expect(c.agentWith("j.0.0.0").rack).To(Equal("r0"))
		Expect(c.lineWith("run placed on a VM", "j.0.0.0")).To(ContainSubstring(`"rack-reason":"rack-unusable"`))
	})

	It("starts elsewhere when the rack drains", func() {
		submitLocal()
		Expect(c.countRuns()["j.0.0.0"]).To(BeZero())
		c.agents["vm-2"].state, c.agents["vm-3"].state = messenger.VMDraining, messenger.VMDraining
		c.simulate(400 * time.Millisecond)
		Expect(c.agentWith("j.0.0.0").rack).To(Equal("r0"))
	})

	// Guards against a new owner that waits for the rates which the previous one has learnt.
	It("starts elsewhere at once under a new owner, until that one has seen runs end", func() {
		c.takeOver()
		c.simulate(time.Second)
		submitLocal()
		Expect(c.agentWith("j.0.0.0").rack).To(Equal("r0"))
		Expect(c.lineWith("run placed on a VM", "j.0.0.0")).To(ContainSubstring(`"rack-reason":"rate-unknown"`))
		c.replaceFillers(5)
		submitJob(c.testCluster, job.Job{ID: "k", Occurrences: 1, Steps: []job.Step{rackStep(1, 5*time.Second)}})
		c.simulate(100 * time.Millisecond)
		Expect(c.countRuns()["k.0.0.0"]).To(BeZero())
	})

	// Guards against ends that make no room: those of runs on lost VMs, all at once, would look like a high rate.
	It("learns nothing from the ends of runs on lost VMs", func() {
		c.takeOver()
		c.simulate(time.Second)
		c.agents["vm-2"].silent, c.agents["vm-3"].silent = true, true
		c.simulate(8 * time.Second)
		for _, name := range []string{"vm-2", "vm-3"} {
			a := c.agents[name]
			a.silent, a.runs = false, map[string]messenger.Run{}
			a.incarnation++
		}
		c.finishAllRuns(messenger.RunDone)
		c.simulate(400 * time.Millisecond)
		c.submitFillers(8)
		submitLocal()
		Expect(c.lineWith("run placed on a VM", "j.0.0.0")).NotTo(BeEmpty())
	})

	It("starts elsewhere at once without a penalty for other racks", func() {
		c.remoteFactor = 0
		c.takeOver()
		c.simulate(time.Second)
		c.replaceFillers(10)
		submitLocal()
		Expect(c.agentWith("j.0.0.0").rack).To(Equal("r0"))
		Expect(c.count("rack-waits")).To(Equal("0"))
	})
})
