// Package task identifies the attempts of batch tasks.
package task

import "strconv"

// Identity names one attempt of a task and the ownership under which the attempt runs. Values are comparable.
type Identity struct {
	Job  string `json:"job"`
	Task int    `json:"task"`
	// Attempt counts the attempts of the task from 1.
	Attempt int `json:"attempt"`
	Shard   int `json:"shard"`
	// Epoch is the log offset of the record by which the shard's owner claimed the shard. It identifies one
	// ownership.
	Epoch uint64 `json:"epoch"`
}

// ID returns the identifier under which the worker, the process that runs the tasks on a VM, knows the attempt. The
// epoch is not part of it, because a new owner of the shard continues a running attempt under its own epoch.
func (i Identity) ID() string {
	return i.Job + "/" + strconv.Itoa(i.Task) + "/" + strconv.Itoa(i.Attempt)
}
