package api

import (
	"context"
	"encoding/json"
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gen/services"
	"github.com/crocusstile/crocusstile/relay"
)

// serviceCalls implements the goa service for calls of plain services.
type serviceCalls struct{ *Server }

// Call forwards a call to a plain service and returns its response.
func (s serviceCalls) Call(ctx context.Context, p *services.CallPayload) (*services.CallResult, error) {
	body, err := json.Marshal(p.Body)
	if err != nil {
		return nil, servicesError(cs.Invalid("body", "%v", err))
	}
	state := s.serviceInForce(cs.ServiceID(p.Service))
	// As long as the tickets are unknown, any method may be non-idempotent.
	nonIdempotent := p.NonIdempotent || slices.Contains(state.NonIdempotent, p.Method) || !s.cfg.View().TicketsKnown
	req, err := s.newRequest(
		requestAttrs{p.Tenant, p.Class, p.DeadlineMs, p.IdempotencyKey, nonIdempotent},
		cs.ServiceCall{Service: cs.ServiceID(p.Service), Method: p.Method, Body: body},
	)
	if err != nil {
		return nil, servicesError(err)
	}
	reply, err := s.cfg.Relay.Call(ctx, req, relay.CallConfig{Timeout: state.Timeout, Shards: s.cfg.Shards, QueryTimeout: queryTimeout})
	if err != nil {
		return nil, servicesError(err)
	}
	return &services.CallResult{ID: string(req.ID), Answer: jsonValue(reply.Body), Joined: reply.Joined}, nil
}

// jsonValue returns the body of a response unchanged if it is valid JSON, and otherwise as a string.
func jsonValue(body []byte) any {
	if json.Valid(body) {
		return json.RawMessage(body)
	}
	return string(body)
}
