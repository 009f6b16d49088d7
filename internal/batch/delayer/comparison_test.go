package delayer_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/batch/delayer"
	"bamboohook/resource"
)

const (
	remoteFactor = 2
	rackCount    = 4
	slotsPerRack = 48
	// usedShare is the share of the slots that the work takes if all of it runs on its preferred rack.
	usedShare = 0.7
	// localShare is the share of the jobs of the first kind that prefer rack 0. Jobs of the second kind prefer none.
	localShare = 0.6
	simulated  = 2 * time.Minute
	planPeriod = 50 * time.Millisecond
)

type (
	// load describes the jobs of a comparison. kindShare is the share of the first kind among all jobs.
	load struct {
		kindShare float64
		jobTasks  int
		// burst is the number of jobs that arrive at the same time.
		burst int
		// tolerance is the share by which the mean completion time may exceed the lower one of the other two policies.
		tolerance float64
	}

	// policy decides whether a task waits for its rack. ahead is the number of tasks that wait for it before this one.
	policy func(now time.Time, t *simulatedTask, ahead int) bool

	// simulation runs jobs on slots. Every task takes a slot, and remoteFactor times as long off its preferred rack.
	simulation struct {
		now     time.Time
		events  eventQueue
		free    [rackCount]int
		waiting []*simulatedTask
		delayer *delayer.Delayer
		waits   policy
		// jobsInTime and jobs count the completed jobs, and completion is the sum of their times.
		jobsInTime, jobs int
		completion       time.Duration
	}

	simulatedJob struct {
		arrivedAt time.Time
		deadline  time.Time
		remaining int
		running   int
	}

	simulatedTask struct {
		job                *simulatedJob
		duration, estimate time.Duration
		// rack is the preferred rack, or -1.
		rack int
		// offRackSince is when the task first waited for its rack, and expected when it then expected a place there.
		offRackSince time.Time
		expected     time.Duration
	}

	event struct {
		at     time.Time
		number int
		do     func()
	}

	eventQueue []event
)

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].number < q[j].number
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)   { *q = append(*q, e.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (s *simulation) after(d time.Duration, do func()) {
	heap.Push(&s.events, event{s.now.Add(d), len(s.events), do})
}

// run simulates the load with the seed, so that all policies get the same jobs.
func (s *simulation) run(l load, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 1))
	start := time.UnixMilli(1_000_000)
	s.now, s.delayer = start, &delayer.Delayer{RemoteFactor: remoteFactor}
	for n := range s.free {
		s.free[n] = slotsPerRack
	}
	// The mean duration of a task is 1.18 s, since 3% take seven times as long.
	rate := usedShare * rackCount * slotsPerRack / 1.18 / float64(l.jobTasks*l.burst)
	for at := 0.0; at < simulated.Seconds(); at += r.ExpFloat64() / rate {
		for range l.burst {
			j := &simulatedJob{remaining: l.jobTasks}
			rack, typical := -1, time.Duration((0.5+r.Float64())*float64(time.Second))
			if r.Float64() < l.kindShare && r.Float64() < localShare {
				rack = 0
			}
			// Estimates are off by up to half.
			estimate := time.Duration((0.5 + r.Float64()) * float64(typical))
			var tasks []*simulatedTask
			for range l.jobTasks {
				t := &simulatedTask{job: j, duration: typical, estimate: estimate, rack: rack}
				if r.Float64() < 0.03 {
					t.duration *= 7
				}
				tasks = append(tasks, t)
			}
			s.after(time.Duration(at*float64(time.Second)), func() {
				j.arrivedAt, j.deadline = s.now, s.now.Add(time.Second+2*typical)
				s.waiting = append(s.waiting, tasks...)
			})
		}
	}
	for at := time.Duration(0); at < simulated+time.Minute; at += planPeriod {
		s.after(at, func() {})
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
		s.plan()
	}
}

// plan starts the waiting tasks in their order, on the preferred rack if it has a free slot, and else on that with most free slots.
func (s *simulation) plan() {
	var waiting []*simulatedTask
	ahead := 0
	for _, t := range s.waiting {
		rack := 0
		for n := range s.free {
			if s.free[n] > s.free[rack] {
				rack = n
			}
		}
		if t.rack >= 0 && s.free[t.rack] > 0 {
			rack = t.rack
		}
		switch {
		case s.free[rack] == 0:
			waiting = append(waiting, t)
		case t.rack >= 0 && rack != t.rack && s.waits(s.now, t, ahead):
			if t.offRackSince.IsZero() {
				t.offRackSince = s.now
			}
			ahead++
			waiting = append(waiting, t)
		default:
			s.start(t, rack)
		}
	}
	s.waiting = waiting
}

