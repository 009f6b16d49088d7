package messenger

import "unicode/utf8"

const (
	// maxRunCheckpointBytes and maxResultCheckpointBytes limit the checkpoints of the runs and of the results in a report, as they are encoded. With
	// them and MaxRunsPerVM, a report fits in a frame.
	maxRunCheckpointBytes    = 1 << 20
	maxResultCheckpointBytes = 2 << 20
	// MaxRunsPerVM is the highest number of runs on a VM.
	MaxRunsPerVM = 16_384
	// maxEncodedByteLength is the highest number of bytes that a byte of a text takes in JSON.
	maxEncodedByteLength = 6
)

// LimitCheckpoints removes checkpoints of runs and of results, the last ones first, until the report fits in a message. It returns how many it has
// removed. A removed checkpoint does not replace the one that the owner knows.
func (r *Report) LimitCheckpoints() int {
	removed, size := 0, 0
	for n := range r.Runs {
		if size += encodedLength(r.Runs[n].Checkpoint); size > maxRunCheckpointBytes {
			size -= encodedLength(r.Runs[n].Checkpoint)
			r.Runs[n].Checkpoint = ""
			removed++
		}
	}
	size = 0
	limited := false
	for n := range r.Results {
		if size += encodedLength(r.Results[n].Checkpoint); size <= maxResultCheckpointBytes {
			continue
		}
		if !limited {
			// The caller keeps its results.
			r.Results, limited = append([]RunResult(nil), r.Results...), true
		}
		size -= encodedLength(r.Results[n].Checkpoint)
		r.Results[n].Checkpoint = ""
		removed++
	}
	return removed
}

// encodedLength returns the highest possible length of the text in JSON.
func encodedLength(text string) int {
	length := 0
	for n := range len(text) {
		switch b := text[n]; {
		case b < ' ' || b >= utf8.RuneSelf || b == '<' || b == '>' || b == '&':
			length += maxEncodedByteLength
		case b == '"' || b == '\\':
			length += 2
		default:
			length++
		}
	}
	return length
}
