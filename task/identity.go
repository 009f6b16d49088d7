// Package task identifies the attempts of batch tasks.
package task

import "strconv"

// Identity names one attempt of a task and the shard claim under which the attempt runs. Values are comparable.
type Identity struct {
	Job     string `json:"job"`
	Task    int    `json:"task"`
	Attempt int    `json:"attempt"`
	Shard   int    `json:"shard"`
	// Epoch is the log offset of the record by which the owner claimed the shard.
	Epoch uint64 `json:"epoch"`
}

// ID returns the identifier under which the worker knows the attempt. The epoch is not part of it, because a new
// owner of the shard adopts a running attempt under its own epoch.
func (i Identity) ID() string {
	return i.Job + "/" + strconv.Itoa(i.Task) + "/" + strconv.Itoa(i.Attempt)
}