func (s *simulation) start(t *simulatedTask, rack int) {
	s.free[rack]--
	t.job.running++
	remote := t.rack >= 0 && rack != t.rack
	if t.rack >= 0 {
		s.delayer.TaskStarted(s.now, rackOf(t.rack), slotSize, false)
	}
	took := t.duration
	if remote {
		took *= remoteFactor
	}
	if !t.offRackSince.IsZero() {
		s.delayer.WaitEnded(s.now, rackOf(t.rack), s.now.Sub(t.offRackSince), t.expected, !remote)
	}
	s.after(took, func() {
		s.free[rack]++
		s.delayer.RunEnded(s.now, rackOf(rack), slotSize, false)
		s.delayer.TaskDone(s.now, "k", t.estimate, took, remote)
		t.job.running--
		if t.job.remaining--; t.job.remaining > 0 {
			return
		}
		s.jobs++
		s.completion += s.now.Sub(t.job.arrivedAt)
		if !s.now.After(t.job.deadline) {
			s.jobsInTime++
		}
	})
}

var slotSize = resource.Amount{MilliProcessors: 1000}

func rackOf(n int) delayer.Rack { return delayer.Rack{Service: "s", Name: fmt.Sprint(n)} }

// use returns the share of the slots that are taken.
func (s *simulation) use() float64 {
	free := 0
	for _, n := range s.free {
		free += n
	}
	return 1 - float64(free)/(rackCount*slotsPerRack)
}

// learnt waits as the Delayer decides.
func (s *simulation) learnt(now time.Time, t *simulatedTask, ahead int) bool {
	duration := s.delayer.Duration("k", t.estimate)
	decision := s.delayer.Decide(now, delayer.Request{
		Rack: rackOf(t.rack), Size: slotSize, Places: 1, Ahead: ahead, Group: t.job.remaining, Use: s.use(),
		Duration: duration, Chain: duration, Left: t.job.deadline.Sub(now), Waited: now.Sub(t.job.arrivedAt), JobRuns: t.job.running > 0,
	})
	if decision.Wait && t.offRackSince.IsZero() {
		t.expected = decision.Expected
	}
	return decision.Wait
}

// Guards against waits that cost more than they save: compared with never waiting and with a fixed wait of 1 s, the learnt wait must let no fewer jobs meet
// their objectives and must not lengthen the mean completion time. 60% of the jobs of a kind want one of four racks, and the fleet is 70% used.
var _ = Describe("Delayer compared with never waiting and a fixed wait", func() {
	for name, l := range map[string]load{
		"jobs of single tasks, half of them of the kind": {kindShare: 0.5, jobTasks: 1, burst: 1},
		"jobs of 4 tasks, half of them of the kind":      {kindShare: 0.5, jobTasks: 4, burst: 1},
		// The fixed wait is longer than what short tasks can save, to which the learnt wait is limited. While all racks are full, that is better on average,
		// but fewer jobs are in time.
		"bursts of 10 jobs, half of them of the kind":  {kindShare: 0.5, jobTasks: 4, burst: 10, tolerance: 0.02},
		"jobs of the kind only, too many for the rack": {kindShare: 1, jobTasks: 1, burst: 1},
	} {
		It("is not worse with "+name, func() {
			type result struct{ inTime, mean float64 }
			compare := func(choose func(*simulation) policy) result {
				total := simulation{}
				for seed := range uint64(5) {
					s := &simulation{}
					s.waits = choose(s)
					s.run(l, seed)
					total.jobs, total.jobsInTime, total.completion = total.jobs+s.jobs, total.jobsInTime+s.jobsInTime, total.completion+s.completion
				}
				return result{float64(total.jobsInTime) / float64(total.jobs), total.completion.Seconds() / float64(total.jobs)}
			}
			never := compare(func(*simulation) policy { return func(time.Time, *simulatedTask, int) bool { return false } })
			fixed := compare(func(*simulation) policy {
				return func(now time.Time, t *simulatedTask, _ int) bool { return now.Sub(t.job.arrivedAt) < time.Second }
			})
			learnt := compare(func(s *simulation) policy { return s.learnt })
			fmt.Fprintf(GinkgoWriter, "never %.5f, fixed %.5f, learnt %.5f\n", never, fixed, learnt)
			Expect(learnt.inTime).To(BeNumerically(">=", max(never.inTime, fixed.inTime)))
			Expect(learnt.mean).To(BeNumerically("<=", (1+l.tolerance)*min(never.mean, fixed.mean)))
		})
	}
})
