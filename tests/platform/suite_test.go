// Package platform_test runs jobs through separate processes of entries and agents on a fake platform while processes, the store
// and endpoints fail. The events of the endpoints show where and when each task ran.
package platform_test

import (
	"os/exec"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// programDir contains the programs, which are built once for the suite.
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
