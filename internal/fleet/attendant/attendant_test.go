package attendant_test

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"bamboohook/internal/boottimer"
	"bamboohook/internal/fleet/attendant"
	"bamboohook/internal/fleet/messenger"
	"bamboohook/resource"
)

var _ = Describe("Attendant", func() {
	const (
		task = "a.0.0.0"
		// allCopies is more than the copies of one start that the agent sends.
		allCopies = 1000
	)
	var (
		e *endpoint
		o *reporter
		a *attendant.Attendant
		// discoveryStarted is set when the agent has called DiscoverEntries. That call does not return before the test ends.
		discoveryStarted *atomic.Bool
		// stop ends the agent process and returns when it has ended.
		stop func()
	)
	size := resource.Amount{MilliProcessors: 600, MemoryBytes: 60}
	sendHeartbeat := func() {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		a.HandleHeartbeat(attendant.Heartbeat{
			EndpointID: "e", Incarnation: e.incarnation, Sequence: time.Now().UnixNano(), Service: "s", Capacity: resource.Amount{MilliProcessors: 1000, MemoryBytes: 100},
		})
	}
	orders := func(starts ...messenger.Start) messenger.Orders {
		r := o.report()
		return messenger.Orders{Epoch: o.epoch, Owner: o.address, Session: r.Session, Incarnation: r.Incarnation, ReportSentMS: r.SentMS, Starts: starts}
	}
	start := func(taskName string, number int) messenger.Start {
		return messenger.Start{Task: taskName, Number: number, Size: size}
	}
	awaitGrant := func() {
		Eventually(func() bool { r := o.report(); return r.Listed && r.State == messenger.VMUp }).Should(BeTrue())
		// The agent stores the grant just after the owner has received the report.
		time.Sleep(5 * time.Millisecond)
	}
	BeforeEach(func() {
		e, o = newEndpoint(), &reporter{address: "owner", epoch: 3}
		a = &attendant.Attendant{
			Address: "vm", Generation: "g", Endpoint: e, Reporter: o, Clock: boottimer.Clock{}, Log: zerolog.Nop(),
			LeaseDurations: attendant.LeaseDurations{Grant: 2 * time.Second, Run: 3 * time.Second}, StopTimeout: 500 * time.Millisecond,
			Seeds: []string{"other", "owner"},
		}
		discoveryStarted = &atomic.Bool{}
		started := discoveryStarted
		a.DiscoverEntries = func(ctx context.Context) []string {
			started.Store(true)
			<-ctx.Done()
			return nil
		}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { defer close(ended); _ = a.Run(ctx) }()
		stop = func() { cancel(); <-ended }
		DeferCleanup(stop)
		Eventually(func() int64 { return o.report().Incarnation }).Should(Equal(e.incarnation))
		sendHeartbeat()
		awaitGrant()
	})
	ctx := context.Background()

	It("starts a run once and reports its result until the owner has recorded it", func() {
		Expect(a.HandleOrders(ctx, orders(start(task, 1))).Starts[0].Outcome).To(Equal(messenger.StartDone))
		Expect(a.HandleOrders(ctx, orders(start(task, 1))).Starts[0].Outcome).To(Equal(messenger.StartDone))
		Expect(e.started).To(HaveLen(1))
		e.mutex.Lock()
		e.finish(task, messenger.RunDone)
		e.mutex.Unlock()
		Eventually(func() []messenger.RunResult { return o.report().Results }).Should(HaveLen(1))
		Expect(o.report().Runs).To(BeEmpty())
		Consistently(func() int { e.mutex.Lock(); defer e.mutex.Unlock(); return len(e.results) }).WithTimeout(300 * time.Millisecond).Should(Equal(1))
		o.mutex.Lock()
		o.recordedSequence = 1
		o.mutex.Unlock()
		Eventually(func() int { e.mutex.Lock(); defer e.mutex.Unlock(); return len(e.results) }).Should(BeZero())
		Eventually(func() []messenger.RunResult { return o.report().Results }).Should(BeEmpty())
	})

	for name, c := range map[string]struct {
		change func(o *messenger.Orders)
		before func()
		reason string
	}{
		"a lower epoch":                               {func(o *messenger.Orders) { o.Epoch = 2 }, nil, attendant.ReasonOlderEpoch},
		"the number of another agent process":         {func(o *messenger.Orders) { o.Session++ }, nil, attendant.ReasonOtherSession},
		"the incarnation of another endpoint process": {func(o *messenger.Orders) { o.Incarnation-- }, nil, attendant.ReasonOtherIncarnation},
		"a start based on an old report":              {func(o *messenger.Orders) { o.ReportSentMS -= 2500 }, nil, attendant.ReasonStaleReport},
	} {
		It("rejects orders with "+name, func() {
			m := orders(start(task, 1))
			c.change(&m)
			response := a.HandleOrders(ctx, m)
			Expect(response.Accepted).To(BeFalse())
			Expect(response.Reason).To(Equal(c.reason))
			Expect(e.started).To(BeEmpty())
		})
	}

	// Guards against a heartbeat of another writer, which names a process started in the far future, after which all heartbeats of the endpoint
	// that lists the runs count as late.
	It("accepts heartbeats of the process that lists the runs after one of an unknown later process", func() {
		a.HandleHeartbeat(attendant.Heartbeat{EndpointID: "odd", Incarnation: 1 << 50, Sequence: 1, Service: "s"})
		Eventually(func() string { return o.report().State }).Should(Equal(messenger.VMUnknown))
		sendHeartbeat()
		Eventually(func() string { return o.report().State }).Should(Equal(messenger.VMUp))
		Expect(o.report().EndpointID).To(Equal("e"))
	})

	// Guards against a second start of a task whose run is listed in a row that cannot be read.
	It("keeps a run whose row cannot be read, and reports the name of its task", func() {
		Expect(a.HandleOrders(ctx, orders(start(task, 1))).Starts[0].Outcome).To(Equal(messenger.StartDone))
		Eventually(func() []messenger.Run { return o.report().Runs }).Should(HaveLen(1))
		e.mutex.Lock()
		e.unreadableTasks = []string{task}
		e.mutex.Unlock()
		Eventually(func() []string { return o.report().UnreadableTasks }).Should(Equal([]string{task}))
		Consistently(func() []messenger.Run { return o.report().Runs }).WithTimeout(600 * time.Millisecond).Should(HaveLen(1))
		e.mutex.Lock()
		e.unreadableTasks = nil
		e.mutex.Unlock()
		Eventually(func() []string { return o.report().UnreadableTasks }).Should(BeEmpty())
	})

	// Guards against a second start of a task whose run is listed in a row of which not even the task can be read.
	It("keeps a run that a row without a readable task may hide, and reports that it is not listed", func() {
		Expect(a.HandleOrders(ctx, orders(start(task, 1))).Starts[0].Outcome).To(Equal(messenger.StartDone))
		Eventually(func() []messenger.Run { return o.report().Runs }).Should(HaveLen(1))
		Expect(o.report().Runs[0].Unlisted).To(BeFalse())
		e.mutex.Lock()
		e.unnamedRuns = true
		e.mutex.Unlock()
		Eventually(func() bool { return o.report().UnnamedRuns }).Should(BeTrue())
		Consistently(func() []messenger.Run { return o.report().Runs }).WithTimeout(600 * time.Millisecond).Should(HaveLen(1))
		Expect(o.report().Runs[0].Unlisted).To(BeTrue())
		e.mutex.Lock()
		e.unnamedRuns = false
		e.mutex.Unlock()
		Eventually(func() bool { return o.report().UnnamedRuns || o.report().Runs[0].Unlisted }).Should(BeFalse())
	})

	// Guards against a new owner that takes all runs for known although a row may hide one that the restarted agent does not know.
	It("reports that there may be runs that it does not know until a list without unnamed runs", func() {
		e.mutex.Lock()
		e.unnamedRuns = true
		e.mutex.Unlock()
		Eventually(func() bool { return o.report().UnnamedRuns }).Should(BeTrue())
		Expect(o.report().UnknownRuns).To(BeFalse(), "this process has seen a list without unnamed runs")
		e.replace()
		Eventually(func() bool { r := o.report(); return r.Incarnation == e.incarnation && r.Listed }).Should(BeTrue())
		Expect(o.report().UnknownRuns).To(BeTrue())
		e.mutex.Lock()
		e.unnamedRuns = false
		e.mutex.Unlock()
		Eventually(func() bool { return o.report().UnknownRuns }).Should(BeFalse())
	})

	// Guards against a start that counts as refused because the list lacks its run, although a row may hide it.
	It("does not refuse a start without a response while a row may hide its run", func() {
		e.mutex.Lock()
		e.unnamedRuns, e.keepsRunning, e.responsesToDrop = true, true, allCopies
		e.mutex.Unlock()
		Expect(a.HandleOrders(ctx, orders(start(task, 1))).Starts[0].Outcome).To(Equal(messenger.StartUnknown))
	})

	// Guards against a run that is lost but is kept for ever, because a row without a readable task is listed for ever, and against a run that
	// counts as ended before its stop has certainly ended it.
	It("drops a run that a row may hide only once the endpoint has confirmed its stop and the stop has ended", func() {
		Expect(a.HandleOrders(ctx, orders(start(task, 1))).Starts[0].Outcome).To(Equal(messenger.StartDone))
		e.mutex.Lock()
		delete(e.runs, task)
		e.unnamedRuns, e.stopsFail = true, true
		e.mutex.Unlock()
		Eventually(func() bool { return o.report().UnnamedRuns }).Should(BeTrue())
		m := orders()
		m.Stops = []messenger.Stop{{Task: task, Number: 1}}
		Expect(a.HandleOrders(ctx, m).Stopped).To(BeEmpty())
		Consistently(func() []messenger.Run { return o.report().Runs }).WithTimeout(time.Second).Should(HaveLen(1))
		e.mutex.Lock()
		e.stopsFail = false
		e.mutex.Unlock()
		Expect(a.HandleOrders(ctx, m).Stopped).To(Equal(m.Stops))
		Consistently(func() []messenger.Run { return o.report().Runs }).WithTimeout(350 * time.Millisecond).Should(HaveLen(1))
		Eventually(func() []messenger.Run { return o.report().Runs }).WithTimeout(2 * time.Second).Should(BeEmpty())
		Expect(o.report().UnnamedRuns).To(BeTrue())
	})

	// Guards against an agent that lists without a pause because the endpoint always has a result that cannot be discarded.
	It("pauses between list requests while a result without a usable sequence number is listed", func() {
		e.mutex.Lock()
		e.unreadableResults = true
		listed := len(e.queries)
		e.mutex.Unlock()
		time.Sleep(500 * time.Millisecond)
		e.mutex.Lock()
		defer e.mutex.Unlock()
		Expect(len(e.queries) - listed).To(And(BeNumerically(">", 1), BeNumerically("<", 60)))
	})

	// Guards against results that are never reported because the row before them cannot be read.
	It("reports a result that cannot be read as one without a task, and the results after it", func() {
		Expect(a.HandleOrders(ctx, orders(start(task, 1))).Starts[0].Outcome).To(Equal(messenger.StartDone))
		e.mutex.Lock()
		e.results = append(e.results, messenger.RunResult{Sequence: e.nextSequence})
		e.nextSequence++
		e.finish(task, messenger.RunDone)
		e.mutex.Unlock()
		Eventually(func() []messenger.RunResult { return o.report().Results }).Should(HaveLen(2))
		o.mutex.Lock()
		o.recordedSequence = 2
		o.mutex.Unlock()
		Eventually(func() int { e.mutex.Lock(); defer e.mutex.Unlock(); return len(e.results) }).Should(BeZero())
	})

	It("refuses starts that exceed the capacity and starts of stopped runs", func() {
		response := a.HandleOrders(ctx, orders(start(task, 1), start("b.0.0.0", 1)))
		var outcomes []string
		for _, s := range response.Starts {
			outcomes = append(outcomes, s.Outcome)
		}
		Expect(outcomes).To(ConsistOf(messenger.StartDone, messenger.StartRefused))
		m := orders()
		m.Stops = []messenger.Stop{{Task: "c.0.0.0", Number: 4}}
		Expect(a.HandleOrders(ctx, m).Accepted).To(BeTrue())
		Expect(a.HandleOrders(ctx, orders(messenger.Start{Task: "c.0.0.0", Number: 4})).Starts[0].Reason).To(Equal(attendant.ReasonStopped))
	})

	It("refuses starts while the endpoint drains", func() {
		a.HandleHeartbeat(attendant.Heartbeat{EndpointID: "e", Incarnation: e.incarnation, Sequence: time.Now().UnixNano(), Draining: true})
		Expect(a.HandleOrders(ctx, orders(start(task, 1))).Starts[0].Outcome).To(Equal(messenger.StartRefused))
	})

	// If the endpoint doesn't respond to a start, the start may be delayed rather than lost. Guards against a start that is reported as
	// refused although it takes effect seconds later.
	It("reports a start as refused only after the endpoint can no longer execute it", func() {
		e.startsToDelay = allCopies
		Expect(a.HandleOrders(ctx, orders(start(task, 1))).Starts[0].Outcome).To(Equal(messenger.StartRefused))
		Expect(e.delayedStarts).ToNot(BeEmpty())
		Expect(e.executeDelayedStarts()).To(BeZero())
	})

	// If the response to a start is lost, its run may end before the start is repeated. The endpoint then rejects the repeat, but the start
	// must not be reported as refused.
	It("does not report a start as refused if an earlier attempt of it was executed", func() {
		e.responsesToDrop = 1
		Expect(a.HandleOrders(ctx, orders(start(task, 1))).Starts[0].Outcome).To(Equal(messenger.StartDone))
		Eventually(func() []messenger.RunResult { return o.report().Results }).Should(HaveLen(1))
	})

	// A listing that was composed before the run started may arrive after the response to a later list request. The run must not be
	// reported as lost because of it.
	It("ignores a listing that arrives after the response to a later list request", func() {
		e.mutex.Lock()
		release := make(chan struct{})
		e.listRelease = release
		e.mutex.Unlock()
		Eventually(func() bool { e.mutex.Lock(); defer e.mutex.Unlock(); return e.listComposed }).WithTimeout(2 * time.Second).Should(BeTrue())
		e.mutex.Lock()
		e.responsesToDrop, e.keepsRunning = allCopies, true
		e.mutex.Unlock()
		Expect(a.HandleOrders(ctx, orders(start(task, 1))).Starts[0].Outcome).To(Equal(messenger.StartDone))
		Eventually(func() int { return len(o.report().Runs) }).Should(Equal(1))
		o.mutex.Lock()
		o.reportsWithoutRuns = 0
		o.mutex.Unlock()
		close(release)
		Consistently(func() int { o.mutex.Lock(); defer o.mutex.Unlock(); return o.reportsWithoutRuns }).WithTimeout(600 * time.Millisecond).Should(BeZero())
	})

	// Guards against reporting a repeated order as refused although the first copy of the order may still take effect.
	It("reports an unknown outcome of a start while an earlier copy of the order waits for its response", func() {
		e.startsToDelay = allCopies
		e.mutex.Lock()
		e.startRelease = make(chan struct{})
		e.mutex.Unlock()
		first := make(chan messenger.OrdersResponse, 1)
		m := orders(start(task, 1))
		go func() { first <- a.HandleOrders(ctx, m) }()
		Eventually(func() bool { e.mutex.Lock(); defer e.mutex.Unlock(); return e.startBlocked }).Should(BeTrue())
		Expect(a.HandleOrders(ctx, m).Starts[0].Outcome).To(Equal(messenger.StartUnknown))
		close(e.startRelease)
		Eventually(first).Should(Receive())
	})

	// Guards against a restarted agent that obeys a former owner, which is not aware of its successor, because it asks that owner first.
	It("reports to the owner of the highest epoch that any entry names when it starts", func() {
		stop()
		var mutex sync.Mutex
		reports := map[string]int{}
		successor := &attendant.Attendant{
			Address: "vm", Generation: "h", Endpoint: e, Clock: boottimer.Clock{}, Log: zerolog.Nop(), LeaseDurations: a.LeaseDurations,
			Seeds: []string{"former", "dead", "other"},
			Reporter: reporterFunc(func(entry string, r messenger.Report) (messenger.ReportResponse, error) {
				mutex.Lock()
				defer mutex.Unlock()
				reports[entry]++
				switch entry {
				case "former":
					return messenger.ReportResponse{Owner: "former", Epoch: 3, Session: 9, Granted: true, Incarnation: r.Incarnation}, nil
				case "other":
					return messenger.ReportResponse{Owner: "owner", Epoch: 4, Entries: []string{"owner", "former"}}, nil
				case "owner":
					return messenger.ReportResponse{Owner: "owner", Epoch: 4, Session: 1, Granted: true, Incarnation: r.Incarnation}, nil
				}
				return messenger.ReportResponse{}, errNoResponse
			}),
		}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { defer close(ended); _ = successor.Run(ctx) }()
		DeferCleanup(func() { cancel(); <-ended })
		Eventually(func() int { mutex.Lock(); defer mutex.Unlock(); return reports["owner"] }).Should(BeNumerically(">", 2))
		mutex.Lock()
		defer mutex.Unlock()
		Expect(reports["former"]).To(Equal(1))
	})

	// Guards against a restarted agent that executes starts of a former owner, because the entry that has become the owner does not respond, or because
	// a partition refuses connections to that entry.
	for name, fail := range map[string]func(o *reporter){
		"does not respond":    func(o *reporter) { o.unresponsiveAddress = "other" },
		"refuses connections": func(o *reporter) { o.refusingAddress = "other" },
	} {
		It("refuses starts for a limited time if an entry "+name+" when the agent starts", func() {
			stop()
			o.mutex.Lock()
			fail(o)
			o.epoch, o.reportCount = 4, 0
			o.mutex.Unlock()
			successor := &attendant.Attendant{
				Address: "vm", Generation: "h", Endpoint: e, Reporter: o, Clock: boottimer.Clock{}, Log: zerolog.Nop(), LeaseDurations: a.LeaseDurations,
				Seeds: []string{"other", "owner"},
			}
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan struct{})
			go func() { defer close(ended); _ = successor.Run(ctx) }()
			DeferCleanup(func() { cancel(); <-ended })
			successor.HandleHeartbeat(attendant.Heartbeat{
				EndpointID: "e", Incarnation: e.incarnation, Sequence: time.Now().UnixNano(), Service: "s", Capacity: resource.Amount{MilliProcessors: 1000, MemoryBytes: 100},
			})
			Eventually(func() bool { r := o.report(); return r.Generation == "h" && r.Listed }).WithTimeout(2 * time.Second).Should(BeTrue())
			Eventually(func() string { return successor.HandleOrders(ctx, orders(start(task, 1))).Reason }).Should(Equal(attendant.ReasonEntrySilent))
			Expect(e.started).To(BeEmpty())
			Eventually(func() []string {
				successor.HandleOrders(ctx, orders(start(task, 1)))
				e.mutex.Lock()
				defer e.mutex.Unlock()
				return e.started
			}).WithTimeout(4 * time.Second).Should(HaveLen(1))
		})
	}

	// Guards against a restarted agent that counts its first list of runs as complete, although a start of its predecessor takes effect later.
	It("lists the runs under a token that keeps delayed starts of earlier agent processes from taking effect", func() {
		lastToken := func() uint64 { e.mutex.Lock(); defer e.mutex.Unlock(); return e.queries[len(e.queries)-1].FencingToken }
		Eventually(lastToken).Should(BeNumerically(">", 100))
		stop()
		e.mutex.Lock()
		// The predecessor has raised its token a few times since the endpoint has last seen it.
		token := e.queries[len(e.queries)-1].FencingToken + 5
		e.delayedStarts = append(e.delayedStarts, attendant.StartCall{EndpointID: "e", FencingToken: token, Start: start(task, 1)})
		e.mutex.Unlock()
		successor := &attendant.Attendant{
			Address: "vm", Generation: "h", Endpoint: e, Reporter: o, Clock: boottimer.Clock{}, Log: zerolog.Nop(), LeaseDurations: a.LeaseDurations,
			Seeds: []string{"owner"},
		}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { defer close(ended); _ = successor.Run(ctx) }()
		DeferCleanup(func() { cancel(); <-ended })
		Eventually(func() bool { r := o.report(); return r.Generation == "h" && r.Listed }).Should(BeTrue())
		Expect(o.report().Runs).To(BeEmpty())
		Expect(e.executeDelayedStarts()).To(BeZero())
	})

	// Guards against a new endpoint process that discards results, because it is told which results of its predecessor are recorded.
	It("reports the results of a new endpoint process that have the numbers of recorded ones", func() {
		Expect(a.HandleOrders(ctx, orders(start(task, 1))).Starts[0].Outcome).To(Equal(messenger.StartDone))
		e.mutex.Lock()
		e.finish(task, messenger.RunDone)
		e.mutex.Unlock()
		Eventually(func() []messenger.RunResult { return o.report().Results }).Should(HaveLen(1))
		o.mutex.Lock()
		o.recordedSequence = 1
		o.mutex.Unlock()
		Eventually(func() []messenger.RunResult { return o.report().Results }).Should(BeEmpty())
		o.mutex.Lock()
		o.recordedSequence = 0
		o.mutex.Unlock()
		e.mutex.Lock()
		e.notListening = true
		e.mutex.Unlock()
		Eventually(func() string { return o.report().State }).WithTimeout(3 * time.Second).Should(Equal(messenger.VMNotListening))
		e.mutex.Lock()
		e.incarnation += 50
		e.notListening, e.highestFencingToken = false, 0
		e.results = []messenger.RunResult{{Sequence: 1, Task: "b.0.0.0", Number: 1, Outcome: messenger.RunDone}}
		incarnation := e.incarnation
		e.mutex.Unlock()
		a.HandleHeartbeat(attendant.Heartbeat{EndpointID: "e2", Incarnation: incarnation, Sequence: 1, Service: "s"})
		Eventually(func() []messenger.RunResult { return o.report().Results }).WithTimeout(2 * time.Second).Should(HaveLen(1))
	})

	// Guards against a second run of a task whose run has ended, while the endpoint lists only the first of many unrecorded results.
	It("does not count a run as absent while results may be missing in the list", func() {
		Expect(a.HandleOrders(ctx, orders(start(task, 1))).Starts[0].Outcome).To(Equal(messenger.StartDone))
		Eventually(func() []messenger.Run { return o.report().Runs }).Should(HaveLen(1))
		e.mutex.Lock()
		delete(e.runs, task)
		e.resultsMissing = true
		e.mutex.Unlock()
		o.mutex.Lock()
		o.reportsWithoutRuns = 0
		o.mutex.Unlock()
		Consistently(func() int { o.mutex.Lock(); defer o.mutex.Unlock(); return o.reportsWithoutRuns }).WithTimeout(900 * time.Millisecond).Should(BeZero())
		e.mutex.Lock()
		e.resultsMissing = false
		e.mutex.Unlock()
		Eventually(func() []messenger.Run { return o.report().Runs }).WithTimeout(2 * time.Second).Should(BeEmpty())
	})

	// Guards against a start that is repeated at another endpoint process than the one for which it was ordered.
	It("does not repeat a start after a heartbeat of another endpoint process", func() {
		e.mutex.Lock()
		release := make(chan struct{})
		e.startRelease, e.startsToDelay = release, allCopies
		incarnation := e.incarnation + 50
		e.mutex.Unlock()
		outcome := make(chan string, 1)
		m := orders(start(task, 1))
		go func() { outcome <- a.HandleOrders(ctx, m).Starts[0].Outcome }()
		countCalls := func() int { e.mutex.Lock(); defer e.mutex.Unlock(); return e.startCalls }
		Eventually(countCalls).Should(BeNumerically(">", 0))
		a.HandleHeartbeat(attendant.Heartbeat{EndpointID: "e2", Incarnation: incarnation, Sequence: 1, Service: "s"})
		callsBefore := countCalls()
		// One copy may have been on its way when the heartbeat arrived.
		Consistently(countCalls).WithTimeout(300 * time.Millisecond).Should(BeNumerically("<=", callsBefore+1))
		close(release)
		Eventually(outcome).WithTimeout(3 * time.Second).Should(Receive(Not(Equal(messenger.StartDone))))
		e.mutex.Lock()
		defer e.mutex.Unlock()
		Expect(e.started).To(BeEmpty())
		for _, s := range e.delayedStarts {
			Expect(s.EndpointID).NotTo(Equal("e2"))
		}
	})

	It("reports no runs after the endpoint process was replaced", func() {
		a.HandleOrders(ctx, orders(start(task, 1)))
		e.replace()
		Eventually(func() int64 { return o.report().Incarnation }).Should(Equal(e.incarnation))
		sendHeartbeat()
		awaitGrant()
		Expect(o.report().Runs).To(BeEmpty())
	})

	It("reports no runs while the endpoint refuses connections", func() {
		a.HandleOrders(ctx, orders(start(task, 1)))
		e.mutex.Lock()
		e.notListening = true
		e.mutex.Unlock()
		Eventually(func() bool { r := o.report(); return r.State == messenger.VMNotListening && len(r.Runs) == 0 }).Should(BeTrue())
	})

	// A delayed start may reach the next endpoint process. If the agent stopped reporting it, the owner would start a second run of the task
	// on another VM.
	It("keeps reporting a start in progress after the endpoint process has ended", func() {
		e.mutex.Lock()
		e.startRelease = make(chan struct{})
		release := e.startRelease
		e.mutex.Unlock()
		done := make(chan struct{})
		go func() { a.HandleOrders(ctx, orders(start(task, 1))); close(done) }()
		Eventually(func() bool { e.mutex.Lock(); defer e.mutex.Unlock(); return e.startBlocked }).Should(BeTrue())
		e.mutex.Lock()
		e.notListening = true
		e.mutex.Unlock()
		Eventually(func() string { return o.report().State }).Should(Equal(messenger.VMNotListening))
		Expect(o.report().Runs).To(HaveLen(1))
		close(release)
		Eventually(done).Should(BeClosed())
	})

	// Guards against an agent that renews leases forever although no owner responds.
	It("stops renewing leases when the grant in the owner's last response has ended", func() {
		lastDeadline := func() int64 { e.mutex.Lock(); defer e.mutex.Unlock(); return e.queries[len(e.queries)-1].DeadlineMS }
		Eventually(lastDeadline).WithTimeout(3 * time.Second).ShouldNot(BeZero())
		o.mutex.Lock()
		o.failsReports = true
		o.mutex.Unlock()
		Consistently(lastDeadline).WithTimeout(1200 * time.Millisecond).ShouldNot(BeZero())
		Eventually(lastDeadline).WithTimeout(3 * time.Second).Should(BeZero())
	})

	// Guards against an agent that delays its report to a new owner because it still waits for a response of the previous owner.
	It("reports to a new owner at once while the previous one does not respond", func() {
		o.mutex.Lock()
		o.unresponsiveAddress = "owner"
		o.mutex.Unlock()
		time.Sleep(450 * time.Millisecond)
		o.mutex.Lock()
		o.address, o.epoch, o.reportCount = "next", 9, 0
		o.mutex.Unlock()
		a.HandleOrders(ctx, messenger.Orders{Epoch: 9, Owner: "next"})
		Eventually(func() int { o.mutex.Lock(); defer o.mutex.Unlock(); return o.reportCount }).WithTimeout(100 * time.Millisecond).WithPolling(time.Millisecond).
			ShouldNot(BeZero())
	})

	// Guards against the owner of a large fleet that has processor time for nothing but reports, and against results that wait for the next report.
	It("reports measurements as rarely as the owner asks, but results at once", func() {
		a.HandleOrders(ctx, orders(start(task, 1)))
		o.mutex.Lock()
		o.reportInterval = 900 * time.Millisecond
		o.mutex.Unlock()
		time.Sleep(500 * time.Millisecond)
		o.mutex.Lock()
		o.reportCount, o.sentMS = 0, nil
		o.mutex.Unlock()
		time.Sleep(1800 * time.Millisecond)
		o.mutex.Lock()
		count, sentMS := o.reportCount, o.sentMS
		o.mutex.Unlock()
		Expect(count).To(BeNumerically("<=", 3))
		for i := 1; i < len(sentMS); i++ {
			Expect(sentMS[i]-sentMS[i-1]).To(BeNumerically(">=", 899), "a report followed another one too early")
		}
		e.mutex.Lock()
		e.finish(task, messenger.RunDone)
		e.mutex.Unlock()
		Eventually(func() int { return len(o.report().Results) }).WithTimeout(400 * time.Millisecond).WithPolling(5 * time.Millisecond).Should(Equal(1))
	})

	// Guards against a task that runs again after it is done: the next endpoint process has the same ID, and the late copy of an unanswered start
	// reaches it before a call with a higher token does.
	It("gives all calls after an unanswered start a higher token, also if a repetition has succeeded", func() {
		e.mutex.Lock()
		e.startsToDelay = 1
		e.mutex.Unlock()
		Expect(a.HandleOrders(ctx, orders(start(task, 1))).Starts[0].Outcome).To(Equal(messenger.StartDone))
		e.mutex.Lock()
		highest, delayed := e.highestFencingToken, e.delayedStarts[0].FencingToken
		e.mutex.Unlock()
		Expect(highest).To(BeNumerically(">", delayed))
	})

	// Guards against a task that runs again although it is done: its result at a new endpoint process with the same ID is discarded as one of the
	// previous process.
	It("keeps the results of an endpoint process that has replaced another one with the same ID unnoticed", func() {
		Expect(a.HandleOrders(ctx, orders(start(task, 1))).Starts[0].Outcome).To(Equal(messenger.StartDone))
		e.mutex.Lock()
		e.finish(task, messenger.RunDone)
		e.mutex.Unlock()
		Eventually(func() []messenger.RunResult { return o.report().Results }).Should(HaveLen(1))
		o.mutex.Lock()
		o.recordedSequence = 1
		o.mutex.Unlock()
		Eventually(func() int { e.mutex.Lock(); defer e.mutex.Unlock(); return len(e.results) }).Should(BeZero())
		Eventually(func() []messenger.RunResult { return o.report().Results }).Should(BeEmpty())
		release := make(chan struct{})
		e.mutex.Lock()
		e.listRelease, e.listComposed = release, false
		e.mutex.Unlock()
		Eventually(func() bool { e.mutex.Lock(); defer e.mutex.Unlock(); return e.listComposed }).Should(BeTrue())
		e.replace()
		Expect(a.HandleOrders(ctx, orders(start("b.0.0.0", 1))).Starts[0].Outcome).To(Equal(messenger.StartDone))
		o.mutex.Lock()
		o.recordedSequence = 0
		o.mutex.Unlock()
		e.mutex.Lock()
		e.finish("b.0.0.0", messenger.RunDone)
		e.mutex.Unlock()
		close(release)
		Eventually(func() []messenger.RunResult { return o.report().Results }).WithTimeout(2 * time.Second).Should(HaveLen(1))
		Expect(o.report().Results[0].Task).To(Equal("b.0.0.0"))
	})

	// Guards against a task that runs again after it is done: a list request that makes the endpoint forget recorded results, and is delayed, reaches the next
	// process with the same ID, which numbers its results anew, after that process has executed a start.
	for name, delay := range map[string]time.Duration{"": 700 * time.Millisecond, ", which was sent just before the start": 0} {
		It("keeps a delayed list request from discarding the result of a start that a later endpoint process has executed"+name, func() {
			Expect(a.HandleOrders(ctx, orders(start("b.0.0.0", 1))).Starts[0].Outcome).To(Equal(messenger.StartDone))
			e.mutex.Lock()
			e.finish("b.0.0.0", messenger.RunDone)
			e.mutex.Unlock()
			// The first request that makes the endpoint forget the result is delayed. A repeat of it takes effect.
			hold := make(chan struct{})
			e.mutex.Lock()
			e.listHold = hold
			e.mutex.Unlock()
			o.mutex.Lock()
			o.recordedSequence = 1
			o.mutex.Unlock()
			Eventually(func() bool { e.mutex.Lock(); defer e.mutex.Unlock(); return e.listHeld }).WithPolling(time.Millisecond).Should(BeTrue())
			if delay > 0 {
				Eventually(func() int { e.mutex.Lock(); defer e.mutex.Unlock(); return len(e.results) }).Should(BeZero())
			}
			// After the longer time the request is overdue, because the endpoint would have answered it.
			time.Sleep(delay)
			// The agent does not know of the replacement, so the start goes to the process with the same ID.
			e.replace()
			Expect(a.HandleOrders(ctx, orders(start(task, 1))).Starts[0].Outcome).To(Equal(messenger.StartDone))
			e.mutex.Lock()
			e.finish(task, messenger.RunDone)
			e.mutex.Unlock()
			close(hold)
			Eventually(func() error { e.mutex.Lock(); defer e.mutex.Unlock(); return e.lateListErr }).Should(MatchError(attendant.ErrFenced))
			e.mutex.Lock()
			defer e.mutex.Unlock()
			Expect(e.results).To(HaveLen(1))
		})
	}

	// Guards against an agent that delays its report to a new owner because it waits for the list of entries in the store.
	It("reports to a new owner at once while the list of entries cannot be read", func() {
		o.mutex.Lock()
		o.failsReports = true
		o.mutex.Unlock()
		Eventually(discoveryStarted.Load).WithTimeout(3 * time.Second).Should(BeTrue())
		o.mutex.Lock()
		o.failsReports, o.address, o.epoch, o.reportCount = false, "next", 9, 0
		o.mutex.Unlock()
		a.HandleOrders(ctx, messenger.Orders{Epoch: 9, Owner: "next"})
		Eventually(func() int { o.mutex.Lock(); defer o.mutex.Unlock(); return o.reportCount }).WithTimeout(100 * time.Millisecond).WithPolling(time.Millisecond).
			ShouldNot(BeZero())
	})

	// Guards against a pace that is not set, but counts as confirmed at the owner, because a start of the same time has raised the fencing token.
	It("repeats a pace that was fenced by another call of the agent", func() {
		Expect(a.HandleOrders(ctx, orders(start(task, 1))).Starts[0].Outcome).To(Equal(messenger.StartDone))
		pace := func() int { e.mutex.Lock(); defer e.mutex.Unlock(); return e.paces[task] }
		m := orders()
		m.Paces = []messenger.Pace{{Task: task, Number: 1, Percent: 100}}
		a.HandleOrders(ctx, m)
		Expect(pace()).To(Equal(100))
		e.mutex.Lock()
		// All calls are answered but the first copy of one start.
		e.startsToDelay, e.paceLatency = 1, 40*time.Millisecond
		e.mutex.Unlock()
		done := make(chan string, 1)
		other := orders(messenger.Start{Task: "b.0.0.0", Number: 1})
		go func() { done <- a.HandleOrders(ctx, other).Starts[0].Outcome }()
		time.Sleep(35 * time.Millisecond)
		m.Paces[0].Percent = 0
		Expect(a.HandleOrders(ctx, m).Accepted).To(BeTrue())
		Expect(<-done).To(Equal(messenger.StartDone))
		Expect(pace()).To(BeZero())
	})

	// Guards against a pace that is replaced by a repeat of an earlier order, which is still under way.
	It("does not repeat a pace after a newer one was set", func() {
		Expect(a.HandleOrders(ctx, orders(start(task, 1))).Starts[0].Outcome).To(Equal(messenger.StartDone))
		pace := func() int { e.mutex.Lock(); defer e.mutex.Unlock(); return e.paces[task] }
		e.mutex.Lock()
		// The owner sends another pace after 300 ms; five copies of the first one are unanswered until then.
		e.pacesToDelay = 5
		e.mutex.Unlock()
		m, newer := orders(), orders()
		m.Paces = []messenger.Pace{{Task: task, Number: 1, Percent: 50}}
		newer.Paces = []messenger.Pace{{Task: task, Number: 1, Percent: 0}}
		done := make(chan bool, 1)
		go func() { done <- a.HandleOrders(ctx, m).Accepted }()
		time.Sleep(270 * time.Millisecond)
		Expect(a.HandleOrders(ctx, newer).Accepted).To(BeTrue())
		Expect(pace()).To(BeZero())
		Expect(<-done).To(BeTrue())
		Expect(pace()).To(BeZero())
	})

	// Guards against a pace that is not set because one call gets no answer, and against one that is replaced by a late copy of an earlier one.
	It("repeats an unanswered pace, and keeps its late copy from replacing a later pace", func() {
		Expect(a.HandleOrders(ctx, orders(start(task, 1))).Starts[0].Outcome).To(Equal(messenger.StartDone))
		pace := func() int { e.mutex.Lock(); defer e.mutex.Unlock(); return e.paces[task] }
		e.mutex.Lock()
		e.pacesToDelay = 1
		e.mutex.Unlock()
		m := orders()
		m.Paces = []messenger.Pace{{Task: task, Number: 1, Percent: 50}}
		a.HandleOrders(ctx, m)
		Expect(pace()).To(Equal(50))
		m.Paces[0].Percent = 80
		a.HandleOrders(ctx, m)
		Expect(pace()).To(Equal(80))
		e.mutex.Lock()
		Expect(e.delayedPaces).To(HaveLen(1))
		Expect(e.executePace(e.delayedPaces[0])).To(MatchError(attendant.ErrFenced))
		e.mutex.Unlock()
		Expect(pace()).To(Equal(80))
	})

	It("reports to the owner of a higher epoch after that owner has sent orders", func() {
		Expect(a.HandleOrders(ctx, messenger.Orders{Epoch: 9, Owner: "next"}).Accepted).To(BeFalse())
		Expect(a.HandleOrders(ctx, orders(start(task, 1))).Reason).To(Equal(attendant.ReasonOlderEpoch))
		o.mutex.Lock()
		o.address, o.epoch, o.reportCount = "next", 9, 0
		o.mutex.Unlock()
		Eventually(func() int { o.mutex.Lock(); defer o.mutex.Unlock(); return o.reportCount }).ShouldNot(BeZero())
	})
})
