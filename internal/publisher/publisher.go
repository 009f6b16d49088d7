// Package publisher appends a configuration change to the configuration stream and then determines from the stream
// whether the change was accepted.
package publisher

import (
	"context"
	"fmt"

	"bamboohook/appender"
	"bamboohook/configurator"
	"bamboohook/follower"
	"bamboohook/stream"
)

// Outcomes of the publication of a change.
const (
	// OutcomeAccepted means that the change is part of the configuration from Result.Revision on.
	OutcomeAccepted Outcome = "accepted"
	// OutcomeRefused means that the change was refused because the current revision was Result.Revision instead of
	// Result.BaseRevision.
	OutcomeRefused Outcome = "refused"
	// OutcomeUnknown means that it is not known whether the change was accepted. The outcome can be queried later by the
	// identifier of the change.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeNotPublished means that the change is not in the stream and will not appear in it.
	OutcomeNotPublished Outcome = "not-published"
)

// Reasons for OutcomeUnknown and OutcomeNotPublished. For OutcomeNotPublished, the reasons of package appender are also
// used.
const (
	// ReasonCancelled means that the context of Publish was done before the verdict on the change was known.
	ReasonCancelled = "cancelled"
	// ReasonRetention means that retention removed entries before they were read, or that the verdict is no longer
	// stored.
	ReasonRetention = "retention"
	// ReasonInvalid means that the change has no identifier or that the state passed to Publish is invalid.
	ReasonInvalid = "invalid"
)

type (
	// Outcome tells whether a change was published and accepted.
	Outcome string

	// Appender appends records to the configuration stream.
	Appender interface {
		Append(ctx context.Context, records ...stream.Record) appender.Result
	}

	// Result is the result of a publication, as shown to the operator. Revision is the revision after the verdict on the
	// change, or the revision of the state that was passed to Publish if there is no verdict. Reason is empty for
	// OutcomeAccepted and OutcomeRefused.
	Result struct {
		Outcome      Outcome `json:"outcome"`
		ChangeID     string  `json:"change"`
		BaseRevision uint64  `json:"based"`
		Revision     uint64  `json:"revision"`
		Reason       string  `json:"reason,omitempty"`
	}

	// Publisher publishes changes. All fields must be set before the first use. It is safe for concurrent
	// use.
	Publisher struct {
		Appender Appender
		Log      follower.Log
		Clock    follower.Clock
		// Stream is the name of the configuration stream.
		Stream string
	}
)

// Publish appends the change and then reads the stream, starting after the offset of state, until the verdict on the
// change is known or ctx is done. state is a complete configuration from any process; it may be older than the current
// configuration. Publish refuses a change whose base revision is higher than the revision of state and does not append
// it, because a late copy of the change could be accepted once that revision is reached.
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

// awaitVerdict reads the stream from firstOffset until the verdict on the change is known, ctx is done or the verdict
// cannot be determined any more. It stores the outcome in result. changeOffset is the offset of the change, or 0 if that
// is unknown.
func (p *Publisher) awaitVerdict(ctx context.Context, replica *configurator.Configurator, firstOffset, changeOffset uint64, result *Result) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f := follower.New(follower.Options{Log: p.Log, Clock: p.Clock, Stream: p.Stream, Position: firstOffset})
	f.Run(ctx, func(pollResult follower.PollResult) {
		if pollResult.Gap != nil {
			result.Reason = ReasonRetention
			cancel()
			return
		}
		for _, e := range pollResult.Entries {
			replica.Apply(e.Offset, configurator.DecodeChanges(e.Batch)...)
		}
		if v := replica.Verdict(result.ChangeID); v.Outcome != configurator.OutcomeUnknown {
			result.Outcome, result.Revision, result.Reason = Outcome(v.Outcome), v.Revision, ""
			cancel()
		} else if changeOffset > 0 && pollResult.LastOffset >= changeOffset {
			// The change was read, but the replica does not store its verdict any more.
			result.Reason = ReasonRetention
			cancel()
		}
	})
}

// String returns the result as one line of text for the operator.
func (r Result) String() string {
	switch r.Outcome {
	case OutcomeAccepted:
		return fmt.Sprintf("accepted as revision %d", r.Revision)
	case OutcomeRefused:
		return fmt.Sprintf("refused, based on %d, now %d", r.BaseRevision, r.Revision)
	case OutcomeUnknown:
		return fmt.Sprintf("unknown (%s), ask by change id %s", r.Reason, r.ChangeID)
	default:
		return fmt.Sprintf("not published (%s)", r.Reason)
	}
}
