package coordinator

import (
	"cmp"
	"context"
	"slices"
	"time"

	"bamboohook/internal/batch/antagonist"
	"bamboohook/internal/batch/bookkeeper"
	"bamboohook/internal/batch/dispatcher"
	"bamboohook/internal/fleet/messenger"
)

// maxExplainedPlaces limits the entries about places in one explanation, so that it fits in a message.
const maxExplainedPlaces = 2000

// unchangedModel is an interference model that the queries of a plan leave as it is.
type unchangedModel struct{ *antagonist.Model }

// Interference implements dispatcher.InterferenceModel.
func (m unchangedModel) Interference(longRunning, bestEffort string) (mean, deviation float64) {
	return m.Peek(longRunning, bestEffort)
}

// Explain responds where the tasks of the first occurrence of the job in the request would start now if it was submitted, and why. It refuses what
// Submit would refuse, except for the size of the record. The plan is made of copies, so that nothing changes. An occurrence that is due later counts as due now.
func (c *Coordinator) Explain(_ context.Context, request messenger.JobRequest) messenger.JobResponse {
	c.state.mutex.Lock()
	defer c.state.mutex.Unlock()
	s := &c.state
	if !s.owning {
		return messenger.JobResponse{Outcome: messenger.OutcomeNotOwner}
	}
	if _, ok := s.queues[request.Queue]; !ok {
		return messenger.JobResponse{Outcome: messenger.OutcomeNoQueue, Reason: "no such queue"}
	}
	queue, response, ok := c.admit(request)
	if !ok {
		return response
	}
	if !c.MayGrantLeases() {
		return messenger.JobResponse{
			Outcome: messenger.OutcomeNotExecuted, Reason: "nothing starts now: another entry may have become the owner", RetryAfter: storeRetryAfter,
		}
	}
	now := c.Clock.Now()
	explanation := c.explain(request, queue, now)
	places, waits, notStarted := 0, 0, 0
	for _, o := range explanation.Steps {
		places, waits, notStarted = places+len(o.Places), waits+len(o.Waits), notStarted+o.NotStarted
	}
	c.Meter.Count("explanations")
	c.Log.Info().Str("queue", request.Queue).Int("steps", len(explanation.Steps)).Int("places", places).Int("waits", waits).Int("not-started", notStarted).
		Int("vms", explanation.VMs).Int("usable", explanation.UsableVMs).Uint64("epoch", s.epoch).Dur("took", c.Clock.Now().Sub(now)).Msg("placement of a job explained")
	return messenger.JobResponse{Outcome: messenger.OutcomeDone, Explanation: explanation}
}

// explain plans the job of the request on copies of the VMs and of the dispatcher.
func (c *Coordinator) explain(request messenger.JobRequest, queue Queue, now time.Time) *messenger.Explanation {
	s := &c.state
	job := request.Job
	job.Queue, job.AcceptedAt, job.Occurrences, job.FirstDue = request.Queue, c.WallClock.Now(), 1, time.Time{}
	jobs := bookkeeper.New()
	jobs.WaitingClock = c.Clock
	added := jobs.Accept(job)
	jobs.OpenDueOccurrences(added, job.AcceptedAt)
	steps, _, queues := c.stepsToPlace(now)
	var first []*bookkeeper.Step
	jobs.VisitReadySteps(func(step *bookkeeper.Step) { first = append(first, step) })
	if !queue.Advised {
		// A step of an advised queue has no ticket yet, so that none of its tasks is placed.
		steps = append(steps, first...)
	}
	queues[job.Queue] = queue.Queue

	explanation := &messenger.Explanation{Queue: job.Queue, Service: queue.Service, Epoch: s.epoch, Version: s.configurationVersion}
	vms, coordinatorVMs := make([]*dispatcher.VM, 0, len(s.vms)), make(map[*dispatcher.VM]*vm, len(s.vms))
	for _, v := range s.vms {
		clone := v.Clone()
		c.updateSchedulable(clone, v, now)
		// Starts that are not confirmed yet delay others only for a moment.
		clone.StartWindow = 0
		vms, coordinatorVMs[clone] = append(vms, clone), v
		if v.Service == queue.Service {
			explanation.VMs++
			if clone.Schedulable {
				explanation.UsableVMs++
			}
		}
	}
	slices.SortFunc(vms, func(x, y *dispatcher.VM) int { return cmp.Compare(x.Name, y.Name) })
	d := s.dispatcher.Clone()
	if d.Model != nil {
		d.Model = unchangedModel{&s.interferenceModel}
	}
	c.setExclusions(d, coordinatorVMs, now)
	placements := d.Plan(now, job.AcceptedAt, steps, queues, vms)
	for n, step := range job.Steps {
		o := messenger.StepOutlook{Step: n, Tasks: step.TaskCount, After: step.After}
		if position := slices.IndexFunc(first, func(f *bookkeeper.Step) bool { return f.Number == n }); position >= 0 {
			placed := addPlaces(&o, first[position], placements, coordinatorVMs, now)
			waiting := addWaits(&o, first[position], d.BegunRackWaits())
			for _, t := range first[position].Tasks {
				if placed[t] || waiting[t] {
					continue
				}
				if o.NotStarted++; o.Refusals == nil {
					o.Refusals = d.Refusals(now, t, queue.Service, vms)
				}
			}
		}
		explanation.Steps = append(explanation.Steps, o)
	}
	limitPlaces(explanation)
	return explanation
}

