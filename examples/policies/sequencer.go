package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"bamboohook/resource"
	"bamboohook/sequencer"
)

type (
	// taskQueue is the part of a sequencer that the scenario uses. The baselines also implement it.
	taskQueue interface {
		Add(item sequencer.Item) bool
		Next(fits func(sequencer.Item) bool) (sequencer.Item, bool)
		RemoveUsage(team string, size resource.Amount)
	}

	// sortedQueue is a baseline that orders waiting tasks by the importance of their kind and then by time of
	// submission. If importance is nil, it orders only by time of submission.
	sortedQueue struct {
		importance map[string]int
		items      []sequencer.Item
	}

	// scenarioSize is the size of a scenario: the number of teams and of slots, which run one task each, and its length.
	scenarioSize struct {
		teams int
		slots int
		hours int
	}

	runningItem struct {
		endTick int
		item    sequencer.Item
	}
)

var importanceByKind = map[string]int{"full-plan": 3, "face-build": 2, "indexing": 0}

func (s *sortedQueue) Add(item sequencer.Item) bool {
	at, _ := slices.BinarySearchFunc(s.items, item, func(a, b sequencer.Item) int {
		if d := s.importance[b.Kind] - s.importance[a.Kind]; d != 0 {
			return d
		}
		return a.Submitted.Compare(b.Submitted)
	})
	s.items = slices.Insert(s.items, at, item)
	return true
}

func (s *sortedQueue) Next(func(sequencer.Item) bool) (sequencer.Item, bool) {
	if len(s.items) == 0 {
		return sequencer.Item{}, false
	}
	item := s.items[0]
	s.items = s.items[1:]
	return item, true
}

func (s *sortedQueue) RemoveUsage(string, resource.Amount) {}

func sequencerScenarios() []scenario {
	var scenarios []scenario
	for _, l := range []scenarioSize{{12, 88, 8}, {620, 2000, 4}} {
		s := scenario{
			name: fmt.Sprintf("%d teams, %d slots, %d h, one team submits as much as all others, load 1.4 in the first half, then 0.5", l.teams, l.slots, l.hours),
			columns: []string{
				"important p99 wait min", "unimportant p99 wait min", "longest wait min", "other teams' mean wait min", "greedy team's mean wait min", "slots idle while tasks wait %",
			},
		}
		newSequencerRun := func(change func(*sequencer.Options)) func(seed uint64) result {
			return func(seed uint64) result {
				clock := clockwork.NewFakeClock()
				quotas := map[string]float64{}
				for i := range l.teams {
					quotas[fmt.Sprint("team-", i)] = 1 / float64(l.teams)
				}
				o := sequencer.Options{Clock: clock, Quotas: quotas, Capacity: resource.Amount{MilliProcessors: int64(l.slots) * 1000}}
				for _, kind := range slices.Sorted(slices.Values([]string{"full-plan", "face-build", "indexing"})) {
					o.Rules = append(o.Rules, sequencer.Rule{Kind: kind, Importance: importanceByKind[kind]})
				}
				change(&o)
				return runQueue(seed, l, clock, sequencer.New(o))
			}
		}
		newBaselineRun := func(importance map[string]int) func(seed uint64) result {
			return func(seed uint64) result {
				return runQueue(seed, l, clockwork.NewFakeClock(), &sortedQueue{importance: importance})
			}
		}
		s.policies = []policy{
			{"FIFO", newBaselineRun(nil)},
			{"strict importance", newBaselineRun(importanceByKind)},
			{"sequencer", newSequencerRun(func(*sequencer.Options) {})},
			{"– without rules", newSequencerRun(func(o *sequencer.Options) { o.Rules = nil })},
			{"– without ageing between kinds", newSequencerRun(func(o *sequencer.Options) { o.AgingInterval = 1e6 * time.Hour })},
			{"– without quotas", newSequencerRun(func(o *sequencer.Options) { o.OverQuotaPenalty = 1e-9 })},
		}
		scenarios = append(scenarios, s)
	}
	return scenarios
}

// runQueue simulates ticks of 10 s in which tasks arrive and start in the order of the queue. Half of all tasks belong
// to team-0, the greedy team. A task runs for meanRunTicks ticks on average.
func runQueue(seed uint64, l scenarioSize, clock *clockwork.FakeClock, q taskQueue) result {
	random := rand.New(rand.NewPCG(seed, 1))
	kinds := []string{"full-plan", "face-build", "indexing"}
	var (
		running                                                             []runningItem
		importantWaits, unimportantWaits, allWaits, otherWaits, greedyWaits []float64
		idleSlotTicks, totalSlotTicks, waiting, arrivals                    int
		ticks                                                               = l.hours * 360
		size                                                                = resource.Amount{MilliProcessors: 1000}
	)
	const meanRunTicks = 18
	for t := range ticks {
		clock.Advance(10 * time.Second)
		now := clock.Now()
		kept := running[:0]
		for _, r := range running {
			if r.endTick > t {
				kept = append(kept, r)
			} else {
				q.RemoveUsage(r.item.Team, size)
			}
		}
		running = kept
		load := 1.4
		if t >= ticks/2 {
			load = 0.5
		}
		for range poisson(random, load*float64(l.slots)/meanRunTicks) {
			arrivals++
			team := 0
			if random.IntN(2) == 0 {
				team = 1 + random.IntN(l.teams-1)
			}
			q.Add(sequencer.Item{
				ID: fmt.Sprint(arrivals), Team: fmt.Sprint("team-", team), Kind: kinds[random.IntN(len(kinds))],
				Size: size, Submitted: now.Add(time.Duration(random.IntN(1000)) * time.Microsecond),
			})
			waiting++
		}
		for len(running) < l.slots {
			item, ok := q.Next(nil)
			if !ok {
				break
			}
			waiting--
			running = append(running, runningItem{t + 1 + random.IntN(2*meanRunTicks-1), item})
			wait := now.Sub(item.Submitted).Minutes()
			allWaits = append(allWaits, wait)
			switch item.Kind {
			case "full-plan":
				importantWaits = append(importantWaits, wait)
			case "indexing":
				unimportantWaits = append(unimportantWaits, wait)
			}
			if item.Team == "team-0" {
				greedyWaits = append(greedyWaits, wait)
			} else {
				otherWaits = append(otherWaits, wait)
			}
		}
		totalSlotTicks += l.slots
		if waiting > 0 {
			idleSlotTicks += l.slots - len(running)
		}
	}
	return result{quantile(importantWaits, 0.99), quantile(unimportantWaits, 0.99), slices.Max(allWaits), mean(otherWaits), mean(greedyWaits), 100 * float64(idleSlotTicks) / float64(totalSlotTicks)}
}
