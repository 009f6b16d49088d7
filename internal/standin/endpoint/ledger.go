package endpoint

import (
	"maps"
	"net"
	"sync"
)

// maxRecordedIDs is the maximum number of request IDs, and of keys, whose starts are recorded.
const maxRecordedIDs = 1 << 20

type (
	// Counters count requests, connections and announcements. A request starts when it gets a slot.
	Counters struct {
		// Starts is the number of starts of each request ID, and KeyStarts that of each key of a non-idempotent request.
		Starts    map[string]int `json:"starts"`
		KeyStarts map[string]int `json:"key-starts"`
		// Unrecorded counts starts that are missing in Starts or KeyStarts because the request had no ID or the maximum
		// number of IDs or keys was recorded.
		Unrecorded int `json:"unrecorded"`
		Requests   int `json:"requests"`
		InFlight   int `json:"in-flight"`
		// Processing is the number of requests that hold a slot.
		Processing int `json:"processing"`
		// MaxConcurrency is the largest number of requests that held a slot at the same time, and MaxConnections that of
		// registered connections.
		MaxConcurrency int `json:"max-concurrency"`
		MaxConnections int `json:"max-connections"`
		// SlotViolations counts requests that arrived while all slots were in use.
		SlotViolations int `json:"slot-violations"`
		// ConnectionViolations counts requests that were rejected because their connection exceeded the limit.
		ConnectionViolations int `json:"connection-violations"`
		// Abandoned counts requests whose caller closed the connection before the response.
		Abandoned int `json:"abandoned"`
		// InjectedFaults counts the requests that failed, hung, or were truncated or closed by an injected fault.
		InjectedFaults int `json:"injected"`
		Announcements  int `json:"announcements"`
		// AnnouncementsFailed counts the announcements that were rejected or got no response.
		AnnouncementsFailed int `json:"announcements-rejected"`
	}

	counterStore struct {
		mutex            sync.Mutex
		counters         Counters
		requestsInFlight map[string]int
		connections      map[net.Conn]bool
	}
)

func newCounterStore() *counterStore {
	return &counterStore{
		counters:         Counters{Starts: map[string]int{}, KeyStarts: map[string]int{}},
		requestsInFlight: map[string]int{},
		connections:      map[net.Conn]bool{},
	}
}

func (s *counterStore) copyCounters() Counters {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	c := s.counters
	c.Starts = maps.Clone(c.Starts)
	c.KeyStarts = maps.Clone(c.KeyStarts)
	return c
}

func (s *counterStore) inFlightByService() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.requestsInFlight)
}

func (s *counterStore) inFlight() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.counters.InFlight
}

func (s *counterStore) requestReceived(service string, slots int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counters.Requests++
	s.counters.InFlight++
	s.requestsInFlight[service]++
	if s.counters.InFlight > slots {
		s.counters.SlotViolations++
	}
}

func (s *counterStore) requestEnded(service string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counters.InFlight--
	s.requestsInFlight[service]--
}

func (s *counterStore) processingStarted(id, key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counters.Processing++
	s.counters.MaxConcurrency = max(s.counters.MaxConcurrency, s.counters.Processing)
	if !countStart(s.counters.Starts, id) {
		s.counters.Unrecorded++
	}
	if key != "" && !countStart(s.counters.KeyStarts, key) {
		s.counters.Unrecorded++
	}
}

func (s *counterStore) processingEnded() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counters.Processing--
}

func (s *counterStore) requestAbandoned() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counters.Abandoned++
}

func (s *counterStore) faultInjected() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counters.InjectedFaults++
}

func (s *counterStore) announcementSent(accepted bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counters.Announcements++
	if !accepted {
		s.counters.AnnouncementsFailed++
	}
}

// registerConnection registers a connection with a request to a service and reports whether it is within the limit. Connections that
// only use the paths for tests, for instance to read the counters, are not registered and so don't count.
func (s *counterStore) registerConnection(c net.Conn, limit int) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.connections[c] {
		return true
	}
	if len(s.connections) >= limit {
		s.counters.ConnectionViolations++
		return false
	}
	s.connections[c] = true
	s.counters.MaxConnections = max(s.counters.MaxConnections, len(s.connections))
	return true
}

func (s *counterStore) unregisterConnection(c net.Conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.connections, c)
}

func countStart(counts map[string]int, id string) bool {
	if id == "" || (counts[id] == 0 && len(counts) >= maxRecordedIDs) {
		return false
	}
	counts[id]++
	return true
}
