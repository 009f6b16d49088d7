// Package appender writes records to a stream of the log service: it groups them into batches, keeps one
// batch in flight and resolves lost answers by reading back.
package appender

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"bamboohook/stream"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"
)

// Defaults of Options.
const (
	DefaultCommitInterval = 50 * time.Millisecond
	// DefaultMaxBatchBytes leaves room below the log service's limit of 1 MiB for an entry.
	DefaultMaxBatchBytes   = 512 << 10
	DefaultMaxBatchRecords = 1000
	DefaultMaxQueuedBytes  = 8 << 20
	DefaultMaxQueuedCalls  = 4096
	// DefaultAppendsPerSecond is the installation's target of section 1.3 for one writer.
	DefaultAppendsPerSecond = 20
	DefaultBurst            = 20
	DefaultMinBackoff       = 100 * time.Millisecond
	DefaultMaxBackoff       = 5 * time.Second
)

// Outcomes of a call.
const (
	// OutcomeAppended means that the records are in the stream at Result.Offset.
	OutcomeAppended Outcome = "appended"
	// OutcomeNotAppended means that the records are not in the stream and will not appear in it.
	OutcomeNotAppended Outcome = "not-appended"
	// OutcomeUnknown means that the records may be in the stream or may still appear in it.
	OutcomeUnknown Outcome = "unknown"
)

// Reasons of an outcome other than OutcomeAppended.
const (
	ReasonQueueFull = "queue-full"
	ReasonTooLarge  = "too-large"
	ReasonRejected  = "rejected"
	ReasonCancelled = "cancelled"
	ReasonStopped   = "stopped"
	// ReasonRetention means that retention removed the part of the stream that had to be read back.
	ReasonRetention = "retention"
	ReasonEmpty     = "empty"
)

var (
	// ErrNotAppended is wrapped by a Log to report that an append certainly had and will have no effect.
	ErrNotAppended = eris.New("appender: value was not appended")
	// ErrRejected is wrapped by a Log to report that the log service will never accept the value.
	ErrRejected = eris.New("appender: value was rejected")
)

type (
	// Outcome tells what is known about the records of a call.
	Outcome string

	// Log is the access to the log service. Both methods must return in bounded time. After an error of
	// Append that wraps neither ErrNotAppended nor ErrRejected the value may have been appended.
	Log interface {
		Append(ctx context.Context, stream string, value json.RawMessage) (offset uint64, err error)
		Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (stream.Page, error)
	}

	// Clock tells the time and waits.
	Clock interface {
		Now() time.Time
		After(time.Duration) <-chan time.Time
	}

	// Options configure an Appender. Log, Clock, Stream and Writer are required; a zero value of
	// another field means its default.
	Options struct {
		Log    Log
		Clock  Clock
		Stream string
		// Writer is the process name plus a random generation; no earlier process may have used it.
		Writer         string
		CommitInterval time.Duration
		// MaxBatchBytes bounds the encoded batch.
		MaxBatchBytes    int
		MaxBatchRecords  int
		MaxQueuedBytes   int
		MaxQueuedCalls   int
		AppendsPerSecond float64
		Burst            int
		MinBackoff       time.Duration
		MaxBackoff       time.Duration
		// Random returns values from 0 to 1 that spread retries; nil means no spread.
		Random func() float64
	}

	// Result is the outcome of a call. Offset is set for OutcomeAppended and Reason otherwise.
	Result struct {
		Outcome Outcome
		Offset  uint64
		Reason  string
	}

	// Counters count what an Appender did.
	Counters struct {
		// Appends counts append requests, including repeats; ReadBacks counts read requests.
		Appends   uint64
		ReadBacks uint64
		// Ambiguous counts append requests after which the effect was open.
		Ambiguous uint64
	}

	// Appender appends records for one writer to one stream while Run runs. Concurrent use is safe.
	Appender struct {
		options Options
		limiter *rate.Limiter
		wake    chan struct{}

		// sequence and from are used by Run only. from is the lowest offset that the batch in flight can have.
		sequence   uint64
		searchFrom uint64

		mutex       sync.Mutex
		queue       []*appendCall
		queuedBytes int
		stopped     bool
		lastContact time.Time
		counters    Counters
	}

	appendCall struct {
		records  []stream.Record
		maxBytes int
		result   chan Result
	}
)

