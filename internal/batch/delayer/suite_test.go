package delayer_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestDelayer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Delayer")
}
