package sleeper_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/fleet/sleeper"
)

func TestSleeper(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "sleeper")
}

var _ = Describe("Sleep", func() {
	It("returns true after the duration, and false at once if the context is done", func() {
		Expect(sleeper.Sleep(context.Background(), time.Millisecond)).To(BeTrue())
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(sleeper.Sleep(ended, time.Hour)).To(BeFalse())
	})
})