// New returns an Appender. It panics if a required option is missing.
func New(options Options) *Appender {
	if options.Log == nil || options.Clock == nil || options.Stream == "" || options.Writer == "" {
		panic("appender: Log, Clock, Stream and Writer are required")
	}
	setDefault(&options.CommitInterval, DefaultCommitInterval)
	setDefault(&options.MaxBatchBytes, DefaultMaxBatchBytes)
	setDefault(&options.MaxBatchRecords, DefaultMaxBatchRecords)
	setDefault(&options.MaxQueuedBytes, DefaultMaxQueuedBytes)
	setDefault(&options.MaxQueuedCalls, DefaultMaxQueuedCalls)
	setDefault(&options.AppendsPerSecond, DefaultAppendsPerSecond)
	setDefault(&options.Burst, DefaultBurst)
	setDefault(&options.MinBackoff, DefaultMinBackoff)
	setDefault(&options.MaxBackoff, DefaultMaxBackoff)
	return &Appender{
		options: options,
		limiter: rate.NewLimiter(rate.Limit(options.AppendsPerSecond), options.Burst),
		wake:    make(chan struct{}, 1),
	}
}

// Append puts the records into one batch and waits for its outcome. When ctx ends first, the outcome is
// OutcomeNotAppended if the records were still queued and OutcomeUnknown if their batch was in flight.
func (a *Appender) Append(ctx context.Context, records ...stream.Record) Result {
	c := &appendCall{records: records, maxBytes: maxRecordBytes(records), result: make(chan Result, 1)}
	if reason := a.enqueue(c); reason != "" {
		return Result{Outcome: OutcomeNotAppended, Reason: reason}
	}
	select {
	case result := <-c.result:
		return result
	case <-ctx.Done():
	}
	if a.removeQueued(c) {
		return Result{Outcome: OutcomeNotAppended, Reason: ReasonCancelled}
	}
	select {
	case result := <-c.result:
		return result
	default:
		return Result{Outcome: OutcomeUnknown, Reason: ReasonCancelled}
	}
}

// LastContact returns when the log service last answered a request; zero before the first answer.
func (a *Appender) LastContact() time.Time {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.lastContact
}

// Counters returns the counters so far.
func (a *Appender) Counters() Counters {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.counters
}

// Queued returns how many calls wait for a batch.
func (a *Appender) Queued() int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return len(a.queue)
}

// Run appends queued records until ctx ends. It then answers all calls: a batch in flight is unknown and
// queued records are not appended. It must be called once.
func (a *Appender) Run(ctx context.Context) {
	defer a.stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.wake:
		}
		if !a.sleep(ctx, a.options.CommitInterval) {
			return
		}
		for calls := a.dequeueBatch(); len(calls) > 0; calls = a.dequeueBatch() {
			a.commitBatch(ctx, calls)
			if ctx.Err() != nil {
				return
			}
		}
	}
}

func (a *Appender) enqueue(c *appendCall) string {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	switch {
	case len(c.records) == 0:
		return ReasonEmpty
	case a.stopped:
		return ReasonStopped
	case c.maxBytes+a.maxOverheadBytes() > a.options.MaxBatchBytes || len(c.records) > a.options.MaxBatchRecords:
		return ReasonTooLarge
	case len(a.queue) >= a.options.MaxQueuedCalls || a.queuedBytes+c.maxBytes > a.options.MaxQueuedBytes:
		return ReasonQueueFull
	}
	a.queue = append(a.queue, c)
	a.queuedBytes += c.maxBytes
	select {
	case a.wake <- struct{}{}:
	default:
	}
	return ""
}

func (a *Appender) removeQueued(c *appendCall) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for i, q := range a.queue {
		if q == c {
			a.queue = append(a.queue[:i], a.queue[i+1:]...)
			a.queuedBytes -= c.maxBytes
			return true
		}
	}
	return false
}

func (a *Appender) dequeueBatch() []*appendCall {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	count, bytes, records := 0, a.maxOverheadBytes(), 0
	for _, c := range a.queue {
		bytes += c.maxBytes
		records += len(c.records)
		if bytes > a.options.MaxBatchBytes || records > a.options.MaxBatchRecords {
			break
		}
		a.queuedBytes -= c.maxBytes
		count++
	}
	taken := a.queue[:count:count]
	a.queue = append([]*appendCall(nil), a.queue[count:]...)
	return taken
}

func (a *Appender) stop() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.stopped = true
	for _, c := range a.queue {
		c.result <- Result{Outcome: OutcomeNotAppended, Reason: ReasonStopped}
	}
	a.queue, a.queuedBytes = nil, 0
}

// overhead is a bound on the bytes of a batch besides its records: the keys, a 20-digit sequence and the writer.
func (a *Appender) maxOverheadBytes() int {
	return 64 + 6*len(a.options.Writer)
}

// recordBytes bounds the encoded size of the records. A byte of a kind takes up to 6 bytes in JSON.
func maxRecordBytes(records []stream.Record) int {
	total := 0
	for _, r := range records {
		total += 32 + 6*len(r.Kind) + len(r.Body)
	}
	return total
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
