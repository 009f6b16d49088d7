// Package publisher publishes a configuration change and reads the verdict on it from the stream.
package publisher

import (
	"context"
	"fmt"

	"bamboohook/appender"
	"bamboohook/configurator"
	"bamboohook/follower"
	"bamboohook/stream"
)

// Outcomes of a publication.
const (
	// OutcomeAccepted means that the change is in effect from Answer.Revision on.
	OutcomeAccepted Outcome = "accepted"
	// OutcomeRefused means that Answer.Revision was current and not Answer.Based.
	OutcomeRefused Outcome = "refused"
	// OutcomeUnknown means that the verdict is not known; it can be asked for by change id.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeNotPublished means that the change is not in the stream and will not appear in it.
	OutcomeNotPublished Outcome = "not-published"
)

// Reasons of OutcomeUnknown and OutcomeNotPublished, besides those of the appender.
const (
	ReasonCancelled = "cancelled"
	ReasonRetention = "retention"
	ReasonInvalid   = "invalid"
)

type (
	// Outcome is the result of a publication.
	Outcome string

	// Appender appends records to the configuration stream.
	Appender interface {
		Append(ctx context.Context, records ...stream.Record) appender.Result
	}

	// Answer is what the operator is told.
	Result struct {
		Outcome      Outcome `json:"outcome"`
		ChangeID     string  `json:"change"`
		BaseRevision uint64  `json:"based"`
		Revision     uint64  `json:"revision"`
		Reason       string  `json:"reason,omitempty"`
	}

	// Publisher publishes changes. Its fields are set before the first use. Concurrent use is safe.
	Publisher struct {
		Appender Appender
		Log      follower.Log
		Clock    follower.Clock
		// Stream is the configuration stream.
		Stream string
	}
)

// Publish appends the change and reads the stream from state on until the verdict is known or ctx ends. state is
// a complete configuration from any process; it may be older than the current one. A change based on a
// revision above that of state is refused without an append, since a late copy of it could otherwise be accepted.
func (p *Publisher) Publish(ctx context.Context, state configurator.State, change configurator.Change) Result {
	result := Result{Outcome: OutcomeNotPublished, ChangeID: change.ID, BaseRevision: change.BaseRevision, Revision: state.Revision, Reason: ReasonInvalid}
	replica := configurator.New(configurator.Options{})
	if change.ID == "" || replica.InstallState(state) != nil {
		return result
	}
	if change.BaseRevision > state.Revision {
		result.Outcome, result.Reason = OutcomeRefused, ""
		return result
	}
	appendResult := p.Appender.Append(ctx, configurator.NewRecord(change))
	if appendResult.Outcome == appender.OutcomeNotAppended {
		result.Reason = appendResult.Reason
		return result
	}
	result.Outcome, result.Reason = OutcomeUnknown, ReasonCancelled
	p.awaitVerdict(ctx, replica, state.Offset+1, appendResult.Offset, &result)
	return result
}

// await reads until the verdict is known. appended is the offset of the change, or 0 if it is unknown.
func (p *Publisher) awaitVerdict(ctx context.Context, replica *configurator.Configurator, firstOffset, changeOffset uint64, result *Result) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f := follower.New(follower.Options{Log: p.Log, Clock: p.Clock, Stream: p.Stream, Position: firstOffset})
	f.Run(ctx, func(page follower.PollResult) {
		if page.Gap != nil {
			result.Reason = ReasonRetention
			cancel()
			return
		}
		for _, e := range page.Entries {
			replica.Apply(e.Offset, configurator.DecodeChanges(e.Batch)...)
		}
		if v := replica.Verdict(result.ChangeID); v.Outcome != configurator.OutcomeUnknown {
			result.Outcome, result.Revision, result.Reason = Outcome(v.Outcome), v.Revision, ""
			cancel()
		} else if changeOffset > 0 && page.LastOffset >= changeOffset {
			// Only a reader that forgot the verdict gets here.
			result.Reason = ReasonRetention
			cancel()
		}
	})
}

// String returns the answer as one line for the operator.
func (a Result) String() string {
	switch a.Outcome {
	case OutcomeAccepted:
		return fmt.Sprintf("accepted as revision %d", a.Revision)
	case OutcomeRefused:
		return fmt.Sprintf("refused, based on %d, now %d", a.BaseRevision, a.Revision)
	case OutcomeUnknown:
		return fmt.Sprintf("unknown (%s), ask by change id %s", a.Reason, a.ChangeID)
	default:
		return fmt.Sprintf("not published (%s)", a.Reason)
	}
}
