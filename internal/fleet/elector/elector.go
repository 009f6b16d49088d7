// Package elector implements the election of the entry that owns the batch jobs. An entry becomes the owner by appending a claim to the
// store, which orders the claims. The owner and the entries that should claim next, which are the council, ping each other to detect a failed
// owner. The other entries learn who owns the jobs from pings to a few random ones, so that the cost of an entry doesn't depend on their number.
package elector

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"bamboohook/internal/fleet/messenger"
	"bamboohook/internal/fleet/storekeeper"
)

// OwnerKey is the key under which the store keeps the newest claim of the ownership.
const OwnerKey = "owner"

const (
	// claimCheckInterval is the time between two checks whether this entry should claim the ownership, or has become the owner.
	claimCheckInterval = 25 * time.Millisecond
	// livenessTimeout is how long an entry counts as live after it was last heard from, apart from the time that congestion may take. It is
	// longer than three ping intervals plus the delay of one ping.
	livenessTimeout = 650 * time.Millisecond
	// maxStoreAge is the time since the last contact with the store after which an entry counts as disconnected from it. Package
	// subscriber lets the store delay its responses for up to a second, so this time can reach one second on a working connection.
	maxStoreAge = 1600 * time.Millisecond
	// storeCallTimeout bounds an append of a claim, and a call that registers this entry or reads the list of entries.
	storeCallTimeout = time.Second
	// loadTimeout bounds a call that loads the newest record of each key from the store, apart from the time that congestion may take.
	loadTimeout = 2 * time.Second
	// followWait is how long the store may delay its response to a read while there are no new records. Contact with the store counts from the
	// sending of a read, so two reads in a row must fit in StoreContactTimeout. followTimeoutMargin is added to it to get the timeout of the
	// read.
	followWait          = 500 * time.Millisecond
	followTimeoutMargin = 800 * time.Millisecond
	// confirmationTimeout bounds a read that confirms the ownership, apart from the time that congestion may take. Agents that wait for it accept
	// starts after 2 s without it.
	confirmationTimeout = 800 * time.Millisecond
	// evidenceTimeout is how long the response of an entry without contact to the store proves that it has not claimed the ownership. It is
	// shorter than the time for which the next owner waits for grants of this one.
	evidenceTimeout = 1300 * time.Millisecond
	// storeRetryPause is the time until a failed access to the store is repeated.
	storeRetryPause = 200 * time.Millisecond
	// maxRefusedConnections is the number of consecutive refused connections after which an entry's process counts as ended.
	maxRefusedConnections = 2
	// relayDuration is how long requests go through another entry after a call to the owner has failed.
	relayDuration = 2 * time.Second
	// maxConfigurationPeers is the maximum number of addresses that PeersWithNewerVersion returns.
	maxConfigurationPeers = 3
	// maxContacts is the maximum number of addresses that Contacts returns.
	maxContacts = 12
)

// errNotOwner reports that this process does not own the jobs in the requested epoch.
var errNotOwner = eris.New("elector: another process may own the jobs")

