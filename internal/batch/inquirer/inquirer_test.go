package inquirer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"bamboohook/internal/batch/inquirer"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// candidates returns a function that returns the given number of endpoints with room for one task each.
func candidates(count int) func() []inquirer.Candidate {
	return func() []inquirer.Candidate {
		var all []inquirer.Candidate
		for n := range count {
			all = append(all, inquirer.Candidate{Endpoint: endpoint(n), Room: 1})
		}
		return all
	}
}

func endpoint(n int) inquirer.Endpoint {
	return inquirer.Endpoint{ID: fmt.Sprint("i-", n), Incarnation: 1}
}

// Guards against an allowed endpoint that is never asked for, wherever it stands among the candidates.
func TestEveryEndpointGetsItsTurn(t *testing.T) {
	for _, count := range []int{1, 29, 30, 31, 100, 240} {
		for _, allowed := range []int{0, count / 2, count - 1} {
			var q inquirer.Inquirer
			now, requests := start, 0
			for q.Ticket("s", endpoint(allowed), now) == "" {
				r, ok := q.Next([]inquirer.Need{{Step: "s", Queue: "q", Tasks: 1, Candidates: candidates(count)}}, now)
				if !ok {
					t.Fatalf("%d endpoints, number %d is allowed: no further request after %d", count, allowed, requests)
				}
				requests++
				answer(&q, r, now, func(id string) bool { return id == endpoint(allowed).ID })
				now = now.Add(200 * time.Millisecond)
			}
			if requests > (count+29)/30 {
				t.Errorf("%d endpoints, number %d is allowed: %d requests", count, allowed, requests)
			}
		}
	}
}

// answer answers the request with tickets for the endpoints that are allowed, valid for 3 s.
func answer(q *inquirer.Inquirer, r inquirer.Request, now time.Time, allowed func(id string) bool) {
	tickets := map[string]string{}
	for _, e := range r.Endpoints {
		if allowed(e.ID) {
			tickets[e.ID] = "ticket"
		}
	}
	q.Answer(r, tickets, 3*time.Second, now, now)
}

// Guards against a step that is asked for all the time while others wait for their turn.
func TestEveryStepGetsItsTurn(t *testing.T) {
	var q inquirer.Inquirer
	var needs []inquirer.Need
	for n := range 5 {
		needs = append(needs, inquirer.Need{Step: fmt.Sprint("s", n), Queue: "q", Tasks: 1000, Candidates: candidates(1000)})
	}
	now := start
	asked := map[string]int{}
	for range 20 {
		r, ok := q.Next(needs, now)
		if !ok {
			t.Fatal("no request although endpoints are left")
		}
		asked[r.Step]++
		if _, ok := q.Next(needs, now); ok {
			t.Fatal("a second request before the answer to the first")
		}
		if asked[r.Step]%2 == 0 {
			q.Fail(now)
		} else {
			answer(&q, r, now, func(string) bool { return false })
		}
		now = now.Add(time.Second)
	}
	for _, n := range needs {
		if asked[n.Step] != 4 {
			t.Errorf("%d requests for step %s, want 4", asked[n.Step], n.Step)
		}
	}
}

func TestTickets(t *testing.T) {
	var q inquirer.Inquirer
	need := func(step string, tasks int) []inquirer.Need {
		return []inquirer.Need{{Step: step, Queue: "q", Tasks: tasks, Candidates: candidates(20)}}
	}
	next := func(step string, tasks int, now time.Time) []inquirer.Endpoint {
		r, ok := q.Next(need(step, tasks), now)
		if ok {
			answer(&q, r, now, func(id string) bool { return id == "i-11" || id == "i-12" || id == "i-13" })
		}
		return r.Endpoints
	}
	if n := len(next("a", 1, start)); n != 20 {
		t.Fatalf("first request for %d endpoints, want all 20", n)
	}
	if !q.HasTicket("a", start) || q.Ticket("a", endpoint(11), start) != "ticket" || q.Ticket("b", endpoint(11), start) != "" || !q.Denied("a", endpoint(1), start) {
		t.Error("the answer was not kept for its step and endpoints")
	}
	if e := next("b", 2, start); !slices.Equal(e, []inquirer.Endpoint{endpoint(11), endpoint(12)}) {
		t.Errorf("request for %v, want as many of the endpoints approved before as are needed", e)
	}
	if e := next("c", 4, start); len(e) != 20 || e[0] != endpoint(11) {
		t.Errorf("request for %v, want all endpoints, those approved before first", e)
	}
	if e := next("a", 1, start.Add(2*time.Second)); len(e) != 0 {
		t.Errorf("request for %v while all answers hold", e)
	}
	later := start.Add(3 * time.Second)
	if q.HasTicket("a", later) || q.Denied("a", endpoint(11), later) {
		t.Error("a ticket is valid for too long, or counts as a denial when it has expired")
	}
	if e := next("a", 4, later); !slices.Equal(e, []inquirer.Endpoint{endpoint(11), endpoint(12), endpoint(13)}) {
		t.Errorf("request for %v, want the approved endpoints whose tickets have expired", e)
	}
	if q.Denied("a", inquirer.Endpoint{ID: "i-1", Incarnation: 2}, start) {
		t.Error("a denial holds for the next process of the endpoint")
	}
	if e := next("a", 20, start.Add(62*time.Second)); len(e) != 20 {
		t.Errorf("request for %v, want also those denied long ago", e)
	}
	if next("d", 1, start.Add(10*time.Minute)); q.HasTicket("a", start) || q.Denied("a", endpoint(1), start) {
		t.Error("old answers are not removed")
	}
}

// Guards against a step that asks once and then never again: steps that had not asked yet went first, and new ones arrived as fast as requests were answered.
func TestNewStepsDoNotKeepOthersFromAskingAgain(t *testing.T) {
	var q inquirer.Inquirer
	now := start
	need := func(step string) inquirer.Need {
		return inquirer.Need{Step: step, Queue: "q", Tasks: 1000, Candidates: candidates(1000)}
	}
	needs := []inquirer.Need{need("old")}
	others, othersBefore := 0, 0
	for n := range 50 {
		needs = append(needs, need(fmt.Sprint("new-", n)))
		r, ok := q.Next(needs, now)
		if !ok {
			t.Fatal("no request although endpoints are left")
		}
		if r.Step == "old" {
			others, othersBefore = 0, len(needs)-1
		} else if others++; others > othersBefore {
			t.Fatalf("%d requests for other steps after a request for the old one, when %d others were waiting", others, othersBefore)
		}
		answer(&q, r, now, func(string) bool { return false })
		now = now.Add(time.Second)
		// The step that has asked is done, except for the old one.
		needs = slices.DeleteFunc(needs, func(other inquirer.Need) bool { return other.Step == r.Step && r.Step != "old" })
	}
}
