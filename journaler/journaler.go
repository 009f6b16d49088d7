// Package journaler is a journal of idempotency keys. It starts the request of each key at most once and stores
// the response for repeated requests with the same key.
package journaler

import (
	"crypto/hmac"
	"crypto/rand"
	"sync"
	"time"
)

// States of a key in a Result.
const (
	// Start tells the caller to run the request and then to call Finish or Abandon. Begin returns it at most
	// once for each key.
	Start State = iota
	// Running tells the caller to wait for Result.Done and to call Begin again.
	Running
	// Stored means that the request has ended; Result.Response is its response.
	Stored
	// Revoked guarantees that the request has not run and never will.
	Revoked
	// Unknown means that the key is malformed, forged, too old or of another generation. The request must not be
	// run.
	Unknown
	// Full means that the journal has no room for the key. The request has not started, but a later call may
	// start it.
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
	// State is the state of a key.
	State int

	// Clock returns the current time, which must never step back. time.Now has this property within one process.
	Clock interface {
		Now() time.Time
	}

	// Response is the result of a request. The journal keeps Header and Body without copying them.
	Response struct {
		Status int
		Header map[string][]string
		Body   []byte
		// Omitted is true if Header and Body were too large to store or were evicted to make room for others.
		Omitted bool
		// Failed is true if the request may have run but its complete response is not known.
		Failed bool
	}

	// Result is the result of Begin.
	Result struct {
		State State
		// Response is set if the state is Stored.
		Response Response
		// Done is set if the state is Running, and closed when the request ends.
		Done <-chan struct{}
	}

	// Options configure a Journaler. VM and Generation are required.
	Options struct {
		VM         string
		Generation string
		// Clock defaults to the system clock.
		Clock Clock
		// Random fills its argument with random bytes; default crypto/rand.
		Random func([]byte)
		// MaxAge is the age above which a key is unknown; default 10 min.
		MaxAge time.Duration
		// MaxKeys is the maximum number of keys in the journal; default 100,000.
		MaxKeys int
		// MaxResponseBytes limits the header and body of one stored response, and MaxTotalBytes those of all
		// stored responses; defaults 64 KiB and 16 MiB.
		MaxResponseBytes int
		MaxTotalBytes    int
	}

	// Journaler is the journal of one agent generation. It is safe for concurrent use.
	Journaler struct {
		options Options
		secret  []byte
		epoch   time.Time
		mutex   sync.Mutex
		records map[string]*record
		// byInsertion holds the entries in the order of their insertion, for expiry. withBody holds the entries
		// with a stored header or body, oldest first.
		expiryQueue  []*record
		withResponse []*record
		storedBytes  int
	}

	record struct {
		key      string
		issuedAt time.Duration
		state    State
		response Response
		// size is the number of bytes of the stored header and body.
		size int
		done chan struct{}
	}
)

// New returns an empty journal with a new secret, so that keys of an earlier journal are unknown to it.
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

// Issue returns a new key. An issued key takes no memory in the journal until it is used.
func (j *Journaler) Issue() string {
	k := Key{VM: j.options.VM, Generation: j.options.Generation, IssuedAt: j.now(), random: make([]byte, randomLength)}
	j.options.Random(k.random)
	k.mac = sign(j.secret, k.unsigned())
	return k.encode()
}

// Begin registers the key if it is new, and returns what to do with its request.
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
	return Result{State: Start}
}

// Finish stores the response of a started request. It has no effect if the key is not running.
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
		j.dropResponse(j.withResponse[0])
		j.withResponse = j.withResponse[1:]
	}
}

// Abandon revokes a key for which the caller got Start and whose request certainly did not run.
func (j *Journaler) Abandon(key string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if e := j.records[key]; e != nil && e.state == Running {
		e.state = Revoked
		close(e.done)
	}
}

// Revoke prevents a request that has not started from running. It returns true if the request has not run and
// never will, and false if it has started, if the key is unknown, or if the journal is full.
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

// Size returns the number of keys in the journal and the bytes of the stored responses.
func (j *Journaler) Size() (keys, bytes int) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return len(j.records), j.storedBytes
}

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

// expire removes the oldest entries whose keys are too old to be used. An entry that is still running moves to
// the end of the order, so that it doesn't delay the expiry of the others.
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
		j.dropResponse(e)
		delete(j.records, e.key)
	}
	for len(j.withResponse) > 0 && j.withResponse[0].size == 0 {
		j.withResponse = j.withResponse[1:]
	}
}

func (j *Journaler) dropResponse(e *record) {
	if e.size == 0 {
		return
	}
	j.storedBytes -= e.size
	e.size = 0
	e.response.Header, e.response.Body, e.response.Omitted = nil, nil, true
}

func (a Response) size() int {
	size := len(a.Body)
	for name, values := range a.Header {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	return size
}

// verify returns the issue time of a key that this journal issued. It returns false for any other key.
func (j *Journaler) verify(text string) (time.Duration, bool) {
	k, ok := ParseKey(text)
	if !ok || k.VM != j.options.VM || k.Generation != j.options.Generation || k.IssuedAt < 0 || k.IssuedAt > j.now() {
		return 0, false
	}
	return k.IssuedAt, hmac.Equal(k.mac, sign(j.secret, k.unsigned()))
}

func (j *Journaler) now() time.Duration {
	return j.options.Clock.Now().Sub(j.epoch)
}

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }
