// Package sequencer orders waiting tasks by importance, team quotas and age.
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
	// Clock tells the time.
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
		// Rules gives the importance of kinds; the first rule that matches applies.
		Rules []Rule
		// Quotas is the share of Capacity, from 0 to 1, that each team may use before its tasks go
		// behind those of others. A team without a quota is always behind.
		Quotas map[string]float64
		// Capacity is the capacity of all VMs.
		Capacity resource.Amount
		// AgingInterval is the waiting time that counts as one level of importance, by default 10 minutes.
		AgingInterval time.Duration
		// OverQuotaPenalty is the number of levels by which a team over its quota goes behind, by default 12.
		OverQuotaPenalty float64
		// MaxOffers bounds the tasks offered by one call of Next, by default 64.
		MaxOffers int
	}

	// Sequencer holds the waiting tasks and what each team uses. It is not safe for concurrent use.
	Sequencer struct {
		options Options
		items   map[string]*node
		kinds   map[string]*kind
		names   []string
		teams   map[string]*team
		skipped []*queue
	}

	// kind holds the queues of one kind of work by whether their team is over its quota.
	kind struct {
		name     string
		level    int
		levelled time.Time
		queues   [2]queueHeap
	}

	team struct {
		name   string
		quota  float64
		used   resource.Amount
		over   int
		queues map[string]*queue
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

// Configure replaces rules, quotas and capacity; waiting tasks keep their places in their queues.
func (s *Sequencer) Configure(rules []Rule, quotas map[string]float64, capacity resource.Amount) {
	s.options.Rules, s.options.Quotas, s.options.Capacity = rules, quotas, capacity
	for _, k := range s.kinds {
		k.levelled = time.Time{}
	}
	for _, name := range slices.Sorted(maps.Keys(s.teams)) {
		t := s.teams[name]
		t.quota = quotas[name]
		s.use(t, resource.Amount{})
	}
}

// Len returns the number of waiting tasks.
func (s *Sequencer) Len() int { return len(s.items) }

// Add enters the task by its time of submission, which a task that was evicted keeps. It returns
// false if a task with the id is already waiting.
func (s *Sequencer) Add(item Item) bool {
	if _, ok := s.items[item.ID]; ok {
		return false
	}
	q := s.queue(s.team(item.Team), item.Kind)
	n := &node{item: item}
	q.insert(n)
	s.items[item.ID] = n
	h := &s.kinds[item.Kind].queues[q.team.over]
	switch {
	case q.place < 0:
		q.key = q.first.item.Submitted
		heap.Push(h, q)
	case q.first.item.Submitted.Before(q.key):
		q.key = q.first.item.Submitted
		heap.Fix(h, q.place)
	}
	return true
}

// Cancel removes a waiting task in constant time and returns false if it is not waiting. The order
// of queues is corrected by later calls of Next.
func (s *Sequencer) Cancel(id string) bool {
	n, ok := s.items[id]
	if !ok {
		return false
	}
	n.queue.remove(n)
	delete(s.items, id)
	return true
}

// Next removes and returns the first task in order that fits, and counts it as used by its team
// until Release. It returns false if none of the first queues' heads fits. A nil fits accepts all.
func (s *Sequencer) Next(fits func(Item) bool) (Item, bool) {
	now := s.options.Clock.Now()
	defer s.restore()
	for range s.options.MaxOffers {
		q := s.best(now)
		if q == nil {
			return Item{}, false
		}
		item := q.first.item
		if fits == nil || fits(item) {
			s.Cancel(item.ID)
			s.use(q.team, item.Size)
			return item, true
		}
		heap.Remove(&s.kinds[q.kind].queues[q.team.over], q.place)
		s.skipped = append(s.skipped, q)
	}
	return Item{}, false
}

// Score returns the place of a waiting task in the order, the highest first. It is comparable with that of a task that
// was returned by Next before.
func (s *Sequencer) Score(item Item) float64 {
	now, over := s.options.Clock.Now(), 0
	if t, ok := s.teams[item.Team]; ok {
		over = t.over
	}
	if k, ok := s.kinds[item.Kind]; ok {
		return s.score(s.level(k, now), now.Sub(item.Submitted), over)
	}
	return s.score(level(s.options.Rules, item.Kind, now), now.Sub(item.Submitted), over)
}

func (s *Sequencer) score(importance int, age time.Duration, over int) float64 {
	return float64(importance) + float64(age)/float64(s.options.AgingInterval) - float64(over)*s.options.OverQuotaPenalty
}

// level returns the importance of the kind, which is derived again every minute.
func (s *Sequencer) level(k *kind, now time.Time) int {
	if minute := now.Truncate(time.Minute); !k.levelled.Equal(minute) {
		k.level, k.levelled = level(s.options.Rules, k.name, now), minute
	}
	return k.level
}

// Use counts a running task that did not come from Next, for example one adopted from another owner.
func (s *Sequencer) Use(name string, size resource.Amount) { s.use(s.team(name), size) }

// Release returns what a task of the team used.
func (s *Sequencer) Release(name string, size resource.Amount) {
	s.use(s.team(name), resource.Amount{}.Sub(size))
}

// restore returns the queues that did not fit to their heaps.
func (s *Sequencer) restore() {
	for _, q := range s.skipped {
		heap.Push(&s.kinds[q.kind].queues[q.team.over], q)
	}
	s.skipped = s.skipped[:0]
}

// best returns the queue whose head is first in order, or nil if no task waits.
func (s *Sequencer) best(now time.Time) *queue {
	var best *queue
	highest := 0.0
	for _, name := range s.names {
		k := s.kinds[name]
		importance := s.level(k, now)
		for over := range k.queues {
			q := k.queues[over].top()
			if q == nil {
				continue
			}
			score := s.score(importance, now.Sub(q.key), over)
			if best == nil || score > highest {
				best, highest = q, score
			}
		}
	}
	return best
}

// use changes what the team uses and moves its queues if it is now over its quota or no longer so.
func (s *Sequencer) use(t *team, size resource.Amount) {
	t.used = t.used.Add(size)
	over := 0
	if dominantShare(t.used, s.options.Capacity) >= t.quota {
		over = 1
	}
	if over == t.over {
		return
	}
	for _, name := range s.names {
		q, ok := t.queues[name]
		if !ok || q.place < 0 {
			continue
		}
		heap.Remove(&s.kinds[name].queues[t.over], q.place)
		heap.Push(&s.kinds[name].queues[over], q)
	}
	t.over = over
}

func (s *Sequencer) team(name string) *team {
	t, ok := s.teams[name]
	if !ok {
		t = &team{name: name, quota: s.options.Quotas[name], queues: map[string]*queue{}}
		s.teams[name] = t
		s.use(t, resource.Amount{})
	}
	return t
}

func (s *Sequencer) queue(t *team, name string) *queue {
	q, ok := t.queues[name]
	if !ok {
		q = &queue{team: t, kind: name, place: -1}
		t.queues[name] = q
		if s.kinds[name] == nil {
			s.kinds[name] = &kind{name: name}
			s.names = append(s.names, name)
		}
	}
	return q
}

// dominantShare returns the largest share of the capacity that is used in any dimension.
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
