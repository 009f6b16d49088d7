package coordinator_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"bamboohook/internal/batch/coordinator"
	"bamboohook/internal/batch/dispatcher"
	"bamboohook/internal/fleet/attendant"
	"bamboohook/internal/fleet/committer"
	"bamboohook/internal/fleet/messenger"
	"bamboohook/internal/fleet/sleeper"
	"bamboohook/internal/fleet/storekeeper"
)

const (
	simQueue = "q"
	// simAttempts is the number of failed runs of a task with which its job fails.
	simAttempts = 4
	// simRetention is longer than a world exists.
	simRetention = time.Hour
	// maxStoreDelay is the longest time of each way between an owner and the store.
	maxStoreDelay = 4 * time.Millisecond
	maxMissTime   = 4 * time.Second
	// silentShare is the share of the entries that do not respond to a new agent process, at most for simSilence. That is shorter than the time after which
	// a former owner is aware of its successor, and longer than the survey of a new agent process.
	silentShare = 0.5
	simSilence  = 1800 * time.Millisecond
)

var (
	errNotReachable = eris.New("connection refused")
	// simLeases holds the durations of internal/cli/platform.go.
	simLeases      = coordinator.Leases{Grant: 2500 * time.Millisecond, Run: 4 * time.Second, Contact: 2 * time.Second, Drift: 500 * time.Millisecond}
	ownerAddresses = []string{"owner-a", "owner-b", "owner-c"}
)

type (
	// simStore holds the records of the jobs. It refuses writes of all epochs but the newest.
	simStore struct {
		epoch  uint64
		values map[string][]byte
	}

	// simOwner is an entry that is or was the owner. It stays unaware of a later owner until resigned is closed.
	simOwner struct {
		world       *simWorld
		address     string
		epoch       uint64
		coordinator *coordinator.Coordinator
		suspension  suspension
		// grantsUntil is zero while the owner has contact with the store.
		grantsUntil time.Time
		// confirmed is when the last request was sent to which the store has responded and which shows that there was no later owner.
		confirmed time.Time
		// succeededAt is when another owner took over, or the zero time.
		succeededAt time.Time
		resigned    chan struct{}
		resignOnce  sync.Once
		wake        chan struct{}
		mutex       sync.Mutex
		queue       []committer.Write
	}

	// simReporter sends reports of an agent process over the network.
	simReporter struct {
		world *simWorld
		agent *agentProcess
	}
)

// newestRecords returns the newest record of each key.
func (s *simStore) newestRecords() []storekeeper.Record {
	var records []storekeeper.Record
	for key, value := range s.values {
		records = append(records, storekeeper.Record{Key: key, Value: value})
	}
	return records
}

// takeOver makes another entry the owner. The previous owner stays unaware of that for the given time.
func (w *simWorld) takeOver(unaware time.Duration) {
	o := &simOwner{world: w, resigned: make(chan struct{}), wake: make(chan struct{}, 1)}
	o.coordinator = &coordinator.Coordinator{
		Agents: o, Journal: o, Clock: simClock{}, WallClock: simClock{}, Leases: simLeases,
		Limits: coordinator.Limits{Retention: simRetention, MissTolerance: maxMissTime, StopTimeout: maxStopTime}, MayGrantLeases: o.mayGrantLeases,
		MayShowStates: o.mayGrantLeases, OwnedAt: o.ownedAt,
		ConfirmedAt: o.confirmedAt, ConfirmOwnership: o.confirmOwnership,
	}
	var records []storekeeper.Record
	w.locked(func(w *simWorld) {
		previous := w.owner
		w.records.epoch++
		o.epoch, o.address, records = w.records.epoch, w.nextAddress(), w.records.newestRecords()
		if previous != nil {
			// A suspended owner learns of its successor after it has gone on.
			unaware += max(0, time.Until(previous.suspension.until))
			previous.succeededAt = time.Now()
			previous.grantsUntil = time.Now().Add(min(unaware, simLeases.Contact))
			time.AfterFunc(unaware, previous.resign)
		}
		w.log("", "owner of epoch %d takes over; the previous one learns of it after %v", o.epoch, unaware)
		if w.faults.cuts {
			w.cutOffFromNewOwner(o.address)
		}
	})
	o.coordinator.Address = o.address
	o.coordinator.Log = zerolog.New(simLog{world: w, name: o.name()})
	o.coordinator.Configure(1, map[string]coordinator.Queue{
		simQueue: {Queue: dispatcher.Queue{Service: "s", Attempts: simAttempts, Stretch: 2, Target: time.Second}},
	})
	o.coordinator.TakeOwnership(o.epoch, records)
	w.locked(func(w *simWorld) { w.owner, w.entries[o.address], w.firstResponseAt = o, o, time.Time{} })
	go func() { _ = o.coordinator.Run(w.ctx) }()
	go o.writeLoop()
}

