package bookkeeper

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
)

const (
	// tasksPerBlock is the number of tasks whose progress is in one record. With checkpoints of 4 KiB, which is the most that an agent reports,
	// and with maxKeptFailures it is far smaller than the largest record that a store accepts.
	tasksPerBlock = 16
	// maxKeptFailures is how many failed runs of a task are kept one by one. Only their number is kept of earlier ones.
	maxKeptFailures = 64
	// recordOverhead is about how many bytes a record takes in a request besides its value.
	recordOverhead = 64
)

type (
	// ProgressRecord is a record of a job's progress. Block is the name of a part of the job's tasks, or empty in the record of the job as a whole.
	// An empty Value removes the record.
	ProgressRecord struct {
		Block string
		Value []byte
		// DroppedCheckpoints is how many checkpoints were left out because the record would have been too large.
		DroppedCheckpoints int
	}

	// blockID identifies a block, tasksPerBlock consecutive tasks of an occurrence.
	blockID struct{ occurrence, number int }

	// recordedProgress is what of a job's progress was collected for the store.
	recordedProgress struct {
		// main is the last collected record of the job as a whole, or nil.
		main []byte
		// changed holds the blocks that have changed since they were last collected, the longest changed first. isChanged holds the same blocks.
		changed   []blockID
		isChanged map[blockID]struct{}
		// stored holds the blocks that the store may contain, and whether they must be removed. obsolete holds those that must be.
		stored   map[blockID]bool
		obsolete []blockID
	}
)

// String returns the name of the block, which is part of the key of its record.
func (b blockID) String() string { return strconv.Itoa(b.occurrence) + "." + strconv.Itoa(b.number) }

// parseBlockID parses a name that String returned.
func parseBlockID(name string) (blockID, bool) {
	occurrence, number, _ := strings.Cut(name, ".")
	o, occurrenceErr := strconv.Atoi(occurrence)
	n, numberErr := strconv.Atoi(number)
	return blockID{o, n}, occurrenceErr == nil && numberErr == nil && o >= 0 && n >= 0
}

// hasBlocks reports whether the job has more tasks than fit in one record, so that the progress of its tasks is in records of its own.
func (j *Job) hasBlocks() bool {
	tasks := 0
	for _, s := range j.Steps {
		tasks += s.TaskCount
	}
	return tasks*j.Occurrences > tasksPerBlock
}

// CollectRecords returns the records that have changed since the last call, and whether these are all of them. Further calls return the others. The
// records take at most maxBytes together, unless it is a single one. If nothing has changed, it returns the record of the job as a whole. No record
// is larger than maxRecordBytes, unless that is 0, for which it leaves out checkpoints. Records of blocks come before that of the job, and removals
// of blocks after it, so that the store always contains the progress.
func (j *Job) CollectRecords(maxBytes, maxRecordBytes int) ([]ProgressRecord, bool) {
	var records []ProgressRecord
	p, size := &j.recorded, 0
	add := func(r ProgressRecord) bool {
		size += len(r.Value) + recordOverhead
		if len(records) > 0 && size > maxBytes {
			return false
		}
		records = append(records, r)
		return true
	}
	for ; len(p.changed) > 0; p.changed = p.changed[1:] {
		id := p.changed[0]
		if _, ok := p.isChanged[id]; !ok {
			continue
		}
		if !add(j.encodeBlock(id, maxRecordBytes)) {
			return records, false
		}
		delete(p.isChanged, id)
		p.store(id)
	}
	main, dropped := j.encodeMain(maxRecordBytes)
	if len(records)+len(p.obsolete) == 0 || !bytes.Equal(main, p.main) {
		if !add(ProgressRecord{Value: main, DroppedCheckpoints: dropped}) {
			return records, false
		}
		p.main = main
	}
	for ; len(p.obsolete) > 0; p.obsolete = p.obsolete[1:] {
		if !add(ProgressRecord{Block: p.obsolete[0].String()}) {
			return records, false
		}
		delete(p.stored, p.obsolete[0])
	}
	return records, true
}

// MarkUnrecorded makes CollectRecords return collected records again, because they were not stored.
func (j *Job) MarkUnrecorded(records []ProgressRecord) {
	for _, r := range records {
		id, isBlock := parseBlockID(r.Block)
		switch {
		case !isBlock:
			j.recorded.main = nil
		case len(r.Value) == 0:
			j.recorded.store(id)
			j.recorded.remove(id)
		default:
			j.markBlock(id)
		}
	}
}

