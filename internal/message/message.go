// Package message defines the messages that the processes exchange with each other, with callers and operators and with
// the platform. JSON keys are in kebab case. The types have no methods and are not validated here; the receivers of the
// messages check their values.
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
	MethodKey           = "agent.key"
	MethodEvents        = "process.events"
)

// States of a VM in a heartbeat.
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
	// Service is a service of the endpoint on a VM, with its load.
	Service struct {
		Name string `json:"name"`
		// Slots is the number of requests that the endpoint processes at the same time, for all its services together.
		// Connections is the number of connections that it accepts.
		Slots       int `json:"slots"`
		Connections int `json:"connections"`
		// InFlight and Queued are the numbers of running and queued requests of this service when the message is sent.
		InFlight int `json:"in-flight"`
		Queued   int `json:"queued"`
		// Latency is the median response time of the endpoint over the last seconds, and LatencyAge the time since it
		// was measured. Latency is 0 if there were no requests.
		Latency    time.Duration `json:"latency,omitempty"`
		LatencyAge time.Duration `json:"latency-age,omitempty"`
	}

	// Heartbeat announces a VM to an entry and requests the renewal of the leases of its tasks.
	Heartbeat struct {
		VM         string `json:"vm"`
		Generation string `json:"generation"`
		Sequence   uint64 `json:"sequence"`
		DataCentre string `json:"data-centre"`
		Rack       string `json:"rack"`
		State      string `json:"state"`
		// PeerAddress and RequestAddress are the IP addresses and ports on which the agent listens.
		PeerAddress    string          `json:"peer-address"`
		RequestAddress string          `json:"request-address"`
		Services       []Service       `json:"services,omitempty"`
		Capacity       resource.Amount `json:"capacity"`
		Committed      resource.Amount `json:"committed"`
		Revision       uint64          `json:"revision"`
		Tasks          []TaskReport    `json:"tasks,omitempty"`
	}

	// TaskReport is the state of one task attempt on a VM.
	TaskReport struct {
		task.Identity
		// State is one of TaskRunning, TaskDone, TaskFailed, TaskStopped and TaskCheckpointed.
		State string `json:"state"`
		// Checkpoint is the token from which a later attempt can resume. It is empty if there is no checkpoint.
		Checkpoint string `json:"checkpoint,omitempty"`
		Reason     string `json:"reason,omitempty"`
		// Progress is the completed share, from 0 to 1.
		Progress float64 `json:"progress"`
		// Usage is the resource usage that the worker measured, and UsageAge the time since the measurement.
		Usage    resource.Amount `json:"usage"`
		UsageAge time.Duration   `json:"usage-age"`
		// Share is the share of its processors that a throttled task may use, as reported by the worker; 0 if unknown.
		Share float64 `json:"share,omitempty"`
	}

	// HeartbeatResponse is the response of an entry to a Heartbeat.
	HeartbeatResponse struct {
		// EntryAddresses are the peer addresses of all entries that the entry knows.
		EntryAddresses []string `json:"entries"`
		Revision       uint64   `json:"revision"`
		// Leases are the renewed leases of tasks in shards that the entry owns.
		Leases []Lease `json:"leases,omitempty"`
		// ConfirmedAttempts are the finished attempts whose outcome is recorded in the log. The agent stops reporting them.
		ConfirmedAttempts []task.Identity `json:"confirmed,omitempty"`
	}

	// Lease permits an agent to run one attempt for Duration. The time starts when the agent sent the request for the lease.
	Lease struct {
		task.Identity
		Duration time.Duration `json:"length"`
		// Outage is true for a lease that was granted while the log service was unavailable.
		Outage bool `json:"hold,omitempty"`
	}

	// StartRequest asks an agent to admit and start one attempt.
	StartRequest struct {
		Lease
		// Generation is the last agent generation that the entry knows. An agent of another generation rejects the request.
		Generation string `json:"generation"`
		// Sequence is the sequence number of the last heartbeat that the entry received from the agent. The lease starts
		// when the agent sent that heartbeat, so the lease of a delayed request has expired when the request arrives.
		Sequence uint64 `json:"sequence"`
		Kind     string `json:"kind"`
		Team     string `json:"team"`
		// Size is the size for which the agent commits resources. The shard's owner may have corrected it.
		Size resource.Amount `json:"declared"`
		// JobSize is the size that the job declares.
		DeclaredSize resource.Amount `json:"job-size"`
		// RunTime is the run time that the job declares.
		RunTime    time.Duration `json:"run-time"`
		Checkpoint string        `json:"checkpoint,omitempty"`
		// Payload is passed to the worker unchanged.
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
		Generation string `json:"generation"`
		// Share is the share of its processors that a throttled task may use, from 0 to 1.
		Share float64 `json:"share,omitempty"`
	}

	// TaskCommandResponse tells whether a TaskCommand took effect. Report is the resulting state of the attempt.
	TaskCommandResponse struct {
		Accepted bool       `json:"accepted"`
		Reason   string     `json:"reason,omitempty"`
		Report   TaskReport `json:"report"`
	}

	// KeyRequest asks an agent to issue a key for one non-idempotent request.
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
		Entry      string `json:"entry"`
		Generation string `json:"generation"`
		Region     string `json:"region"`
		DataCentre string `json:"data-centre"`
		Address    string `json:"address"`
		Revision   uint64 `json:"revision"`
		State      string `json:"state"`
		// CompleteStreams are the names of the streams that the entry has read to their end with a complete state.
		CompleteStreams []string `json:"complete,omitempty"`
	}

	// PresenceResponse is the response to a Presence: that of the receiver, and the addresses of the entries that the
	// receiver knows.
	PresenceResponse struct {
		Presence
		EntryAddresses []string `json:"entries"`
	}

	// StopGrantingRequest asks an entry to confirm that it grants no more leases for a shard in an epoch.
	StopGrantingRequest struct {
		Shard int    `json:"shard"`
		Epoch uint64 `json:"epoch"`
	}

	// StopGrantingResponse is the response to a StopGrantingRequest. OutageLeases maps each VM that has an outage lease
	// of that epoch to the remaining time of the lease.
	StopGrantingResponse struct {
		OutageLeases map[string]time.Duration `json:"holds,omitempty"`
	}

	// ConfigurationRequest asks for the configuration if its revision is higher than SinceRevision.
	ConfigurationRequest struct {
		SinceRevision uint64 `json:"since"`
		// VM limits the sections to those that apply to one VM. If it is empty, all sections are returned.
		VM string `json:"vm,omitempty"`
	}

	// ConfigurationState is a configuration with its offset in the log.
	ConfigurationState struct {
		Revision uint64 `json:"revision"`
		Offset   uint64 `json:"offset"`
		// Hash is the xxhash of the sections, taken in sorted order, as a hexadecimal string.
		Hash string `json:"hash"`
		// Sections maps section names of the inventory to the keys and values of the sections. It is nil if
		// ConfigurationRequest.SinceRevision was the current revision.
		Sections map[string]map[string]string `json:"sections,omitempty"`
	}

	// EventsRequest asks for the events of a process with sequence numbers greater than AfterSequence.
	EventsRequest struct {
		AfterSequence uint64 `json:"above"`
	}

	// EventsResponse holds the events of a process in the order of their sequence numbers.
	EventsResponse struct {
		Process string  `json:"process"`
		Events  []Event `json:"events"`
	}

	// Event is one event of the timeline. Timestamp and Counter are a timestamp of a hybrid logical clock: the Unix
	// time in nanoseconds, and the order of events with equal nanoseconds.
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
