package configurator

import (
	"encoding/json"

	"bamboohook/stream"
)

// RecordKind is the Kind of a stream.Record whose body is a Change.
const RecordKind = "configuration"

// NewRecord encodes the change as a record of the stream.
func NewRecord(change Change) stream.Record { return stream.NewRecord(RecordKind, change) }

// DecodeChanges returns the changes in a batch. It skips records of other kinds, malformed records and changes
// without an identifier. All processes skip the same records.
func DecodeChanges(batch stream.Batch) []Change {
	var changes []Change
	for _, r := range batch.Records {
		var c Change
		if r.Kind == RecordKind && json.Unmarshal(r.Body, &c) == nil && c.ID != "" {
			changes = append(changes, c)
		}
	}
	return changes
}
