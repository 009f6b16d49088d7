// Package message defines the messages that the processes exchange with each other, with callers and operators and with
// the platform. JSON keys are in kebab case. The types have no methods and are not validated here; the receivers of the
// messages check their values.
//
// An entry is a process that serves the callers of a region. An agent is a process on a VM that starts the tasks of
// batch jobs at the worker, the platform's process that runs the tasks on the VM, and passes requests to the endpoints,
// which are the processes on the VM that provide services. The jobs of a region are divided into shards. An entry
// becomes the owner of a shard by a claim, and the epoch identifies this ownership. An attempt is one execution of a
// task. An agent may run an attempt only while it has a lease from the owner of the shard.
package message

import (
	"time"

	"bamboohook/resource"
	"bamboohook/task"
)

// Methods of the peer protocol.
const (
	MethodHeartbeat     = "entry.heartbeat"
	MethodPresence      = "entry.peer"
	MethodStopGranting  = "entry.stopped"
	MethodConfiguration = "entry.configuration"
	MethodStart         = "agent.start"
	MethodStop          = "agent.stop"
	MethodCheckpoint    = "agent.checkpoint"
	MethodThrottle      = "agent.throttle"
	MethodIssueKey      = "agent.key"
	MethodEvents        = "process.events"
)

// States of a VM in a Heartbeat and of an entry in a Presence.
const (
	StateUp       = "up"
	StateDraining = "draining"
)

// States of a task in a TaskReport.
const (
	TaskRunning      = "running"
	TaskDone         = "done"
	TaskFailed       = "failed"
	TaskStopped      = "stopped"
	TaskCheckpointed = "checkpointed"
)

