package gateway

import (
	"context"
	"net/http"
	"time"

	"bamboohook/internal/message"
	"bamboohook/journaler"
)

const (
	// maxCollectedBody is the maximum size in bytes of a response body that is collected for the journal; a larger body
	// is not stored. It equals the default limit of the journal for the headers and body of one response.
	maxCollectedBody = 64 << 10
	// keyedRetryAfter is the retry delay in the failure that the caller gets if the earlier request with the same key
	// is still running, or if the journal is full.
	keyedRetryAfter = time.Second
)

// serveKeyedRequest serves a request with a key. It sends at most one request of each key to the endpoint; the others
// get the stored response, or a failure. A failure has the outcome not-run only if the key has been revoked, because
// another entry may send a request with the same key later.
func (g *Gateway) serveKeyedRequest(ctx context.Context, x *proxyRequest) {
	for {
		v := g.Journal.Begin(x.key)
		switch v.State {
		case journaler.Fresh:
			g.startKeyedRequest(ctx, x)
		case journaler.Running:
			select {
			case <-v.Done:
				continue
			case <-ctx.Done():
				x.writeFailure(unknownFailure(message.ReasonPastDeadline, keyedRetryAfter, "the request of this key is still running"))
			}
		case journaler.Stored:
			x.writeStoredResponse(v.Response)
		case journaler.Revoked:
			x.writeFailure(*notRunFailure(message.ReasonCancelled, 0, "the key is revoked and its request will never run; ask for a new key"))
		case journaler.Full:
			x.writeFailure(unknownFailure(message.ReasonBusy, keyedRetryAfter, "the journal has no room for another key"))
		default:
			x.writeFailure(unknownFailure(message.ReasonKeyUnknown, 0, "the key is too old or was not issued by this run of the agent"))
		}
		return
	}
}

// startKeyedRequest sends the first request with a key to the endpoint and records the result in the journal. If the
// request was certainly not sent, it revokes the key.
func (g *Gateway) startKeyedRequest(ctx context.Context, x *proxyRequest) {
	release, f := g.admit(ctx, x)
	if f != nil {
		g.Journal.Abandon(x.key)
		x.writeFailure(*f)
		return
	}
	defer x.releaseSlot(release)
	// The call continues if the entry disconnects, so that a later request with the same key can get the response.
	deadline, _ := ctx.Deadline()
	detachedCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	x.call(detachedCtx, func(r callResult) {
		if r.notSent {
			g.Journal.Abandon(x.key)
			return
		}
		g.Journal.Finish(x.key, r.response)
	})
}

// writeStoredResponse writes the stored response to an earlier request with the same key. If that response was lost or
// is no longer stored, it writes a failure.
func (x *proxyRequest) writeStoredResponse(a journaler.Response) {
	switch {
	case a.Failed:
		x.writeFailure(unknownFailure(message.ReasonConnectionLost, 0, "the request of this key ran, but its response was lost"))
	case a.Omitted:
		f := unknownFailure(message.ReasonTooLarge, 0, "the request of this key is done, but its response is no longer stored")
		f.Outcome = message.OutcomeDone
		x.writeFailure(f)
	default:
		counters.Add("replayed", 1)
		x.writeHead(a.Status, a.Header)
		if _, err := x.writer.Write(a.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

// unknownFailure returns the failure of a request that may have run or may still run. Its outcome is unknown.
func unknownFailure(reason string, retryAfter time.Duration, text string) message.ErrorResponse {
	f := notRunFailure(reason, retryAfter, "%s", text)
	f.Outcome = message.OutcomeUnknown
	return *f
}
