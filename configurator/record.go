package configurator

import (
	"encoding/json"

	"bamboohook/stream"
)

// RecordKind is the Kind of a stream.Record whose body is a Change.
const RecordKind = "configuration"

// NewRecord returns a record of kind RecordKind that contains the encoded change.
func NewRecord(change Change) stream.Record { return stream.NewRecord(RecordKind, change) }

// DecodeChanges returns the changes in a batch. It skips records of other kinds, malformed records and changes
// without an identifier. Which records are skipped depends only on the batch, so all processes skip the same ones.
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
