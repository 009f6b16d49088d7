package job_test

import (
	"strings"

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
		"rejects a payload that is too long":              {func(j *job.Job) { j.Payload = strings.Repeat("x", 4001) }, "payload of 4001 bytes"},
		"rejects several occurrences without an interval": {func(j *job.Job) { j.Occurrences = 2 }, "without an interval"},
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
