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
		options Options
		partial map[string]*partial
		last    Snapshot
		time    time.Time
		// at is the offset of the first chunk of last.
		at uint64
	}

	partial struct {
		first   Chunk
		chunks  map[int][]byte
		bytes   int
		started time.Time
		at      uint64
	}
)

// New returns a Snapshotter that has seen no chunk.
func New(options Options) *Snapshotter {
	setDefault(&options.ChunkBytes, DefaultChunkBytes)
	setDefault(&options.MaxBytes, DefaultMaxBytes)
	setDefault(&options.MaxPartialSnapshots, DefaultMaxPartialSnapshots)
	setDefault(&options.Retention, DefaultRetention)
	return &Snapshotter{options: options, partial: map[string]*partial{}}
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
func (s *Snapshotter) Add(offset uint64, at time.Time, chunk Chunk) (Snapshot, bool) {
	// A chunk holds at least one byte unless it is the only one, so MaxBytes bounds the count as well.
	if chunk.ID == "" || chunk.Count < 1 || chunk.Count > s.options.MaxBytes || chunk.Index < 0 || chunk.Index >= chunk.Count {
		return Snapshot{}, false
	}
	p := s.partial[chunk.ID]
	if p == nil {
		s.makeRoom()
		p = &partial{first: chunk, chunks: map[int][]byte{}, started: at, at: offset}
		s.partial[chunk.ID] = p
	}
	if !p.add(chunk, s.options.MaxBytes) {
		delete(s.partial, chunk.ID)
		return Snapshot{}, false
	}
	if len(p.chunks) < chunk.Count {
		return Snapshot{}, false
	}
	delete(s.partial, chunk.ID)
	data := make([]byte, 0, p.bytes)
	for i := range chunk.Count {
		data = append(data, p.chunks[i]...)
	}
	if hash(data) != chunk.Hash {
		return Snapshot{}, false
	}
	s.last, s.time, s.at = Snapshot{chunk.ID, chunk.Name, chunk.Offset, data}, p.started, p.at
	return s.last, true
}

// Due reports whether the last complete snapshot began half a retention period or more ago, in time or in
// entries. now is compared with log times and next is the next offset of the stream.
func (s *Snapshotter) Due(now time.Time, next uint64) bool {
	if s.at == 0 {
		// Without a snapshot, the stream itself is complete until half of the retention is used, which is only
		// known for the count. Time counts from an unknown point, so a snapshot is due at once.
		return next > 1
	}
	if now.Sub(s.time) >= s.options.Retention/2 {
		return true
	}
	return s.options.RetentionEntries > 0 && next-min(next, s.at) >= s.options.RetentionEntries/2
}

func (p *partial) add(c Chunk, maxBytes int) bool {
	if c.Name != p.first.Name || c.Offset != p.first.Offset || c.Count != p.first.Count || c.Hash != p.first.Hash {
		return false
	}
	if _, known := p.chunks[c.Index]; known {
		return true
	}
	p.chunks[c.Index] = c.Data
	p.bytes += len(c.Data)
	return p.bytes <= maxBytes
}

func (s *Snapshotter) makeRoom() {
	if len(s.partial) < s.options.MaxPartialSnapshots {
		return
	}
	oldest := ""
	for id, p := range s.partial {
		if oldest == "" || cmp.Compare(p.at, s.partial[oldest].at) < 0 {
			oldest = id
		}
	}
	delete(s.partial, oldest)
}

func hash(data []byte) string { return strconv.FormatUint(xxhash.Sum64(data), 16) }

func setDefault[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
