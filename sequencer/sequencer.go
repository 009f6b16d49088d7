// Package sequencer orders waiting tasks by the importance of their kinds, the quotas of their teams
// and their waiting time.
package sequencer

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"
	"time"

	"bamboohook/resource"
)

type (
	// Clock returns the current time.
	Clock interface {
		Now() time.Time
	}

	// Item is a task. Team, Kind and Submitted determine its order among the waiting tasks, and Size counts
	// towards the usage of its team once Next has returned it. Submitted is when the job of the task was
	// submitted.
	Item struct {
		ID        string          `json:"id"`
		Team      string          `json:"team"`
		Kind      string          `json:"kind"`
		Size      resource.Amount `json:"size"`
		Submitted time.Time       `json:"submitted"`
	}

	// Options configures a Sequencer. Zero fields take their defaults.
	Options struct {
		// Clock is the system clock by default.
		Clock Clock
		// Rules assigns an importance to kinds of tasks. If several rules apply to a kind, the first one
		// counts. A kind to which no rule applies has importance 0.
		Rules []Rule
		// Quotas maps each team to a fraction of Capacity, from 0 to 1. While the running tasks of the
		// team use this fraction or more of the processors, the memory or the accelerators, the team is
		// over its quota. A team that is missing from Quotas is always over its quota.
		Quotas map[string]float64
		// Capacity is the total capacity of all VMs.
		Capacity resource.Amount
		// AgingInterval is the waiting time that raises the score of a task by 1, as much as one level of
		// importance does. The default is 10 minutes. Next returns tasks by decreasing score.
		AgingInterval time.Duration
		// OverQuotaPenalty is subtracted from the scores of the tasks of a team that is over its quota, by
		// default 12.
		OverQuotaPenalty float64
		// MaxOffers is the maximum number of waiting tasks that one call of Next passes to its argument fits, by
		// default 64.
		MaxOffers int
	}

	// Sequencer holds the waiting tasks and the resources that the running tasks of each team use, and
	// determines which waiting task is next. It is not safe for concurrent use.
	Sequencer struct {
		options Options
		// nodesByID holds the waiting tasks by their ID.
		nodesByID map[string]*node
		kinds     map[string]*kind
		// kindNames holds the keys of kinds in the order in which they were added. Between tasks with equal
		// scores, the order of iteration over the kinds decides, and iteration over a map would be random.
		kindNames []string
		teams     map[string]*team
		// skippedQueues holds the queues whose first task did not fit during a call of Next. They are in no heap
		// until the end of the call.
		skippedQueues []*queue
	}

	// kind holds the queues of one kind of tasks in two heaps, for teams within their quota and for teams
	// over it. The index of a heap is team.quotaClass. importance was computed from the rules in the minute
	// that began at importanceMinute.
	kind struct {
		name             string
		importance       int
		importanceMinute time.Time
		heaps            [2]queueHeap
	}

	// team holds the total size of the running tasks of one team, its quota, and its queues by kind.
	// quotaClass is 0 while the team is within its quota and 1 while it is over it.
	team struct {
		name       string
		quota      float64
		used       resource.Amount
		quotaClass int
		queues     map[string]*queue
	}

	systemClock struct{}
)

func (systemClock) Now() time.Time { return time.Now() }

// New returns a Sequencer without waiting tasks.
func New(options Options) *Sequencer {
	if options.Clock == nil {
		options.Clock = systemClock{}
	}
	options.AgingInterval = cmp.Or(options.AgingInterval, 10*time.Minute)
	options.OverQuotaPenalty = cmp.Or(options.OverQuotaPenalty, 12)
	options.MaxOffers = cmp.Or(options.MaxOffers, 64)
	return &Sequencer{options: options, nodesByID: map[string]*node{}, kinds: map[string]*kind{}, teams: map[string]*team{}}
}

// Configure replaces Options.Rules, Options.Quotas and Options.Capacity. The order of the tasks that are
// already waiting changes accordingly.
func (s *Sequencer) Configure(rules []Rule, quotas map[string]float64, capacity resource.Amount) {
	s.options.Rules, s.options.Quotas, s.options.Capacity = rules, quotas, capacity
	for _, k := range s.kinds {
		k.importanceMinute = time.Time{}
	}
	for _, name := range slices.Sorted(maps.Keys(s.teams)) {
		t := s.teams[name]
		t.quota = quotas[name]
		s.addToUsage(t, resource.Amount{})
	}
}

