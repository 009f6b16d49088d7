// Package snapshotter divides a state into chunks for a stream and restores it from them.
package snapshotter

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"bamboohook/stream"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// RecordKind is the kind of a stream.Record whose body is a Chunk.
const RecordKind = "snapshot"

// Defaults of Options.
const (
	// DefaultChunkBytes gives, after base64 encoding, a record below the appender's batch limit of 512 KiB.
	DefaultChunkBytes = 256 << 10
	DefaultMaxBytes   = 64 << 20
	// DefaultMaxPartial bounds the snapshots that are being collected at the same time.
	DefaultMaxPartialSnapshots = 4
	DefaultRetention           = time.Hour
)

// ErrTooLarge reports a state beyond Options.MaxBytes.
var ErrTooLarge = eris.New("snapshotter: state is too large")

type (
	// Chunk is one part of a snapshot.
	Chunk struct {
		// ID identifies the snapshot; it is unique. Name says what state it holds.
		ID   string `json:"id"`
		Name string `json:"name"`
		// Offset is the last stream offset that the state includes.
		Offset uint64 `json:"offset"`
		Index  int    `json:"index"`
		Count  int    `json:"count"`
		// Hash is the xxhash of the whole state in hexadecimal.
		Hash string `json:"hash"`
		Data []byte `json:"data"`
	}

	// Snapshot is a complete state.
	Snapshot struct {
		ID     string
		Name   string
		Offset uint64
		Data   []byte
	}

	// Options are the bounds of a Snapshotter. A zero field means its default.
	Options struct {
		ChunkBytes          int
		MaxBytes            int
		MaxPartialSnapshots int
		// Retention and RetentionEntries are those of the log service; RetentionEntries 0 means no bound.
		Retention        time.Duration
		RetentionEntries uint64
	}

	// Snapshotter collects the chunks of a stream. It is not safe for concurrent use.
	Snapshotter struct {
		options  Options
		partials map[string]*partialSnapshot
		last     Snapshot
		lastTime time.Time
		// at is the offset of the first chunk of last.
		lastOffset uint64
	}

	partialSnapshot struct {
		firstChunk  Chunk
		chunks      map[int][]byte
		totalBytes  int
		firstTime   time.Time
		firstOffset uint64
	}
)

// New returns a Snapshotter that has seen no chunk.
func New(options Options) *Snapshotter {
	setDefault(&options.ChunkBytes, DefaultChunkBytes)
	setDefault(&options.MaxBytes, DefaultMaxBytes)
	setDefault(&options.MaxPartialSnapshots, DefaultMaxPartialSnapshots)
	setDefault(&options.Retention, DefaultRetention)
	return &Snapshotter{options: options, partials: map[string]*partialSnapshot{}}
}

// Split returns the records of a snapshot. It returns ErrTooLarge and no records if data exceeds the bound.
func (s *Snapshotter) Split(snapshot Snapshot) ([]stream.Record, error) {
	if len(snapshot.Data) > s.options.MaxBytes {
		return nil, eris.Wrapf(ErrTooLarge, "snapshotter: %d bytes, at most %d are allowed", len(snapshot.Data), s.options.MaxBytes)
	}
	parts := slices.Collect(slices.Chunk(snapshot.Data, s.options.ChunkBytes))
	if len(parts) == 0 {
		parts = [][]byte{{}}
	}
	records := make([]stream.Record, 0, len(parts))
	for i, part := range parts {
		records = append(records, stream.NewRecord(RecordKind, Chunk{
			ID: snapshot.ID, Name: snapshot.Name, Offset: snapshot.Offset,
			Index: i, Count: len(parts), Hash: hash(snapshot.Data), Data: part,
		}))
	}
	return records, nil
}

// Add takes a chunk read at a stream offset and log time. It returns the snapshot when all its chunks are
// present and the hash matches. Inconsistent chunks discard their snapshot.
func (s *Snapshotter) Add(offset uint64, logTime time.Time, chunk Chunk) (Snapshot, bool) {
	// A chunk holds at least one byte unless it is the only one, so MaxBytes bounds the count as well.
	if chunk.ID == "" || chunk.Count < 1 || chunk.Count > s.options.MaxBytes || chunk.Index < 0 || chunk.Index >= chunk.Count {
		return Snapshot{}, false
	}
	p := s.partials[chunk.ID]
	if p == nil {
		s.evictOldestPartial()
		p = &partialSnapshot{firstChunk: chunk, chunks: map[int][]byte{}, firstTime: logTime, firstOffset: offset}
		s.partials[chunk.ID] = p
	}
	if !p.add(chunk, s.options.MaxBytes) {
		delete(s.partials, chunk.ID)
		return Snapshot{}, false
	}
	if len(p.chunks) < chunk.Count {
		return Snapshot{}, false
	}
	delete(s.partials, chunk.ID)
	data := make([]byte, 0, p.totalBytes)
	for i := range chunk.Count {
		data = append(data, p.chunks[i]...)
	}
	if hash(data) != chunk.Hash {
		return Snapshot{}, false
	}
	s.last, s.lastTime, s.lastOffset = Snapshot{chunk.ID, chunk.Name, chunk.Offset, data}, p.firstTime, p.firstOffset
	return s.last, true
}

// Due reports whether the last complete snapshot began half a retention period or more ago, in time or in
// entries. now is compared with log times and next is the next offset of the stream.
func (s *Snapshotter) Due(now time.Time, nextOffset uint64) bool {
	if s.lastOffset == 0 {
		// Without a snapshot, the stream itself is complete until half of the retention is used, which is only
		// known for the count. Time counts from an unknown point, so a snapshot is due at once.
		return nextOffset > 1
	}
	if now.Sub(s.lastTime) >= s.options.Retention/2 {
		return true
	}
	return s.options.RetentionEntries > 0 && nextOffset-min(nextOffset, s.lastOffset) >= s.options.RetentionEntries/2
}

func (p *partialSnapshot) add(c Chunk, maxBytes int) bool {
	if c.Name != p.firstChunk.Name || c.Offset != p.firstChunk.Offset || c.Count != p.firstChunk.Count || c.Hash != p.firstChunk.Hash {
		return false
	}
	if _, known := p.chunks[c.Index]; known {
		return true
	}
	p.chunks[c.Index] = c.Data
	p.totalBytes += len(c.Data)
	return p.totalBytes <= maxBytes
}

func (s *Snapshotter) evictOldestPartial() {
	if len(s.partials) < s.options.MaxPartialSnapshots {
		return
	}
	oldest := ""
	for id, p := range s.partials {
		if oldest == "" || cmp.Compare(p.firstOffset, s.partials[oldest].firstOffset) < 0 {
			oldest = id
		}
	}
	delete(s.partials, oldest)
}

func hash(data []byte) string { return strconv.FormatUint(xxhash.Sum64(data), 16) }

func setDefault[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