// addPlaces adds the placements of the step's tasks to the outlook and returns these tasks.
func addPlaces(o *messenger.StepOutlook, step *bookkeeper.Step, placements []dispatcher.Placement, coordinatorVMs map[*dispatcher.VM]*vm, now time.Time) map[*bookkeeper.Task]bool {
	placed := map[*bookkeeper.Task]bool{}
	for _, p := range placements {
		if p.Task.Step != step {
			continue
		}
		placed[p.Task] = true
		place := messenger.Place{
			VM: p.VM.Name, Rack: p.VM.Rack, ReportAgeMS: now.Sub(coordinatorVMs[p.VM].lastReportAt).Milliseconds(), OffRack: p.OffRack,
			OffRackReason: p.OffRackReason, PaceShare: p.PaceShare,
		}
		known := slices.IndexFunc(o.Places, func(other messenger.Place) bool {
			place.Tasks = other.Tasks
			return place == other
		})
		if known < 0 {
			place.Tasks, known = 0, len(o.Places)
			o.Places = append(o.Places, place)
		}
		o.Places[known].Tasks++
	}
	return placed
}

// addWaits adds the waits of the step's tasks for racks to the outlook and returns these tasks. A gang waits as a whole.
func addWaits(o *messenger.StepOutlook, step *bookkeeper.Step, waits []dispatcher.RackWait) map[*bookkeeper.Task]bool {
	waiting := map[*bookkeeper.Task]bool{}
	for _, w := range waits {
		if w.Task.Step != step {
			continue
		}
		tasks := []*bookkeeper.Task{w.Task}
		if step.Gang {
			tasks = step.Tasks
		}
		for _, t := range tasks {
			waiting[t] = true
		}
		o.Waits = append(o.Waits, messenger.RackOutlook{
			Rack: w.Rack, Tasks: len(tasks), Ahead: w.Ahead, ExpectedMS: w.Decision.Expected.Milliseconds(), LimitMS: w.Decision.Limit.Milliseconds(),
			SavedMS: w.Decision.Saved.Milliseconds(),
		})
	}
	return waiting
}

// limitPlaces removes entries about places and waits beyond maxExplainedPlaces and counts them.
func limitPlaces(explanation *messenger.Explanation) {
	left := maxExplainedPlaces
	for n := range explanation.Steps {
		o := &explanation.Steps[n]
		places, waits := min(len(o.Places), left), min(len(o.Waits), max(left-len(o.Places), 0))
		explanation.OmittedPlaces += len(o.Places) - places + len(o.Waits) - waits
		o.Places, o.Waits = o.Places[:places], o.Waits[:waits]
		left -= places + waits
	}
}
