package logservice_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestLogservice(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Fake log service")
}