type (
	// PeerClient is a client of the other entries.
	PeerClient interface {
		// Ping returns refused true if the connection was refused, that is, if no process listens at the address.
		Ping(ctx context.Context, address string, p messenger.Ping) (response messenger.Ping, refused bool, err error)
	}

	// Store is a client of the store, which keeps the claims and the list of entries.
	Store interface {
		// Append returns storekeeper.ErrNotAppended only if the batch was not appended and never will be.
		Append(ctx context.Context, batch storekeeper.Batch) error
		// Load returns the newest record of each key and the offset from which Follow returns the records after them.
		Load(ctx context.Context) ([]storekeeper.Record, int64, error)
		// Follow returns the records from the offset on and the offset after the last one. If there are none, it waits for them, at
		// most for the given time. It returns storekeeper.ErrDeleted if records at the offset were deleted. With another error it may return the
		// first part of the records and the offset after them.
		Follow(ctx context.Context, from int64, wait time.Duration) ([]storekeeper.Record, int64, error)
		// RegisterEntry adds an entry to the list of entries in the store, or replaces it. RemoveEntry removes the entry with the
		// address. Entries returns the list.
		RegisterEntry(ctx context.Context, entry storekeeper.EntryRecord) error
		RemoveEntry(ctx context.Context, address string) error
		Entries(ctx context.Context) ([]storekeeper.EntryRecord, error)
	}

	// Clock is a clock that keeps running while the machine is suspended.
	Clock interface {
		Now() time.Time
	}

	// Elector takes part in the election for one entry. Set the exported fields before calling Run. Elector is safe for concurrent use.
	Elector struct {
		// Address is the address of this entry, at which the other entries ping it.
		Address string
		// Generation is a string that is unique to this process. It distinguishes the claims of this process from those of an earlier
		// process at the same address.
		Generation string
		// Weight is the priority of this entry. Entries with a higher weight claim first.
		Weight float64
		// CongestionTime is the longest time for which congestion of this entry's link or processor may delay its messages. Other
		// entries tolerate its silence for that long.
		CongestionTime time.Duration
		// Seeds are the addresses of some entries, from which this entry learns the addresses of the others.
		Seeds      []string
		PeerClient PeerClient
		Store      Store
		Clock      Clock
		Log        zerolog.Logger
		// StoreContactTimeout is how long the owner lets agents renew leases after its last contact with the store, see
		// MayGrantLeases.
		StoreContactTimeout time.Duration
		// Random returns a random number from 0 to n-1. If it is nil, package rand is used.
		Random func(n int) int
		// ConfigurationState returns the version of this entry's configuration and the time since the store, asked by this entry, had no newer
		// one. It may be nil.
		ConfigurationState func() (version int64, age time.Duration)
		// EvacuationVersion returns the version of the set of evacuated data centres that this entry knows, or 0. It may be nil.
		EvacuationVersion func() int64
		// OnOwnershipGained is called with the newest record of each key when this entry becomes the owner of an epoch.
		// OnOwnershipLost is called when it ceases to be the owner, asynchronously and perhaps with a delay.
		OnOwnershipGained func(epoch uint64, records []storekeeper.Record)
		OnOwnershipLost   func(epoch uint64, reason string)

		mutex     sync.Mutex
		startedAt time.Time
		// peers contains the states of the other known entries by address, and addresses the keys of peers.
		peers     map[string]*peer
		addresses []string
		// council contains the addresses of the other entries that this one watches, as long as it belongs to the council itself, and of those
		// that it believes to be in the council otherwise. inCouncil reports whether it belongs to the council, and councilSince since when.
		council      []string
		inCouncil    bool
		councilSince time.Time
		// epoch is the highest known epoch. owner is the address of its owner, or "" if that is unknown.
		epoch uint64
		owner string
		// isOwner reports whether this process is the owner of the epoch, and ownerSince since when.
		isOwner    bool
		ownerSince time.Time
		// claiming is the epoch that this process is claiming, or 0.
		claiming uint64
		// abandonClaim ends the calls of the claim, because a later one has been made. Only while claiming is not 0.
		abandonClaim context.CancelFunc
		// draining reports whether Drain was called, so that another entry should become the owner.
		draining bool
		// lastStoreContactAt is when the store last responded to any component. ownerContactAt is when the last read or append was sent to
		// which the store responded, and which shows that this process still was the owner then.
		lastStoreContactAt time.Time
		ownerContactAt     time.Time
		// contactRegainedAt is when the store last responded after it had not done so for maxStoreAge or since the start.
		contactRegainedAt time.Time
		// epochObservedAt is when a higher epoch of another entry was last observed.
		epochObservedAt time.Time
		// ownerKnownAt is when any entry last heard from the owner, as far as this one knows.
		ownerKnownAt time.Time
		// ownerCallFailedAt is when a request to the owner last had no response. It is zero if the last one had a response.
		ownerCallFailedAt time.Time
		// ownerSuspectedAt is the time since which the owner counts as failed. It is zero while the owner is healthy.
		ownerSuspectedAt time.Time
		// resumedAt is when this process last ran again after a pause. What it has not heard before then shows nothing about others.
		resumedAt time.Time
		// lastCheckAt is when claimLoop last ran.
		lastCheckAt time.Time
		// contactNeededAt is the end of the last pause of this process or of its last claim. Another entry may have become the owner before it, so the owner
		// shows no states until the store has responded to a call that was sent later.
		contactNeededAt time.Time
		// lastClaimAt is when this process last claimed the ownership, and claimCount the number of its claims. unsettledClaims is the number of
		// its claims since an owner last stayed for settledDuration.
		lastClaimAt     time.Time
		claimCount      int
		unsettledClaims int
		// storeOffset is the offset from which this entry, while it is the owner, reads the next records of the store.
		storeOffset int64
		// registered reports whether this entry is in the store's list of entries. registeredEpoch is the epoch in its record there.
		registered      bool
		registeredEpoch uint64
		// probeRequests makes probeLoop send pings at once. spawn runs a function in a goroutine that Run waits for.
		probeRequests chan struct{}
		spawn         func(f func())
	}

	// ownerClaim is the value of a store record with the key OwnerKey. The entry in the newest claim is the owner of the batch jobs.
	// ClaimID consists of the Generation of the process and the number of its claim.
	ownerClaim struct {
		Epoch   uint64 `json:"epoch"`
		Address string `json:"address"`
		ClaimID string `json:"nonce"`
	}
)

