package attributor_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/attributor"
)

// outcome says whether a task of the job succeeded on the VM.
type outcome struct {
	job, vm   string
	succeeded bool
}

// recordAll passes the outcomes to a and returns the resulting verdicts. Each consists of its kind and the
// name of the job or VM, for example "park bad".
func recordAll(a *attributor.Attributor, outcomes ...outcome) []string {
	var verdicts []string
	for _, o := range outcomes {
		for _, v := range a.RecordOutcome(o.job, o.vm, o.succeeded) {
			verdicts = append(verdicts, string(v.Kind)+" "+v.Job+v.VM)
		}
	}
	return verdicts
}

// successfulOutcomes returns a successful outcome for each of three jobs on each of three VMs.
func successfulOutcomes() []outcome {
	var outcomes []outcome
	for i := range 9 {
		outcomes = append(outcomes, outcome{fmt.Sprint("good-", i%3), fmt.Sprint("vm-", i/3), true})
	}
	return outcomes
}

var _ = Describe("Attributor", func() {
	cases := map[string]struct {
		failure  string
		outcomes []outcome
		verdicts []string
	}{
		"a job that fails on every VM": {
			"it is not parked and therefore retried forever",
			[]outcome{{"bad", "vm-0", false}, {"bad", "vm-1", false}, {"bad", "vm-2", false}},
			[]string{"park bad"},
		},
		"a VM on which every task fails": {
			"it is not quarantined and keeps receiving tasks",
			[]outcome{{"good-0", "broken", false}, {"good-1", "broken", false}, {"good-2", "broken", false}},
			[]string{"quarantine broken"},
		},
		"a job that fails repeatedly on one VM": {
			"a verdict is returned, although it is unknown whether the job or the VM is the cause",
			[]outcome{{"bad", "vm-0", false}, {"bad", "vm-0", false}, {"bad", "vm-0", false}, {"bad", "vm-0", false}},
			nil,
		},
		"a job and a VM that both cause failures": {
			"one of them gets no verdict because the other one causes failures too, or another job or VM gets a verdict",
			[]outcome{
				{"bad", "broken", false},
				{"good-0", "broken", false},
				{"bad", "vm-0", false},
				{"good-1", "broken", false},
				{"bad", "vm-1", false},
				{"good-2", "broken", false},
				{"bad", "vm-2", false},
			},
			[]string{"quarantine broken", "park bad"},
		},
		"two jobs that fail on every VM": {
			"a VM on which both of them fail is quarantined",
			[]outcome{
				{"bad-0", "vm-1", false},
				{"bad-0", "vm-2", false},
				{"bad-1", "vm-1", false},
				{"bad-1", "vm-2", false},
				{"bad-0", "vm-0", false},
				{"bad-1", "vm-0", false},
				{"good-0", "vm-0", false},
			},
			[]string{"park bad-0", "park bad-1"},
		},
		"a new VM on which jobs fail that have failed on other VMs": {
			"the VM is quarantined, or the jobs are parked after only two failures",
			[]outcome{
				{"bad-0", "vm-0", false},
				{"bad-1", "vm-1", false},
				{"bad-2", "vm-2", false},
				{"bad-0", "new", false},
				{"bad-1", "new", false},
				{"bad-2", "new", false},
			},
			nil,
		},
		"a new job that fails on VMs on which other jobs have failed": {
			"the job is parked, or the VMs are quarantined after only two failures",
			[]outcome{
				{"good-0", "b-0", false},
				{"good-1", "b-1", false},
				{"good-2", "b-2", false},
				{"new", "b-0", false},
				{"new", "b-1", false},
				{"new", "b-2", false},
			},
			nil,
		},
		"a job that succeeds on most VMs": {
			"the job is parked for a few failed tasks",
			[]outcome{
				{"good-0", "vm-3", true}, {"good-0", "vm-4", true}, {"good-0", "vm-5", false}, {"good-0", "vm-6", false}, {"good-0", "vm-7", false},
			},
			nil,
		},
	}
	for name, c := range cases {
		It("given "+name+", avoids this failure: "+c.failure, func() {
			a := attributor.New(attributor.Options{Clock: clockwork.NewFakeClock()})
			Expect(recordAll(a, successfulOutcomes()...)).To(BeEmpty())
			Expect(recordAll(a, c.outcomes...)).To(Equal(c.verdicts))
		})
	}

	It("quarantines no VM while many different jobs fail and no task has succeeded yet", func() {
		a := attributor.New(attributor.Options{Clock: clockwork.NewFakeClock()})
		for i := range 12 {
			Expect(recordAll(a, outcome{fmt.Sprint("bad-", i), fmt.Sprint("vm-", i%4), false})).To(BeEmpty())
		}
	})
	It("parks a job that fails on every VM, although most other jobs of a large fleet have only failed so far", func() {
		a := attributor.New(attributor.Options{Clock: clockwork.NewFakeClock()})
		for i := range 200 {
			recordAll(a, outcome{fmt.Sprint("other-", i), fmt.Sprint("other-", i), false})
		}
		for i := range 6 {
			recordAll(a, outcome{"bad", fmt.Sprint("vm-", i), false})
		}
		Expect(a.Parked("bad")).To(BeTrue())
	})
	It("parks the only job of a fleet when it fails on every VM, so that it is not retried forever", func() {
		a := attributor.New(attributor.Options{Clock: clockwork.NewFakeClock()})
		var verdicts []string
		for i := range 6 {
			verdicts = append(verdicts, recordAll(a, outcome{"bad", fmt.Sprint("vm-", i), false})...)
		}
		Expect(verdicts).To(Equal([]string{"park bad"}))
	})
	It("drops the outcomes of a job on a VM when the last of them is older than Window, so that rare failures do not add up", func() {
		clock := clockwork.NewFakeClock()
		a := attributor.New(attributor.Options{Clock: clock})
		for i := range 6 {
			Expect(recordAll(a, outcome{"bad", fmt.Sprint("vm-", i), false})).To(BeEmpty())
			clock.Advance(20 * time.Minute)
		}
	})
	It("doubles the probe interval of a VM after each failed probe, and releases the VM after two successful ones", func() {
		clock := clockwork.NewFakeClock()
		a := attributor.New(attributor.Options{Clock: clock, Window: 24 * time.Hour})
		recordAll(a, append(successfulOutcomes(), outcome{"good-0", "b", false}, outcome{"good-1", "b", false}, outcome{"good-2", "b", false})...)
		Expect(a.Quarantined("b")).To(BeTrue())
		for _, interval := range []time.Duration{1, 2, 4, 8, 16, 32, 60, 60} {
			clock.Advance(interval*time.Minute - time.Second)
			Expect(a.DueProbes()).To(BeEmpty())
			clock.Advance(time.Second)
			Expect(a.DueProbes()).To(Equal([]string{"b"}))
			Expect(a.RecordProbe("b", false)).To(BeEmpty())
		}
		Expect(a.RecordProbe("b", true)).To(BeEmpty())
		Expect(a.RecordProbe("b", true)).To(HaveLen(1))
		Expect(a.Quarantined("b")).To(BeFalse())
		Expect(recordAll(a, outcome{"good-0", "b", false})).To(BeEmpty(), "a released VM is quarantined again for failures before its first quarantine")
	})
	It("no longer counts a job as parked after ForgetJob, so that an operator can resume the job", func() {
		a := attributor.New(attributor.Options{Clock: clockwork.NewFakeClock()})
		recordAll(a, append(successfulOutcomes(), cases["a job that fails on every VM"].outcomes...)...)
		Expect(a.Parked("bad")).To(BeTrue())
		a.ForgetJob("bad")
		Expect(a.Parked("bad")).To(BeFalse())
	})
})

