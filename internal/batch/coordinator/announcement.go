package coordinator

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"bamboohook/internal/batch/bookkeeper"
	"bamboohook/internal/fleet/messenger"
)

const (
	// maxAnnouncementBurst is the number of agents that a new owner calls at once. Further calls are announcementSpacing apart, so that they leave an
	// entry with little processor time enough of it for the agents' reports.
	maxAnnouncementBurst = 64
	announcementSpacing  = reportSpacing
	// numberedPause is how long an agent process that has received a number is not called again. It knows the owner, and lists its runs next.
	numberedPause = time.Second
)

// vmRecord is the stored record of a VM that may have runs.
type vmRecord struct {
	// Service is the service of the VM, or empty if it was not known.
	Service string `json:"service,omitempty"`
}

// addAnnouncements adds empty orders for agents that have not reported in this epoch. Even empty orders name the owner, so that the agent knows where to
// send its reports. Agents that were not called yet come first, and of these the ones whose service has the most waiting work.
func (c *Coordinator) addAnnouncements(ordersByVM map[string]messenger.Orders, now time.Time) {
	s := &c.state
	var due []*vm
	for _, v := range s.vms {
		numbered := v.session != 0 && now.Sub(v.identifiedAt) < numberedPause
		if v.lastReportAt.IsZero() && !numbered && now.Sub(v.announcedAt) > orderRetryInterval {
			due = append(due, v)
		}
	}
	if len(due) == 0 {
		return
	}
	s.announcementBudget = min(s.announcementBudget+float64(now.Sub(s.announcementBudgetAt))/float64(announcementSpacing), maxAnnouncementBurst)
	s.announcementBudgetAt = now
	waiting := c.waitingWork()
	slices.SortFunc(due, func(x, y *vm) int {
		return cmp.Or(x.announcedAt.Compare(y.announcedAt), cmp.Compare(waiting[y.recordedService], waiting[x.recordedService]), cmp.Compare(x.Name, y.Name))
	})
	for _, v := range due[:min(len(due), int(s.announcementBudget))] {
		s.announcementBudget--
		v.announcedAt = now
		ordersByVM[v.Name] = messenger.Orders{Epoch: s.epoch, Owner: c.Address, Session: v.session, Incarnation: v.incarnation, ReportSentMS: v.reportSentMS}
	}
}

// waitingWork returns the milli-processors of the waiting tasks by the service of their queue.
func (c *Coordinator) waitingWork() map[string]int64 {
	work := map[string]int64{}
	c.state.jobs.VisitReadySteps(func(step *bookkeeper.Step) {
		for _, t := range step.Tasks {
			if t.IsWaiting() {
				work[c.queueOf(step.Job).Service] += step.Size.MilliProcessors
			}
		}
	})
	return work
}

// restoreVM adds a VM that may have runs, according to its record.
func (c *Coordinator) restoreVM(name string, value []byte) {
	v := c.newVM(name)
	v.mayHaveRuns, v.recordStored = true, true
	var r vmRecord
	if err := json.Unmarshal(value, &r); err != nil {
		c.Log.Warn().Err(err).Str("vm", name).Msg("record of a VM cannot be read; its service is unknown until it reports")
	}
	v.recordedService = r.Service
	c.state.vms[name] = v
}
