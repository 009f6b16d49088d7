package configurator

import (
	"encoding/json"

	"bamboohook/stream"
)

// RecordKind is the kind of a stream.Record whose body is a Change.
const RecordKind = "configuration"

// NewRecord returns the change as a record for the stream.
func NewRecord(change Change) stream.Record { return stream.NewRecord(RecordKind, change) }

// Decode returns the changes in a batch. Records of other kinds, malformed ones and changes without
// an identifier are left out; every process leaves out the same ones.
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
