package job

import (
	"strconv"
	"strings"
)

// Task identifies a task of a job. Its values are comparable, so it can be a map key.
type Task struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the name of the task, as endpoints know it.
func (t Task) String() string {
	return t.StepName() + "." + strconv.Itoa(t.Index)
}

// StepName returns the name of the step that the task belongs to.
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
