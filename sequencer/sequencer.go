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

	// Item is a waiting task.
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
		// Rules assigns importance to kinds. The first rule that matches applies.
		Rules []Rule
		// Quotas maps each team to the share of Capacity, from 0 to 1, that it may use before its tasks
		// are ranked lower by OverQuotaPenalty. A team without a quota is always over its quota.
		Quotas map[string]float64
		// Capacity is the total capacity of all VMs.
		Capacity resource.Amount
		// AgingInterval is the waiting time that raises a task by one level of importance, by default
		// 10 minutes.
		AgingInterval time.Duration
		// OverQuotaPenalty is the number of levels of importance by which the tasks of a team over its
		// quota are ranked lower, by default 12.
		OverQuotaPenalty float64
		// MaxOffers is the maximum number of tasks that one call of Next offers to its callback, by
		// default 64.
		MaxOffers int
	}

	// Sequencer holds the waiting tasks and the usage of each team. It is not safe for concurrent use.
	Sequencer struct {
		options   Options
		items     map[string]*node
		kinds     map[string]*kind
		kindNames []string
		teams     map[string]*team
		skipped   []*queue
	}

	// kind holds the queues of one kind: at index 0 those of teams within their quota, at index 1 those
	// of teams over it.
	kind struct {
		name             string
		importance       int
		importanceMinute time.Time
		heaps            [2]queueHeap
	}

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
	return &Sequencer{options: options, items: map[string]*node{}, kinds: map[string]*kind{}, teams: map[string]*team{}}
}

// Configure replaces rules, quotas and capacity. Waiting tasks keep their positions in their queues.
func (s *Sequencer) Configure(rules []Rule, quotas map[string]float64, capacity resource.Amount) {
	s.options.Rules, s.options.Quotas, s.options.Capacity = rules, quotas, capacity
	for _, k := range s.kinds {
		k.importanceMinute = time.Time{}
	}
	for _, name := range slices.Sorted(maps.Keys(s.teams)) {
		t := s.teams[name]
		t.quota = quotas[name]
		s.updateUsage(t, resource.Amount{})
	}
}

// Len returns the number of waiting tasks.
func (s *Sequencer) Len() int { return len(s.items) }

// Add inserts the task by its time of submission, which an evicted task keeps. It returns false if a
// task with the same ID is already waiting.
func (s *Sequencer) Add(item Item) bool {
	if _, ok := s.items[item.ID]; ok {
		return false
	}
	q := s.findOrAddQueue(s.findOrAddTeam(item.Team), item.Kind)
	n := &node{item: item}
	q.insert(n)
	s.items[item.ID] = n
	queues := &s.kinds[item.Kind].heaps[q.team.quotaClass]
	switch {
	case q.heapIndex < 0:
		q.key = q.first.item.Submitted
		heap.Push(queues, q)
	case q.first.item.Submitted.Before(q.key):
		q.key = q.first.item.Submitted
		heap.Fix(queues, q.heapIndex)
	}
	return true
}

// Cancel removes a waiting task in constant time. It returns false if the task is not waiting. Later
// calls of Next restore the order of the queues.
func (s *Sequencer) Cancel(id string) bool {
	n, ok := s.items[id]
	if !ok {
		return false
	}
	n.queue.remove(n)
	delete(s.items, id)
	return true
}

// Next removes and returns the first task in order that fits accepts, and adds its size to the usage of
// its team until Release. Only the first task of each of the first queues is offered. If fits accepts
// none of them, Next returns false. A nil fits accepts every task.
func (s *Sequencer) Next(fits func(Item) bool) (Item, bool) {
	now := s.options.Clock.Now()
	defer s.restoreSkipped()
	for range s.options.MaxOffers {
		q := s.firstQueue(now)
		if q == nil {
			return Item{}, false
		}
		item := q.first.item
		if fits == nil || fits(item) {
			s.Cancel(item.ID)
			s.updateUsage(q.team, item.Size)
			return item, true
		}
		heap.Remove(&s.kinds[q.kind].heaps[q.team.quotaClass], q.heapIndex)
		s.skipped = append(s.skipped, q)
	}
	return Item{}, false
}

