// Package soak_test runs jobs through separate processes of entries and agents on a fake platform while overlapping faults, which are
// drawn from a seed, disturb the processes, the endpoints and the store. It compares what callers and endpoints have seen with the rules of
// the platform.
package soak_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/launcher"
)

const (
	defaultProcessCount = 9
	// stopMargin is the time that remains to end the processes before the timeout of go test.
	stopMargin = 20 * time.Second
)

var (
	// programDir contains the programs, which are built once for the suite.
	programDir string
	// seeds are those that are played without SOAK_SEED and SOAK_SEEDS.
	seeds        = []uint64{1, 2, 3}
	processCount = defaultProcessCount
)

func TestSoak(t *testing.T) {
	RegisterFailHandler(Fail)
	programDir = t.TempDir()
	if err := launcher.BuildPrograms(programDir); err != nil {
		t.Fatal(err)
	}
	if n := environmentNumber(t, "SOAK_SEEDS"); n > 0 {
		seeds = nil
		for range n {
			seeds = append(seeds, rand.Uint64N(1<<48))
		}
	}
	if n := environmentNumber(t, "SOAK_SEED"); n > 0 {
		seeds = []uint64{n}
	}
	if n := environmentNumber(t, "SOAK_PROCESSES"); n > 0 {
		processCount = int(n)
	}
	for _, seed := range seeds {
		addSoak(seed)
	}
	suiteConfig, reporterConfig := GinkgoConfiguration()
	if deadline, ok := t.Deadline(); ok {
		// The test program does not end its processes when it reaches the timeout of go test.
		suiteConfig.Timeout = min(suiteConfig.Timeout, time.Until(deadline)-stopMargin)
	}
	RunSpecs(t, fmt.Sprintf("Soak with %d processes", processCount), suiteConfig, reporterConfig)
}

// environmentNumber returns the number in an environment variable, or 0 if it is not set.
func environmentNumber(t *testing.T, name string) uint64 {
	text := os.Getenv(name)
	if text == "" {
		return 0
	}
	n, err := strconv.ParseUint(text, 10, 48)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return n
}
