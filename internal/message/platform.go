package message

import (
	"time"

	"bamboohook/resource"
)

// Paths of the platform's HTTP interfaces.
const (
	// PathStreams is followed by the stream name. POST appends a value, and GET with the parameters from and limit
	// reads a stream.Page.
	PathStreams = "/v1/streams/"
	// PathTasks lists the tasks on GET and starts a task on POST. Followed by the identifier of a task and /renew,
	// /checkpoint, /throttle or /stop, it applies to that task.
	PathTasks = "/v1/tasks"
	// PathUsage returns the resource usage of the VM and its tasks.
	PathUsage = "/v1/usage"
	// PathAnnounce receives the Announcement of an endpoint at the agent on the same VM.
	PathAnnounce = "/v1/announce"
)

type (
	// AppendResponse is the response of the log service to an append.
	AppendResponse struct {
		Offset uint64 `json:"offset"`
	}

	// WorkerStart starts a task at the worker. ID is unique for each attempt; repeating a request has no effect.
	WorkerStart struct {
		ID   string `json:"id"`
		Kind string `json:"kind"`
		// Size is the size that is committed for the task, and JobSize the size that its job declares.
		Size         resource.Amount `json:"size"`
		DeclaredSize resource.Amount `json:"job-size,omitzero"`
		RunTime      time.Duration   `json:"run-time"`
		Lease        time.Duration   `json:"lease"`
		Checkpoint   string          `json:"checkpoint,omitempty"`
		Payload      string          `json:"payload,omitempty"`
	}

	// WorkerRenew renews the lease of a task. The new lease starts when the worker receives the request.
	WorkerRenew struct {
		Lease time.Duration `json:"lease"`
	}

	// WorkerThrottle sets the share of its processors that a task may use, from 0 to 1.
	WorkerThrottle struct {
		Share float64 `json:"share"`
	}

	// WorkerTask describes a task at the worker. State is running, done, failed, stopped, or lapsed if its lease expired.
	WorkerTask struct {
		ID         string          `json:"id"`
		Kind       string          `json:"kind"`
		State      string          `json:"state"`
		Size       resource.Amount `json:"size"`
		Progress   float64         `json:"progress"`
		Checkpoint string          `json:"checkpoint,omitempty"`
		Reason     string          `json:"reason,omitempty"`
		Share      float64         `json:"share"`
		// Usage is the measured resource usage of the task, and UsageAge the time since the measurement.
		Usage    resource.Amount `json:"usage"`
		UsageAge time.Duration   `json:"usage-age"`
	}

	// WorkerTasks is the response to a request for the list of tasks, with the capacity of the VM.
	WorkerTasks struct {
		Capacity resource.Amount `json:"capacity"`
		Tasks    []WorkerTask    `json:"tasks"`
	}

	// Announcement is sent by an endpoint to the agent on the same VM every few hundred milliseconds.
	Announcement struct {
		// Address is the IP address and port of the endpoint's HTTP server.
		Address  string    `json:"address"`
		Services []Service `json:"services"`
		// Leaving is true if the endpoint accepts no new requests because it is about to stop.
		Leaving bool `json:"leaving,omitempty"`
	}
)
