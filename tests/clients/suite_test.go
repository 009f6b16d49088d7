// Package clients_test sends crowds of clients that ignore the limits to separate processes of entries and agents. The processes must survive within the
// memory and the descriptors of their settings.
package clients_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/launcher"
)

// programDir contains the programs, which are built once for the suite.
var programDir string

func TestClients(t *testing.T) {
	RegisterFailHandler(Fail)
	programDir = t.TempDir()
	if err := launcher.BuildPrograms(programDir); err != nil {
		t.Fatal(err)
	}
	RunSpecs(t, "Clients that ignore the limits")
}
