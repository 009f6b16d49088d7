package forwarder

import (
	"context"
	"net/http"

	"github.com/labstack/echo/v4"

	"bamboohook/internal/message"
)

// issueKey requests an idempotency key from a live agent of the service. After any failure it asks another
// agent, because a key that is issued and then lost has no effect.
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
	if p == nil || f.KeyRequester == nil {
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
		// Only the choice needed a free slot; issuing a key runs nothing.
		p.router.Cancel(choice)
		avoid = choice.VM()
		member, ok := f.Detector.Member(avoid)
		if !ok {
			continue
		}
		response, err := f.KeyRequester.RequestKey(ctx, member.Content.PeerAddress, message.KeyRequest{Service: name})
		if err == nil && response.Key != "" {
			counters.Add("keys", 1)
			return c.JSON(http.StatusCreated, response)
		}
	}
	x.writeFailure(notRunFailure(message.ReasonNoEndpoint, defaultRetryAfter, "no agent of service %q issued a key", name))
	return nil
}