func ExampleAttributor() {
	a := attributor.New(attributor.Options{})
	for _, vm := range []string{"vm-1", "vm-2", "vm-3"} {
		a.RecordOutcome("indexing-3", vm, true)
	}
	for _, vm := range []string{"vm-1", "vm-2", "vm-3"} {
		for _, verdict := range a.RecordOutcome("face-build-7", vm, false) {
			fmt.Println(verdict.Kind, verdict.Job, verdict.Reason, verdict.Evidence)
		}
	}
	// Output: park face-build-7 failed-on-healthy-vms [vm-1 vm-2 vm-3]
}

func BenchmarkRecordOutcome(b *testing.B) {
	for _, n := range []int{300, 900, 2700} {
		b.Run(fmt.Sprint("vms=", n), func(b *testing.B) {
			random := rand.New(rand.NewPCG(3, 3))
			clock := clockwork.NewFakeClock()
			a := attributor.New(attributor.Options{Clock: clock})
			jobs, vms := make([]string, n), make([]string, n)
			for i := range n {
				jobs[i], vms[i] = fmt.Sprint("job-", i), fmt.Sprint("vm-", i)
			}
			recordOutcome := func() {
				clock.Advance(5 * time.Millisecond)
				a.RecordOutcome(jobs[random.IntN(n)], vms[random.IntN(n)], random.IntN(50) > 0)
			}
			for range 100000 {
				recordOutcome()
			}
			b.ReportAllocs()
			for b.Loop() {
				recordOutcome()
			}
		})
	}
}