// PeersWithNewerVersion returns the addresses of live entries that have a configuration with a version above the given one, at most
// maxConfigurationPeers: those with the highest version first, and of these the ones with the highest weight.
func (e *Elector) PeersWithNewerVersion(version int64) []string {
	return e.peersAbove(version, func(p messenger.Ping) int64 { return p.Version })
}

// PeersWithNewerEvacuations returns the addresses of live entries that have a set of evacuated data centres with a version above the given one, like
// PeersWithNewerVersion.
func (e *Elector) PeersWithNewerEvacuations(version int64) []string {
	return e.peersAbove(version, func(p messenger.Ping) int64 { return p.EvacuationVersion })
}

// peersAbove returns the addresses of live entries in whose last ping the number is above the given one, as described at PeersWithNewerVersion.
func (e *Elector) peersAbove(limit int64, number func(p messenger.Ping) int64) []string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := e.Clock.Now()
	var newer []*peer
	for _, p := range e.peers {
		if number(p.lastPing) > limit && e.isLive(p, now) {
			newer = append(newer, p)
		}
	}
	slices.SortFunc(newer, func(a, b *peer) int {
		return cmp.Or(cmp.Compare(number(b.lastPing), number(a.lastPing)), cmp.Compare(b.weight, a.weight), cmp.Compare(a.precedence, b.precedence))
	})
	var addresses []string
	for _, p := range newer[:min(len(newer), maxConfigurationPeers)] {
		addresses = append(addresses, p.address)
	}
	return addresses
}

// ConfigurationConfirmedAt returns when the store last had no configuration with a version above the given one, as far as the other entries have told, or
// the zero time. It counts an entry's answer from the sending of the ping, because the answer may have been under way for long.
func (e *Elector) ConfigurationConfirmedAt(version int64) time.Time {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.configurationConfirmedAt(version)
}

// configurationConfirmedAt is ConfigurationConfirmedAt for a caller that holds the mutex.
func (e *Elector) configurationConfirmedAt(version int64) time.Time {
	var at time.Time
	for _, p := range e.peers {
		if p.answer.ConfigurationAge > 0 && p.answer.Version <= version {
			at = latest(at, p.answeredAt.Add(-p.answer.ConfigurationAge))
		}
	}
	return at
}

// Run takes part in the election until ctx is done.
func (e *Elector) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	e.mutex.Lock()
	e.peers, e.startedAt, e.probeRequests = map[string]*peer{}, e.Clock.Now(), make(chan struct{}, 1)
	e.spawn = func(f func()) {
		group.Go(func() error { f(); return nil })
	}
	for _, s := range e.Seeds {
		e.getOrAddPeer(s)
	}
	e.mutex.Unlock()
	group.Go(func() error { e.entriesLoop(ctx); return nil })
	group.Go(func() error { e.followStoreLoop(ctx); return nil })
	group.Go(func() error { e.claimLoop(ctx); return nil })
	group.Go(func() error { e.probeLoop(ctx); return nil })
	return group.Wait()
}

// Owner returns the address of the owner, or "" if none is known, and the highest known epoch.
func (e *Elector) Owner() (string, uint64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.owner, e.epoch
}

// Relay returns the address of a live entry that reaches the owner, for use while this entry doesn't reach it. It returns "" if this entry
// reaches the owner or if there is no such entry.
func (e *Elector) Relay() string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := e.Clock.Now()
	p, ok := e.peers[e.owner]
	switch {
	case !ok:
		return ""
	case e.inCouncil && e.isLive(p, now):
		return ""
	case !e.inCouncil && (e.ownerCallFailedAt.IsZero() || now.Sub(e.ownerCallFailedAt) > relayDuration):
		// This entry doesn't ping the owner, so only failed calls show that it doesn't reach it.
		return ""
	}
	for address, p := range e.peers {
		if address != e.owner && e.isLive(p, now) && e.peerHearsOwner(p, now) {
			return address
		}
	}
	return ""
}

