package forwarder

import (
	"context"
	"net/http"

	"github.com/labstack/echo/v4"

	"bamboohook/internal/message"
)

// issueKey asks a live agent of the service for a issueKey. A issueKey that is issued and then lost costs nothing, so another agent is asked
// after any failure.
func (f *Forwarder) issueKey(c echo.Context) error {
	x := newCall(f, c)
	if !f.beginRequest() {
		x.writeFailure(notRunFailure(message.ReasonDraining, defaultRetryAfter, "this entry is draining"))
		return nil
	}
	defer f.endRequest()
	if status, text := x.parse(); status != 0 {
		x.writeFailureStatus(status, notRunFailure(message.ReasonBadRequest, 0, "%s", text))
		return nil
	}
	name := c.Param("service")
	p, _, _ := f.lookUp(name, "")
	if p == nil || f.KeyIssuer == nil {
		x.writeFailure(notRunFailure(message.ReasonUnknownService, defaultRetryAfter, "no agent has announced service %q", name))
		return nil
	}
	ctx, cancel := context.WithTimeout(x.request.Context(), x.timeout)
	defer cancel()
	avoid := ""
	for range f.Limits.MaxAttempts {
		choice, ok := p.router.Pick(avoid)
		if !ok {
			break
		}
		// The slot was needed only for the choice; issuing a key runs nothing.
		p.router.Cancel(choice)
		avoid = choice.VM()
		member, ok := f.Detector.Member(avoid)
		if !ok {
			continue
		}
		answer, err := f.KeyIssuer.IssueKey(ctx, member.Content.PeerAddress, message.KeyRequest{Service: name})
		if err == nil && answer.Key != "" {
			counters.Add("keys", 1)
			return c.JSON(http.StatusCreated, answer)
		}
	}
	x.writeFailure(notRunFailure(message.ReasonNoEndpoint, defaultRetryAfter, "no agent of service %q issued a key", name))
	return nil
}
