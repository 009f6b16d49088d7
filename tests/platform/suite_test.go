// Package platform_test runs jobs through separate entries and agents on the fake platform while processes, the store and endpoints
// fail. The endpoints' own history shows where and when each task ran.
package platform_test

import (
	"os/exec"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// programs is the folder of the programs, built once for the suite.
var programDir string

func TestPlatform(t *testing.T) {
	RegisterFailHandler(Fail)
	programDir = t.TempDir()
	output, err := exec.Command("go", "build", "-o", programDir, "bamboohook/cmd/...").CombinedOutput()
	if err != nil {
		t.Fatalf("cannot build the programs: %v\n%s", err, output)
	}
	RunSpecs(t, "Jobs on the platform")
}