// RecordOwnerCall records whether the entry at the address has responded as the owner to a call of this one.
func (e *Elector) RecordOwnerCall(address string, responded bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if address != e.owner {
		return
	}
	now := e.Clock.Now()
	if responded {
		e.ownerKnownAt, e.ownerCallFailedAt = now, time.Time{}
		return
	}
	e.ownerCallFailedAt = now
}

// Contacts returns the addresses of at most maxContacts entries, including this one, and the number of all known entries. The entries that are
// likely to own the jobs come first.
func (e *Elector) Contacts() ([]string, int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	contacts := append([]string{e.Address}, e.council...)
	for n := e.random(len(e.addresses) + 1); len(contacts) < min(maxContacts, len(e.addresses)+1); n++ {
		address := e.addresses[n%len(e.addresses)]
		if !slices.Contains(contacts, address) {
			contacts = append(contacts, address)
		}
	}
	return contacts, len(e.addresses) + 1
}

// StoreAge returns the time since the last contact with the store, or one hour if there was none.
func (e *Elector) StoreAge() time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.storeAge(e.Clock.Now())
}

// RecordStoreContact records that another component has received a response of the store.
func (e *Elector) RecordStoreContact() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.recordStoreContact()
}

// recordStoreContact records a response of the store. The caller holds the mutex.
func (e *Elector) recordStoreContact() {
	now := e.Clock.Now()
	if e.storeAge(now) > maxStoreAge {
		e.contactRegainedAt = now
	}
	e.lastStoreContactAt = now
}

// RecordAppend records that the store has accepted an append of the owner of the epoch, which was sent at the given time.
func (e *Elector) RecordAppend(epoch uint64, sentAt time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.isOwner && e.epoch == epoch && sentAt.After(e.ownerContactAt) {
		e.ownerContactAt = sentAt
	}
}

// MayGrantLeases reports whether this entry, as the owner, may let agents renew their leases and may send them orders. It may do so within
// StoreContactTimeout after it sent a read or an append which shows that no other entry had claimed the ownership. A response counts from the
// sending of its request, because it may have been under way for long, or may have waited while this process was paused. The entry may also do
// so if no other entry can have claimed the ownership, see othersDisconnected.
func (e *Elector) MayGrantLeases() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := e.Clock.Now()
	if !e.isOwner {
		return false
	}
	return now.Sub(e.ownerContactAt) < e.StoreContactTimeout || e.othersDisconnected(now.Add(-evidenceTimeout))
}

// MayShowStates reports whether this entry, as the owner, may show callers the states of jobs. It may not do so after a pause until the store has
// shown that it still is the owner, or until the other entries have told that they cannot have claimed the ownership. A pause that is shorter than
// pauseThreshold does not make other entries claim. An owner that is cut off but has not been paused goes on showing states.
func (e *Elector) MayShowStates() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := e.Clock.Now()
	if !e.isOwner || e.isCheckLate(now) {
		return false
	}
	return !e.ownerContactAt.Before(e.contactNeededAt) || e.othersDisconnected(latest(e.contactNeededAt, now.Add(-evidenceTimeout)))
}

// OwnedAt returns the latest time at which certainly no other entry owned the jobs, or the zero time if this entry is not the owner.
func (e *Elector) OwnedAt() time.Time {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !e.isOwner {
		return time.Time{}
	}
	if now := e.Clock.Now(); e.othersDisconnected(now.Add(-evidenceTimeout)) {
		return latest(e.ownerContactAt, now.Add(-e.StoreContactTimeout))
	}
	return e.ownerContactAt
}

// ConfirmedAt returns when the last read or append was sent to which the store has responded and which shows that this process was the owner of the
// epoch. It returns the zero time if this process is not the owner of the epoch.
func (e *Elector) ConfirmedAt(epoch uint64) time.Time {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !e.isOwner || e.epoch != epoch {
		return time.Time{}
	}
	return e.ownerContactAt
}

// ConfirmOwnership asks the store at once whether a later claim than that of this process exists. The read in progress does not tell: the store may
// delay its response, which counts from the sending of the request. If there is no such claim, ConfirmedAt returns the time of this request or a later one.
// ConfirmOwnership fails if the store does not respond in time or if this process is not the owner of the epoch.
func (e *Elector) ConfirmOwnership(ctx context.Context, epoch uint64) error {
	e.mutex.Lock()
	offset, isOwner := e.storeOffset, e.isOwner && e.epoch == epoch
	e.mutex.Unlock()
	if !isOwner {
		return errNotOwner
	}
	ctx, cancel := context.WithTimeout(ctx, confirmationTimeout+e.CongestionTime)
	defer cancel()
	sentAt := e.Clock.Now()
	records, _, err := e.Store.Follow(ctx, offset, 0)
	if err != nil {
		return eris.Wrap(err, "elector: cannot confirm the ownership")
	}
	newest := newestClaim(records)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.recordStoreContact()
	e.observeEpoch(newest.Epoch, newest.Address)
	if !e.isOwner || e.epoch != epoch {
		return errNotOwner
	}
	e.ownerContactAt = latest(e.ownerContactAt, sentAt)
	return nil
}

