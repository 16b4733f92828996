package relay

import (
	"context"
	"strconv"
	"strings"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/engine"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/meter"
)

// itemAttempt is an attempt of a batch item that is in flight.
type itemAttempt struct {
	attempt
	id     cs.RequestID
	number cs.Attempt
}

// RunItem starts an attempt of a batch item. The control loop gets fleet.ItemRunEnded when it ends.
func (r *Relay) RunItem(a fleet.RunItem) {
	ctx, cancel := context.WithCancel(r.ctx)
	running := &itemAttempt{attempt: attempt{cancel: cancel, address: a.Address}, id: r.itemRequestID(a.Item), number: a.Item.Attempt}
	r.mu.Lock()
	r.items[a.Item.Key] = running
	r.mu.Unlock()
	r.start(func() {
		defer cancel()
		started := r.cfg.Clock.Now()
		e := r.exchange(ctx, a, running.id)
		r.mu.Lock()
		if r.items[a.Item.Key] == running {
			delete(r.items, a.Item.Key)
		}
		r.mu.Unlock()
		if _, complete := e.Result.(fleet.RunCompleted); complete {
			r.cfg.Meter.Time(meter.BatchItem, a.Item.Tenant, cs.Batch, r.cfg.Clock.Now().Sub(started))
		}
		r.post(e)
	})
}

// itemRequestID returns an id that is unique to one attempt of an item across all VMs. With it a late
// response is not taken for that of a newer attempt, and an engine cancels only the intended attempt.
func (r *Relay) itemRequestID(g cs.GrantedItem) cs.RequestID {
	return cs.RequestID("item-"+string(g.Key.Job)+"-"+strconv.Itoa(int(g.Key.Index))+"-") + r.NewID()
}

// exchange sends an item to its runner, collects the output and returns the result.
func (r *Relay) exchange(ctx context.Context, a fleet.RunItem, id cs.RequestID) fleet.ItemRunEnded {
	e := fleet.ItemRunEnded{Key: a.Item.Key, Attempt: a.Item.Attempt}
	switch t := a.Item.Item.Target.(type) {
	case cs.Generation:
		var text strings.Builder
		text.WriteString(a.Item.Partial)
		e.Tokens = a.Item.Tokens
		g := engine.Generation{ID: id, Generation: t, ResumeText: a.Item.Partial, ResumeTokens: a.Item.Tokens}
		e.Result = r.cfg.Engine.Generate(ctx, a.Address, g, func(event []byte, n cs.Tokens, _ bool) error {
			text.WriteString(engine.Text(event))
			e.Tokens = n
			return nil
		})
		e.Output = text.String()
	case cs.ServiceCall:
		body, result := r.cfg.Engine.Call(ctx, a.Address, id, t, "", a.Item.Item.NonIdempotent, 0)
		e.Output, e.Result = string(body), result
	default:
		e.Result = fleet.RunRejected{NotRun: true, Invalid: true, Message: "unknown kind of item"}
	}
	return e
}

// StopItem cancels an attempt of a batch item, both here and in the engine of its runner.
func (r *Relay) StopItem(a fleet.StopItem) {
	r.mu.Lock()
	running := r.items[a.Key]
	r.mu.Unlock()
	if running != nil && running.number == a.Attempt {
		running.cancel()
		r.cancelAtRunner(running.address, running.id)
	}
}
