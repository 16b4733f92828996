package relay

import (
	"context"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// callRecordTimeout bounds the wait until the outcome of a call is recorded. The caller gets its
// response afterwards even if the record failed.
const callRecordTimeout = 3 * cs.Second

// CallConfig holds the parameters of one service call.
type CallConfig struct {
	// Timeout bounds the call at the runner; 0 selects the default of the engine client.
	Timeout cs.Span
	// Shards is the number of shards that calls are distributed over by their id.
	Shards int
	// QueryTimeout bounds the wait for a reply of the VM that owns the call's shard.
	QueryTimeout cs.Span
}

// CallReply is the response of a plain service, that is, one that is not a model.
type CallReply struct {
	Body []byte
	// Joined is set if Body is the recorded response of an earlier call with the same idempotency key.
	Joined bool
}

// Call calls a plain service. A non-idempotent call with an idempotency key runs at most once,
// whichever VMs its caller sends it to, because the VM that owns the shard of the key decides
// whether it may run.
func (r *Relay) Call(ctx context.Context, req cs.Request, c CallConfig) (CallReply, error) {
	if !req.NonIdempotent || req.Key == "" {
		body, err := r.dispatchCall(ctx, req, c)
		return CallReply{Body: body}, err
	}
	// Once the start of the call is in the log, it must run and its outcome must be recorded, even if
	// the caller disconnects.
	ctx, cancel := r.detach(ctx)
	defer cancel()
	id := cs.NewCallID(req.Tenant, req.Key)
	shard := cs.ShardOf(string(id), c.Shards)
	begin := cs.BeginCall{Call: id, Hash: req.Hash, VM: r.cfg.VM}
	a, err := r.Query(ctx, shard, begin, c.QueryTimeout)
	if err != nil {
		return CallReply{}, err
	}
	decision, ok := a.(cs.CallReply)
	switch {
	case !ok:
		return CallReply{}, cs.Refuse(cs.ReasonUnavailable, "the owner of the shard gave another answer")
	case !decision.Run && decision.Refusal != nil:
		return CallReply{}, decision.Refusal
	case !decision.Run:
		return CallReply{Body: decision.Answer, Joined: true}, nil
	}
	body, err := r.dispatchCall(ctx, req, c)
	end := cs.EndCall{Call: id, Answer: body, Refusal: refusalOf(err)}
	if _, endErr := r.Query(ctx, shard, end, callRecordTimeout); endErr != nil {
		r.cfg.Meter.Count(fleet.CounterAdded{Counter: fleet.CountCallsUnrecorded, Tenant: req.Tenant, N: 1})
	}
	return CallReply{Body: body}, err
}

// refusalOf converts the error of a session to a refusal; other errors than refusals become
// ReasonBroken with an unknown outcome.
func refusalOf(err error) *cs.Refusal {
	if err == nil {
		return nil
	}
	if refusal, ok := err.(*cs.Refusal); ok { //nolint:errorlint // sessions return refusals unwrapped
		return refusal
	}
	return &cs.Refusal{Reason: cs.ReasonBroken, Ran: cs.RanUnknown, Message: err.Error()}
}

// dispatchCall submits a call to the control loop and waits for the runner's response.
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
	return s.response, nil
}
