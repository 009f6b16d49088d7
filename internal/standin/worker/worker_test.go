package worker_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/message"
	"bamboohook/internal/standin/worker"
	"bamboohook/resource"
)

var _ = Describe("Worker", func() {
	var (
		clock *clockwork.FakeClock
		w     *worker.Worker
		size  = resource.Amount{MilliProcessors: 10_000, MemoryBytes: 1000}
	)

	create := func(o worker.Options) {
		clock = clockwork.NewFakeClock()
		o.Clock = clock
		w = worker.New(o)
	}

	start := func(id, checkpoint string) message.WorkerTask {
		t, err := w.Start(message.WorkerStart{
			ID: id, Kind: "face-build", Size: size, RunTime: 100 * time.Second, Lease: 10 * time.Second, Checkpoint: checkpoint,
		})
		Expect(err).NotTo(HaveOccurred())
		return t
	}

	state := func(id string) string {
		t, err := w.Task(id)
		Expect(err).NotTo(HaveOccurred())
		return t.State
	}

	It("ends a task when its lease expires, even if no agent calls the worker", func() {
		create(worker.Options{})
		start("j/0/1", "")
		clock.Advance(9 * time.Second)
		_, err := w.Renew("j/0/1", 10*time.Second)
		Expect(err).NotTo(HaveOccurred())
		clock.Advance(10*time.Second - 1)
		Expect(state("j/0/1")).To(Equal(worker.StateRunning))
		clock.Advance(time.Hour)
		Expect(state("j/0/1")).To(Equal(worker.StateLapsed))
		h := w.History()
		Expect(h).To(HaveLen(1))
		Expect(h[0].End.Sub(h[0].Start)).To(Equal(19 * time.Second))
		_, err = w.Renew("j/0/1", time.Second)
		Expect(err).To(MatchError(ContainSubstring("not running")))
	})

	It("resumes a task from the progress of a checkpoint and runs a throttled task more slowly", func() {
		create(worker.Options{})
		start("j/0/1", "")
		clock.Advance(4 * time.Second)
		_, err := w.Throttle("j/0/1", 0.5)
		Expect(err).NotTo(HaveOccurred())
		clock.Advance(4 * time.Second)
		t, err := w.Checkpoint("j/0/1")
		Expect(err).NotTo(HaveOccurred())
		Expect(t.Progress).To(BeNumerically("~", 0.06, 1e-9))
		_, err = w.Stop("j/0/1")
		Expect(err).NotTo(HaveOccurred())
		Expect(start("j/0/2", t.Checkpoint).Progress).To(Equal(t.Progress))
		Expect(w.Counters().MaxDeclared).To(Equal(size))
		_, err = w.Start(message.WorkerStart{ID: "x", RunTime: 1, Lease: 1, Checkpoint: "progress:NaN"})
		Expect(err).To(HaveOccurred())
	})

	It("ignores a repeated start", func() {
		create(worker.Options{})
		start("j/0/1", "")
		clock.Advance(5 * time.Second)
		start("j/0/1", "")
		clock.Advance(5 * time.Second)
		Expect(state("j/0/1")).To(Equal(worker.StateLapsed))
		Expect(w.History()).To(HaveLen(1))
		Expect(w.Counters().RepeatedStarts).To(Equal(1))
	})

	It("completes a task after its actual run time and reports its actual usage with a delay", func() {
		create(worker.Options{RunTimeFactor: 0.05, SizeFactor: 2, UsageLag: 3 * time.Second})
		start("j/0/1", "")
		clock.Advance(2 * time.Second)
		Expect(w.Usage().Total).To(Equal(resource.Amount{}))
		clock.Advance(time.Second)
		Expect(w.Usage().Total).To(Equal(size.Add(size)))
		clock.Advance(4 * time.Second)
		Expect(state("j/0/1")).To(Equal(worker.StateDone))
		Expect(w.History()[0].End.Sub(w.History()[0].Start)).To(Equal(5 * time.Second))
		Expect(w.Usage().Total).To(Equal(size.Add(size)))
		clock.Advance(time.Second)
		Expect(w.Usage().Total).To(Equal(resource.Amount{}))
	})

	It("counts the starts after which the sizes of the start requests, not the actual usage, exceed the capacity", func() {
		create(worker.Options{Capacity: size.Add(size), SizeFactor: 5})
		start("a", "")
		start("b", "")
		Expect(w.Counters().Overcommits).To(Equal(0))
		start("c", "")
		Expect(w.Counters().Overcommits).To(Equal(1))
	})

	It("makes tasks fail at their start while the fault is set, and runs tasks that start later", func() {
		create(worker.Options{})
		w.SetFaults(worker.Faults{FailStarts: true})
		Expect(start("a", "").State).To(Equal(worker.StateFailed))
		w.SetFaults(worker.Faults{})
		Expect(start("b", "").State).To(Equal(worker.StateRunning))
	})

	It("serves history, counters and faults over HTTP", func() {
		create(worker.Options{})
		server := httptest.NewServer(w.Handler())
		DeferCleanup(server.Close)
		get := func(path string, into any) {
			response, err := http.Get(server.URL + path)
			Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			Expect(json.NewDecoder(response.Body).Decode(into)).To(Succeed())
		}
		startTime := clock.Now()
		start("j/0/1", "")
		clock.Advance(time.Second)
		_, err := w.Stop("j/0/1")
		Expect(err).NotTo(HaveOccurred())
		var h []worker.Interval
		get(worker.PathHistory, &h)
		Expect(h).To(HaveLen(1))
		Expect([]any{h[0].ID, h[0].Start.Equal(startTime), h[0].End.Sub(h[0].Start), h[0].EndState, h[0].EndProgress}).To(
			Equal([]any{"j/0/1", true, time.Second, worker.StateStopped, 0.01}))
		for body, status := range map[string]int{`{"down":true}`: http.StatusOK, `{"drop-rate":-1}`: http.StatusBadRequest} {
			response, err := http.Post(server.URL+worker.PathFaults, "application/json", strings.NewReader(body))
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Body.Close()).To(Succeed())
			Expect(response.StatusCode).To(Equal(status))
		}
		_, err = http.Get(server.URL + message.PathTasks)
		Expect(err).To(HaveOccurred())
		var c worker.Counters
		get(worker.PathCounters, &c)
		Expect([]int{c.Starts, c.Stopped, c.Lapsed}).To(Equal([]int{1, 1, 0}))
	})
})
