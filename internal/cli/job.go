package cli

import (
	"fmt"
	"net/http"
	"net/url"
	"text/tabwriter"
	"time"

	"bamboohook/internal/message"
	"bamboohook/resource"
	"bamboohook/scheduler"
)

const (
	pathJobs      = "/v1/jobs"
	watchInterval = 500 * time.Millisecond
)

type (
	jobCommand struct {
		Submit jobSubmitCommand `cmd:"" help:"Submit a batch job. It is accepted once it is durable."`
		Status jobStatusCommand `cmd:"" help:"Show a job."`
		Watch  jobWatchCommand  `cmd:"" help:"Show the progress of a job until it ends."`
		List   jobListCommand   `cmd:"" help:"List jobs."`
		Cancel jobCancelCommand `cmd:"" help:"Cancel a job. Tasks that have ended stay ended."`
	}

	jobSubmitCommand struct {
		callerFlags
		ID           string        `help:"Identifier of the job; a repeat with the same identifier submits nothing new."`
		Team         string        `required:"" help:"Team whose quota counts."`
		Kind         string        `required:"" help:"Kind of work, such as face-build."`
		Tasks        int           `default:"1" help:"Number of tasks."`
		Processors   float64       `help:"Processors of each task; 0 takes the default of the kind."`
		Memory       float64       `help:"Memory of each task in GiB; 0 takes the default of the kind."`
		Accelerators int64         `help:"Accelerators of each task; 0 takes the default of the kind."`
		RunTime      time.Duration `help:"Expected run time of each task; 0 takes the default of the kind."`
		Payload      string        `help:"Text that is passed to the worker."`
	}

	jobStatusCommand struct {
		callerFlags
		ID string `arg:"" help:"Identifier of the job."`
	}

	jobWatchCommand struct {
		callerFlags
		ID string `arg:"" help:"Identifier of the job."`
	}

	jobListCommand struct{ callerFlags }

	jobCancelCommand struct {
		callerFlags
		ID string `arg:"" help:"Identifier of the job."`
	}
)

// Run submits a job and prints its identifier.
func (c *jobSubmitCommand) Run(s *session) error {
	request := message.JobRequest{
		ID: c.ID, Team: c.Team, Kind: c.Kind, Tasks: c.Tasks, RunTime: c.RunTime, Payload: c.Payload,
		Size: resource.Amount{
			MilliProcessors: int64(c.Processors * 1000), MemoryBytes: int64(c.Memory * (1 << 30)), Accelerators: c.Accelerators,
		},
	}
	var status message.JobStatus
	if err := call(s.ctx, http.MethodPost, c.Caller, pathJobs, request, &status); err != nil {
		return err
	}
	return c.print(s, status, func(t *tabwriter.Writer) { writeRow(t, "accepted", status.ID) })
}

// Run prints a table with the state of one job.
func (c *jobStatusCommand) Run(s *session) error {
	status, err := fetchJob(s, c.Caller, c.ID)
	if err != nil {
		return err
	}
	return c.print(s, status, func(t *tabwriter.Writer) { writeJobTable(t, status) })
}

// Run prints a line for each change of the job until the job has ended, or is parked and has no running tasks. No further
// task of a parked job is started.
func (c *jobWatchCommand) Run(s *session) error {
	var previous message.JobStatus
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		status, err := fetchJob(s, c.Caller, c.ID)
		if err != nil {
			return err
		}
		if status != previous {
			previous = status
			if err := c.print(s, status, func(t *tabwriter.Writer) {
				writeRow(t, fmt.Sprintf("%s %s: %d waiting, %d running, %d done, %d failed, %d cancelled, %d evictions",
					status.ID, status.State, status.Waiting, status.Running, status.Done, status.Failed, status.Cancelled, status.Evictions))
			}); err != nil {
				return err
			}
		}
		if hasEnded(status) || status.State == scheduler.StateParked && status.Running == 0 {
			return outcomeError(status)
		}
		select {
		case <-s.ctx.Done():
			return exitError{ExitFailed, "watch interrupted; the job continues"}
		case <-ticker.C:
		}
	}
}

// Run prints a table of all jobs that the entry knows.
func (c *jobListCommand) Run(s *session) error {
	var jobs []message.JobStatus
	if err := call(s.ctx, http.MethodGet, c.Caller, pathJobs, nil, &jobs); err != nil {
		return err
	}
	return c.print(s, jobs, func(t *tabwriter.Writer) { writeJobTable(t, jobs...) })
}

// Run cancels a job and prints its identifier.
func (c *jobCancelCommand) Run(s *session) error {
	var status message.JobStatus
	if err := call(s.ctx, http.MethodDelete, c.Caller, pathJobs+"/"+url.PathEscape(c.ID), nil, &status); err != nil {
		return err
	}
	return c.print(s, status, func(t *tabwriter.Writer) { writeRow(t, "cancelled", c.ID) })
}

func fetchJob(s *session, address, id string) (message.JobStatus, error) {
	var status message.JobStatus
	err := call(s.ctx, http.MethodGet, address, pathJobs+"/"+url.PathEscape(id), nil, &status)
	return status, err
}

func writeJobTable(t *tabwriter.Writer, jobs ...message.JobStatus) {
	writeRow(t, "JOB", "TEAM", "KIND", "STATE", "TASKS", "WAITING", "RUNNING", "DONE", "FAILED", "CANCELLED", "EVICTIONS", "REASON")
	for _, j := range jobs {
		writeRow(t, j.ID, j.Team, j.Kind, j.State, j.Tasks, j.Waiting, j.Running, j.Done, j.Failed, j.Cancelled, j.Evictions, j.Reason)
	}
}

// hasEnded reports whether all tasks of the job are done, failed or cancelled.
func hasEnded(j message.JobStatus) bool {
	return j.Done+j.Failed+j.Cancelled == j.Tasks
}

// outcomeError returns an error if the job is parked or has failed tasks, so that a script can detect both by the exit code of the
// command.
func outcomeError(j message.JobStatus) error {
	if j.State == scheduler.StateParked {
		return exitError{ExitFailed, "job is parked and no further task is started: " + j.Reason + "; submit the remaining tasks as a new job with another id"}
	}
	if j.Failed > 0 {
		return exitError{ExitFailed, fmt.Sprintf("%d of %d tasks failed: %s", j.Failed, j.Tasks, j.Reason)}
	}
	return nil
}
