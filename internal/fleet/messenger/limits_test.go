package messenger_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"bamboohook/internal/codec"
	"bamboohook/internal/fleet/messenger"
)

// Guards against a VM whose reports never arrive, because they are larger than a frame.
func TestLargestReportFitsInFrame(t *testing.T) {
	for name, checkpoint := range map[string]string{
		"text":               strings.Repeat("x", 4096),
		"control characters": strings.Repeat("\x01", 4096),
		"other characters":   strings.Repeat("é", 2048),
		"line separators":    strings.Repeat("\u2028", 1365),
		"quotation marks":    strings.Repeat(`"`, 4096),
	} {
		var r messenger.Report
		for n := range messenger.MaxRunsPerVM {
			r.Runs = append(r.Runs, messenger.Run{Task: fmt.Sprintf("5c0e7a21d94b36f8.9999.63.%d", n), Number: 1 << 30, Checkpoint: checkpoint, Progress: 100, LatencyOrUsage: 64000})
		}
		for n := range 1000 {
			r.Results = append(r.Results, messenger.RunResult{Sequence: 1 << 40, Task: fmt.Sprintf("5c0e7a21d94b36f8.9999.63.%d", n), Number: 1 << 30, Outcome: messenger.RunLeaseExpired, Checkpoint: checkpoint})
		}
		kept := r.Results
		removed := r.LimitCheckpoints()
		encoded, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		if len(encoded) > codec.DefaultMaxFrameBytes*9/10 || removed == 0 || removed == messenger.MaxRunsPerVM+1000 {
			t.Errorf("%s: report of %d bytes, %d checkpoints removed", name, len(encoded), removed)
		}
		if r.Runs[0].Checkpoint != checkpoint || r.Results[0].Checkpoint != checkpoint {
			t.Errorf("%s: the first checkpoints were removed", name)
		}
		if kept[999].Checkpoint != checkpoint {
			t.Errorf("%s: the caller's results have changed", name)
		}
	}
}

func TestSmallReportIsUnchanged(t *testing.T) {
	r := messenger.Report{
		Runs:    []messenger.Run{{Task: "a", Checkpoint: "00000bb87a21d94b"}, {Task: "b"}},
		Results: []messenger.RunResult{{Task: "c", Checkpoint: "00000bb87a21d94b"}},
	}
	if removed := r.LimitCheckpoints(); removed != 0 || r.Runs[0].Checkpoint == "" || r.Results[0].Checkpoint == "" {
		t.Errorf("%d checkpoints removed", removed)
	}
}