func (o *simOwner) name() string { return fmt.Sprint("owner of epoch ", o.epoch) }

func (w *simWorld) presentOwner() *simOwner {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.owner
}

// resign ends the ownership when the owner learns of a later one.
func (o *simOwner) resign() {
	o.resignOnce.Do(func() {
		close(o.resigned)
		o.coordinator.Resign(o.epoch, "later epoch")
	})
}

func (o *simOwner) isResigned() bool {
	select {
	case <-o.resigned:
		return true
	default:
		return false
	}
}

func (o *simOwner) mayGrantLeases() bool {
	o.world.mutex.Lock()
	defer o.world.mutex.Unlock()
	return o.grantsUntil.IsZero() || time.Now().Before(o.grantsUntil)
}

func (o *simOwner) ownedAt() time.Time {
	o.world.mutex.Lock()
	defer o.world.mutex.Unlock()
	if o.succeededAt.IsZero() {
		return time.Now()
	}
	return o.succeededAt
}

func (o *simOwner) confirmedAt(epoch uint64) time.Time {
	o.world.mutex.Lock()
	defer o.world.mutex.Unlock()
	if epoch != o.epoch || o.isResigned() {
		return time.Time{}
	}
	return o.confirmed
}

// confirmOwnership asks the store whether there is a later owner. If so, this owner does not learn it before it resigns, as if the response were lost.
func (o *simOwner) confirmOwnership(ctx context.Context, epoch uint64) error {
	w, sentAt := o.world, time.Now()
	w.locked(func(w *simWorld) { w.confirmations++ })
	w.pause(ctx, 0, maxStoreDelay)
	isOwner := false
	w.locked(func(w *simWorld) { isOwner = w.records.epoch == epoch })
	w.pause(ctx, 0, maxStoreDelay)
	o.suspension.wait(w.ctx, w)
	if !isOwner {
		return errNotReachable
	}
	w.locked(func(*simWorld) {
		if sentAt.After(o.confirmed) {
			o.confirmed = sentAt
		}
	})
	return nil
}

// isSilentTo reports whether the entry does not respond to the agent process yet. Half of the entries do not respond to a new process for simSilence.
func (w *simWorld) isSilentTo(entry, generation string) bool {
	if entry == w.silentEntry {
		return true
	}
	if !w.faults.silentEntries {
		return false
	}
	key := entry + " " + generation
	silence, known := w.silences[key]
	if !known {
		if w.chance(silentShare) {
			silence = time.Now().Add(w.duration(0, simSilence))
		}
		w.silences[key] = silence
	}
	return time.Now().Before(silence)
}

// Append implements coordinator.Journal.
func (o *simOwner) Append(w committer.Write) {
	o.mutex.Lock()
	o.queue = append(o.queue, w)
	o.mutex.Unlock()
	o.Notify()
}

// Notify implements coordinator.Journal.
func (o *simOwner) Notify() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// Degraded implements coordinator.Journal.
func (*simOwner) Degraded() bool { return false }

