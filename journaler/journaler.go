// Package journaler keeps a journal of idempotency keys. Before an agent runs a request with a key, it asks the journal
// whether the request may run. The journal lets only one request with each key start. It stores the response, which
// later requests with the same key then get.
package journaler

import (
	"crypto/hmac"
	"crypto/rand"
	"sync"
	"time"
)

// Values of Result.State.
const (
	// Fresh means that the key had been neither used nor revoked. The caller of Begin must run the request, and then
	// call Finish or Abandon. Begin returns Fresh at most once for each key.
	Fresh State = iota
	// Running means that a request with the key has started and not yet ended. The caller can wait until Result.Done is
	// closed, and then call Begin again.
	Running
	// Stored means that the request with the key has ended. Result.Response is its response.
	Stored
	// Revoked means that no request with the key has run or will ever run.
	Revoked
	// Unknown means that the key is malformed, forged or expired, or was issued by another run of the agent. The
	// request must not be run.
	Unknown
	// Full means that the journal has no room for the key. No request with the key has started; a later call of Begin
	// may return Fresh.
	Full
)

const (
	defaultMaxAge           = 10 * time.Minute
	defaultMaxKeys          = 100_000
	defaultMaxResponseBytes = 64 << 10
	defaultMaxTotalBytes    = 16 << 20
	secretLength            = 32
)

type (
	// State is what Begin reports about a key; it tells the caller what to do with the request.
	State int

	// Clock returns the current time. The time must never go back. time.Now fulfils this within one process.
	Clock interface {
		Now() time.Time
	}

	// Response is the response to a request with a key. Header and Body must not be changed after Finish, because the
	// journal does not copy them.
	Response struct {
		Status int
		Header map[string][]string
		Body   []byte
		// Omitted is true if Header and Body are not stored, because they were too large or were deleted to make room
		// for other responses.
		Omitted bool
		// Failed is true if the request may have run, but its complete response is unknown.
		Failed bool
	}

	// Result is the result of Begin.
	Result struct {
		State State
		// Response is set if the state is Stored.
		Response Response
		// Done is closed when the request ends. It is set if the state is Running.
		Done <-chan struct{}
	}

	// Options configure a Journaler. VM and Generation are required.
	Options struct {
		// VM is the name of the agent's VM, and Generation identifies one run of the agent. Both become part of the
		// keys.
		VM         string
		Generation string
		// Clock defaults to the system clock.
		Clock Clock
		// Random fills its argument with random bytes. By default they come from crypto/rand.
		Random func([]byte)
		// MaxAge is the time after which a key expires; default 10 min. The state of an expired key is Unknown.
		MaxAge time.Duration
		// MaxKeys is the maximum number of keys in the journal; default 100,000. An issued key is only in the journal
		// once it has been passed to Begin or Revoke.
		MaxKeys int
		// MaxResponseBytes is the maximum size of the header and body of one stored response; default 64 KiB.
		// MaxTotalBytes is the maximum size of all stored headers and bodies together; default 16 MiB.
		MaxResponseBytes int
		MaxTotalBytes    int
	}

	// Journaler is the journal of one run of an agent. It is safe for concurrent use.
	Journaler struct {
		options Options
		// secret is the HMAC key that signs the idempotency keys.
		secret []byte
		// epoch is the time at which the journal was created. The journal stores times as durations since the epoch.
		epoch   time.Time
		mutex   sync.Mutex
		records map[string]*record
		// expiryQueue holds all records in the order in which they were added. Records of running requests whose key has
		// expired are an exception: expire moves them to the end.
		expiryQueue []*record
		// withResponse holds the records with a stored header or body, in the order in which the responses were stored.
		// A record whose response has been deleted stays in the slice until it is the first.
		withResponse []*record
		// storedBytes is the total size of the stored headers and bodies.
		storedBytes int
	}

	// record is what the journal stores for one key.
	record struct {
		key      string
		issuedAt time.Duration
		state    State
		response Response
		// size is the size of the stored header and body in bytes, or 0 if none are stored.
		size int
		// done is closed as soon as the state is another one than Running.
		done chan struct{}
	}
)

// New returns an empty journal. It has a new random secret, so keys that another journal has issued are unknown to it.
func New(o Options) *Journaler {
	if o.Clock == nil {
		o.Clock = systemClock{}
	}
	if o.Random == nil {
		o.Random = func(b []byte) { _, _ = rand.Read(b) }
	}
	if o.MaxAge == 0 {
		o.MaxAge = defaultMaxAge
	}
	if o.MaxKeys == 0 {
		o.MaxKeys = defaultMaxKeys
	}
	if o.MaxResponseBytes == 0 {
		o.MaxResponseBytes = defaultMaxResponseBytes
	}
	if o.MaxTotalBytes == 0 {
		o.MaxTotalBytes = defaultMaxTotalBytes
	}
	secret := make([]byte, secretLength)
	o.Random(secret)
	return &Journaler{options: o, secret: secret, epoch: o.Clock.Now(), records: map[string]*record{}}
}

// Issue returns a new key. The key is not in the journal, and takes no memory there, until it is passed to Begin or
// Revoke.
func (j *Journaler) Issue() string {
	k := Key{VM: j.options.VM, Generation: j.options.Generation, IssuedAt: j.now(), random: make([]byte, randomLength)}
	j.options.Random(k.random)
	k.mac = sign(j.secret, k.unsigned())
	return k.encode()
}

