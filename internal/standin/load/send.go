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

// Outcomes in addition to those of package message.
const (
	// OutcomeWrongResponse means that the response belongs to another request or its body differs from the expected one.
	OutcomeWrongResponse = "wrong-answer"
	// OutcomeTruncated means that the response body is incomplete.
	OutcomeTruncated        = "truncated"
	OutcomeTimeout          = "timeout"
	OutcomeConnectionFailed = "connection-failed"
	// OutcomeNotSent means that the request was not sent because MaxPending requests were pending.
	OutcomeNotSent = "not-sent"
)

const (
	maxErrorBytes = 64 << 10
	// preciseSleepWindow is the last part of a wait, which uses sleepPrecisely instead of a timer. It exceeds the delay with
	// which timers of the Go runtime fire.
	preciseSleepWindow = 3 * time.Millisecond
)

type request struct {
	id            string
	address       string
	service       Service
	nonIdempotent bool
	dueTime       time.Time
	measured      bool
}

// runGroup sends the requests of a group on schedule. Latency is measured from the due time of a request, so that a slow target or
// generator doesn't hide waiting time (coordinated omission).
func (g *Generator) runGroup(ctx context.Context, index int, start time.Time, results *collector) {
	o := g.options
	random := rand.New(rand.NewPCG(o.Seed, 1))
	pending := make(chan struct{}, o.MaxPending)
	var senders sync.WaitGroup
	defer senders.Wait()
	total := int(o.Duration.Seconds() * o.Rate)
	for n := range total {
		offset := time.Duration(float64(n) / o.Rate * float64(time.Second))
		r := request{
			id:       o.Prefix + "-" + strconv.Itoa(index) + "-" + strconv.Itoa(n),
			address:  o.Groups[index].Addresses[n%len(o.Groups[index].Addresses)],
			service:  pickService(o.Services, random),
			dueTime:  start.Add(offset),
			measured: offset >= o.Warmup,
		}
		r.nonIdempotent = random.Float64() < o.NonIdempotentShare
		if !sleepUntil(ctx, r.dueTime) {
			return
		}
		select {
		case pending <- struct{}{}:
			senders.Go(func() {
				g.sendAndRecord(r, results)
				<-pending
			})
		default:
			results.add(r, OutcomeNotSent, time.Time{}, time.Time{})
		}
	}
}

func sleepUntil(ctx context.Context, deadline time.Time) bool {
	if d := time.Until(deadline) - preciseSleepWindow; d > 0 {
		timer := time.NewTimer(d)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return false
		}
	}
	for d := time.Until(deadline); d > 0; d = time.Until(deadline) {
		sleepPrecisely(d)
	}
	return ctx.Err() == nil
}

func pickService(services []Service, random *rand.Rand) Service {
	sum := 0.0
	for _, s := range services {
		sum += s.Weight
	}
	target := random.Float64() * sum
	for _, s := range services {
		if target -= s.Weight; target < 0 {
			return s
		}
	}
	return services[len(services)-1]
}

func (g *Generator) sendAndRecord(r request, results *collector) {
	sent := time.Now()
	outcome := g.sendRequest(r)
	results.add(r, outcome, sent, time.Now())
}

// sendRequest sends a request and returns its outcome. It uses POST without GetBody, so that net/http never resends a request that
// the target may have received.
func (g *Generator) sendRequest(r request) string {
	url := fmt.Sprintf("http://%s/v1/services/%s/load?size=%d", r.address, r.service.Name, r.service.Size)
	httpRequest, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(g.body))
	if err != nil {
		return OutcomeConnectionFailed
	}
	httpRequest.GetBody = nil
	httpRequest.Header.Set(message.HeaderRequestID, r.id)
	httpRequest.Header.Set(message.HeaderTimeout, g.options.Timeout.String())
	if r.service.Kind != "" {
		httpRequest.Header.Set(message.HeaderKind, r.service.Kind)
	}
	if r.nonIdempotent {
		httpRequest.Header.Set(message.HeaderIdempotent, "false")
	}
	response, err := g.client.Do(httpRequest)
	if err != nil {
		return transportOutcome(err, OutcomeConnectionFailed)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errorOutcome(response)
	}
	return checkResponse(r, response)
}

func checkResponse(r request, response *http.Response) string {
	expected := endpoint.Body(r.id, r.service.Size)
	received := make([]byte, len(expected)+1)
	n, err := io.ReadFull(response.Body, received)
	switch {
	case !bytes.HasPrefix(expected, received[:min(n, len(expected))]) || n > len(expected) || response.Header.Get(message.HeaderRequestID) != r.id:
		return OutcomeWrongResponse
	case n == len(expected) && (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)) && isComplete(response, n):
		return message.OutcomeDone
	}
	return transportOutcome(err, OutcomeTruncated)
}

// isComplete reports whether a response body of n bytes is complete. The error of io.ReadFull cannot tell: checkResponse asks for
// one byte more than expected, so io.ReadFull returns ErrUnexpectedEOF both at the end of a complete body and after a
// connection that was closed early.
func isComplete(response *http.Response, n int) bool {
	if response.ContentLength >= 0 {
		return response.ContentLength == int64(n)
	}
	_, err := response.Body.Read(make([]byte, 1))
	return errors.Is(err, io.EOF)
}

func errorOutcome(response *http.Response) string {
	var f message.ErrorResponse
	err := json.NewDecoder(io.LimitReader(response.Body, maxErrorBytes)).Decode(&f)
	if err != nil || f.Outcome == "" {
		return "status-" + strconv.Itoa(response.StatusCode)
	}
	return f.Outcome + "/" + f.Reason
}

func transportOutcome(err error, fallback string) string {
	var netError net.Error
	if errors.As(err, &netError) && netError.Timeout() {
		return OutcomeTimeout
	}
	return fallback
}
