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
		Processing     int `json:"processing"`
		MaxConcurrency int `json:"max-concurrency"`
		MaxConnections int `json:"max-connections"`
		// SlotViolations counts requests that arrived while all slots were in use.
		SlotViolations int `json:"slot-violations"`
		// ConnectionViolations counts requests that were rejected because their connection exceeded the limit.
		ConnectionViolations int `json:"connection-violations"`
		// Abandoned counts requests whose caller closed the connection before the response.
		Abandoned             int `json:"abandoned"`
		Injected              int `json:"injected"`
		Announcements         int `json:"announcements"`
		AnnouncementsRejected int `json:"announcements-rejected"`
	}

	stats struct {
		mutex           sync.Mutex
		counts          Counters
		serviceInFlight map[string]int
		connections     map[net.Conn]bool
	}
)

func newStats() *stats {
	return &stats{
		counts:          Counters{Starts: map[string]int{}, KeyStarts: map[string]int{}},
		serviceInFlight: map[string]int{},
		connections:     map[net.Conn]bool{},
	}
}

func (s *stats) counters() Counters {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	c := s.counts
	c.Starts = maps.Clone(c.Starts)
	c.KeyStarts = maps.Clone(c.KeyStarts)
	return c
}

func (s *stats) inFlightByService() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.serviceInFlight)
}

func (s *stats) inFlight() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.counts.InFlight
}

func (s *stats) requestReceived(service string, slots int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counts.Requests++
	s.counts.InFlight++
	s.serviceInFlight[service]++
	if s.counts.InFlight > slots {
		s.counts.SlotViolations++
	}
}

func (s *stats) requestEnded(service string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counts.InFlight--
	s.serviceInFlight[service]--
}

func (s *stats) processingStarted(id, key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counts.Processing++
	s.counts.MaxConcurrency = max(s.counts.MaxConcurrency, s.counts.Processing)
	if !countStart(s.counts.Starts, id) {
		s.counts.Unrecorded++
	}
	if key != "" && !countStart(s.counts.KeyStarts, key) {
		s.counts.Unrecorded++
	}
}

func (s *stats) processingEnded() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counts.Processing--
}

func (s *stats) requestAbandoned() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counts.Abandoned++
}

func (s *stats) faultInjected() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counts.Injected++
}

func (s *stats) announcementSent(accepted bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counts.Announcements++
	if !accepted {
		s.counts.AnnouncementsRejected++
	}
}

// openConnection registers a connection with a request to a service and reports whether it is within the limit. Connections that
// only use the test API, for instance to read the counters, are not registered and so don't count.
func (s *stats) openConnection(c net.Conn, limit int) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.connections[c] {
		return true
	}
	if len(s.connections) >= limit {
		s.counts.ConnectionViolations++
		return false
	}
	s.connections[c] = true
	s.counts.MaxConnections = max(s.counts.MaxConnections, len(s.connections))
	return true
}

func (s *stats) closeConnection(c net.Conn) {
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
