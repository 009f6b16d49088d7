// Package inquirer decides what to ask the advice service, which decides on which endpoints the steps of an advised queue may run. It keeps the
// answers and does no I/O.
package inquirer

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxEndpoints is the highest number of endpoints in one request. Each of them makes the response take longer, and most steps fit on a few.
	maxEndpoints = 30
	// denialRetention is how long an endpoint that was not approved is not asked for again. The service does not change its mind, but a row of its
	// response may have been unreadable.
	denialRetention = time.Minute
	// errorPause is the time without requests after a request without an answer.
	errorPause = 300 * time.Millisecond
	// ticketMargin is how long a ticket must still be valid when a task is placed, so that it is valid when the endpoint receives the start.
	ticketMargin = 200 * time.Millisecond
	// stepRetention is how long the answers for a step are kept after it was last waiting, and how long an approval is a hint for other steps.
	stepRetention = 2 * time.Minute
)

type (
	// Inquirer keeps the answers of the advice service and chooses the next request. Of all waiting steps, the one whose last request, or the beginning of
	// its wait, is the longest ago comes first, and for each step, an endpoint comes again only after all others. The service handles the calls of a machine one
	// after another, so there is one request at a time. The zero value is ready to use. Inquirer is not safe for concurrent use.
	Inquirer struct {
		steps map[string]*stepAnswers
		// lastTurn is the highest number of a turn. Steps ask in the order of their turns. A step gets a turn when it begins to wait and after each request.
		lastTurn uint64
		// approvedAt holds when an endpoint was last approved for a step of a queue, by queue. The policy of a queue tends to approve the same
		// endpoints for all steps.
		approvedAt map[string]map[Endpoint]time.Time
		// outstanding reports whether a request has no answer yet.
		outstanding bool
		pausedUntil time.Time
		// failedAt is when the last request failed, or the zero time if it was answered.
		failedAt time.Time
		prunedAt time.Time
	}

	// Endpoint identifies an endpoint process. A ticket is only valid for the process for which it was issued.
	Endpoint struct {
		ID          string
		Incarnation int64
	}

	// Candidate is an endpoint on which tasks of a step could start now. Room is how many of them.
	Candidate struct {
		Endpoint
		Room int
	}

	// Need is a step with tasks that wait for a start. Tasks is their number.
	Need struct {
		Step  string
		Queue string
		Tasks int
		// Candidates returns the endpoints on which the tasks could start if they were approved, the most suitable first.
		Candidates func() []Candidate
	}

	// Request is a request for permission to run the step on the endpoints.
	Request struct {
		Step      string
		Queue     string
		Endpoints []Endpoint
	}

	// stepAnswers holds the answers for a step. turn is the number of its next turn, waitingAt when it was last waiting.
	stepAnswers struct {
		turn      uint64
		waitingAt time.Time
		answers   map[Endpoint]answer
	}

	// answer is the last answer for a step and an endpoint. An empty ticket is a denial.
	answer struct {
		ticket     string
		expiresAt  time.Time
		answeredAt time.Time
	}
)

// Ticket returns the ticket with which tasks of the step may start on the endpoint, or "" if there is no valid one.
func (q *Inquirer) Ticket(step string, e Endpoint, now time.Time) string {
	s := q.steps[step]
	if s == nil {
		return ""
	}
	if a := s.answers[e]; now.Before(a.expiresAt) {
		return a.ticket
	}
	return ""
}

// HasTicket reports whether the step has a valid ticket for any endpoint.
func (q *Inquirer) HasTicket(step string, now time.Time) bool {
	s := q.steps[step]
	if s == nil {
		return false
	}
	for _, a := range s.answers {
		if now.Before(a.expiresAt) {
			return true
		}
	}
	return false
}

// Denied reports whether the step may not run on the endpoint.
func (q *Inquirer) Denied(step string, e Endpoint, now time.Time) bool {
	s := q.steps[step]
	if s == nil {
		return false
	}
	a, ok := s.answers[e]
	return ok && a.denies(now)
}

