package cli

import (
	"context"
	"encoding/json"

	"github.com/crocusstile/crocusstile/gen/services"
)

// Call calls a method of a plain service.
type Call struct {
	requestFlags
	service, method, body string
}

func (*Call) isCommand() {}

func (c *Call) operands(args []string) {
	c.service, c.method = args[0], args[1]
	if len(args) > 2 {
		c.body = args[2]
	}
}

func (s *session) call(ctx context.Context, c *Call) error {
	if c.tenant == "" {
		return usageErrorf("-tenant", "is missing; should name the tenant")
	}
	payload := &services.CallPayload{
		Tenant: c.tenant, Class: optional(c.class), DeadlineMs: s.deadlineMs(),
		IdempotencyKey: optional(c.key), NonIdempotent: c.nonIdempotent,
		Service: c.service, Method: c.method,
	}
	text, err := s.text(c.body)
	if err != nil {
		return err
	}
	if text != "" {
		if err := json.Unmarshal([]byte(text), &payload.Body); err != nil {
			return usageErrorf("BODY", "is not JSON: %v", err)
		}
	}
	result, err := invoke[*services.CallResult](ctx, s, s.services().Call(), payload)
	if err != nil {
		return err
	}
	if s.json {
		return s.printBody()
	}
	if result.Joined {
		writef(s.Err, "this is the response to an earlier call with the same key\n")
	}
	return s.printJSON(result.Answer)
}
