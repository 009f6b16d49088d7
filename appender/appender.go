// Package appender writes records to a stream of the log service. It groups records into batches and keeps at
// most one batch in flight. When the response to an append is lost, it reads the stream to find out whether the
// batch was appended.
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

// Default values of Options.
const (
	DefaultBatchInterval = 50 * time.Millisecond
	// DefaultMaxBatchBytes stays well below the log service's limit of 1 MiB for one entry.
	DefaultMaxBatchBytes   = 512 << 10
	DefaultMaxBatchRecords = 1000
	DefaultMaxQueuedBytes  = 8 << 20
	DefaultMaxQueuedCalls  = 4096
	// DefaultAppendsPerSecond is the highest rate at which one writer may append to the log service.
	DefaultAppendsPerSecond = 20
	DefaultBurst            = 20
	DefaultMinBackoff       = 100 * time.Millisecond
	DefaultMaxBackoff       = 5 * time.Second
)

// Outcomes of a call of Append.
const (
	// OutcomeAppended means that the records are in the stream at Result.Offset.
	OutcomeAppended Outcome = "appended"
	// OutcomeNotAppended means that the records are not in the stream and will not appear in it.
	OutcomeNotAppended Outcome = "not-appended"
	// OutcomeUnknown means that the records may be in the stream already or may still appear in it.
	OutcomeUnknown Outcome = "unknown"
)

// Reasons for an outcome other than OutcomeAppended.
const (
	ReasonQueueFull = "queue-full"
	ReasonTooLarge  = "too-large"
	// ReasonRejected means that the log service will never accept the batch.
	ReasonRejected = "rejected"
	// ReasonCancelled means that the context of Append was done, and ReasonStopped that of Run.
	ReasonCancelled = "cancelled"
	ReasonStopped   = "stopped"
	// ReasonRetention means that retention removed entries of the stream among which the batch may have been.
	ReasonRetention = "retention"
	ReasonEmpty     = "empty"
)

var (
	// ErrNotAppended is wrapped by an error of Log.Append if the value is not in the stream and will not appear in it.
	ErrNotAppended = eris.New("appender: value was not appended")
	// ErrRejected is wrapped by an error of Log.Append if the log service will never accept the value.
	ErrRejected = eris.New("appender: value was rejected")
)

type (
	// Outcome describes what is known about the records of a call of Append.
	Outcome string

	// Log is the interface to the log service. Both methods must return in bounded time. If Append returns an
	// error that wraps neither ErrNotAppended nor ErrRejected, the value may have been appended.
	Log interface {
		Append(ctx context.Context, stream string, value json.RawMessage) (offset uint64, err error)
		Read(ctx context.Context, stream string, firstOffset uint64, limit int, wait time.Duration) (stream.Page, error)
	}

	// Clock returns the current time and provides timers.
	Clock interface {
		Now() time.Time
		After(time.Duration) <-chan time.Time
	}

	// Options configures an Appender. Log, Clock, Stream and Writer are required. Any other field that is
	// zero takes its default value.
	Options struct {
		Log    Log
		Clock  Clock
		Stream string
		// Writer identifies this Appender in the stream. No other Appender may ever have used the same identifier, so it
		// consists of the process name and a random suffix.
		Writer string
		// BatchInterval is how long the Appender collects records before it appends them as a batch.
		BatchInterval time.Duration
		// MaxBatchBytes limits the encoded size of a batch.
		MaxBatchBytes   int
		MaxBatchRecords int
		MaxQueuedBytes  int
		MaxQueuedCalls  int
		// AppendsPerSecond limits the average rate of append requests. Burst is the number of requests that may be sent
		// at once after a pause.
		AppendsPerSecond float64
		Burst            int
		MinBackoff       time.Duration
		MaxBackoff       time.Duration
		// Random returns values from 0 to 1, which determine the jitter of the retry delays. Nil disables the jitter.
		Random func() float64
	}

	// Result is the result of a call of Append. Offset is set for OutcomeAppended, Reason for all other outcomes.
	Result struct {
		Outcome Outcome
		Offset  uint64
		Reason  string
	}

	// Counters holds the numbers of requests that an Appender sent to the log service.
	Counters struct {
		// Appends counts append requests, including retries. ReadBacks counts the read requests that search the stream
		// for a batch after the response to its append was lost.
		Appends   uint64
		ReadBacks uint64
		// Ambiguous counts append requests that failed without showing whether the batch was appended.
		Ambiguous uint64
	}

	// Appender appends the records of one writer to one stream while Run is running. It is safe for concurrent use.
	Appender struct {
		options Options
		limiter *rate.Limiter
		wake    chan struct{}

		// sequence is the sequence number of the last batch. searchFrom is the lowest offset that the batch in flight can
		// have; 0 means that the end of the stream is not known. Both are used only by Run.
		sequence   uint64
		searchFrom uint64

		mutex       sync.Mutex
		queue       []*appendCall
		queuedBytes int
		stopped     bool
		lastContact time.Time
		counters    Counters
	}

	// appendCall is a call of Append that waits for its result. estimatedBytes is an upper bound of the encoded size of
	// its records.
	appendCall struct {
		records        []stream.Record
		estimatedBytes int
		result         chan Result
	}
)