// Next returns the next request, or false if there is none now. Its answer or its failure must be passed to Answer or Fail.
func (q *Inquirer) Next(needs []Need, now time.Time) (Request, bool) {
	q.prune(now)
	if q.steps == nil {
		q.steps, q.approvedAt = map[string]*stepAnswers{}, map[string]map[Endpoint]time.Time{}
	}
	for _, n := range needs {
		if q.steps[n.Step] == nil {
			// A new step gets its turn after those that have waited since before. If new steps went first, a steady flow of them would keep the others from
			// asking again.
			q.lastTurn++
			q.steps[n.Step] = &stepAnswers{turn: q.lastTurn, answers: map[Endpoint]answer{}}
		}
		q.steps[n.Step].waitingAt = now
	}
	if q.outstanding || now.Before(q.pausedUntil) {
		return Request{}, false
	}
	needs = slices.Clone(needs)
	slices.SortStableFunc(needs, func(x, y Need) int { return cmp.Compare(q.steps[x.Step].turn, q.steps[y.Step].turn) })
	for _, n := range needs {
		if endpoints := q.choose(n, now); len(endpoints) > 0 {
			q.lastTurn++
			q.steps[n.Step].turn, q.outstanding = q.lastTurn, true
			return Request{n.Step, n.Queue, endpoints}, true
		}
	}
	return Request{}, false
}

// choose returns the endpoints to ask for: those that are likely to be approved if they have room for all waiting tasks, and otherwise also others.
func (q *Inquirer) choose(n Need, now time.Time) []Endpoint {
	var likely, others []Candidate
	for _, c := range n.Candidates() {
		a, answered := q.steps[n.Step].answers[c.Endpoint]
		_, approved := q.approvedAt[n.Queue][c.Endpoint]
		switch {
		case now.Before(a.expiresAt) || answered && a.denies(now):
		case a.ticket != "" || approved:
			likely = append(likely, c)
		default:
			others = append(others, c)
		}
	}
	var endpoints []Endpoint
	room := 0
	for _, c := range slices.Concat(likely, others) {
		if len(endpoints) == maxEndpoints || room >= n.Tasks && len(endpoints) <= len(likely) {
			break
		}
		endpoints = append(endpoints, c.Endpoint)
		room += c.Room
	}
	return endpoints
}

// Answer records the answer to the request: the tickets by the IDs of the approved endpoints, which are valid for the given time from when the
// request was sent.
func (q *Inquirer) Answer(r Request, tickets map[string]string, validity time.Duration, sentAt, now time.Time) {
	q.outstanding, q.failedAt = false, time.Time{}
	if q.approvedAt[r.Queue] == nil {
		q.approvedAt[r.Queue] = map[Endpoint]time.Time{}
	}
	s := q.steps[r.Step]
	if s == nil {
		q.lastTurn++
		s = &stepAnswers{turn: q.lastTurn, waitingAt: now, answers: map[Endpoint]answer{}}
		q.steps[r.Step] = s
	}
	for _, e := range r.Endpoints {
		text := tickets[e.ID]
		if text == "" {
			s.answers[e] = answer{answeredAt: now}
			delete(q.approvedAt[r.Queue], e)
			continue
		}
		s.answers[e] = answer{ticket: text, expiresAt: sentAt.Add(validity - ticketMargin), answeredAt: now}
		q.approvedAt[r.Queue][e] = now
	}
}

// Fail records that the request has got no answer. The next request waits for errorPause.
func (q *Inquirer) Fail(now time.Time) {
	q.outstanding, q.pausedUntil, q.failedAt = false, now.Add(errorPause), now
}

// FailedAt returns when the last request failed, or the zero time if it was answered or if there was none.
func (q *Inquirer) FailedAt() time.Time { return q.failedAt }

// prune removes what is older than stepRetention, from time to time.
func (q *Inquirer) prune(now time.Time) {
	if now.Sub(q.prunedAt) < stepRetention {
		return
	}
	q.prunedAt = now
	for name, s := range q.steps {
		if now.Sub(s.waitingAt) > stepRetention {
			delete(q.steps, name)
		}
	}
	for queue, endpoints := range q.approvedAt {
		for e, at := range endpoints {
			if now.Sub(at) > stepRetention {
				delete(endpoints, e)
			}
		}
		if len(endpoints) == 0 {
			delete(q.approvedAt, queue)
		}
	}
}

// denies reports whether the answer is a denial that still holds.
func (a answer) denies(now time.Time) bool {
	return a.ticket == "" && now.Sub(a.answeredAt) < denialRetention
}
