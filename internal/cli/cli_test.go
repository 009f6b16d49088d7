package cli_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/cli"
)

const inventoryText = "[team.design]\nprocessors = 4\n"

var _ = Describe("Run", func() {
	var (
		responseStatus int
		responseBody   string
		requests       []string
		server         *httptest.Server
		file           string
	)

	BeforeEach(func() {
		requests = nil
		server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			if r.Method == http.MethodGet && r.URL.Path == "/v1/configuration" {
				_, _ = w.Write([]byte(`{"revision":7,"sections":{"team.old":{"processors":"1"}}}`))
				return
			}
			requests = append(requests, r.Method+" "+r.URL.Path+" "+string(body))
			w.WriteHeader(responseStatus)
			_, _ = w.Write([]byte(responseBody))
		}))
		DeferCleanup(server.Close)
		file = filepath.Join(GinkgoT().TempDir(), "inventory.ini")
		Expect(os.WriteFile(file, []byte(inventoryText), 0o600)).To(Succeed())
	})

	runCommand := func(args ...string) (int, string) {
		var buffer bytes.Buffer
		exitCode := cli.Run(args, &buffer, &buffer)
		return exitCode, buffer.String()
	}

	// Guards against wrong exit codes, by which a script would take a refused request or one with an unknown outcome for a success,
	// or would repeat a request that may have taken effect.
	for name, test := range map[string]struct {
		responseStatus int
		responseBody   string
		args           string
		exitCode       int
		output         string
	}{
		"job accepted": {201, `{"id":"j1"}`, "job submit --team=t --kind=k --caller=SERVER", cli.ExitDone, "accepted  j1"},
		"job refused": {
			503, `{"outcome":"not-run","reason":"log-unavailable","message":"later","retry-after-ms":5000}`,
			"job submit --team=t --kind=k --caller=SERVER", cli.ExitRefused, "retry after 5s",
		},
		"job submission with unknown outcome": {
			503, `{"outcome":"unknown","reason":"log-unavailable","message":"lost"}`,
			"job submit --team=t --kind=k --caller=SERVER", cli.ExitUnknown, "unknown (log-unavailable)",
		},
		"job failed":                       {200, `{"id":"j","tasks":2,"done":1,"failed":1}`, "job watch j --caller=SERVER", cli.ExitFailed, "1 of 2 tasks failed"},
		"job as JSON":                      {200, `{"id":"j","tasks":1}`, "job status j --output=json --caller=SERVER", cli.ExitDone, `"id": "j"`},
		"no team":                          {200, ``, "job submit --kind=k", cli.ExitUsage, "--team"},
		"unknown command":                  {200, ``, "deploy", cli.ExitUsage, "deploy"},
		"connection refused":               {200, ``, "fleet --operator=127.0.0.1:1", cli.ExitFailed, "nothing was changed"},
		"response not in JSON":             {500, `oops`, "fleet --operator=SERVER", cli.ExitFailed, "responded with status 500: oops"},
		"publication accepted":             {200, `{"verdict":"accepted","now":8}`, "publish FILE --operator=SERVER", cli.ExitDone, "revision 8"},
		"publication refused":              {200, `{"verdict":"refused","based":7,"now":9}`, "publish FILE --operator=SERVER", cli.ExitRefused, "based on revision 7, now 9"},
		"publication with unknown outcome": {200, `{"verdict":"unknown","change":"c1"}`, "publish FILE --operator=SERVER", cli.ExitUnknown, "--change=c1"},
		"missing inventory file":           {200, ``, "publish /nonexistent --operator=SERVER", cli.ExitUsage, "/nonexistent"},
	} {
		It("returns the exit code and text of: "+name, func() {
			responseStatus, responseBody = test.responseStatus, test.responseBody
			placeholders := strings.NewReplacer("SERVER", server.Listener.Addr().String(), "FILE", file)
			exitCode, output := runCommand(strings.Fields(placeholders.Replace(test.args))...)
			Expect(exitCode).To(Equal(test.exitCode), output)
			Expect(strings.Join(strings.Fields(output), " ")).To(ContainSubstring(strings.Join(strings.Fields(test.output), " ")))
		})
	}

	// Guards against a publication that contains unchanged sections. It would revert a change to them that another operator has
	// published at the same time.
	It("publishes only the changed and removed sections", func() {
		responseStatus, responseBody = 200, `{"verdict":"accepted","now":8}`
		exitCode, output := runCommand("publish", file, "--operator="+server.Listener.Addr().String(), "--change=c", "--author=a")
		Expect(exitCode).To(Equal(cli.ExitDone), output)
		Expect(requests).To(HaveLen(1))
		Expect(requests[0]).To(Equal(`POST /v1/configuration {"change":"c","based":7,"author":"a","set":{"team.design":{"processors":"4"}},"removed":["team.old"]}`))
	})

	// Guards against sending the sections of an invalid file to an entry.
	It("lists the problems of an invalid file and sends no change", func() {
		Expect(os.WriteFile(file, []byte("[team.design]\nprocessors = many\ncolour = red\n"), 0o600)).To(Succeed())
		exitCode, output := runCommand("publish", file, "--operator="+server.Listener.Addr().String())
		Expect(exitCode).To(Equal(cli.ExitUsage))
		Expect(output).To(And(ContainSubstring(":2: [team.design] processors"), ContainSubstring(":3: [team.design] colour")))
		Expect(requests).To(BeEmpty())
	})

	It("prints a completion script with all commands", func() {
		exitCode, output := runCommand("completion", "bash")
		Expect(exitCode).To(Equal(cli.ExitDone))
		Expect(output).To(And(ContainSubstring("complete -F _bamboohook bamboohook"), ContainSubstring("submit")))
	})
})

