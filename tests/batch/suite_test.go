// Package batch_test runs batch tasks through separate processes while these are killed, paused, drained or disconnected
// from the log service. The histories of the fake workers show where and when each task ran.
package batch_test

import (
	"fmt"
	"maps"
	"os/exec"
	"regexp"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/launcher"
)

var (
	// programDir contains the programs, which are built once for the suite. outputDir contains the settings and output of
	// the processes.
	programDir, outputDir string

	scenarios = map[string]func(*installation){
		"owner killed":         ownerKilled,
		"VM lost":              vmLost,
		"agent paused":         agentPaused,
		"owner paused":         ownerPaused,
		"log down":             logDown,
		"agent drained":        agentDrained,
		"agent restarted":      agentRestarted,
		"jobs cancelled":       jobsCancelled,
		"limited capacity":     limitedCapacity,
		"owner and agent lost": ownerAndAgentLost,
	}

	results = struct {
		sync.Mutex
		rows []string
	}{}
)

func TestBatch(t *testing.T) {
	RegisterFailHandler(Fail)
	programDir, outputDir = t.TempDir(), t.TempDir()
	output, err := exec.Command("go", "build", "-o", programDir, "bamboohook/cmd/...").CombinedOutput()
	if err != nil {
		t.Fatalf("cannot build the programs: %v\n%s", err, output)
	}
	RunSpecs(t, "Batch tasks in an installation of separate processes")
}

var _ = Describe("Batch tasks while processes or the log service fail", Ordered, ContinueOnFailure, func() {
	failures := map[string]<-chan string{}

	// Each scenario has an installation of its own and spends most of its time waiting, so all scenarios run concurrently.
	BeforeAll(func() {
		suite, _ := GinkgoConfiguration()
		for name, scenario := range scenarios {
			if slices.ContainsFunc(suite.FocusStrings, func(s string) bool { return !regexp.MustCompile(s).MatchString(name) }) {
				continue
			}
			if slices.ContainsFunc(suite.SkipStrings, func(s string) bool { return regexp.MustCompile(s).MatchString(name) }) {
				continue
			}
			failures[name] = launcher.RunInBackground(func(fail func(string, ...int)) { run(name, scenario, NewGomega(fail)) })
		}
	})
	AfterAll(func() {
		results.Lock()
		defer results.Unlock()
		slices.Sort(results.rows)
		for _, row := range results.rows {
			fmt.Println(row)
		}
	})
	for _, name := range slices.Sorted(maps.Keys(scenarios)) {
		It(name, func() { Expect(<-failures[name]).To(BeEmpty()) })
	}
})

// recordResult adds a row to the table that the suite prints at its end.
func recordResult(name string, value any) {
	if d, ok := value.(time.Duration); ok {
		value = d.Round(10 * time.Millisecond)
	}
	results.Lock()
	defer results.Unlock()
	results.rows = append(results.rows, fmt.Sprintf("| %s | %v |", name, value))
}
