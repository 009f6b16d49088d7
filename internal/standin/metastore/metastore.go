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
	// defaultReadKB is the maximum size of a response to a read. It contains at least one record.
	defaultReadKB  = 1024
	maxAppendDelay = 2 * time.Second
	// transferBytes is the size of the parts of a response on a link with limited bandwidth.
	transferBytes = 8 << 10
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
		// connections contains the remote addresses of all connections so far, and held those that get no responses.
		connections, held map[string]struct{}
		links             map[string]*link
	}

	// link is the network link of the processes that call the store at one IP address. All responses to them share it.
	link struct {
		bytesPerSecond int
		freeAt         time.Time
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

// SetFault injects a fault into all calls to the IP address of the store, or into all calls if address is empty. An empty kind ends the
// fault. A fault of an address takes precedence over that of all. Processes with addresses of their own for the store can so get faults of
// their own.
func (m *Metastore) SetFault(address, kind string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.faults == nil {
		m.faults = map[string]string{}
	}
	m.faults[address] = kind
}

// HoldConnections makes all connections that are open now silent: no response is sent on them any more. New connections work.
func (m *Metastore) HoldConnections() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.held = maps.Clone(m.connections)
}

func (m *Metastore) isHeld(connection string) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	_, held := m.held[connection]
	return held
}

// SetBandwidth limits the responses from the IP address of the store, all together. 0 removes the limit.
func (m *Metastore) SetBandwidth(address string, bytesPerSecond int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.links == nil {
		m.links = map[string]*link{}
	}
	m.links[address] = &link{bytesPerSecond: bytesPerSecond}
}

// reserveLink returns when a part of a response from the IP address has been transferred.
func (m *Metastore) reserveLink(address string, bytes int) time.Time {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := time.Now()
	l := m.links[address]
	if l == nil || l.bytesPerSecond == 0 {
		return now
	}
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(bytes) * time.Second / time.Duration(l.bytesPerSecond))
	return l.freeAt
}

// AppendRecord appends a record with a JSON value to a topic, without fencing.
func (m *Metastore) AppendRecord(topicName, key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic("metastore: cannot encode a record: " + err.Error())
	}
	m.AppendBytes(topicName, key, encoded)
}

// RemoveKey appends a record without a value to a topic, without fencing. The newest records of the topic then lack the key.
func (m *Metastore) RemoveKey(topicName, key string) { m.AppendBytes(topicName, key, nil) }

// AppendBytes appends a record with a value that need not be JSON to a topic, without fencing.
func (m *Metastore) AppendBytes(topicName, key string, value []byte) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	record := append([]byte{byte(len(key))}, key...)
	m.addRecord(m.topic(topicName), append(record, value...))
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
		connection := c.Request().RemoteAddr
		host := ""
		if local, ok := c.Request().Context().Value(http.LocalAddrContextKey).(net.Addr); ok {
			host, _, _ = net.SplitHostPort(local.String())
		}
		m.mutex.Lock()
		if m.connections == nil {
			m.connections = map[string]struct{}{}
		}
		m.connections[connection] = struct{}{}
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
		if m.isHeld(connection) {
			return hang(c)
		}
		c.Response().Writer = linkWriter{c.Response().Writer, m, connection, host}
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
		if err := next(c); err != nil || !m.isHeld(connection) {
			return err
		}
		return hang(c)
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
	status, response := m.appendRecords(c.QueryParam("Topic"), c.QueryParam("Producer"), parseUint(c.QueryParam("epoch")), parseUint(c.QueryParam("Sequence")), body)
	m.mutex.Unlock()
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
	t := m.topic(c.QueryParam("Topic"))
	response := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	response = binary.BigEndian.AppendUint64(response, uint64(t.firstOffset))
	maxBytes := len(response) + defaultReadKB<<10
	if n := parseUint(c.QueryParam("MaxKb")); n > 0 {
		maxBytes = len(response) + int(min(n, defaultReadKB))<<10
	}
	for n, r := range t.records[min(from, int64(len(t.records))):] {
		if n > 0 && len(response)+len(r) > maxBytes {
			break
		}
		response = binary.BigEndian.AppendUint32(response, uint32(len(r)))
		response = append(response, r...)
	}
	m.mutex.Unlock()
	return c.Blob(http.StatusOK, "application/octet-stream", response)
}

func (m *Metastore) readNewest(c echo.Context) error {
	type item struct {
		Key, Value string
		Offset     int64
	}
	m.mutex.Lock()
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
	m.mutex.Unlock()
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

// linkWriter sends a response as fast as the link of the caller permits, and nothing on a held connection.
type linkWriter struct {
	http.ResponseWriter
	store               *Metastore
	connection, address string
}

// Write sends the content in parts and returns when the last one has been transferred.
func (w linkWriter) Write(content []byte) (int, error) {
	written := 0
	for written < len(content) {
		part := content[written:min(len(content), written+transferBytes)]
		time.Sleep(time.Until(w.store.reserveLink(w.address, len(part))))
		if w.store.isHeld(w.connection) {
			return len(content), nil
		}
		n, err := w.ResponseWriter.Write(part)
		written += n
		if err != nil {
			return written, err
		}
		if f, ok := w.ResponseWriter.(http.Flusher); ok && len(content) > transferBytes {
			f.Flush()
		}
	}
	return written, nil
}

// WriteHeader sends the status.
func (w linkWriter) WriteHeader(status int) {
	if !w.store.isHeld(w.connection) {
		w.ResponseWriter.WriteHeader(status)
	}
}

// discardWriter discards the response of a call.
type discardWriter struct{ http.ResponseWriter }

// Write discards the content.
func (discardWriter) Write(content []byte) (int, error) { return len(content), nil }

// WriteHeader discards the status.
func (discardWriter) WriteHeader(int) {}
