// Package platform_test runs jobs through separate processes of entries and agents on a fake platform while processes, the store
// and endpoints fail. The events of the endpoints show where and when each task ran.
package platform_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/launcher"
)

// programDir contains the programs, which are built once for the suite.
var programDir string

func TestPlatform(t *testing.T) {
	RegisterFailHandler(Fail)
	programDir = t.TempDir()
	if err := launcher.BuildPrograms(programDir); err != nil {
		t.Fatal(err)
	}
	RunSpecs(t, "Jobs on the platform")
}
