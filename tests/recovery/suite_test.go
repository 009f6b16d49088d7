// Package recovery_test restarts an entry after the log service has removed old records, and removes a VM from the inventory.
package recovery_test

import (
	"os/exec"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// programDir contains the programs, which are built once for the suite.
var programDir string

func TestRecovery(t *testing.T) {
	RegisterFailHandler(Fail)
	programDir = t.TempDir()
	output, err := exec.Command("go", "build", "-o", programDir, "bamboohook/cmd/...").CombinedOutput()
	if err != nil {
		t.Fatalf("cannot build the programs: %v\n%s", err, output)
	}
	RunSpecs(t, "Restart after log expiry, and removal of a VM")
}