var _ = Describe("platform commands", func() {
	runCommand := func(args ...string) (int, string) {
		var buffer bytes.Buffer
		exitCode := cli.Run(args, &buffer, &buffer)
		return exitCode, buffer.String()
	}
	writeFile := func(name, content string) string {
		file := filepath.Join(GinkgoT().TempDir(), name)
		Expect(os.WriteFile(file, []byte(content), 0o600)).To(Succeed())
		return file
	}

	It("prints the log lines of one job from several processes in the order of their timestamps", func() {
		entryLog := writeFile("entry.log", `{"level":"info","process":"entry-1","job":"aa","outcome":"done","time":1000,"message":"submission"}
{"level":"info","process":"entry-1","job":"bb","time":1001,"message":"submission"}
not a line of a log about aa
`)
		agentLog := writeFile("agent.log", `   1.5 agent-1 {"level":"warn","process":"agent-1","task":"aa.0.0.1","time":1500,"message":"start without a response"}
{"level":"info","process":"agent-1","task":"aa.0.0.1","run":2,"time":900,"message":"run stopped"}
`)
		exitCode, output := runCommand("platform", "story", "aa", agentLog, entryLog)
		Expect(exitCode).To(Equal(cli.ExitDone), output)
		lines := strings.Split(strings.TrimSpace(output), "\n")
		Expect(lines).To(HaveLen(3))
		Expect(lines[0]).To(And(ContainSubstring("00:00:00.900"), ContainSubstring("run stopped"), ContainSubstring("run=2 task=aa.0.0.1")))
		Expect(lines[1]).To(ContainSubstring("job=aa outcome=done"))
		Expect(lines[2]).To(ContainSubstring("start without a response"))
	})

	It("fails if no log line contains the identifier of the job or if a file is missing", func() {
		exitCode, output := runCommand("platform", "story", "aa", writeFile("entry.log", "{}\n"))
		Expect(exitCode).To(Equal(cli.ExitFailed))
		Expect(output).To(ContainSubstring("no log line contains the identifier aa"))
		exitCode, _ = runCommand("platform", "story", "aa", "/nonexistent")
		Expect(exitCode).To(Equal(cli.ExitUsage))
	})

	It("reports why a settings file is invalid, and prints the effective settings of a valid one", func() {
		exitCode, output := runCommand("platform", "check", writeFile("node.toml", "NodeName = 5\n"))
		Expect(exitCode).To(Equal(cli.ExitUsage))
		Expect(output).To(ContainSubstring("cannot parse the settings"))
		exitCode, output = runCommand("platform", "check", writeFile("node.toml", "NodeName = \"n\"\nIp = \"10.0.0.1\"\nInternalPorts = [1,3]\n[platform]\nAddress = \"10.0.0.2:5\"\n"))
		Expect(exitCode).To(Equal(cli.ExitDone), output)
		Expect(output).To(ContainSubstring(`"PeerAddress": "10.0.0.1:1"`))
	})
})
