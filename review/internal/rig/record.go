package rig

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"
)

type (
	// Record writes down what was sent, answered and run, with the time since it was created. It is safe for concurrent use.
	Record struct {
		mutex     sync.Mutex
		writer    io.Writer
		startedAt time.Time
		events    []Event
	}

	// Event is the start or the end of a run.
	Event struct {
		At     time.Time
		Worker string
		// Kind is "start", or how the run ended.
		Kind, Task string
		Run        int
	}
)

// NewRecord returns a record that writes to w.
func NewRecord(w io.Writer) *Record { return &Record{writer: w, startedAt: time.Now()} }

// Printf writes a line.
func (r *Record) Printf(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.print(fmt.Sprintf(format, values...))
}

// Event records and writes the start or the end of a run.
func (r *Record) Event(worker, kind, task string, number int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.events = append(r.events, Event{time.Now(), worker, kind, task, number})
	r.print(fmt.Sprintf("worker %s: %s %s run %d", worker, kind, task, number))
}

// Events returns the events of all tasks of a job.
func (r *Record) Events(job string) []Event {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var found []Event
	for _, e := range r.events {
		if strings.HasPrefix(e.Task, job+".") {
			found = append(found, e)
		}
	}
	return found
}

func (r *Record) print(line string) {
	_, _ = fmt.Fprintf(r.writer, "%9.3f %s\n", time.Since(r.startedAt).Seconds(), line)
}
