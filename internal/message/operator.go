package message

import (
	"bamboohook/resource"
)

// Paths of the HTTP interface for operators.
const (
	PathFleet         = "/v1/fleet"
	PathConfiguration = "/v1/configuration"
	PathHistory       = "/v1/configuration/history"
	PathEvents        = "/v1/events"
	PathAllEvents     = "/v1/events/all"
)

// StatusUndeclared is the status of a VM that sends heartbeats but is not declared in the configuration. Such a VM gets
// no new work.
const StatusUndeclared = "undeclared"

// Outcomes of a published change. PublicationUnknown means that the responding entry does not know whether the change
// was accepted.
const (
	PublicationAccepted = "accepted"
	PublicationRefused  = "refused"
	PublicationUnknown  = "unknown"
)

type (
	// FleetVM is the state of a VM according to an entry.
	FleetVM struct {
		VM         string `json:"vm"`
		DataCentre string `json:"data-centre"`
		Rack       string `json:"rack"`
		// Status is up, draining, suspect, lost, undeclared or unreachable. A VM that sends no heartbeats is suspect at
		// first, and later unreachable if the configuration declares it, or lost if not.
		Status string `json:"status"`
		// Declared is true if the configuration contains the VM.
		Declared bool `json:"declared"`
		// Revision is the revision of the configuration in the last heartbeat of the VM's agent.
		Revision  uint64          `json:"revision"`
		Committed resource.Amount `json:"committed"`
		Capacity  resource.Amount `json:"capacity"`
		Services  []Service       `json:"services,omitempty"`
	}

	// PublicationRequest asks an entry to publish a change of the configuration.
	PublicationRequest struct {
		// ChangeID identifies the change. After PublicationUnknown, the same request can be repeated with the same
		// identifier; the change is not applied twice.
		ChangeID string `json:"change"`
		// BaseRevision is the revision to which the change applies. The change is refused if that is not the current one.
		BaseRevision uint64 `json:"based"`
		Author       string `json:"author"`
		// Set contains the new sections by name, with their keys and values. Removed are the names of the sections to
		// remove.
		Set     map[string]map[string]string `json:"set,omitempty"`
		Removed []string                     `json:"removed,omitempty"`
	}

	// PublicationResponse is the response to a PublicationRequest. If the change was accepted or refused, CurrentRevision
	// is the revision after that. Otherwise, it is the revision of the responding entry's configuration.
	PublicationResponse struct {
		ChangeID           string `json:"change"`
		PublicationOutcome string `json:"verdict"`
		BaseRevision       uint64 `json:"based"`
		CurrentRevision    uint64 `json:"now"`
		Message            string `json:"message,omitempty"`
	}

	// AcceptedChange is one accepted change of the configuration. Revision is the revision after the change. Set and Removed
	// are the names of the sections that the change sets and removes.
	AcceptedChange struct {
		Revision uint64   `json:"revision"`
		ChangeID string   `json:"change"`
		Author   string   `json:"author"`
		Set      []string `json:"set,omitempty"`
		Removed  []string `json:"removed,omitempty"`
	}
)
