package rig

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Limits and speeds of the store, as in the platform's example of a settings file.
const (
	recordBytes       = 262144
	requestBytes      = 2097152
	partitionBytes    = 200 << 20
	appendTime        = 3 * time.Millisecond
	appendBytesPerSec = 20 << 20
	// maxAppendBacklog is the time that waiting appends may take before further ones are refused.
	maxAppendBacklog = 2 * time.Second
	// rememberedAppends is the number of appends of a producer whose repeats get the first response again.
	rememberedAppends = 5
	lengthFieldBytes  = 4
	defaultReadKB     = 1024
	maxNewestItems    = 500
	maxNewestBytes    = 1 << 20
)

type (
	// Store is a fake of the platform's log store with keyed topics. Partition 0 is the only one. The zero value is ready to use.
	Store struct {
		// OnRefusal is called with the status of each append that is refused, and the reason. It may be nil.
		OnRefusal func(status int, reason string)

		mutex  sync.Mutex
		topics map[string]*topic
	}

	topic struct {
		// appending is held while an append is processed, because a partition processes one at a time.
		appending sync.Mutex
		backlog   time.Duration
		first     int64
		records   [][]byte
		bytes     int
		newest    map[string]newestRecord
		producers map[string]*producer
		changed   chan struct{}
	}

	newestRecord struct {
		offset int64
		value  []byte
	}

	producer struct {
		epoch, sequence uint64
		responses       map[uint64]appendResponse
	}

	appendResponse struct{ Offset, End int64 }

	storeRefusal struct {
		Reason   string `json:",omitempty"`
		Sequence uint64 `json:",omitempty"`
		End      int64
	}
)

// Handler returns the HTTP interface of the store.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log-append", s.handleAppend)
	mux.HandleFunc("GET /v1/log-read", s.handleRead)
	mux.HandleFunc("GET /v1/log-newest", s.handleNewest)
	return mux
}

// Publish appends a record of the operator to a keyed topic.
func (s *Store) Publish(topicName, key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic("rig: cannot encode a record: " + err.Error())
	}
	t := s.topic(topicName)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t.add(append(append([]byte{byte(len(key))}, key...), encoded...))
}

// Value returns the newest value of a key, and false if there is none.
func (s *Store) Value(topicName, key string) ([]byte, bool) {
	t := s.topic(topicName)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	r, ok := t.newest[key]
	return r.value, ok
}

func (s *Store) topic(name string) *topic {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.topics == nil {
		s.topics = map[string]*topic{}
	}
	if s.topics[name] == nil {
		s.topics[name] = &topic{newest: map[string]newestRecord{}, producers: map[string]*producer{}, changed: make(chan struct{})}
	}
	return s.topics[name]
}

func (s *Store) handleAppend(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("Topic")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	records, reason := splitRecords(body)
	switch {
	case name == "keyed.op" || name == "keyed.servers":
		s.refuse(w, http.StatusForbidden, storeRefusal{Reason: "not writable"})
		return
	case reason != "":
		s.refuse(w, http.StatusBadRequest, storeRefusal{Reason: reason})
		return
	}
	t := s.topic(name)
	cost := appendTime + time.Duration(len(body))*time.Second/appendBytesPerSec
	s.mutex.Lock()
	if t.backlog > maxAppendBacklog {
		s.mutex.Unlock()
		s.refuse(w, http.StatusServiceUnavailable, storeRefusal{Reason: "too many appends are waiting"})
		return
	}
	t.backlog += cost
	s.mutex.Unlock()
	t.appending.Lock()
	time.Sleep(cost)
	s.mutex.Lock()
	t.backlog -= cost
	status, response := t.append(r, records)
	s.mutex.Unlock()
	t.appending.Unlock()
	if refusal, refused := response.(storeRefusal); refused {
		s.refuse(w, status, refusal)
		return
	}
	respond(w, status, response)
}

func (s *Store) refuse(w http.ResponseWriter, status int, refusal storeRefusal) {
	if s.OnRefusal != nil {
		s.OnRefusal(status, refusal.Reason)
	}
	respond(w, status, refusal)
}