type (
	// Service describes a service of an endpoint, which is a process on a VM that executes requests, and its load.
	Service struct {
		Name string `json:"name"`
		// Slots is the number of requests that the endpoint can process at the same time, for all its services together.
		// Connections is the number of connections that the endpoint accepts.
		Slots       int `json:"slots"`
		Connections int `json:"connections"`
		// InFlight and Queued are the numbers of running and of queued requests of this service.
		InFlight int `json:"in-flight"`
		Queued   int `json:"queued"`
		// Latency is the median response time of the endpoint over the last seconds, and LatencyAge the time since that
		// measurement. Latency is 0 if there were no requests.
		Latency    time.Duration `json:"latency,omitempty"`
		LatencyAge time.Duration `json:"latency-age,omitempty"`
	}

	// Heartbeat is the message by which an agent reports the state of its VM to an entry and requests the renewal of the
	// leases of its tasks.
	Heartbeat struct {
		VM string `json:"vm"`
		// Generation identifies one run of the agent; it changes with every start of the agent. Sequence numbers the
		// heartbeats of the agent.
		Generation string `json:"generation"`
		Sequence   uint64 `json:"sequence"`
		DataCentre string `json:"data-centre"`
		Rack       string `json:"rack"`
		// State is StateUp or StateDraining.
		State string `json:"state"`
		// PeerAddress and RequestAddress are the IP addresses and ports on which the agent listens.
		PeerAddress    string    `json:"peer-address"`
		RequestAddress string    `json:"request-address"`
		Services       []Service `json:"services,omitempty"`
		// Capacity is the amount of resources of the VM, and Committed the part that the agent has committed for tasks.
		Capacity  resource.Amount `json:"capacity"`
		Committed resource.Amount `json:"committed"`
		// Revision is the revision of the configuration that the agent uses.
		Revision uint64       `json:"revision"`
		Tasks    []TaskReport `json:"tasks,omitempty"`
	}

	// TaskReport is the state of one attempt, an execution of a task, on a VM.
	TaskReport struct {
		task.Identity
		// State is one of TaskRunning, TaskDone, TaskFailed, TaskStopped and TaskCheckpointed.
		State string `json:"state"`
		// Checkpoint is the token of the last checkpoint, from which a later attempt can resume. It is empty if there is no
		// checkpoint.
		Checkpoint string `json:"checkpoint,omitempty"`
		Reason     string `json:"reason,omitempty"`
		// Progress is the completed fraction of the task, from 0 to 1.
		Progress float64 `json:"progress"`
		// Usage is the measured resource usage of the task, and UsageAge the time since the measurement.
		Usage    resource.Amount `json:"usage"`
		UsageAge time.Duration   `json:"usage-age"`
		// Share is the fraction of the processors committed for the task that the task may use, from 0 to 1. It is less than
		// 1 while the task is throttled, and 0 if it is unknown.
		Share float64 `json:"share,omitempty"`
	}

	// HeartbeatResponse is the response of an entry to a Heartbeat.
	HeartbeatResponse struct {
		// EntryAddresses are the IP addresses and ports of all entries that the responding entry knows.
		EntryAddresses []string `json:"entries"`
		// Revision is the revision of the responding entry's configuration.
		Revision uint64 `json:"revision"`
		// Leases are the renewed leases of tasks whose jobs belong to shards that the entry owns.
		Leases []Lease `json:"leases,omitempty"`
		// ConfirmedAttempts are the finished attempts whose outcome the log service has stored. The agent stops reporting
		// them.
		ConfirmedAttempts []task.Identity `json:"confirmed,omitempty"`
	}

	// Lease permits an agent to run one attempt. Duration counts from the time at which the agent sent the heartbeat that
	// the entry answers with the lease, or, in a StartRequest, the heartbeat with the request's Sequence.
	Lease struct {
		task.Identity
		Duration time.Duration `json:"length"`
		// Outage is true for an outage lease, a longer lease that an entry grants while it cannot reach the log service.
		Outage bool `json:"hold,omitempty"`
	}

	// StartRequest asks an agent to admit and start one attempt.
	StartRequest struct {
		Lease
		// Generation is the Generation in the last heartbeat that the entry received from the agent. An agent that was
		// restarted since has another Generation and rejects the request.
		Generation string `json:"generation"`
		// Sequence is the sequence number of the last heartbeat that the entry received from the agent. The lease starts at
		// the time at which the agent sent that heartbeat, so a delay of the request does not extend the lease.
		Sequence uint64 `json:"sequence"`
		// Kind is the type of work, such as face-build.
		Kind string `json:"kind"`
		Team string `json:"team"`
		// Size is the amount of resources that the agent commits for the task. It differs from DeclaredSize if the entry
		// has estimated another size.
		Size resource.Amount `json:"declared"`
		// DeclaredSize is the size that the job declares for each of its tasks.
		DeclaredSize resource.Amount `json:"job-size"`
		// RunTime is the run time that the job declares for each of its tasks.
		RunTime time.Duration `json:"run-time"`
		// Checkpoint is the token of the checkpoint from which the attempt resumes. It is empty if there is none.
		Checkpoint string `json:"checkpoint,omitempty"`
		// Payload is the input of the task, which the agent passes to the worker unchanged.
		Payload string `json:"payload,omitempty"`
	}

	// StartResponse is the response to a StartRequest. Started is also true if the attempt was running already.
	StartResponse struct {
		Started bool   `json:"started"`
		Reason  string `json:"reason,omitempty"`
	}

	// TaskCommand asks an agent to stop, checkpoint or throttle one attempt.
	TaskCommand struct {
		task.Identity
		// Generation is the Generation in the last heartbeat that the sender received from the agent. An agent that was
		// restarted since has another Generation and rejects the command.
		Generation string `json:"generation"`
		// Share is used only by MethodThrottle. It is the fraction of the processors committed for the task that the task
		// may use, from 0 to 1.
		Share float64 `json:"share,omitempty"`
	}

	// TaskCommandResponse tells whether a TaskCommand took effect. Report is the resulting state of the attempt.
	TaskCommandResponse struct {
		Accepted bool       `json:"accepted"`
		Reason   string     `json:"reason,omitempty"`
		Report   TaskReport `json:"report"`
	}

	// KeyRequest asks an agent to issue a key for one non-idempotent request. By the key, the agent recognises a repeated
	// request and does not run it again.
	KeyRequest struct {
		Service string `json:"service"`
	}

	// KeyResponse is the response to a KeyRequest. If the agent rejects the request, Key is empty and Reason is set.
	KeyResponse struct {
		Key    string `json:"key"`
		Reason string `json:"reason,omitempty"`
	}

	// Presence is the message by which an entry announces itself to another entry.
	Presence struct {
		// Entry is the name of the entry. Generation identifies one run of the entry; it changes with every start.
		Entry      string `json:"entry"`
		Generation string `json:"generation"`
		Region     string `json:"region"`
		DataCentre string `json:"data-centre"`
		// Address is the IP address and port on which the entry listens for calls of other processes.
		Address string `json:"address"`
		// Revision is the revision of the entry's configuration.
		Revision uint64 `json:"revision"`
		// State is StateUp or StateDraining.
		State string `json:"state"`
		// CompleteStreams are the names of the streams of which the entry knows the complete state up to their ends.
		CompleteStreams []string `json:"complete,omitempty"`
	}

	// PresenceResponse is the response to a Presence. It contains the Presence of the responding entry and the addresses
	// of the entries that the responding entry knows.
	PresenceResponse struct {
		Presence
		EntryAddresses []string `json:"entries"`
	}

	// StopGrantingRequest asks an entry to stop granting leases for a shard that it owned before. Epoch identifies that
	// ownership: it is the offset of the entry's claim of the shard in the stream.
	StopGrantingRequest struct {
		Shard int    `json:"shard"`
		Epoch uint64 `json:"epoch"`
	}

	// StopGrantingResponse confirms that the entry grants no more leases for the shard and epoch of the request. An outage
	// lease is a longer lease that an entry grants while it cannot reach the log service. OutageLeases maps each VM that
	// has an outage lease of that epoch to the time for which the VM's outage leases may still run.
	StopGrantingResponse struct {
		OutageLeases map[string]time.Duration `json:"holds,omitempty"`
	}

	// ConfigurationRequest asks for the configuration if its revision is higher than SinceRevision.
	ConfigurationRequest struct {
		SinceRevision uint64 `json:"since"`
		// VM limits the returned sections to those that apply to the named VM. If it is empty, all sections are returned.
		VM string `json:"vm,omitempty"`
	}

	// ConfigurationState is a configuration. Revision is the number of accepted changes, and Offset the last offset of the
	// configuration stream that the configuration includes.
	ConfigurationState struct {
		Revision uint64 `json:"revision"`
		Offset   uint64 `json:"offset"`
		// Hash is the xxhash of all sections of the configuration, taken in sorted order, as a hexadecimal string.
		Hash string `json:"hash"`
		// Sections maps section names of the configuration to the keys and values of the sections. It is nil if
		// ConfigurationRequest.SinceRevision is the current revision.
		Sections map[string]map[string]string `json:"sections,omitempty"`
	}

	// EventsRequest asks a process for its recorded events with sequence numbers greater than AfterSequence.
	EventsRequest struct {
		AfterSequence uint64 `json:"above"`
	}

	// EventsResponse holds the events of a process in the order of their sequence numbers.
	EventsResponse struct {
		Process string  `json:"process"`
		Events  []Event `json:"events"`
	}

	// Event is one recorded event of a process. Nanoseconds and Counter are a timestamp of a hybrid logical clock:
	// Nanoseconds is the Unix time, and Counter orders timestamps with equal Nanoseconds.
	Event struct {
		Process     string            `json:"process"`
		Sequence    uint64            `json:"sequence"`
		Nanoseconds int64             `json:"stamp"`
		Counter     uint32            `json:"counter"`
		Kind        string            `json:"kind"`
		Subject     string            `json:"subject,omitempty"`
		Details     map[string]string `json:"details,omitempty"`
	}
)
