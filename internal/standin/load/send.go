package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"bamboohook/internal/message"
	"bamboohook/internal/standin/endpoint"
)

// Outcomes beside those of package message.
const (
	// OutcomeWrongResponse is an answer to another request or with another content.
	OutcomeWrongResponse = "wrong-answer"
	// OutcomeTruncated is an answer that ended early.
	OutcomeTruncated        = "truncated"
	OutcomeTimeout          = "timeout"
	OutcomeConnectionFailed = "connection-failed"
	// OutcomeNotSent is a request left out because too many were pending.
	OutcomeNotSent = "not-sent"
)

const (
	maxFailureBytes = 64 << 10
	// shortSleep is the last part of a wait, left to sleepShort; it exceeds the lateness of the runtime's timers.
	shortSleep = 3 * time.Millisecond
)

type request struct {
	id            string
	address       string
	service       Service
	nonIdempotent bool
	due           time.Time
	measured      bool
}

// runGroup sends on schedule. Latency counts from the time at which a request was due, so that a slow
// target or generator doesn't hide waiting time (coordinated omission).
func (g *Generator) runGroup(ctx context.Context, index int, start time.Time, results *collector) {
	o := g.options
	random := rand.New(rand.NewPCG(o.Seed, 1))
	pending := make(chan struct{}, o.MaxPending)
	var wait sync.WaitGroup
	defer wait.Wait()
	total := int(o.Duration.Seconds() * o.Rate)
	for n := range total {
		offset := time.Duration(float64(n) / o.Rate * float64(time.Second))
		r := request{
			id:       o.Prefix + "-" + strconv.Itoa(index) + "-" + strconv.Itoa(n),
			address:  o.Groups[index].Addresses[n%len(o.Groups[index].Addresses)],
			service:  pick(o.Services, random),
			due:      start.Add(offset),
			measured: offset >= o.Warmup,
		}
		r.nonIdempotent = random.Float64() < o.NonIdempotentShare
		if !sleepUntil(ctx, r.due) {
			return
		}
		select {
		case pending <- struct{}{}:
			wait.Go(func() {
				g.send(r, results)
				<-pending
			})
		default:
			results.add(r, OutcomeNotSent, time.Time{}, time.Time{})
		}
	}
}

func sleepUntil(ctx context.Context, due time.Time) bool {
	if d := time.Until(due) - shortSleep; d > 0 {
		timer := time.NewTimer(d)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return false
		}
	}
	for d := time.Until(due); d > 0; d = time.Until(due) {
		sleepShort(d)
	}
	return ctx.Err() == nil
}

func pick(services []Service, random *rand.Rand) Service {
	sum := 0.0
	for _, s := range services {
		sum += s.Weight
	}
	at := random.Float64() * sum
	for _, s := range services {
		if at -= s.Weight; at < 0 {
			return s
		}
	}
	return services[len(services)-1]
}

func (g *Generator) send(r request, results *collector) {
	sent := time.Now()
	outcome := g.exchange(r)
	results.add(r, outcome, sent, time.Now())
}

// exchange uses POST without GetBody, so that net/http never repeats a request that may have been received.
func (g *Generator) exchange(r request) string {
	url := fmt.Sprintf("http://%s/v1/services/%s/load?size=%d", r.address, r.service.Name, r.service.Size)
	q, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(g.body))
	if err != nil {
		return OutcomeConnectionFailed
	}
	q.GetBody = nil
	q.Header.Set(message.HeaderRequestID, r.id)
	q.Header.Set(message.HeaderTimeout, g.options.Timeout.String())
	if r.service.Kind != "" {
		q.Header.Set(message.HeaderKind, r.service.Kind)
	}
	if r.nonIdempotent {
		q.Header.Set(message.HeaderIdempotent, "false")
	}
	a, err := g.client.Do(q)
	if err != nil {
		return failedOutcome(err, OutcomeConnectionFailed)
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		return refusedOutcome(a)
	}
	return checkAnswer(r, a)
}

func checkAnswer(r request, a *http.Response) string {
	wanted := endpoint.Body(r.id, r.service.Size)
	got := make([]byte, len(wanted)+1)
	n, err := io.ReadFull(a.Body, got)
	switch {
	case !bytes.HasPrefix(wanted, got[:min(n, len(wanted))]) || n > len(wanted) || a.Header.Get(message.HeaderRequestID) != r.id:
		return OutcomeWrongResponse
	case n == len(wanted) && (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)) && complete(a, n):
		return message.OutcomeDone
	}
	return failedOutcome(err, OutcomeTruncated)
}

// complete reports whether the announced length was received. io.ReadFull returns ErrUnexpectedEOF both for the
// regular end of a body, because it asks for one byte more, and for a connection that ended early.
func complete(a *http.Response, n int) bool {
	if a.ContentLength >= 0 {
		return a.ContentLength == int64(n)
	}
	_, err := a.Body.Read(make([]byte, 1))
	return errors.Is(err, io.EOF)
}

func refusedOutcome(a *http.Response) string {
	var f message.ErrorResponse
	err := json.NewDecoder(io.LimitReader(a.Body, maxFailureBytes)).Decode(&f)
	if err != nil || f.Outcome == "" {
		return "status-" + strconv.Itoa(a.StatusCode)
	}
	return f.Outcome + "/" + f.Reason
}

func failedOutcome(err error, otherwise string) string {
	var network net.Error
	if errors.As(err, &network) && network.Timeout() {
		return OutcomeTimeout
	}
	return otherwise
}