// StoredBlocks returns the names of the blocks that the store may contain.
func (j *Job) StoredBlocks() []string {
	var names []string
	for id := range j.recorded.stored {
		names = append(names, id.String())
	}
	return names
}

// changed marks the record with the task's progress as changed.
func (t *Task) changed() {
	j := t.Step.Job
	if j.hasBlocks() {
		j.markBlock(blockID{t.Step.Occurrence, (t.Step.firstTask + t.Index) / tasksPerBlock})
	}
}

// markBlock marks the block as changed, unless the job or the block's occurrence has ended.
func (j *Job) markBlock(id blockID) {
	o := j.openedOccurrences[id.occurrence]
	if !j.Live() || o == nil || o.unfinishedSteps == 0 {
		return
	}
	if _, ok := j.recorded.isChanged[id]; ok {
		return
	}
	if j.recorded.isChanged == nil {
		j.recorded.isChanged = map[blockID]struct{}{}
	}
	j.recorded.isChanged[id] = struct{}{}
	j.recorded.changed = append(j.recorded.changed, id)
}

// dropBlocks makes all blocks obsolete. What they contain follows from the record of the job as a whole.
func (j *Job) dropBlocks() {
	j.recorded.changed, j.recorded.isChanged = nil, nil
	for id := range j.recorded.stored {
		j.recorded.remove(id)
	}
}

// dropBlocks makes the blocks of the finished occurrence obsolete. What they contain follows from the record of the job as a whole.
func (o *occurrence) dropBlocks(p *recordedProgress) {
	for number := range o.countBlocks() {
		id := blockID{o.number, number}
		delete(p.isChanged, id)
		p.remove(id)
	}
}

// countBlocks returns the number of the occurrence's blocks.
func (o *occurrence) countBlocks() int { return (len(o.tasks) + tasksPerBlock - 1) / tasksPerBlock }

// HasUnrecorded reports whether CollectRecords has something to return that the store needs.
func (j *Job) HasUnrecorded() bool {
	return len(j.recorded.isChanged)+len(j.recorded.obsolete) > 0 || !j.Live() && j.visibleState != j.state
}

// remove makes the block obsolete if the store may contain it.
func (p *recordedProgress) remove(id blockID) {
	if isObsolete, ok := p.stored[id]; ok && !isObsolete {
		p.stored[id] = true
		p.obsolete = append(p.obsolete, id)
	}
}

func (p *recordedProgress) store(id blockID) {
	if p.stored == nil {
		p.stored = map[blockID]bool{}
	}
	p.stored[id] = false
}

// blockTasks returns the tasks of the block, or nil if there is no such block.
func (j *Job) blockTasks(id blockID) []*Task {
	o := j.openedOccurrences[id.occurrence]
	if o == nil || id.number > len(o.tasks)/tasksPerBlock {
		return nil
	}
	first := id.number * tasksPerBlock
	return o.tasks[first:min(first+tasksPerBlock, len(o.tasks))]
}

// encodeBlock encodes the progress of the block's tasks.
func (j *Job) encodeBlock(id blockID, maxRecordBytes int) ProgressRecord {
	tasks := j.blockTasks(id)
	value, dropped := encodeWithin(maxRecordBytes, tasks, func(maxCheckpoint int) any { return progressOf(tasks, maxCheckpoint) })
	return ProgressRecord{id.String(), value, dropped}
}

// encodeWithin encodes what build returns. While that is larger than maxRecordBytes, it encodes it again with shorter checkpoints of the tasks only.
// The second result is the number of the checkpoints that were left out.
func encodeWithin(maxRecordBytes int, tasks []*Task, build func(maxCheckpoint int) any) ([]byte, int) {
	longest := 0
	for _, t := range tasks {
		longest = max(longest, len(t.checkpoint))
	}
	for maxCheckpoint := longest; ; maxCheckpoint /= 2 {
		encoded, err := json.Marshal(build(maxCheckpoint))
		if err != nil {
			panic("bookkeeper: cannot encode the progress of a job: " + err.Error())
		}
		if maxRecordBytes > 0 && len(encoded)+recordOverhead > maxRecordBytes && maxCheckpoint > 0 {
			continue
		}
		dropped := 0
		for _, t := range tasks {
			if len(t.checkpoint) > maxCheckpoint && !t.done {
				dropped++
			}
		}
		return encoded, dropped
	}
}
