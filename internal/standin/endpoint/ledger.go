package endpoint

import (
	"maps"
	"net"
	"sync"
)

// maxRecorded bounds the number of request ids and of keys whose starts are recorded.
const maxRecordedIDs = 1 << 20

type (
	// Counters are what the endpoint has seen. Only requests that got a slot are starts.
	Counters struct {
		// Starts maps request ids, and KeyStarts keys of non-idempotent requests, to the number of starts.
		Starts    map[string]int `json:"starts"`
		KeyStarts map[string]int `json:"key-starts"`
		// Unrecorded counts starts beyond the bound of recorded ids or without an id.
		Unrecorded int `json:"unrecorded"`
		Requests   int `json:"requests"`
		InFlight   int `json:"in-flight"`
		// Processing counts requests that hold a slot.
		Processing     int `json:"processing"`
		MaxConcurrency int `json:"max-concurrency"`
		MaxConnections int `json:"max-connections"`
		// SlotViolations counts requests that arrived while all slots were taken.
		SlotViolations int `json:"slot-violations"`
		// ConnectionViolations counts requests on connections beyond the limit, which were refused.
		ConnectionViolations int `json:"connection-violations"`
		// Abandoned counts requests whose caller went away before the answer.
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

// openConnection reports whether c may carry requests. Connections for tests only, such as to read the counters, don't count.
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
