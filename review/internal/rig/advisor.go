package rig

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// maxWaitingAdvice is the number of calls of one machine that may wait for advice.
const maxWaitingAdvice = 32

// Advisor is a fake of the service that knows on which workers the steps of an advised queue may run. Set the exported fields before use.
type Advisor struct {
	// Allowed holds the IDs of the workers that may run the steps.
	Allowed map[string]bool
	// Decision and PerWorker make up the time of a response, Valid is how long a ticket is valid.
	Decision, PerWorker, Valid time.Duration
	// OnAnswer is called with each response.
	OnAnswer func(step string, asked, approved []string)

	mutex   sync.Mutex
	callers map[string]*adviceQueue
}

// adviceQueue holds the calls of one machine.
type adviceQueue struct {
	turn    sync.Mutex
	waiting int
}

// Handler returns the HTTP interface of the service.
func (a *Advisor) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/advise", a.advise)
	return mux
}

func (a *Advisor) advise(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Step    string
		Workers []string
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		respond(w, http.StatusBadRequest, struct{}{})
		return
	}
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	a.mutex.Lock()
	if a.callers == nil {
		a.callers = map[string]*adviceQueue{}
	}
	if a.callers[host] == nil {
		a.callers[host] = &adviceQueue{}
	}
	queue := a.callers[host]
	if queue.waiting >= maxWaitingAdvice {
		a.mutex.Unlock()
		respond(w, http.StatusTooManyRequests, struct{}{})
		return
	}
	queue.waiting++
	a.mutex.Unlock()
	queue.turn.Lock()
	if r.Context().Err() == nil {
		time.Sleep(a.Decision + time.Duration(len(request.Workers))*a.PerWorker)
	}
	queue.turn.Unlock()
	a.mutex.Lock()
	queue.waiting--
	a.mutex.Unlock()
	if r.Context().Err() != nil {
		// The caller has given up. Nothing is decided for it.
		return
	}
	rows, approved := [][2]string{}, []string{}
	for _, id := range request.Workers {
		if a.Allowed[id] {
			rows, approved = append(rows, [2]string{id, fmt.Sprintf("%s-%s", id, request.Step)}), append(approved, id)
		}
	}
	a.OnAnswer(request.Step, request.Workers, approved)
	respond(w, http.StatusOK, map[string]any{"Approved": rows, "ValidMs": a.Valid.Milliseconds()})
}
