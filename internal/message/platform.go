package message

import (
	"time"

	"bamboohook/resource"
)

// Paths of the platform's HTTP interfaces.
const (
	// PathStreams is followed by the stream name; POST appends and GET with from and limit reads a stream.Page.
	PathStreams = "/v1/streams/"
	// PathTasks lists tasks on GET and starts one on POST; followed by an id and /renew, /checkpoint,
	// /throttle or /stop it acts on one task.
	PathTasks = "/v1/tasks"
	// PathUsage reports the usage of the VM and its tasks.
	PathUsage = "/v1/usage"
	// PathAnnounce is where an endpoint announces its services to the agent beside it.
	PathAnnounce = "/v1/announce"
)

type (
	// LogAppended is the answer to an append.
	AppendResponse struct {
		Offset uint64 `json:"offset"`
	}

	// WorkerStart starts a task at the worker. ID is unique for each attempt; a repeat is accepted without effect.
	WorkerStart struct {
		ID   string `json:"id"`
		Kind string `json:"kind"`
		// Size is committed for the task, and JobSize declared by its job.
		Size       resource.Amount `json:"size"`
		JobSize    resource.Amount `json:"job-size,omitzero"`
		RunTime    time.Duration   `json:"run-time"`
		Lease      time.Duration   `json:"lease"`
		Checkpoint string          `json:"checkpoint,omitempty"`
		Payload    string          `json:"payload,omitempty"`
	}

	// WorkerRenew extends the lease of a task, counted from the receipt of the call.
	WorkerRenew struct {
		Lease time.Duration `json:"lease"`
	}

	// WorkerThrottle sets the share of its processors that a task keeps, from 0 to 1.
	WorkerThrottle struct {
		Share float64 `json:"share"`
	}

	// WorkerTask is the state of a task at the worker: running, done, failed, stopped or lapsed.
	WorkerTask struct {
		ID         string          `json:"id"`
		Kind       string          `json:"kind"`
		State      string          `json:"state"`
		Size       resource.Amount `json:"size"`
		Progress   float64         `json:"progress"`
		Checkpoint string          `json:"checkpoint,omitempty"`
		Reason     string          `json:"reason,omitempty"`
		Share      float64         `json:"share"`
		// Usage was measured UsageAge ago.
		Usage    resource.Amount `json:"usage"`
		UsageAge time.Duration   `json:"usage-age"`
	}

	// WorkerList is the answer to a list of tasks, with the VM's capacity.
	WorkerTasks struct {
		Capacity resource.Amount `json:"capacity"`
		Tasks    []WorkerTask    `json:"tasks"`
	}

	// Announcement is sent by an endpoint to the agent beside it every few hundred milliseconds.
	Announcement struct {
		// Address is the IP address and port of the endpoint's HTTP server.
		Address  string    `json:"address"`
		Services []Service `json:"services"`
		// Leaving is true when the endpoint wants no new requests.
		Leaving bool `json:"leaving,omitempty"`
	}
)
