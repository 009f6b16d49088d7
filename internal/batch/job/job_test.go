package job_test

import (
	"math"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/internal/batch/job"
	"bamboohook/resource"
)

var _ = Describe("Job", func() {
	for name, c := range map[string]struct {
		modify    func(j *job.Job)
		wantError string
	}{
		"accepts a valid job":                             {func(*job.Job) {}, ""},
		"rejects a job without steps":                     {func(j *job.Job) { j.Steps = nil }, "0 steps"},
		"rejects a step without tasks":                    {func(j *job.Job) { j.Steps[0].TaskCount = 0 }, "step 0 has 0 tasks"},
		"rejects a step with too many tasks":              {func(j *job.Job) { j.Steps[0].TaskCount = 5000 }, "5000 tasks"},
		"rejects a step with a negative size":             {func(j *job.Job) { j.Steps[1].Size = resource.Amount{MemoryBytes: -1} }, "step 1 has a negative figure"},
		"rejects a dependency on a later step":            {func(j *job.Job) { j.Steps[0].After = []int{1} }, "step 0 waits for step 1"},
		"rejects a dependency of a step on itself":        {func(j *job.Job) { j.Steps[1].After = []int{1} }, "step 1 waits for step 1"},
		"rejects a million dependencies":                  {func(j *job.Job) { j.Steps[1].After = make([]int, 1_000_000) }, "waits for 1000000 steps"},
		"rejects a payload that is too long":              {func(j *job.Job) { j.Payload = strings.Repeat("x", 4001) }, "payload of 4001 bytes"},
		"rejects several occurrences without an interval": {func(j *job.Job) { j.Occurrences = 2 }, "without an interval"},
		// Guards against an owner that ends because it cannot encode the record of an accepted job: JSON has no times after the year 9999.
		"rejects a start after the year 9999": {func(j *job.Job) { j.FirstDue = time.UnixMilli(9e18) }, "first occurrence is due"},
		"rejects a start before 1970":         {func(j *job.Job) { j.FirstDue = time.UnixMilli(-9e18) }, "first occurrence is due"},
		// Guards against due times that overflow, so that an occurrence of the far future starts at once.
		"rejects occurrences whose due times overflow": {func(j *job.Job) { j.Occurrences, j.Interval = 3, math.MaxInt64/2 }, "interval"},
		"rejects a negative interval":                  {func(j *job.Job) { j.Interval = -1 }, "interval"},
		// Guards against a job whose tasks exhaust the memory of each owner, one after the other, when its occurrences are all due.
		"rejects occurrences with too many tasks in total": {func(j *job.Job) {
			j.Occurrences, j.Interval, j.Steps[0].TaskCount = 10_000, 1, 4096
		}, "tasks in total"},
		// Guards against sums over tasks and steps that overflow.
		"rejects a huge size":                  {func(j *job.Job) { j.Steps[0].Size.MemoryBytes = math.MaxInt64 }, "step 0 is larger"},
		"rejects a huge estimate":              {func(j *job.Job) { j.Steps[0].Estimate = math.MaxInt64 }, "estimate"},
		"rejects a negative latency target":    {func(j *job.Job) { j.Steps[0].TailTarget = -1 }, "negative figure"},
		"rejects a negative disruption budget": {func(j *job.Job) { j.Steps[0].MaxDisruptions = -1 }, "negative figure"},
		// Guards against jobs whose record exhausts the request limit of the store, so that no write of the owner succeeds.
		"rejects a label that is too long": {func(j *job.Job) { j.Steps[0].Label = strings.Repeat("x", 1<<20) }, "text of 1048576 bytes"},
	} {
		It("validates jobs: "+name, func() {
			j := job.Job{ID: "a", Occurrences: 1, Steps: []job.Step{{TaskCount: 1}, {TaskCount: 2, After: []int{0}}}}
			c.modify(&j)
			if c.wantError == "" {
				Expect(j.Validate()).To(Succeed())
				return
			}
			Expect(j.Validate()).To(MatchError(ContainSubstring(c.wantError)))
		})
	}

	for name, valid := range map[string]bool{
		"a.0.1.17": true, "a.0.1": false, "a.0.1.x": false, "a.0.-1.1": false, "": false, ".0.0.0": false, "a.0.0.0.0": false,
	} {
		It("parses a task name only if it consists of a job, an occurrence, a step and an index: "+name, func() {
			t, parsed := job.ParseTask(name)
			Expect(parsed).To(Equal(valid))
			if valid {
				Expect(t.String()).To(Equal(name))
			}
		})
	}
})
