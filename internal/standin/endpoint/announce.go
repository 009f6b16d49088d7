package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"bamboohook/internal/message"
)

// announce sends an announcement to the agent. A failed announcement is counted and not retried, because the next one
// follows after
// announceInterval.
func (e *Endpoint) announce(address string, leaving bool) {
	if e.options.AgentAddress == "" {
		return
	}
	e.counters.announcementSent(e.postAnnouncement(address, leaving))
}

// postAnnouncement sends an announcement and reports whether the agent accepted it.
func (e *Endpoint) postAnnouncement(address string, leaving bool) bool {
	body, err := json.Marshal(e.announcement(address, leaving))
	if err != nil {
		return false
	}
	url := "http://" + e.options.AgentAddress + message.PathAnnounce
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := e.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode < http.StatusMultipleChoices
}
