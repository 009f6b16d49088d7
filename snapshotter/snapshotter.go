// Package snapshotter splits the snapshot of a state into chunks, which can be appended to a stream, and reassembles the
// snapshot from the chunks.
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

// RecordKind is the Kind of a stream.Record whose body is a Chunk.
const RecordKind = "snapshot"

// Default values of Options.
const (
	// DefaultChunkBytes is small enough that the base64-encoded chunk stays below the appender's batch limit of 512 KiB.
	DefaultChunkBytes = 256 << 10
	DefaultMaxBytes   = 64 << 20
	// DefaultMaxPartialSnapshots is the number of incomplete snapshots whose chunks are stored at the same time.
	DefaultMaxPartialSnapshots = 4
	DefaultRetention           = time.Hour
)

// ErrTooLarge reports a state larger than Options.MaxBytes.
var ErrTooLarge = eris.New("snapshotter: state is too large")

type (
	// Chunk is one part of a snapshot.
	Chunk struct {
		// ID is the unique identifier of the snapshot. Name identifies the state that the snapshot contains.
		ID   string `json:"id"`
		Name string `json:"name"`
		// Offset is the last stream offset that the state includes.
		Offset uint64 `json:"offset"`
		// Index is the position of the chunk in the snapshot, starting at 0. Count is the number of chunks.
		Index int `json:"index"`
		Count int `json:"count"`
		// Hash is the xxhash of the whole state as a hexadecimal string.
		Hash string `json:"hash"`
		Data []byte `json:"data"`
	}

	// Snapshot is an encoded state. Name identifies the state, and Offset is the last stream offset that it includes.
	Snapshot struct {
		ID     string
		Name   string
		Offset uint64
		Data   []byte
	}

	// Options holds the limits of a Snapshotter. A field that is zero takes its default value, except RetentionEntries.
	Options struct {
		// ChunkBytes is the size of all chunks of a snapshot but the last, before base64 encoding. MaxBytes limits the size
		// of a state. MaxPartialSnapshots limits the number of incomplete snapshots whose chunks are stored.
		ChunkBytes          int
		MaxBytes            int
		MaxPartialSnapshots int
		// Retention and RetentionEntries are the age and the number of entries above which the log service removes the
		// oldest entries of a stream. RetentionEntries 0 means that the number of entries is not limited.
		Retention        time.Duration
		RetentionEntries uint64
	}

	// Snapshotter splits snapshots into chunks and reassembles snapshots from the chunks of a stream. It is not safe for
	// concurrent use.
	Snapshotter struct {
		options          Options
		partialSnapshots map[string]*partialSnapshot
		lastSnapshot     Snapshot
		// lastSnapshotTime and lastSnapshotOffset are the time at which the log service appended the first chunk of
		// lastSnapshot, and the offset of that chunk. The offset is 0 if no snapshot has been completed.
		lastSnapshotTime   time.Time
		lastSnapshotOffset uint64
	}

	// partialSnapshot holds the chunks of an incomplete snapshot by index. firstChunk is the chunk that was read first,
	// firstChunkTime the time at which the log service appended it, and firstChunkOffset its offset.
	partialSnapshot struct {
		firstChunk       Chunk
		chunks           map[int][]byte
		totalBytes       int
		firstChunkTime   time.Time
		firstChunkOffset uint64
	}
)

// New returns a Snapshotter without any chunks.
func New(options Options) *Snapshotter {
	setDefault(&options.ChunkBytes, DefaultChunkBytes)
	setDefault(&options.MaxBytes, DefaultMaxBytes)
	setDefault(&options.MaxPartialSnapshots, DefaultMaxPartialSnapshots)
	setDefault(&options.Retention, DefaultRetention)
	return &Snapshotter{options: options, partialSnapshots: map[string]*partialSnapshot{}}
}

// Split splits a snapshot into records of one chunk each. It returns an error that wraps ErrTooLarge if the state is
// larger than Options.MaxBytes.
func (s *Snapshotter) Split(snapshot Snapshot) ([]stream.Record, error) {
	if len(snapshot.Data) > s.options.MaxBytes {
		return nil, eris.Wrapf(ErrTooLarge, "snapshotter: state has %d bytes, the limit is %d", len(snapshot.Data), s.options.MaxBytes)
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

// Add adds a chunk that the log service appended at the given offset and time. If the chunk completes its snapshot and
// the hash matches, Add returns the snapshot and true. If the chunk contradicts earlier chunks of its snapshot or the
// chunks have more than MaxBytes, Add discards the chunks of the snapshot.
func (s *Snapshotter) Add(offset uint64, appendTime time.Time, chunk Chunk) (Snapshot, bool) {
	// Each chunk has at least one byte unless it is the only one, so MaxBytes limits the number of chunks as well.
	if chunk.ID == "" || chunk.Count < 1 || chunk.Count > s.options.MaxBytes || chunk.Index < 0 || chunk.Index >= chunk.Count {
		return Snapshot{}, false
	}
	p := s.partialSnapshots[chunk.ID]
	if p == nil {
		s.evictOldestPartial()
		p = &partialSnapshot{firstChunk: chunk, chunks: map[int][]byte{}, firstChunkTime: appendTime, firstChunkOffset: offset}
		s.partialSnapshots[chunk.ID] = p
	}
	if !p.add(chunk, s.options.MaxBytes) {
		delete(s.partialSnapshots, chunk.ID)
		return Snapshot{}, false
	}
	if len(p.chunks) < chunk.Count {
		return Snapshot{}, false
	}
	delete(s.partialSnapshots, chunk.ID)
	data := make([]byte, 0, p.totalBytes)
	for i := range chunk.Count {
		data = append(data, p.chunks[i]...)
	}
	if hash(data) != chunk.Hash {
		return Snapshot{}, false
	}
	s.lastSnapshot, s.lastSnapshotTime, s.lastSnapshotOffset = Snapshot{chunk.ID, chunk.Name, chunk.Offset, data}, p.firstChunkTime, p.firstChunkOffset
	return s.lastSnapshot, true
}

// Due reports whether a new snapshot should be appended. That is the case if half of the retention limit, by age or by
// number of entries, has passed since the first chunk of the last complete snapshot. now is the current time according
// to the log service, and nextOffset is the offset that the next entry of the stream will get.
func (s *Snapshotter) Due(now time.Time, nextOffset uint64) bool {
	if s.lastSnapshotOffset == 0 {
		// The age of the oldest entry is unknown, so half of the retention period may have passed already. A
		// snapshot is therefore due as soon as the stream has an entry.
		return nextOffset > 1
	}
	if now.Sub(s.lastSnapshotTime) >= s.options.Retention/2 {
		return true
	}
	return s.options.RetentionEntries > 0 && nextOffset-min(nextOffset, s.lastSnapshotOffset) >= s.options.RetentionEntries/2
}

// add stores a chunk. It returns false if the chunk contradicts the first one or the state is larger than maxBytes.
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

// evictOldestPartial discards the incomplete snapshot whose first chunk has the lowest offset if there are already
// MaxPartialSnapshots incomplete ones.
func (s *Snapshotter) evictOldestPartial() {
	if len(s.partialSnapshots) < s.options.MaxPartialSnapshots {
		return
	}
	oldestID := ""
	for id, p := range s.partialSnapshots {
		if oldestID == "" || cmp.Compare(p.firstChunkOffset, s.partialSnapshots[oldestID].firstChunkOffset) < 0 {
			oldestID = id
		}
	}
	delete(s.partialSnapshots, oldestID)
}

func hash(data []byte) string { return strconv.FormatUint(xxhash.Sum64(data), 16) }

func setDefault[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