// Begin returns the state of the key, from which the caller knows what to do with the request. If the key is new, Begin
// adds it to the journal and returns the state Fresh.
func (j *Journaler) Begin(key string) Result {
	issuedAt, ok := j.verify(key)
	if !ok {
		return Result{State: Unknown}
	}
	j.mutex.Lock()
	defer j.mutex.Unlock()
	now := j.now()
	if now-issuedAt > j.options.MaxAge {
		return Result{State: Unknown}
	}
	if e := j.records[key]; e != nil {
		return Result{State: e.state, Response: e.response, Done: e.done}
	}
	if _, ok := j.insert(key, issuedAt, Running, now); !ok {
		return Result{State: Full}
	}
	return Result{State: Fresh}
}

// Finish stores the response to the request that was started when Begin returned Fresh. It has no effect if the state
// of the key is not Running.
func (j *Journaler) Finish(key string, a Response) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	e := j.records[key]
	if e == nil || e.state != Running {
		return
	}
	size := a.size()
	if size > j.options.MaxResponseBytes || size > j.options.MaxTotalBytes {
		a.Omitted = true
	}
	if a.Omitted {
		a.Header, a.Body = nil, nil
		size = 0
	}
	e.state, e.response, e.size = Stored, a, size
	close(e.done)
	if size > 0 {
		j.withResponse = append(j.withResponse, e)
		j.storedBytes += size
	}
	for j.storedBytes > j.options.MaxTotalBytes {
		j.deleteContent(j.withResponse[0])
		j.withResponse = j.withResponse[1:]
	}
}

// Abandon revokes a key for which Begin has returned Fresh. The caller must be certain that the request has not run and
// will not run. Abandon has no effect if the state of the key is not Running.
func (j *Journaler) Abandon(key string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if e := j.records[key]; e != nil && e.state == Running {
		e.state = Revoked
		close(e.done)
	}
}

// Revoke revokes the key if no request with the key has started. It returns true if the key is revoked, so that no
// request with it has run or will ever run. It returns false if a request with the key has started, if the key is
// unknown, or if the journal is full.
func (j *Journaler) Revoke(key string) bool {
	issuedAt, ok := j.verify(key)
	if !ok {
		return false
	}
	j.mutex.Lock()
	defer j.mutex.Unlock()
	now := j.now()
	if now-issuedAt > j.options.MaxAge {
		return false
	}
	e := j.records[key]
	if e == nil {
		if e, ok = j.insert(key, issuedAt, Revoked, now); !ok {
			return false
		}
		close(e.done)
	}
	return e.state == Revoked
}

// Size returns the number of keys in the journal and the total size of the stored responses in bytes.
func (j *Journaler) Size() (keys, bytes int) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return len(j.records), j.storedBytes
}

// insert adds a record for a new key and returns it. If the journal is full, insert returns false. The caller must hold
// the mutex.
func (j *Journaler) insert(key string, issuedAt time.Duration, s State, now time.Duration) (*record, bool) {
	j.expire(now)
	if len(j.records) >= j.options.MaxKeys {
		return nil, false
	}
	e := &record{key: key, issuedAt: issuedAt, state: s, done: make(chan struct{})}
	j.records[key] = e
	j.expiryQueue = append(j.expiryQueue, e)
	return e, true
}

// expire deletes the records of expired keys from the head of expiryQueue. It moves a record whose request is still
// running to the end, so that this record doesn't delay the deletion of others. The caller must hold the mutex.
func (j *Journaler) expire(now time.Duration) {
	for range len(j.expiryQueue) {
		e := j.expiryQueue[0]
		if now-e.issuedAt <= j.options.MaxAge {
			break
		}
		j.expiryQueue = j.expiryQueue[1:]
		if e.state == Running {
			j.expiryQueue = append(j.expiryQueue, e)
			continue
		}
		j.deleteContent(e)
		delete(j.records, e.key)
	}
	for len(j.withResponse) > 0 && j.withResponse[0].size == 0 {
		j.withResponse = j.withResponse[1:]
	}
}

// deleteContent deletes the stored header and body of the record and sets Omitted. The caller must hold the mutex.
func (j *Journaler) deleteContent(e *record) {
	if e.size == 0 {
		return
	}
	j.storedBytes -= e.size
	e.size = 0
	e.response.Header, e.response.Body, e.response.Omitted = nil, nil, true
}

// size returns the size of the header and body in bytes.
func (a Response) size() int {
	size := len(a.Body)
	for name, values := range a.Header {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	return size
}

// verify returns the time at which the key was issued, relative to the epoch. It returns false if this journal has not
// issued the key.
func (j *Journaler) verify(text string) (time.Duration, bool) {
	k, ok := ParseKey(text)
	if !ok || k.VM != j.options.VM || k.Generation != j.options.Generation || k.IssuedAt < 0 || k.IssuedAt > j.now() {
		return 0, false
	}
	return k.IssuedAt, hmac.Equal(k.mac, sign(j.secret, k.unsigned()))
}

// now returns the current time as the duration since the epoch.
func (j *Journaler) now() time.Duration {
	return j.options.Clock.Now().Sub(j.epoch)
}

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }
