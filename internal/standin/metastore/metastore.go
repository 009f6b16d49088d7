// Package metastore is a small fake of the platform's store: keyed topics with one partition, fenced appends and long reads.
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

// Faults of the store, for all callers or for those of one machine.
const (
	// FaultBusy refuses all calls.
	FaultBusy = "busy"
	// FaultUnresponsive answers none and does nothing.
	FaultUnresponsive = "silent"
	// FaultResponseLost does what is asked and answers nothing.
	FaultResponseLost = "lost"
	// FaultLateAppend does appends a while after they failed.
	FaultLateAppend = "late"
)

const (
	pageRecords = 500
	silence     = 30 * time.Second
	lateMost    = 2 * time.Second
)

type (
	// Metastore holds topics. The zero value is empty. Concurrent use is safe.
	Metastore struct {
		// Delay is the time of each answer.
		Delay time.Duration

		mutex   sync.Mutex
		topics  map[string]*topic
		faults  map[string]string
		calls   map[string]int
		changed chan struct{}
	}

	topic struct {
		records [][]byte
		first   int64
		newest  map[string]int64
		epochs  map[string]*writer
	}

	writer struct {
		epoch, sequence uint64
	}

	appendAnswer struct {
		Offset, End int64
	}

	refusal struct {
		Reason string
	}
)

// Handler returns the HTTP interface.
func (m *Metastore) Handler() http.Handler {
	e := echo.New()
	e.Use(m.fault)
	e.POST("/v1/log-append", m.append)
	e.GET("/v1/log-read", m.read)
	e.GET("/v1/log-newest", m.page)
	return e
}

// SetFault lets calls from the address fail, or those of all callers if it is empty. An empty kind ends the fault.
func (m *Metastore) SetFault(address, kind string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.faults == nil {
		m.faults = map[string]string{}
	}
	m.faults[address] = kind
}

// AppendRecord appends a record as an operator does.
func (m *Metastore) AppendRecord(name, key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic("metastore: cannot encode a record: " + err.Error())
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	content := append([]byte{byte(len(key))}, key...)
	m.add(m.topic(name), append(content, encoded...))
}

// Newest returns the newest value under a key.
func (m *Metastore) Newest(name, key string) (string, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	t := m.topic(name)
	offset, ok := t.newest[key]
	if !ok {
		return "", false
	}
	_, value := split(t.records[offset])
	return string(value), true
}

// Compact deletes all records but the newest of each key.
func (m *Metastore) Compact(name string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	t := m.topic(name)
	t.first = int64(len(t.records))
	m.announce()
}

// CallCounts returns how often each call was made.
func (m *Metastore) CallCounts() map[string]int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return maps.Clone(m.calls)
}

func (m *Metastore) fault(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		host, _, _ := net.SplitHostPort(c.Request().RemoteAddr)
		m.mutex.Lock()
		if m.calls == nil {
			m.calls = map[string]int{}
		}
		m.calls[c.Path()]++
		kind := m.faults[""]
		if own := m.faults[host]; own != "" {
			kind = own
		}
		m.mutex.Unlock()
		time.Sleep(m.Delay)
		switch kind {
		case FaultBusy:
			return c.NoContent(http.StatusServiceUnavailable)
		case FaultUnresponsive:
			return hang(c)
		case FaultResponseLost:
			c.Response().Writer = discard{c.Response().Writer}
			if err := next(c); err != nil {
				return err
			}
			return hang(c)
		case FaultLateAppend:
			return m.late(c, next)
		}
		return next(c)
	}
}

// late carries an append out after its caller has given up.
func (m *Metastore) late(c echo.Context, next echo.HandlerFunc) error {
	if c.Request().Method != http.MethodPost {
		return next(c)
	}
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return err
	}
	query := c.QueryParams()
	time.AfterFunc(rand.N(lateMost), func() {
		m.mutex.Lock()
		defer m.mutex.Unlock()
		m.store(query.Get("Topic"), query.Get("Producer"), number(query.Get("epoch")), number(query.Get("Sequence")), body)
	})
	return hang(c)
}

