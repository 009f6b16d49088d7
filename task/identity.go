// Package task identifies the attempts of batch tasks. An attempt is one execution of a task.
package task

import "strconv"

// Identity names one attempt of a task and the ownership under which the attempt runs. Values can be compared with ==.
type Identity struct {
	Job  string `json:"job"`
	Task int    `json:"task"`
	// Attempt is the number of the attempt. The first attempt of a task has the number 1.
	Attempt int `json:"attempt"`
	Shard   int `json:"shard"`
	// Epoch is the stream offset of the record by which the owner of the shard claimed it. It identifies one ownership
	// of the shard.
	Epoch uint64 `json:"epoch"`
}

// ID returns the identifier under which the worker, the process that runs the tasks on a VM, knows the attempt. The
// epoch is not part of it, because a new owner of the shard continues a running attempt under its own epoch.
func (i Identity) ID() string {
	return i.Job + "/" + strconv.Itoa(i.Task) + "/" + strconv.Itoa(i.Attempt)
}