// writeLoop stores the writes, one batch at a time, until the world ends.
func (o *simOwner) writeLoop() {
	w := o.world
	for {
		select {
		case <-w.ctx.Done():
			return
		case <-o.wake:
		}
		o.suspension.wait(w.ctx, w)
		w.pause(w.ctx, 0, maxStoreDelay)
		o.mutex.Lock()
		writes := o.queue
		o.queue = nil
		o.mutex.Unlock()
		writes = append(writes, o.coordinator.CollectWrites()...)
		w.pause(w.ctx, 0, maxStoreDelay)
		stored, sentAt := false, time.Now()
		w.locked(func(w *simWorld) {
			if stored = w.records.epoch == o.epoch; !stored {
				return
			}
			for _, batch := range writes {
				for _, r := range batch.Records {
					if w.records.values[r.Key] = r.Value; len(r.Value) == 0 {
						delete(w.records.values, r.Key)
					}
				}
			}
		})
		var err error
		if !stored {
			err = storekeeper.ErrFenced
			select {
			case <-w.ctx.Done():
			case <-o.resigned:
			}
		}
		w.pause(w.ctx, 0, maxStoreDelay)
		o.suspension.wait(w.ctx, w)
		if err == nil {
			w.locked(func(*simWorld) { o.confirmed = sentAt })
		}
		for _, batch := range writes {
			batch.Done(err)
		}
	}
}

// travel returns how long a message is on the way and whether it is lost.
func (w *simWorld) travel() (time.Duration, bool) {
	d := w.duration(minMessageDelay, maxMessageDelay)
	calm := false
	w.locked(func(w *simWorld) { calm = w.calm })
	if !w.faults.lateMessages || calm {
		return d, false
	}
	if w.chance(lateMessageShare) {
		d = w.duration(maxMessageDelay, maxFaultyDelay)
	}
	return d, w.chance(lostMessageShare)
}

// deliver sends a message over the link and returns its response. handle is called where the message arrives, also after ctx has ended. It
// returns false if there is no response.
func deliver[T any](ctx context.Context, w *simWorld, link simLink, handle func() (T, bool, error)) (T, error) {
	type outcome struct {
		response T
		err      error
	}
	arrived := make(chan outcome, 1)
	go func() {
		delay, lost := w.travel()
		if !sleeper.Sleep(w.ctx, delay) || lost {
			return
		}
		if err := w.pass(link); err != nil {
			if errors.Is(err, errNotReachable) {
				arrived <- outcome{err: err}
			}
			return
		}
		response, answered, err := handle()
		delay, lost = w.travel()
		if !answered || lost || !sleeper.Sleep(w.ctx, delay) {
			return
		}
		switch cutErr := w.pass(link.reverse()); {
		case errors.Is(cutErr, errNotReachable):
			// The connection breaks before the response.
			arrived <- outcome{err: cutErr}
		case cutErr == nil:
			arrived <- outcome{response, err}
		}
	}()
	select {
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	case o := <-arrived:
		return o.response, o.err
	}
}

// SendReport implements attendant.Reporter.
func (s *simReporter) SendReport(ctx context.Context, entry string, r messenger.Report) (messenger.ReportResponse, error) {
	if err := s.agent.suspension.waitToSend(ctx, s.agent.ctx, s.world); err != nil {
		return messenger.ReportResponse{}, err
	}
	defer s.agent.suspension.wait(s.agent.ctx, s.world)
	sentAt := time.Now()
	return deliver(ctx, s.world, simLink{r.VM, entry, true}, func() (messenger.ReportResponse, bool, error) {
		if time.Since(sentAt) > maxMessageDelay {
			s.world.locked(func(w *simWorld) {
				w.log("", "%s: report %d of %s, sent at %s, arrives late with the runs %+v", r.VM, r.Sequence, r.Generation, w.at(sentAt), r.Runs)
			})
		}
		return s.world.handleReport(entry, r)
	})
}