// append checks the conditions of an append and executes it. It returns the status and the body of the response.
func (t *topic) append(r *http.Request, records [][]byte) (int, any) {
	query := r.URL.Query()
	end := t.first + int64(len(t.records))
	if at := query.Get("At"); at != "" && at != strconv.FormatInt(end, 10) {
		return http.StatusPreconditionFailed, storeRefusal{End: end}
	}
	name, epoch, sequence := query.Get("Producer"), number(query.Get("epoch")), number(query.Get("Sequence"))
	if name == "" {
		return http.StatusOK, t.addAll(records)
	}
	p := t.producers[name]
	if p == nil {
		p = &producer{responses: map[uint64]appendResponse{}}
		t.producers[name] = p
	}
	switch earlier, repeated := p.responses[sequence]; {
	case epoch < p.epoch:
		return http.StatusConflict, storeRefusal{Reason: "fenced", End: end}
	case epoch > p.epoch:
		p.epoch, p.responses = epoch, map[uint64]appendResponse{}
		if len(records) == 0 {
			return http.StatusOK, appendResponse{end, end}
		}
	case repeated:
		return http.StatusOK, earlier
	case sequence != p.sequence+1:
		return http.StatusConflict, storeRefusal{Reason: "seq", Sequence: p.sequence + 1, End: end}
	}
	response := t.addAll(records)
	p.sequence, p.responses[sequence] = sequence, response
	delete(p.responses, sequence-rememberedAppends)
	return http.StatusOK, response
}

func (t *topic) addAll(records [][]byte) appendResponse {
	offset := t.first + int64(len(t.records))
	for _, r := range records {
		t.add(r)
	}
	return appendResponse{offset, t.first + int64(len(t.records))}
}

// add appends one record. It deletes the oldest ones while the partition is too large.
func (t *topic) add(record []byte) {
	key, value := string(record[1:1+record[0]]), record[1+record[0]:]
	if len(value) == 0 {
		delete(t.newest, key)
	} else {
		t.newest[key] = newestRecord{t.first + int64(len(t.records)), value}
	}
	t.records = append(t.records, record)
	t.bytes += len(record)
	for t.bytes > partitionBytes {
		t.bytes -= len(t.records[0])
		t.records, t.first = t.records[1:], t.first+1
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

func (s *Store) handleRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, limit := int64(number(query.Get("From"))), int(number(query.Get("MaxKb")))<<10
	if limit == 0 {
		limit = defaultReadKB << 10
	}
	t := s.topic(query.Get("Topic"))
	timeout := time.After(time.Duration(number(query.Get("WaitMs"))) * time.Millisecond)
	for waiting := true; ; {
		s.mutex.Lock()
		if from < t.first {
			first := t.first
			s.mutex.Unlock()
			respond(w, http.StatusGone, struct{ First int64 }{first})
			return
		}
		if from < t.first+int64(len(t.records)) || !waiting {
			break
		}
		changed := t.changed
		s.mutex.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	end := t.first + int64(len(t.records))
	response := binary.BigEndian.AppendUint64(nil, uint64(end))
	response = binary.BigEndian.AppendUint64(response, uint64(t.first))
	for n := from; n < end && (n == from || len(response) < limit); n++ {
		record := t.records[n-t.first]
		response = binary.BigEndian.AppendUint32(response, uint32(len(record)))
		response = append(response, record...)
	}
	s.mutex.Unlock()
	_, _ = w.Write(response)
}

func (s *Store) handleNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key, Value string
		Offset     int64
	}
	response := struct {
		Items   []item `json:"items"`
		HasMore bool
		End     int64
	}{Items: []item{}}
	t := s.topic(r.URL.Query().Get("Topic"))
	s.mutex.Lock()
	response.End = t.first + int64(len(t.records))
	bytes := 0
	for _, key := range slices.Sorted(maps.Keys(t.newest)) {
		if key <= r.URL.Query().Get("After") {
			continue
		}
		if len(response.Items) == maxNewestItems || bytes > maxNewestBytes {
			response.HasMore = true
			break
		}
		found := t.newest[key]
		bytes += len(found.value)
		response.Items = append(response.Items, item{key, base64.StdEncoding.EncodeToString(found.value), found.offset})
	}
	s.mutex.Unlock()
	respond(w, http.StatusOK, response)
}

// splitRecords splits the body of an append into records, each with a key. It returns the reason if the body must be refused.
func splitRecords(body []byte) (records [][]byte, reason string) {
	if len(body) > requestBytes {
		return nil, "the records are larger than RequestBytes"
	}
	for len(body) > 0 {
		if len(body) < lengthFieldBytes || len(body)-lengthFieldBytes < int(binary.BigEndian.Uint32(body)) {
			return nil, "a record is truncated"
		}
		length := int(binary.BigEndian.Uint32(body))
		record := body[lengthFieldBytes : lengthFieldBytes+length]
		switch {
		case length > recordBytes:
			return nil, "a record of " + strconv.Itoa(length) + " bytes is larger than RecordBytes, " + strconv.Itoa(recordBytes)
		case length == 0 || int(record[0]) >= length:
			return nil, "a record has no key"
		}
		records = append(records, record)
		body = body[lengthFieldBytes+length:]
	}
	return records, ""
}

// number parses an unsigned number. A missing one stands for 0.
func number(text string) uint64 {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