// othersDisconnected reports whether every other entry that may run has told in a response to a ping which was sent after the given time that it cannot
// have claimed the ownership, because it had no contact with the store. A silent entry may have claimed it, also if it was down before and has started
// again since. So may an entry that refuses connections, because a partition may refuse them in its place. Only entries that had been removed from the
// store's list while this one had contact with the store don't count. The caller holds the mutex.
func (e *Elector) othersDisconnected(after time.Time) bool {
	for _, p := range e.peers {
		if e.lastStoreContactAt.Sub(p.lastSignOfLife()) > forgottenTimeout {
			continue
		}
		if !p.answeredAt.After(after) || p.answer.StoreAge < maxStoreAge || p.answer.Epoch > e.epoch {
			return false
		}
	}
	return true
}

// Drain announces to the other entries that this process is about to end, so that one of them claims the ownership.
func (e *Elector) Drain() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.draining = true
}

// HandlePing stores the other entry's state, which its ping contains, and returns this entry's state as the response.
func (e *Elector) HandlePing(p messenger.Ping) messenger.Ping {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.handlePeerPing(p)
	return e.composePing()
}

// ObserveEpoch records an epoch that another process has reported, and the address of its owner, unless a higher epoch is known.
func (e *Elector) ObserveEpoch(epoch uint64, owner string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.observeEpoch(epoch, owner)
}

// HandleFenced ends the ownership of this entry if epoch is the current one. It is called after the store has rejected an append of the
// epoch because another entry has claimed a higher epoch.
func (e *Elector) HandleFenced(epoch uint64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.isOwner && e.epoch == epoch {
		e.loseOwnership("the store has seen a higher epoch")
		e.owner = ""
	}
}

// observeEpoch records an epoch and the address of its owner, unless a higher epoch is known. The owner of a new epoch counts as healthy
// for a few ping intervals, so that it has time to respond. The caller holds the mutex.
func (e *Elector) observeEpoch(epoch uint64, owner string) {
	if epoch > messenger.MaxEpoch {
		e.Log.Warn().Uint64("epoch", epoch).Str("owner", owner).Msg("ignored an epoch out of range")
		return
	}
	if epoch == e.epoch && e.owner == "" && !e.isOwner {
		e.owner = owner
		e.addOwnerAsPeer()
	}
	if epoch <= e.epoch {
		return
	}
	if e.claiming != 0 && epoch > e.claiming {
		e.abandonClaim()
	}
	e.epochObservedAt = e.Clock.Now()
	e.ownerKnownAt, e.ownerCallFailedAt = e.epochObservedAt, time.Time{}
	e.Log.Info().Uint64("epoch", epoch).Str("owner", owner).Uint64("before", e.epoch).Msg("higher epoch observed")
	if e.isOwner {
		e.loseOwnership("another entry has claimed the ownership")
	}
	e.epoch, e.owner = epoch, owner
	e.addOwnerAsPeer()
	e.requestProbes()
}

// addOwnerAsPeer adds the owner to the known entries. The caller holds the mutex.
func (e *Elector) addOwnerAsPeer() {
	if e.peers != nil {
		e.getOrAddPeer(e.owner)
	}
}

// loseOwnership ends the ownership. The caller holds the mutex, so OnOwnershipLost runs in its own goroutine, without the mutex.
func (e *Elector) loseOwnership(reason string) {
	e.isOwner = false
	go e.OnOwnershipLost(e.epoch, reason)
}

// storeAge returns the time since the last contact with the store. It returns one hour, which is longer than all timeouts, if there was
// none. The caller holds the mutex.
func (e *Elector) storeAge(now time.Time) time.Duration {
	if e.lastStoreContactAt.IsZero() {
		return time.Hour
	}
	return now.Sub(e.lastStoreContactAt)
}

// random returns a random number from 0 to n-1.
func (e *Elector) random(n int) int {
	if e.Random != nil {
		return e.Random(n)
	}
	return rand.IntN(n)
}
