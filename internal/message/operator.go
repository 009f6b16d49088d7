package message

import (
	"bamboohook/resource"
)

// Paths on the operators' port.
const (
	PathFleet         = "/v1/fleet"
	PathConfiguration = "/v1/configuration"
	PathHistory       = "/v1/configuration/history"
	PathEvents        = "/v1/events"
	PathAllEvents     = "/v1/events/all"
)

// StatusUndeclared is the status of a VM that sends heartbeats but is not in the inventory. It gets no new work.
const StatusUndeclared = "undeclared"

// Verdicts on a published change.
const (
	PublicationAccepted = "accepted"
	PublicationRefused  = "refused"
	PublicationUnknown  = "unknown"
)

type (
	// FleetVM is the state of a VM according to an entry. Status is up, draining, suspect, lost, undeclared, or
	// unreachable for a declared VM that sends no heartbeats.
	FleetVM struct {
		VM         string          `json:"vm"`
		DataCentre string          `json:"data-centre"`
		Rack       string          `json:"rack"`
		Status     string          `json:"status"`
		Declared   bool            `json:"declared"`
		Revision   uint64          `json:"revision"`
		Committed  resource.Amount `json:"committed"`
		Capacity   resource.Amount `json:"capacity"`
		Services   []Service       `json:"services,omitempty"`
	}

	// PublicationRequest asks an entry to publish a change of the configuration.
	PublicationRequest struct {
		// ChangeID identifies the change. After an unknown verdict, repeat the request with the same identifier to
		// query the verdict.
		ChangeID     string                       `json:"change"`
		BaseRevision uint64                       `json:"based"`
		Author       string                       `json:"author"`
		Set          map[string]map[string]string `json:"set,omitempty"`
		Removed      []string                     `json:"removed,omitempty"`
	}

	// PublicationResponse is the verdict on a change. CurrentRevision is the current revision when the verdict was
	// returned.
	PublicationResponse struct {
		ChangeID           string `json:"change"`
		PublicationOutcome string `json:"verdict"`
		BaseRevision       uint64 `json:"based"`
		CurrentRevision    uint64 `json:"now"`
		Message            string `json:"message,omitempty"`
	}

	// HistoryEntry is one accepted change.
	HistoryEntry struct {
		Revision uint64   `json:"revision"`
		ChangeID string   `json:"change"`
		Author   string   `json:"author"`
		Set      []string `json:"set,omitempty"`
		Removed  []string `json:"removed,omitempty"`
	}
)
