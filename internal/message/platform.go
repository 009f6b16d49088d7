package message

import (
	"time"

	"bamboohook/resource"
)

// Paths of the HTTP interfaces of the platform and, for endpoints, of the agent.
const (
	// PathStreams is the path of the log service. It is followed by the stream name. POST appends a value, and GET with
	// the parameters from and limit reads a stream.Page.
	PathStreams = "/v1/streams/"
	// PathTasks is a path of the worker, the process that runs the tasks on a VM. GET lists the tasks, and POST starts a
	// task. The path of a request that concerns one task continues with the identifier of the task and /renew,
	// /checkpoint, /throttle or /stop.
	PathTasks = "/v1/tasks"
	// PathUsage is the path at which the worker returns the resource usage of the VM and its tasks.
	PathUsage = "/v1/usage"
	// PathAnnounce is the path at which an agent receives the Announcement of an endpoint on the same VM.
	PathAnnounce = "/v1/announce"
)

type (
	// AppendResponse is the response of the log service to an append request. Offset is the offset of the value.
	AppendResponse struct {
		Offset uint64 `json:"offset"`
	}

	// WorkerStart asks the worker, the platform's process that runs the tasks on a VM, to start a task. ID identifies the
	// attempt; a repeated request with the same ID has no effect.
	WorkerStart struct {
		ID string `json:"id"`
		// Kind is the type of work, such as face-build.
		Kind string `json:"kind"`
		// Size is the amount of resources that the agent has committed for the task, and DeclaredSize the size that the job
		// declares for each of its tasks.
		Size         resource.Amount `json:"size"`
		DeclaredSize resource.Amount `json:"job-size,omitzero"`
		RunTime      time.Duration   `json:"run-time"`
		// Lease is the time after which the worker stops the task if the lease is not renewed.
		Lease time.Duration `json:"lease"`
		// Checkpoint is the token of the checkpoint from which the task resumes. It is empty if there is none.
		Checkpoint string `json:"checkpoint,omitempty"`
		Payload    string `json:"payload,omitempty"`
	}

	// WorkerRenew asks the worker to renew the lease of a task. Lease is the duration of the new lease, which starts when
	// the worker receives the request.
	WorkerRenew struct {
		Lease time.Duration `json:"lease"`
	}

	// WorkerThrottle asks the worker to limit the processor usage of a task. Share is the fraction of the processors
	// committed for the task that the task may use, from 0 to 1.
	WorkerThrottle struct {
		Share float64 `json:"share"`
	}

	// WorkerTask is the state of a task at the worker. State is running, done, failed, stopped, or lapsed if the task was
	// stopped because its lease expired. Share is the fraction of the processors committed for the task that the task may
	// use.
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

	// Announcement is the message that an endpoint, a process that provides services, sends to the agent on the same VM
	// every few hundred milliseconds.
	Announcement struct {
		// Address is the IP address and port of the endpoint's HTTP server.
		Address  string    `json:"address"`
		Services []Service `json:"services"`
		// Leaving is true if the endpoint accepts no new requests because it is about to stop.
		Leaving bool `json:"leaving,omitempty"`
	}
)
