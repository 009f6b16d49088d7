// Package policies_test runs batch jobs through separate processes, with workers and jobs that fail and with services that miss their
// target latency.
package policies_test

import (
	"os/exec"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// programDir contains the programs, which are built once for the suite.
var programDir string

func TestPolicies(t *testing.T) {
	RegisterFailHandler(Fail)
	programDir = t.TempDir()
	output, err := exec.Command("go", "build", "-o", programDir, "bamboohook/cmd/...").CombinedOutput()
	if err != nil {
		t.Fatalf("cannot build the programs: %v\n%s", err, output)
	}
	RunSpecs(t, "Batch policies in an installation of separate processes")
}