// hang keeps the answer back until the caller gives up.
func hang(c echo.Context) error {
	select {
	case <-c.Request().Context().Done():
	case <-time.After(silence):
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
	status, answer := m.store(c.QueryParam("Topic"), c.QueryParam("Producer"), number(c.QueryParam("epoch")), number(c.QueryParam("Sequence")), body)
	return c.JSON(status, answer)
}

func (m *Metastore) store(name, producer string, epoch, sequence uint64, body []byte) (int, any) {
	t := m.topic(name)
	if producer != "" {
		w, ok := t.epochs[producer]
		if !ok {
			w = &writer{}
			t.epochs[producer] = w
		}
		switch {
		case epoch < w.epoch:
			return http.StatusConflict, refusal{"fenced"}
		case epoch == w.epoch && sequence <= w.sequence:
			return http.StatusOK, appendAnswer{End: int64(len(t.records))}
		case epoch == w.epoch && sequence != w.sequence+1:
			return http.StatusConflict, refusal{"seq"}
		}
		w.epoch, w.sequence = epoch, sequence
	}
	offset := int64(len(t.records))
	for len(body) >= 4 {
		length := binary.BigEndian.Uint32(body)
		m.add(t, body[4:4+length])
		body = body[4+length:]
	}
	return http.StatusOK, appendAnswer{offset, int64(len(t.records))}
}

func (m *Metastore) add(t *topic, content []byte) {
	key, value := split(content)
	if len(value) == 0 {
		delete(t.newest, key)
	} else {
		t.newest[key] = int64(len(t.records))
	}
	t.records = append(t.records, slices.Clone(content))
	m.announce()
}

func (m *Metastore) announce() {
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
}

func (m *Metastore) read(c echo.Context) error {
	from := int64(number(c.QueryParam("From")))
	wait := time.After(time.Duration(number(c.QueryParam("WaitMs"))) * time.Millisecond)
	for {
		m.mutex.Lock()
		t := m.topic(c.QueryParam("Topic"))
		if from < t.first {
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
		case <-wait:
		}
		m.mutex.Lock()
		break
	}
	defer m.mutex.Unlock()
	t := m.topic(c.QueryParam("Topic"))
	answer := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	answer = binary.BigEndian.AppendUint64(answer, uint64(t.first))
	for _, r := range t.records[min(from, int64(len(t.records))):] {
		answer = binary.BigEndian.AppendUint32(answer, uint32(len(r)))
		answer = append(answer, r...)
	}
	return c.Blob(http.StatusOK, "application/octet-stream", answer)
}

func (m *Metastore) page(c echo.Context) error {
	type item struct {
		Key, Value string
		Offset     int64
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	t := m.topic(c.QueryParam("Topic"))
	answer := struct {
		Items   []item `json:"items"`
		HasMore bool
		End     int64
	}{Items: []item{}, End: int64(len(t.records))}
	for _, key := range slices.Sorted(maps.Keys(t.newest)) {
		if key <= c.QueryParam("After") {
			continue
		}
		if len(answer.Items) == pageRecords {
			answer.HasMore = true
			break
		}
		_, value := split(t.records[t.newest[key]])
		answer.Items = append(answer.Items, item{key, base64.StdEncoding.EncodeToString(value), t.newest[key]})
	}
	return c.JSON(http.StatusOK, answer)
}

func (m *Metastore) topic(name string) *topic {
	if m.topics == nil {
		m.topics = map[string]*topic{}
	}
	t, ok := m.topics[name]
	if !ok {
		t = &topic{newest: map[string]int64{}, epochs: map[string]*writer{}}
		m.topics[name] = t
	}
	return t
}

func split(content []byte) (string, []byte) {
	length := int(content[0])
	return string(content[1 : 1+length]), content[1+length:]
}

func number(text string) uint64 {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		// A missing figure counts as 0 in the platform's interface.
		return 0
	}
	return n
}

// discard drops what is written, for answers that are lost.
type discard struct{ http.ResponseWriter }

// Write drops the content.
func (discard) Write(content []byte) (int, error) { return len(content), nil }

// WriteHeader drops the status.
func (discard) WriteHeader(int) {}
