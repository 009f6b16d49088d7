// Package metastore is an in-memory fake of the platform's store. It has keyed topics with one partition, appends
// that are refused if a producer's epoch is outdated (fencing), and reads that wait for new records (long polling).
package metastore

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
)

// Kinds of faults that SetFault injects.
const (
	// FaultBusy rejects each call with status 503.
	FaultBusy = "busy"
	// FaultUnresponsive neither executes a call nor sends a response.
	FaultUnresponsive = "silent"
	// FaultResponseLost executes each call but sends no response.
	FaultResponseLost = "lost"
	// FaultLateAppend sends no response to an append and executes it up to 2 s later. Reads succeed.
	FaultLateAppend = "late"
)

const (
	maxPageRecords = 500
	hangTimeout    = 30 * time.Second
	maxAppendDelay = 2 * time.Second
)

type (
	// Metastore holds the topics. The zero value is an empty store. It is safe for concurrent use.
	Metastore struct {
		// Delay is added to the response time of each call.
		Delay time.Duration

		mutex      sync.Mutex
		topics     map[string]*topic
		faults     map[string]string
		callCounts map[string]int
		changed    chan struct{}
	}

	topic struct {
		records       [][]byte
		firstOffset   int64
		newestOffsets map[string]int64
		producers     map[string]*producerState
	}

	producerState struct {
		epoch, sequence uint64
	}

	appendResponse struct {
		Offset, End int64
	}

	refusalResponse struct {
		Reason string
	}
)

// Handler returns the HTTP API of the store.
func (m *Metastore) Handler() http.Handler {
	e := echo.New()
	e.Use(m.injectFaults)
	e.POST("/v1/log-append", m.append)
	e.GET("/v1/log-read", m.read)
	e.GET("/v1/log-newest", m.readNewest)
	return e
}

// SetFault injects a fault into all calls from the IP address, or into the calls of all callers if address is empty. An
// empty kind ends the fault. A fault of an address takes precedence over that of all callers.
func (m *Metastore) SetFault(address, kind string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.faults == nil {
		m.faults = map[string]string{}
	}
	m.faults[address] = kind
}

// AppendRecord appends a record with a JSON value to a topic, without fencing.
func (m *Metastore) AppendRecord(topicName, key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic("metastore: cannot encode a record: " + err.Error())
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	record := append([]byte{byte(len(key))}, key...)
	m.addRecord(m.topic(topicName), append(record, encoded...))
}

// Newest returns the newest value of a key in a topic.
func (m *Metastore) Newest(topicName, key string) (string, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	t := m.topic(topicName)
	offset, ok := t.newestOffsets[key]
	if !ok {
		return "", false
	}
	_, value := splitRecord(t.records[offset])
	return string(value), true
}

// Compact removes all records of a topic except the newest of each key. Reads from offsets before the present end
// of the topic then fail with status 410.
func (m *Metastore) Compact(topicName string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	t := m.topic(topicName)
	t.firstOffset = int64(len(t.records))
	m.notifyReaders()
}

// CallCounts returns the number of calls of each path.
func (m *Metastore) CallCounts() map[string]int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return maps.Clone(m.callCounts)
}

func (m *Metastore) injectFaults(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		host, _, _ := net.SplitHostPort(c.Request().RemoteAddr)
		m.mutex.Lock()
		if m.callCounts == nil {
			m.callCounts = map[string]int{}
		}
		m.callCounts[c.Path()]++
		kind := m.faults[""]
		if callerKind := m.faults[host]; callerKind != "" {
			kind = callerKind
		}
		m.mutex.Unlock()
		time.Sleep(m.Delay)
		switch kind {
		case FaultBusy:
			return c.NoContent(http.StatusServiceUnavailable)
		case FaultUnresponsive:
			return hang(c)
		case FaultResponseLost:
			c.Response().Writer = discardWriter{c.Response().Writer}
			if err := next(c); err != nil {
				return err
			}
			return hang(c)
		case FaultLateAppend:
			return m.appendLate(c, next)
		}
		return next(c)
	}
}

// appendLate sends no response to an append and executes the append after a random delay. Other calls are executed as usual.
func (m *Metastore) appendLate(c echo.Context, next echo.HandlerFunc) error {
	if c.Request().Method != http.MethodPost {
		return next(c)
	}
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return err
	}
	query := c.QueryParams()
	time.AfterFunc(rand.N(maxAppendDelay), func() {
		m.mutex.Lock()
		defer m.mutex.Unlock()
		m.appendRecords(query.Get("Topic"), query.Get("Producer"), parseUint(query.Get("epoch")), parseUint(query.Get("Sequence")), body)
	})
	return hang(c)
}