// Len returns the number of waiting tasks.
func (s *Sequencer) Len() int { return len(s.nodesByID) }

// Add adds a waiting task. A task that waits again, for example after an eviction, should have its original
// submission time, which determines its place among the tasks of its team and kind. Add returns false if a
// task with the same ID is already waiting.
func (s *Sequencer) Add(item Item) bool {
	if _, ok := s.nodesByID[item.ID]; ok {
		return false
	}
	q := s.findOrAddQueue(s.findOrAddTeam(item.Team), item.Kind)
	n := &node{item: item}
	q.insert(n)
	s.nodesByID[item.ID] = n
	h := &s.kinds[item.Kind].heaps[q.team.quotaClass]
	switch {
	case q.heapIndex < 0:
		q.heapKey = q.first.item.Submitted
		heap.Push(h, q)
	case q.first.item.Submitted.Before(q.heapKey):
		q.heapKey = q.first.item.Submitted
		heap.Fix(h, q.heapIndex)
	}
	return true
}

// Cancel removes the waiting task with the ID and returns false if there is none. It takes constant time,
// because the heaps of queues are corrected only by the next call of Next.
func (s *Sequencer) Cancel(id string) bool {
	n, ok := s.nodesByID[id]
	if !ok {
		return false
	}
	n.queue.remove(n)
	delete(s.nodesByID, id)
	return true
}

// Next calls fits for up to Options.MaxOffers waiting tasks by decreasing score. Of the tasks with the same
// team and kind, it considers only the one that was submitted first. It removes and returns the first task
// for which fits returns true, and adds its size to the usage of its team until RemoveUsage is called. If
// there is no such task, Next returns false. If fits is nil, every task fits.
func (s *Sequencer) Next(fits func(Item) bool) (Item, bool) {
	now := s.options.Clock.Now()
	defer s.restoreSkippedQueues()
	for range s.options.MaxOffers {
		q := s.highestScoringQueue(now)
		if q == nil {
			return Item{}, false
		}
		item := q.first.item
		if fits == nil || fits(item) {
			s.Cancel(item.ID)
			s.addToUsage(q.team, item.Size)
			return item, true
		}
		heap.Remove(&s.kinds[q.kindName].heaps[q.team.quotaClass], q.heapIndex)
		s.skippedQueues = append(s.skippedQueues, q)
	}
	return Item{}, false
}

// Score returns the present score of a task, by which Next orders the waiting tasks: the importance of its
// kind, plus the time since its submission divided by Options.AgingInterval, minus Options.OverQuotaPenalty
// if its team is over its quota. The task need not be waiting, so a running task can be compared with a
// waiting one.
func (s *Sequencer) Score(item Item) float64 {
	now, quotaClass := s.options.Clock.Now(), 0
	if t, ok := s.teams[item.Team]; ok {
		quotaClass = t.quotaClass
	}
	if k, ok := s.kinds[item.Kind]; ok {
		return s.score(s.kindImportance(k, now), now.Sub(item.Submitted), quotaClass)
	}
	return s.score(importanceOf(s.options.Rules, item.Kind, now), now.Sub(item.Submitted), quotaClass)
}

// score returns the score of a task that was submitted age ago. importance is that of its kind. quotaClass
// is 1 if its team is over its quota, and 0 otherwise.
func (s *Sequencer) score(importance int, age time.Duration, quotaClass int) float64 {
	return float64(importance) + float64(age)/float64(s.options.AgingInterval) - float64(quotaClass)*s.options.OverQuotaPenalty
}

// kindImportance returns the importance of the kind. It evaluates the rules at most once per minute of the
// clock.
func (s *Sequencer) kindImportance(k *kind, now time.Time) int {
	if minute := now.Truncate(time.Minute); !k.importanceMinute.Equal(minute) {
		k.importance, k.importanceMinute = importanceOf(s.options.Rules, k.name, now), minute
	}
	return k.importance
}

