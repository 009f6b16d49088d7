// Package message defines the messages between the processes and the records in the log. Keys are in
// kebab case. All types are plain values without behaviour; receivers check them for their bounds.
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

// States of a task in a report.
const (
	TaskRunning      = "running"
	TaskDone         = "done"
	TaskFailed       = "failed"
	TaskStopped      = "stopped"
	TaskCheckpointed = "checkpointed"
)

type (
	// Service is one service of the endpoint of a VM, with its load.
	Service struct {
		Name string `json:"name"`
		// Slots is how many requests the endpoint serves at once, over all its services; Connections how many it accepts.
		Slots       int `json:"slots"`
		Connections int `json:"connections"`
		// InFlight and Queued count requests of this service at the moment of sending.
		InFlight int `json:"in-flight"`
		Queued   int `json:"queued"`
		// Latency is the median time until the endpoint answered in the last seconds, measured LatencyAge ago; zero
		// without requests.
		Latency    time.Duration `json:"latency,omitempty"`
		LatencyAge time.Duration `json:"latency-age,omitempty"`
	}

	// Heartbeat announces a VM to an entry and renews the leases of its tasks.
	Heartbeat struct {
		VM         string `json:"vm"`
		Generation string `json:"generation"`
		Sequence   uint64 `json:"sequence"`
		DataCentre string `json:"data-centre"`
		Rack       string `json:"rack"`
		State      string `json:"state"`
		// PeerAddress and RequestAddress are IP address and port of the agent's listeners.
		PeerAddress    string          `json:"peer-address"`
		RequestAddress string          `json:"request-address"`
		Services       []Service       `json:"services,omitempty"`
		Capacity       resource.Amount `json:"capacity"`
		Committed      resource.Amount `json:"committed"`
		Revision       uint64          `json:"revision"`
		Tasks          []TaskReport    `json:"tasks,omitempty"`
	}

	// TaskReport is the state of one task attempt at an agent.
	TaskReport struct {
		task.Identity
		// State is one of running, done, failed, stopped or checkpointed.
		State string `json:"state"`
		// Checkpoint is the token from which a later attempt resumes; empty without one.
		Checkpoint string `json:"checkpoint,omitempty"`
		Reason     string `json:"reason,omitempty"`
		// Progress is the completed share, from 0 to 1.
		Progress float64 `json:"progress"`
		// Usage is what the worker measured; it lags by UsageAge.
		Usage    resource.Amount `json:"usage"`
		UsageAge time.Duration   `json:"usage-age"`
		// Share is the share of its processors that a running task keeps, as the worker shows it; zero if unknown.
		Share float64 `json:"share,omitempty"`
	}

	// HeartbeatAnswer is what an entry returns to an agent.
	HeartbeatResponse struct {
		// Entries are the peer addresses of all entries that the entry knows.
		EntryAddresses []string `json:"entries"`
		Revision       uint64   `json:"revision"`
		// Leases are the renewals for tasks of shards that this entry owns.
		Leases []Lease `json:"leases,omitempty"`
		// Confirmed lists finished attempts whose outcome is recorded; the agent forgets them.
		ConfirmedAttempts []task.Identity `json:"confirmed,omitempty"`
	}

	// Lease is the right to run one attempt for Length, counted by the agent from the moment that it sent the request.
	Lease struct {
		task.Identity
		Duration time.Duration `json:"length"`
		// Hold marks a lease granted without log contact.
		Outage bool `json:"hold,omitempty"`
	}

	// Start asks an agent to admit and start one attempt.
	StartRequest struct {
		Lease
		// Generation is the agent generation that the entry last saw; another generation refuses the call.
		Generation string `json:"generation"`
		// Sequence is that of the heartbeat that the entry last got from the agent. The agent counts the
		// lease from when it sent that heartbeat, so a Start that arrives late carries an expired lease.
		Sequence uint64 `json:"sequence"`
		Kind     string `json:"kind"`
		Team     string `json:"team"`
		// Declared is the size that the agent commits. The owner may have corrected it.
		Size resource.Amount `json:"declared"`
		// JobSize is the size that the job declares.
		JobSize resource.Amount `json:"job-size"`
		// RunTime is the declared run time.
		RunTime    time.Duration `json:"run-time"`
		Checkpoint string        `json:"checkpoint,omitempty"`
		// Payload is passed to the worker unchanged.
		Payload string `json:"payload,omitempty"`
	}

	// StartAnswer is the outcome of Start. Started is also true for a repeat of an attempt that already runs.
	StartResponse struct {
		Started bool   `json:"started"`
		Reason  string `json:"reason,omitempty"`
	}

	// TaskOrder asks an agent to stop, checkpoint or throttle one attempt.
	TaskCommand struct {
		task.Identity
		Generation string `json:"generation"`
		// Share is the share of its processors that a throttled task keeps, from 0 to 1.
		Share float64 `json:"share,omitempty"`
	}

	// TaskOrderAnswer tells whether the order took effect and the resulting state.
	TaskCommandResponse struct {
		Accepted bool       `json:"accepted"`
		Reason   string     `json:"reason,omitempty"`
		Report   TaskReport `json:"report"`
	}

	// KeyRequest asks an agent to issue a key for one non-idempotent request.
	KeyRequest struct {
		Service string `json:"service"`
	}

	// KeyAnswer holds the issued key. Key is empty when the agent refuses, with Reason.
	KeyResponse struct {
		Key    string `json:"key"`
		Reason string `json:"reason,omitempty"`
	}

	// Peer is the presence message between entries.
	Presence struct {
		Entry      string `json:"entry"`
		Generation string `json:"generation"`
		Region     string `json:"region"`
		DataCentre string `json:"data-centre"`
		Address    string `json:"address"`
		Revision   uint64 `json:"revision"`
		State      string `json:"state"`
		// Complete lists the streams whose state the entry holds up to their end.
		CompleteStreams []string `json:"complete,omitempty"`
	}

	// PeerAnswer returns the receiver's own presence and the entries it knows.
	PresenceResponse struct {
		Presence
		EntryAddresses []string `json:"entries"`
	}

	// StoppedRequest asks an entry to confirm that it grants no more leases for a shard under an epoch.
	StopGrantingRequest struct {
		Shard int    `json:"shard"`
		Epoch uint64 `json:"epoch"`
	}

	// StoppedAnswer gives, for each VM with a hold lease of that epoch, how much longer the lease lasts.
	StopGrantingResponse struct {
		OutageLeases map[string]time.Duration `json:"holds,omitempty"`
	}

	// ConfigurationRequest asks for what follows a revision.
	ConfigurationRequest struct {
		SinceRevision uint64 `json:"since"`
		// VM limits the sections to those that concern one VM; empty for all.
		VM string `json:"vm,omitempty"`
	}

	// ConfigurationState is a complete configuration with its place in the log.
	ConfigurationState struct {
		Revision uint64 `json:"revision"`
		Offset   uint64 `json:"offset"`
		// Hash is the xxhash of the sorted sections, in hexadecimal.
		Hash string `json:"hash"`
		// Sections maps a section name of the inventory to its keys and values. Nil if Since was current.
		Sections map[string]map[string]string `json:"sections,omitempty"`
	}

	// EventsRequest asks for events above a sequence number.
	EventsRequest struct {
		AfterSequence uint64 `json:"above"`
	}

	// EventsAnswer holds events in the order of their sequence.
	EventsResponse struct {
		Process string  `json:"process"`
		Events  []Event `json:"events"`
	}

	// Event is one entry of the time line. Stamp is a hybrid logical clock in nanoseconds since
	// 1970, with Counter to order events of equal Stamp.
	Event struct {
		Process   string            `json:"process"`
		Sequence  uint64            `json:"sequence"`
		Timestamp int64             `json:"stamp"`
		Counter   uint32            `json:"counter"`
		Kind      string            `json:"kind"`
		Subject   string            `json:"subject,omitempty"`
		Details   map[string]string `json:"details,omitempty"`
	}
)