// Score returns the rank of a task, the highest first. Scores of waiting tasks and of tasks that Next
// has returned are comparable.
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

func (s *Sequencer) score(importance int, age time.Duration, quotaClass int) float64 {
	return float64(importance) + float64(age)/float64(s.options.AgingInterval) - float64(quotaClass)*s.options.OverQuotaPenalty
}

// kindImportance returns the importance of the kind. Rules are evaluated once a minute.
func (s *Sequencer) kindImportance(k *kind, now time.Time) int {
	if minute := now.Truncate(time.Minute); !k.importanceMinute.Equal(minute) {
		k.importance, k.importanceMinute = importanceOf(s.options.Rules, k.name, now), minute
	}
	return k.importance
}

// AddUsage adds a running task that Next did not return to the usage of the team, for example a task taken
// over from another owner.
func (s *Sequencer) AddUsage(teamName string, size resource.Amount) {
	s.updateUsage(s.findOrAddTeam(teamName), size)
}

// RemoveUsage removes a task that has ended from the usage of the team.
func (s *Sequencer) RemoveUsage(teamName string, size resource.Amount) {
	s.updateUsage(s.findOrAddTeam(teamName), resource.Amount{}.Sub(size))
}

// restoreSkipped puts the queues whose first task did not fit back into their heaps.
func (s *Sequencer) restoreSkipped() {
	for _, q := range s.skipped {
		heap.Push(&s.kinds[q.kind].heaps[q.team.quotaClass], q)
	}
	s.skipped = s.skipped[:0]
}

// firstQueue returns the queue whose first task has the highest score, or nil if no task is waiting.
func (s *Sequencer) firstQueue(now time.Time) *queue {
	var best *queue
	highest := 0.0
	for _, name := range s.kindNames {
		k := s.kinds[name]
		importance := s.kindImportance(k, now)
		for quotaClass := range k.heaps {
			q := k.heaps[quotaClass].cleanTop()
			if q == nil {
				continue
			}
			score := s.score(importance, now.Sub(q.key), quotaClass)
			if best == nil || score > highest {
				best, highest = q, score
			}
		}
	}
	return best
}

// updateUsage adds size to the usage of the team. If the team crosses its quota in either direction,
// its queues move to the other heap.
func (s *Sequencer) updateUsage(t *team, size resource.Amount) {
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

func (s *Sequencer) findOrAddTeam(name string) *team {
	t, ok := s.teams[name]
	if !ok {
		t = &team{name: name, quota: s.options.Quotas[name], queues: map[string]*queue{}}
		s.teams[name] = t
		s.updateUsage(t, resource.Amount{})
	}
	return t
}

func (s *Sequencer) findOrAddQueue(t *team, kindName string) *queue {
	q, ok := t.queues[kindName]
	if !ok {
		q = &queue{team: t, kind: kindName, heapIndex: -1}
		t.queues[kindName] = q
		if s.kinds[kindName] == nil {
			s.kinds[kindName] = &kind{name: kindName}
			s.kindNames = append(s.kindNames, kindName)
		}
	}
	return q
}

// dominantShare returns the largest share of the capacity that is used in any dimension, as in dominant
// resource fairness.
func dominantShare(used, capacity resource.Amount) float64 {
	largest := 0.0
	for _, d := range [][2]int64{
		{used.MilliProcessors, capacity.MilliProcessors},
		{used.MemoryBytes, capacity.MemoryBytes},
		{used.Accelerators, capacity.Accelerators},
	} {
		if d[1] > 0 {
			largest = max(largest, float64(d[0])/float64(d[1]))
		}
	}
	return largest
}
