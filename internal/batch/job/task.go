package job

import (
	"strconv"
	"strings"
)

// Task identifies a task of a job. It is comparable, so it can be the key of a map.
type Task struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the name of the task, under which endpoints run it.
func (t Task) String() string {
	return t.StepName() + "." + strconv.Itoa(t.Index)
}

// StepName returns the name of the task's step in the task's occurrence.
func (t Task) StepName() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step)
}

// ParseTask parses a name that String returned. It returns false if the name has another format.
func ParseTask(name string) (Task, bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 || parts[0] == "" {
		return Task{}, false
	}
	var numbers [3]int
	for n := range numbers {
		v, err := strconv.Atoi(parts[n+1])
		if err != nil || v < 0 {
			return Task{}, false
		}
		numbers[n] = v
	}
	return Task{parts[0], numbers[0], numbers[1], numbers[2]}, true
}
