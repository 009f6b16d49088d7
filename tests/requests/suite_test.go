// Package requests_test runs requests through separate processes while they are stopped, killed and paused.
package requests_test

import (
	"os/exec"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// programs is the folder of the programs, built once for the suite.
var programDir string

func TestRequests(t *testing.T) {
	RegisterFailHandler(Fail)
	programDir = t.TempDir()
	output, err := exec.Command("go", "build", "-o", programDir, "bamboohook/cmd/...").CombinedOutput()
	if err != nil {
		t.Fatalf("cannot build the programs: %v\n%s", err, output)
	}
	RunSpecs(t, "Requests through processes")
}