// AddUsage adds the size of a running task to the usage of its team. Call it only for a task that Next did
// not return, for example one that another process has started.
func (s *Sequencer) AddUsage(teamName string, size resource.Amount) {
	s.addToUsage(s.findOrAddTeam(teamName), size)
}

// RemoveUsage subtracts the size of a task from the usage of its team. Call it when the task has ended.
func (s *Sequencer) RemoveUsage(teamName string, size resource.Amount) {
	s.addToUsage(s.findOrAddTeam(teamName), resource.Amount{}.Sub(size))
}

// restoreSkippedQueues puts the queues whose first task did not fit during the call of Next back into their
// heaps.
func (s *Sequencer) restoreSkippedQueues() {
	for _, q := range s.skippedQueues {
		heap.Push(&s.kinds[q.kindName].heaps[q.team.quotaClass], q)
	}
	s.skippedQueues = s.skippedQueues[:0]
}

// highestScoringQueue returns the queue whose first task has the highest score among the queues in heaps,
// or nil if these have no tasks.
func (s *Sequencer) highestScoringQueue(now time.Time) *queue {
	var best *queue
	highestScore := 0.0
	for _, name := range s.kindNames {
		k := s.kinds[name]
		importance := s.kindImportance(k, now)
		for quotaClass := range k.heaps {
			q := k.heaps[quotaClass].earliestQueue()
			if q == nil {
				continue
			}
			score := s.score(importance, now.Sub(q.heapKey), quotaClass)
			if best == nil || score > highestScore {
				best, highestScore = q, score
			}
		}
	}
	return best
}

// addToUsage adds size, which may be negative, to the usage of the team. If the team is over its quota
// after that and was not before, or the other way round, each queue of the team is moved to the other heap
// of its kind. An empty size only recomputes whether the team is over its quota.
func (s *Sequencer) addToUsage(t *team, size resource.Amount) {
	t.used = t.used.Add(size)
	quotaClass := 0
	if dominantShare(t.used, s.options.Capacity) >= t.quota {
		quotaClass = 1
	}
	if quotaClass == t.quotaClass {
		return
	}
	for _, name := range s.kindNames {
		q, ok := t.queues[name]
		if !ok || q.heapIndex < 0 {
			continue
		}
		heap.Remove(&s.kinds[name].heaps[t.quotaClass], q.heapIndex)
		heap.Push(&s.kinds[name].heaps[quotaClass], q)
	}
	t.quotaClass = quotaClass
}

// findOrAddTeam returns the team with the name. If there is none, it adds one with the quota from
// Options.Quotas.
func (s *Sequencer) findOrAddTeam(name string) *team {
	t, ok := s.teams[name]
	if !ok {
		t = &team{name: name, quota: s.options.Quotas[name], queues: map[string]*queue{}}
		s.teams[name] = t
		s.addToUsage(t, resource.Amount{})
	}
	return t
}

// findOrAddQueue returns the team's queue for tasks of the kind. If there is none, it adds an empty one,
// which is in no heap yet.
func (s *Sequencer) findOrAddQueue(t *team, kindName string) *queue {
	q, ok := t.queues[kindName]
	if !ok {
		q = &queue{team: t, kindName: kindName, heapIndex: -1}
		t.queues[kindName] = q
		if s.kinds[kindName] == nil {
			s.kinds[kindName] = &kind{name: kindName}
			s.kindNames = append(s.kindNames, kindName)
		}
	}
	return q
}

// dominantShare returns the largest of the fractions of processors, memory and accelerators that are used,
// as in dominant resource fairness. A resource of which the capacity is 0 is left out.
func dominantShare(used, capacity resource.Amount) float64 {
	largestFraction := 0.0
	for _, d := range [][2]int64{
		{used.MilliProcessors, capacity.MilliProcessors},
		{used.MemoryBytes, capacity.MemoryBytes},
		{used.Accelerators, capacity.Accelerators},
	} {
		if d[1] > 0 {
			largestFraction = max(largestFraction, float64(d[0])/float64(d[1]))
		}
	}
	return largestFraction
}