// New returns a new Appender. It panics if a required option is missing.
func New(options Options) *Appender {
	if options.Log == nil || options.Clock == nil || options.Stream == "" || options.Writer == "" {
		panic("appender: Log, Clock, Stream and Writer are required")
	}
	setDefault(&options.BatchInterval, DefaultBatchInterval)
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

// Append queues the records and waits until the batch that contains them is appended or fails. All records of a call
// are in the same batch. If ctx is done first, the outcome is OutcomeNotAppended if the records were still queued, or
// OutcomeUnknown if their batch was in flight.
func (a *Appender) Append(ctx context.Context, records ...stream.Record) Result {
	c := &appendCall{records: records, estimatedBytes: estimateRecordBytes(records), result: make(chan Result, 1)}
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

// LastContact returns the time of the last response from the log service. It returns the zero time if there was none.
func (a *Appender) LastContact() time.Time {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.lastContact
}

// Counters returns the numbers of requests that were sent so far.
func (a *Appender) Counters() Counters {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.counters
}

// Queued returns the number of calls of Append whose records are not in a batch yet.
func (a *Appender) Queued() int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return len(a.queue)
}

// Run appends queued records until ctx is done. It then ends all waiting calls of Append: with OutcomeUnknown if a
// request for their batch may have taken effect, with OutcomeNotAppended otherwise. Run must be called only once.
func (a *Appender) Run(ctx context.Context) {
	defer a.stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.wake:
		}
		if !a.sleep(ctx, a.options.BatchInterval) {
			return
		}
		for calls := a.dequeueBatch(); len(calls) > 0; calls = a.dequeueBatch() {
			a.appendBatch(ctx, calls)
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
	case c.estimatedBytes+a.estimateOverheadBytes() > a.options.MaxBatchBytes || len(c.records) > a.options.MaxBatchRecords:
		return ReasonTooLarge
	case len(a.queue) >= a.options.MaxQueuedCalls || a.queuedBytes+c.estimatedBytes > a.options.MaxQueuedBytes:
		return ReasonQueueFull
	}
	a.queue = append(a.queue, c)
	a.queuedBytes += c.estimatedBytes
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
			a.queuedBytes -= c.estimatedBytes
			return true
		}
	}
	return false
}

func (a *Appender) dequeueBatch() []*appendCall {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	count, bytes, records := 0, a.estimateOverheadBytes(), 0
	for _, c := range a.queue {
		bytes += c.estimatedBytes
		records += len(c.records)
		if bytes > a.options.MaxBatchBytes || records > a.options.MaxBatchRecords {
			break
		}
		a.queuedBytes -= c.estimatedBytes
		count++
	}
	calls := a.queue[:count:count]
	a.queue = append([]*appendCall(nil), a.queue[count:]...)
	return calls
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

// estimateOverheadBytes returns an upper bound of the encoded size of a batch without its records: the JSON keys, a
// sequence number of up to 20 digits and the writer, of which each byte takes up to 6 bytes in JSON.
func (a *Appender) estimateOverheadBytes() int {
	return 64 + 6*len(a.options.Writer)
}

// estimateRecordBytes returns an upper bound of the encoded size of the records. Each byte of a record's kind takes up
// to 6 bytes in JSON.
func estimateRecordBytes(records []stream.Record) int {
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
