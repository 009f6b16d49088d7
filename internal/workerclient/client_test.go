package workerclient_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/message"
	"bamboohook/internal/standin/worker"
	"bamboohook/internal/workerclient"
)

var _ = Describe("Client", func() {
	const id = "job/0/1"
	var (
		w         *worker.Worker
		client    *workerclient.Client
		ctx       = context.Background()
		taskStart = message.WorkerStart{ID: id, RunTime: time.Hour, Lease: time.Minute}
	)

	serveWorker := func(h http.Handler) *httptest.Server {
		server := httptest.NewServer(h)
		DeferCleanup(server.Close)
		client = &workerclient.Client{Address: server.Listener.Addr().String(), Timeout: 5 * time.Second}
		return server
	}

	BeforeEach(func() {
		w = worker.New(worker.Options{})
		serveWorker(w.Handler())
	})

	It("sends every call for a task whose ID contains slashes", func() {
		t, err := client.Start(ctx, taskStart)
		Expect(err).NotTo(HaveOccurred())
		Expect(t.State).To(Equal(worker.StateRunning))
		_, err = client.Renew(ctx, id, time.Minute)
		Expect(err).NotTo(HaveOccurred())
		t, err = client.Throttle(ctx, id, 0.25)
		Expect(err).NotTo(HaveOccurred())
		Expect(t.Share).To(Equal(0.25))
		t, err = client.Checkpoint(ctx, id)
		Expect(err).NotTo(HaveOccurred())
		Expect(t.Checkpoint).NotTo(BeEmpty())
		for _, listCall := range []func(context.Context) (message.WorkerTasks, error){client.List, client.Usage} {
			response, err := listCall(ctx)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Tasks).To(HaveLen(1))
			Expect(response.Capacity.MilliProcessors).To(BeNumerically(">", 0))
		}
		_, err = client.Stop(ctx, id)
		Expect(err).NotTo(HaveOccurred())
		t, err = client.Task(ctx, id)
		Expect(err).NotTo(HaveOccurred())
		Expect(t.State).To(Equal(worker.StateStopped))
	})

	It("reports an unknown outcome when the response is lost after the task has started", func() {
		w.SetFaults(worker.Faults{DropRate: 1})
		_, err := client.Start(ctx, taskStart)
		Expect(err).To(MatchError(workerclient.ErrOutcomeUnknown))
		Expect(w.Counters().Starts).To(Equal(1))
		w.SetFaults(worker.Faults{})
		_, err = client.Start(ctx, taskStart)
		Expect(err).NotTo(HaveOccurred())
		Expect(w.History()).To(HaveLen(1))
	})

	It("reports an unknown outcome when the worker closes the connection or is too slow, because it may have received the call", func() {
		w.SetFaults(worker.Faults{Down: true})
		_, err := client.Start(ctx, taskStart)
		Expect(err).To(MatchError(workerclient.ErrOutcomeUnknown))
		w.SetFaults(worker.Faults{Slow: 200 * time.Millisecond})
		client.Timeout = 20 * time.Millisecond
		_, err = client.Start(ctx, taskStart)
		Expect(err).To(MatchError(workerclient.ErrOutcomeUnknown))
	})

	It("reports a refusal only if the call certainly had no effect", func() {
		_, err := client.Start(ctx, message.WorkerStart{ID: id})
		Expect(err).To(MatchError(workerclient.ErrRefused))
		_, err = client.Renew(ctx, id, time.Second)
		Expect(err).To(MatchError(workerclient.ErrNotFound))
		serveWorker(nil).Close()
		_, err = client.Start(ctx, taskStart)
		Expect(err).To(MatchError(workerclient.ErrRefused))
		Expect(w.Counters().Starts).To(Equal(0))
	})

	for name, statusCode := range map[string]int{
		"internal error": http.StatusInternalServerError, "bad gateway": http.StatusBadGateway, "redirect": http.StatusFound,
		"request timeout": http.StatusRequestTimeout, "invalid body": http.StatusOK,
	} {
		It("reports an unknown outcome, not a refusal, for "+name+" from the worker", func() {
			serveWorker(http.HandlerFunc(func(r http.ResponseWriter, _ *http.Request) {
				r.Header().Set("Location", "/elsewhere")
				r.WriteHeader(statusCode)
			}))
			_, err := client.Start(ctx, taskStart)
			Expect(err).To(MatchError(workerclient.ErrOutcomeUnknown))
		})
	}
})
