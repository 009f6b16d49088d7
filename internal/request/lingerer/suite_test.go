package lingerer_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestLingerer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "lingerer")
}
