package coordinator

import (
	"bamboohook/internal/batch/bookkeeper"
	"bamboohook/internal/batch/pacer"
)

// summarise logs the load of all VMs in one line.
func (c *Coordinator) summarise() {
	var capacity, reserved, serving, filling, used, slowed int64
	strained := 0
	for _, v := range c.state.vms {
		capacity += v.Capacity.MilliProcessors
		reserved += v.Reserved().MilliProcessors
		serving += v.LongRunningProcessors()
		filling += v.BestEffortProcessors()
		if v.TargetMissed {
			strained++
		}
		for _, x := range v.runs {
			if !x.fills() {
				continue
			}
			used += int64(x.report.Measurement)
			if x.pace < pacer.FullPercent {
				slowed++
			}
		}
	}
	waiting, fills := 0, 0
	c.state.books.VisitReady(func(s *bookkeeper.Step) {
		for _, t := range s.Tasks {
			if !t.IsWaiting() {
				continue
			}
			waiting++
			if s.BestEffort {
				fills++
			}
		}
	})
	known, live := c.state.books.Counts()
	c.Log.Info().Int("jobs", known).Int("live", live).Int("waiting", waiting).Int("waiting-filling", fills).Int("runs", len(c.state.runs)).
		Int("vms", len(c.state.vms)).Int("strained", strained).Int64("slowed", slowed).Int64("capacity", capacity).Int64("reserved", reserved).
		Int64("serving", serving).Int64("filling", filling).Int64("filling-used", used).Uint64("epoch", c.state.epoch).Msg("load")
}