// handleReport passes a report to the entry and completes the response like package cli.
func (w *simWorld) handleReport(entry string, r messenger.Report) (messenger.ReportResponse, bool, error) {
	var o, owner *simOwner
	silent := false
	w.locked(func(w *simWorld) {
		o, owner, silent = w.entries[entry], w.owner, w.isSilentTo(entry, r.Generation)
	})
	switch {
	case silent:
		return messenger.ReportResponse{}, false, nil
	case owner == nil:
		return messenger.ReportResponse{Entries: ownerAddresses}, true, nil
	}
	w.useEntryLink(entry, r)
	if o == nil {
		// The entry has never been the owner, but knows it.
		return messenger.ReportResponse{Owner: owner.address, Epoch: owner.epoch, Entries: ownerAddresses}, true, nil
	}
	o.suspension.wait(w.ctx, w)
	if r.Epoch > o.epoch {
		o.resign()
	}
	response := o.coordinator.Report(r)
	defer o.suspension.wait(w.ctx, w)
	if !o.isResigned() {
		owner = o
	}
	response.Owner, response.Epoch, response.Entries = owner.address, owner.epoch, ownerAddresses
	if response.Owner != entry {
		response.Granted, response.OwnerConfirmed = false, false
	}
	w.locked(func(w *simWorld) {
		if response.Session != 0 && w.firstResponseAt.IsZero() {
			w.firstResponseAt = time.Now()
		}
	})
	return response, true, nil
}

// SendOrders implements coordinator.Agents.
func (o *simOwner) SendOrders(ctx context.Context, vm string, orders messenger.Orders) (messenger.OrdersResponse, error) {
	w := o.world
	if err := o.suspension.waitToSend(ctx, w.ctx, w); err != nil {
		return messenger.OrdersResponse{}, err
	}
	defer o.suspension.wait(w.ctx, w)
	sentAt := time.Now()
	w.locked(func(w *simWorld) {
		for _, s := range orders.Starts {
			w.log(s.Task, "owner of epoch %d orders %s to start run %d", o.epoch, vm, s.Number)
		}
		for _, s := range orders.Stops {
			w.log(s.Task, "owner of epoch %d orders %s to stop run %d", o.epoch, vm, s.Number)
		}
	})
	w.useEntryLink(o.address, orders)
	return deliver(ctx, w, simLink{vm, o.address, false}, func() (messenger.OrdersResponse, bool, error) {
		var p *agentProcess
		w.locked(func(w *simWorld) { p = w.agents[vm].process })
		if p == nil {
			return messenger.OrdersResponse{}, true, errNotReachable
		}
		p.suspension.wait(p.ctx, w)
		callCtx, cancel := context.WithTimeout(p.ctx, orderHandlingTimeout)
		defer cancel()
		response := p.attendant.HandleOrders(callCtx, orders)
		p.suspension.wait(p.ctx, w)
		w.locked(func(w *simWorld) { w.logResponse(p, orders, response, sentAt) })
		return response, p.ctx.Err() == nil, nil
	})
}

// logResponse adds the response of an agent process to the history of the tasks that should start.
func (w *simWorld) logResponse(p *agentProcess, orders messenger.Orders, response messenger.OrdersResponse, sentAt time.Time) {
	if !response.Accepted {
		w.refusedStarts[response.Reason] += len(orders.Starts)
		for _, s := range orders.Starts {
			w.log(s.Task, "%s rejects the orders of %s with the start of run %d: %s", p.generation, w.at(sentAt), s.Number, response.Reason)
			if response.Reason == attendant.ReasonEntrySilent {
				w.violate(s.Task, "the start of run %d was sent to an agent process whose reports say that it refuses starts", s.Number)
			}
		}
	}
	for _, s := range response.Starts {
		if s.Outcome == messenger.StartRefused {
			w.refusedStarts[s.Reason]++
		}
		w.log(s.Task, "%s answers the orders of %s with the start of run %d: %s %s", p.generation, w.at(sentAt), s.Number, s.Outcome, s.Reason)
	}
}
