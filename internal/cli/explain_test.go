package cli_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/cli"
	"bamboohook/internal/fleet/messenger"
	"bamboohook/internal/peer"
)

var _ = Describe("platform explain", func() {
	const validJob = `{"Steps":[{"Count":3,"Cpu":1000,"MemMb":64,"EstimateMs":500,"Affinity":"r1"}]}`
	var (
		response messenger.JobResponse
		request  messenger.JobRequest
		address  string
	)
	BeforeEach(func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address = listener.Addr().String()
		server := &peer.Server{OnPanic: func(string, any, []byte) {}}
		server.Handle(messenger.MethodExplain, func(_ context.Context, params json.RawMessage) (any, error) {
			return response, json.Unmarshal(params, &request)
		})
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { defer close(ended); _ = server.Run(ctx, listener) }()
		DeferCleanup(func() { cancel(); <-ended })
	})
	run := func(entry, content string, flags ...string) (int, string) {
		file := filepath.Join(GinkgoT().TempDir(), "job.json")
		Expect(os.WriteFile(file, []byte(content), 0o600)).To(Succeed())
		var buffer bytes.Buffer
		exitCode := cli.Run(append([]string{"platform", "explain", file, "--queue=q", "--entry=" + entry}, flags...), &buffer, &buffer)
		return exitCode, buffer.String()
	}
	explanation := &messenger.Explanation{
		Queue: "q", Service: "s", Epoch: 3, Version: 7, VMs: 4, UsableVMs: 3,
		Steps: []messenger.StepOutlook{
			{
				Step: 0, Tasks: 5, NotStarted: 2, Refusals: map[string]int{"no-room": 2, "held": 1},
				Places: []messenger.Place{{VM: "10.0.0.1:2", Rack: "r0", Tasks: 2, ReportAgeMS: 120, OffRack: true, OffRackReason: "too-slow", PaceShare: 0.5}},
				Waits:  []messenger.RackOutlook{{Rack: "r1", Tasks: 1, Ahead: 2, ExpectedMS: 200, LimitMS: 900, SavedMS: 1000}},
			},
			{Step: 1, Tasks: 3, After: []int{0}},
		},
		OmittedPlaces: 4,
	}

	It("prints a line for each place, wait and refusal", func() {
		response = messenger.JobResponse{Outcome: messenger.OutcomeDone, Explanation: explanation}
		exitCode, output := run(address, validJob)
		Expect(exitCode).To(Equal(cli.ExitDone), output)
		var lines []string
		for line := range strings.Lines(output) {
			lines = append(lines, strings.Join(strings.Fields(line), " "))
		}
		Expect(lines).To(Equal([]string{
			"queue q, service s: 4 VMs, 3 of them usable; owner of epoch 3, configuration 7",
			"STEP TASKS DECISION VM RACK WHY",
			"0 2 start 10.0.0.1:2 r0 report 120 ms old, at 50% of its pace, off the preferred rack: too-slow",
			"0 1 wait - r1 place expected in 200 ms, 2 before; saves 1000 ms; waits up to 900 ms",
			"0 2 none - - held: 1 VMs, no-room: 2 VMs",
			"1 3 later - - after step 0",
			"4 lines omitted",
		}))
		Expect([]any{request.Relayed, request.Queue, request.Job.Steps[0].TaskCount, request.Job.Steps[0].PreferredRack}).To(Equal([]any{true, "q", 3, "r1"}))
	})

	It("prints the explanation as JSON", func() {
		response = messenger.JobResponse{Outcome: messenger.OutcomeDone, Explanation: explanation}
		exitCode, output := run(address, validJob, "--output=json")
		Expect(exitCode).To(Equal(cli.ExitDone), output)
		var printed messenger.Explanation
		Expect(json.Unmarshal([]byte(output), &printed)).To(Succeed())
		Expect(printed).To(Equal(*explanation))
	})

	// Guards against wrong exit codes, by which a script would take a refused job for one that starts.
	for name, c := range map[string]struct {
		response messenger.JobResponse
		entry    string
		content  string
		exitCode int
		output   string
	}{
		"a job that would be refused": {
			messenger.JobResponse{Outcome: messenger.OutcomeNotExecuted, Reason: "no VM is large enough"}, "", validJob, cli.ExitRefused, "a submission would be refused (not-run): no VM is large enough",
		},
		"an entry that knows no owner":  {messenger.JobResponse{Outcome: messenger.OutcomeNotOwner}, "", validJob, cli.ExitFailed, "does not reach the owner"},
		"an entry that does not answer": {messenger.JobResponse{}, "127.0.0.1:1", validJob, cli.ExitFailed, "no response from 127.0.0.1:1"},
		"a file without a job":          {messenger.JobResponse{}, "", "oops", cli.ExitUsage, "is no job"},
		"a job without steps":           {messenger.JobResponse{}, "", "{}", cli.ExitUsage, "0 steps"},
	} {
		It("returns the exit code and text for "+name, func() {
			response = c.response
			entry := c.entry
			if entry == "" {
				entry = address
			}
			exitCode, output := run(entry, c.content)
			Expect(exitCode).To(Equal(c.exitCode), output)
			Expect(output).To(ContainSubstring(c.output))
		})
	}
})