// hang blocks until the caller closes the connection or hangTimeout has passed, and then aborts the response.
func hang(c echo.Context) error {
	select {
	case <-c.Request().Context().Done():
	case <-time.After(hangTimeout):
	}
	panic(http.ErrAbortHandler)
}

func (m *Metastore) append(c echo.Context) error {
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return err
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	status, response := m.appendRecords(c.QueryParam("Topic"), c.QueryParam("Producer"), parseUint(c.QueryParam("epoch")), parseUint(c.QueryParam("Sequence")), body)
	return c.JSON(status, response)
}

func (m *Metastore) appendRecords(topicName, producer string, epoch, sequence uint64, body []byte) (int, any) {
	t := m.topic(topicName)
	if producer != "" {
		p, ok := t.producers[producer]
		if !ok {
			p = &producerState{}
			t.producers[producer] = p
		}
		switch {
		case epoch < p.epoch:
			return http.StatusConflict, refusalResponse{"fenced"}
		case epoch == p.epoch && sequence <= p.sequence:
			return http.StatusOK, appendResponse{End: int64(len(t.records))}
		case epoch == p.epoch && sequence != p.sequence+1:
			return http.StatusConflict, refusalResponse{"seq"}
		}
		p.epoch, p.sequence = epoch, sequence
	}
	offset := int64(len(t.records))
	for len(body) >= 4 {
		length := binary.BigEndian.Uint32(body)
		m.addRecord(t, body[4:4+length])
		body = body[4+length:]
	}
	return http.StatusOK, appendResponse{offset, int64(len(t.records))}
}

func (m *Metastore) addRecord(t *topic, record []byte) {
	key, value := splitRecord(record)
	if len(value) == 0 {
		delete(t.newestOffsets, key)
	} else {
		t.newestOffsets[key] = int64(len(t.records))
	}
	t.records = append(t.records, slices.Clone(record))
	m.notifyReaders()
}

func (m *Metastore) notifyReaders() {
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
}

func (m *Metastore) read(c echo.Context) error {
	from := int64(parseUint(c.QueryParam("From")))
	timeout := time.After(time.Duration(parseUint(c.QueryParam("WaitMs"))) * time.Millisecond)
	for {
		m.mutex.Lock()
		t := m.topic(c.QueryParam("Topic"))
		if from < t.firstOffset {
			m.mutex.Unlock()
			return c.NoContent(http.StatusGone)
		}
		if from < int64(len(t.records)) {
			break
		}
		if m.changed == nil {
			m.changed = make(chan struct{})
		}
		changed := m.changed
		m.mutex.Unlock()
		select {
		case <-changed:
			continue
		case <-c.Request().Context().Done():
			return nil
		case <-timeout:
		}
		m.mutex.Lock()
		break
	}
	defer m.mutex.Unlock()
	t := m.topic(c.QueryParam("Topic"))
	response := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	response = binary.BigEndian.AppendUint64(response, uint64(t.firstOffset))
	for _, r := range t.records[min(from, int64(len(t.records))):] {
		response = binary.BigEndian.AppendUint32(response, uint32(len(r)))
		response = append(response, r...)
	}
	return c.Blob(http.StatusOK, "application/octet-stream", response)
}

func (m *Metastore) readNewest(c echo.Context) error {
	type item struct {
		Key, Value string
		Offset     int64
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	t := m.topic(c.QueryParam("Topic"))
	response := struct {
		Items   []item `json:"items"`
		HasMore bool
		End     int64
	}{Items: []item{}, End: int64(len(t.records))}
	for _, key := range slices.Sorted(maps.Keys(t.newestOffsets)) {
		if key <= c.QueryParam("After") {
			continue
		}
		if len(response.Items) == maxPageRecords {
			response.HasMore = true
			break
		}
		_, value := splitRecord(t.records[t.newestOffsets[key]])
		response.Items = append(response.Items, item{key, base64.StdEncoding.EncodeToString(value), t.newestOffsets[key]})
	}
	return c.JSON(http.StatusOK, response)
}

func (m *Metastore) topic(name string) *topic {
	if m.topics == nil {
		m.topics = map[string]*topic{}
	}
	t, ok := m.topics[name]
	if !ok {
		t = &topic{newestOffsets: map[string]int64{}, producers: map[string]*producerState{}}
		m.topics[name] = t
	}
	return t
}

func splitRecord(record []byte) (string, []byte) {
	length := int(record[0])
	return string(record[1 : 1+length]), record[1+length:]
}

func parseUint(text string) uint64 {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		// In the platform's API, a missing number stands for 0.
		return 0
	}
	return n
}

// discardWriter discards the response of a call.
type discardWriter struct{ http.ResponseWriter }

// Write discards the content.
func (discardWriter) Write(content []byte) (int, error) { return len(content), nil }

// WriteHeader discards the status.
func (discardWriter) WriteHeader(int) {}
