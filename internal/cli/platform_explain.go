package cli

import (
	"context"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"bamboohook/internal/fleet/caller"
	"bamboohook/internal/fleet/messenger"
	"bamboohook/platform"
)

// explainTimeout is how long the command waits for the owner, through the entry that it calls.
const explainTimeout = 5 * time.Second

// platformExplainCommand asks the owner where a job would start.
type platformExplainCommand struct {
	File  string `arg:"" help:"Job file: the JSON body with which a caller would submit the job."`
	Entry string `required:"" help:"Peer address of any entry." env:"BAMBOOHOOK_ENTRY"`
	Queue string `required:"" help:"Name of the queue, as in the configuration of the routes."`
	outputFlags
}

// Run prints where the tasks of the job would start. It exits with ExitRefused if a submission would be refused now.
func (c *platformExplainCommand) Run(s *session) error {
	body, err := os.ReadFile(c.File)
	if err != nil {
		return exitError{ExitUsage, err.Error()}
	}
	parsed, err := platform.ParseJob(body, "", c.Queue)
	if err == nil {
		err = parsed.Validate()
	}
	if err != nil {
		return exitError{ExitUsage, c.File + " is no job: " + err.Error()}
	}
	ctx, cancel := context.WithTimeout(s.ctx, explainTimeout)
	defer cancel()
	// A relayed request is sent on to the owner by the entry.
	request := messenger.JobRequest{Job: parsed, Queue: c.Queue, Relayed: true}
	response, _, err := (&caller.Client{}).SendJobRequest(ctx, c.Entry, messenger.MethodExplain, request)
	switch {
	case err != nil:
		return exitError{ExitFailed, "no response from " + c.Entry + ": " + err.Error()}
	case response.Outcome == messenger.OutcomeNotOwner:
		return exitError{ExitFailed, "the entry does not reach the owner of the jobs now"}
	case response.Outcome != messenger.OutcomeDone || response.Explanation == nil:
		return exitError{ExitRefused, "a submission would be refused (" + response.Outcome + "): " + response.Reason}
	}
	return c.print(s, response.Explanation, func(t *tabwriter.Writer) { writeExplanation(t, response.Explanation) })
}

// writeExplanation writes a line for each place, wait or refusal of each step.
func writeExplanation(t *tabwriter.Writer, e *messenger.Explanation) {
	_, _ = fmt.Fprintf(t, "queue %s, service %s: %d VMs, %d of them usable; owner of epoch %d, configuration %d\n", e.Queue, e.Service, e.VMs, e.UsableVMs, e.Epoch, e.Version)
	writeRow(t, "STEP", "TASKS", "DECISION", "VM", "RACK", "WHY")
	for _, o := range e.Steps {
		if len(o.After) > 0 {
			writeRow(t, o.Step, o.Tasks, "later", "-", "-", "after step "+strings.Trim(fmt.Sprint(o.After), "[]"))
		}
		for _, p := range o.Places {
			writeRow(t, o.Step, p.Tasks, "start", p.VM, orDash(p.Rack), explainPlace(p))
		}
		for _, w := range o.Waits {
			writeRow(t, o.Step, w.Tasks, "wait", "-", w.Rack, fmt.Sprintf("place expected in %d ms, %d before; saves %d ms; waits up to %d ms", w.ExpectedMS, w.Ahead, w.SavedMS, w.LimitMS))
		}
		if o.NotStarted > 0 {
			writeRow(t, o.Step, o.NotStarted, "none", "-", "-", explainRefusals(o.Refusals, e.VMs))
		}
	}
	if e.OmittedPlaces > 0 {
		writeRow(t, fmt.Sprintf("%d lines omitted", e.OmittedPlaces))
	}
}

// explainPlace returns what is notable about a place.
func explainPlace(p messenger.Place) string {
	parts := []string{fmt.Sprintf("report %d ms old", p.ReportAgeMS)}
	if p.PaceShare < 1 {
		parts = append(parts, fmt.Sprintf("at %.0f%% of its pace", 100*p.PaceShare))
	}
	if p.OffRack {
		reason := "off the preferred rack"
		if p.OffRackReason != "" {
			reason += ": " + p.OffRackReason
		}
		parts = append(parts, reason)
	}
	return strings.Join(parts, ", ")
}

// explainRefusals returns the reasons with the numbers of VMs. vms is the number of VMs of the service.
func explainRefusals(refusals map[string]int, vms int) string {
	var parts []string
	for _, reason := range sortedKeys(refusals) {
		parts = append(parts, fmt.Sprintf("%s: %d VMs", reason, refusals[reason]))
	}
	switch {
	case vms == 0:
		return "the service has no VM"
	case len(parts) == 0:
		return "each VM has room for one task, but there is none for all tasks of the gang"
	}
	return strings.Join(parts, ", ")
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
