package forwarder

import (
	"context"
	"net/http"

	"github.com/labstack/echo/v4"

	"bamboohook/internal/message"
)

// serveKeyRequest serves a caller that asks for an idempotency key. It requests the key from an agent that has
// announced the service, and tries another agent if that fails. If an agent has issued a key but the entry did not
// receive it, the key takes no memory in the agent's journal.
func (f *Forwarder) serveKeyRequest(c echo.Context) error {
	x := newCallerRequest(f, c)
	if !f.beginRequest() {
		x.writeFailure(notRunFailure(message.ReasonDraining, defaultRetryAfter, "this entry is draining"))
		return nil
	}
	defer f.endRequest()
	if status, text := x.parse(); status != 0 {
		x.writeFailureWithStatus(status, notRunFailure(message.ReasonBadRequest, 0, "%s", text))
		return nil
	}
	name := c.Param("service")
	p, _, _ := f.lookUpService(name, "")
	if p == nil || f.KeyRequester == nil {
		x.writeFailure(notRunFailure(message.ReasonUnknownService, defaultRetryAfter, "no agent has announced service %q", name))
		return nil
	}
	ctx, cancel := context.WithTimeout(x.request.Context(), x.timeout)
	defer cancel()
	avoidVM := ""
	for range f.Limits.MaxAttempts {
		choice, ok := p.router.Pick(avoidVM)
		if !ok {
			break
		}
		// The endpoint slot is released at once, because no request is sent to the endpoint.
		p.router.Cancel(choice)
		avoidVM = choice.VM()
		member, ok := f.Detector.Member(avoidVM)
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
