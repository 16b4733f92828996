package relay

import (
	"context"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// callRecordTimeout bounds the wait for the record of a call's outcome; the caller gets its answer then
// in any case.
const callRecordTimeout = 3 * cs.Second

// CallConfig holds how a service call is treated.
type CallConfig struct {
	// Timeout bounds the call; 0 means the default of the engine client.
	Timeout cs.Span
	// Shards is the number of work streams.
	Shards int
	// Limit bounds the wait for the owner of the call's shard.
	Limit cs.Span
}

// CallAnswer is the answer of a plain service.
type CallAnswer struct {
	Body []byte
	// Joined means that it is the recorded answer of an earlier call with the same key.
	Joined bool
}

// Call calls a plain service. A non-idempotent call with a key runs at most once, whichever VMs its
// caller sends it to: the owner of the key's shard gives leave to run it.
func (r *Relay) Call(ctx context.Context, req cs.Request, c CallConfig) (CallAnswer, error) {
	if !req.NonIdempotent || req.Key == "" {
		body, err := r.dispatchCall(ctx, req, c)
		return CallAnswer{Body: body}, err
	}
	// The caller may leave, but a call that the log says to have begun runs and is recorded.
	ctx, cancel := r.detach(ctx)
	defer cancel()
	id := cs.NewCallID(req.Tenant, req.Key)
	shard := cs.ShardOf(string(id), c.Shards)
	begin := cs.BeginCall{Call: id, Hash: req.Hash, VM: r.cfg.VM}
	a, err := r.Query(ctx, shard, begin, c.Limit)
	if err != nil {
		return CallAnswer{}, err
	}
	decision, ok := a.(cs.CallAnswer)
	switch {
	case !ok:
		return CallAnswer{}, cs.Refuse(cs.ReasonUnavailable, "the owner of the shard gave another answer")
	case !decision.Run && decision.Refusal != nil:
		return CallAnswer{}, decision.Refusal
	case !decision.Run:
		return CallAnswer{Body: decision.Answer, Joined: true}, nil
	}
	body, err := r.dispatchCall(ctx, req, c)
	end := cs.EndCall{Call: id, Answer: body, Refusal: refusalOf(err)}
	if _, endErr := r.Query(ctx, shard, end, callRecordTimeout); endErr != nil {
		r.cfg.Meter.Count(fleet.Counted{Counter: fleet.CountCallsUnrecorded, Tenant: req.Tenant, N: 1})
	}
	return CallAnswer{Body: body}, err
}

// refusalOf returns an error as a refusal.
func refusalOf(err error) *cs.Refusal {
	if err == nil {
		return nil
	}
	if refusal, ok := err.(*cs.Refusal); ok { //nolint:errorlint // sessions return it unwrapped
		return refusal
	}
	return &cs.Refusal{Reason: cs.ReasonBroken, Ran: cs.RanUnknown, Message: err.Error()}
}

// dispatchCall runs a call through the loop.
func (r *Relay) dispatchCall(ctx context.Context, req cs.Request, c CallConfig) ([]byte, error) {
	s, err := r.openSession(ctx, req, c.Timeout)
	if err != nil {
		return nil, err
	}
	defer s.close()
	if err := s.wait(ctx, true); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answer, nil
}
