package forward

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/cost"
	"github.com/crocusstile/crocusstile/gateway"
)

// Weights of the expected times in the runner choice, as shares of a runner's slots like its other terms.
var (
	slowWeight = 2.5
	readWeight = 2.5
	workWeight = 1.0
)

// requestCost is what a request is expected to cost, wherever it runs.
type requestCost struct {
	service *cost.Service
	units   float64
	// meanMs is the time of a mean response of the service.
	meanMs float64
	// memory is what the request may hold at a runner at most, and limit what a runner can hold, or 0.
	memory, limit cs.Tokens
	// meanMemory is what other requests hold on average.
	meanMemory float64
}

// costOf returns what a request is expected to cost. The service is nil if its requests are placed by their number.
func costOf(t *gateway.Tables, f *gateway.Forward) requestCost {
	s := t.Costs.Service(f.Service)
	if s == nil {
		return requestCost{}
	}
	units := t.Costs.Units(f.Route.Name, f.Size)
	c := requestCost{service: s, units: units, meanMs: s.MeanMs(), memory: f.Size.Tokens(), meanMemory: s.Held()}
	if t.Catalog != nil {
		c.limit = t.Catalog.Groups[f.Service].Memory
	}
	return c
}

// workCost returns what is added to the cost of a runner in place of its load.
func workCost(f *gateway.Forward, c *requestCost, r *gateway.Runner, now cs.Instant) float64 {
	slots := float64(r.Spec.Slots)
	half := c.meanMs / 2 // a running request is half done on average
	own := float64(r.Cost.Own) / half
	total := (float64(r.Load()-r.Online) + workWeight*own + (1-workWeight)*float64(r.Online)) / slots
	if r.Load() >= r.Spec.Slots {
		total += fullPenalty - float64(r.Batch+max(r.PeerBatch, r.Allocation.Batch))/slots
	}
	slow := c.service.Slowness(&r.Cost, now)
	total += slowWeight * (slow - 1)
	total += readWeight * c.service.ReadMs(r.Cost.TokensToRead(f.Parts, f.Size)) * slow / c.meanMs
	return total
}

// updateWork updates the remaining time of the requests that this VM has sent to runners.
func updateWork(t *gateway.Tables, now cs.Instant) {
	if t.Costs.Services.Len() == 0 {
		return
	}
	for _, r := range t.Runners.All() {
		r.Cost.Own, r.Cost.Held = 0, 0
	}
	for _, f := range t.Forwards.All() {
		if f.Phase != gateway.ForwardRunning || f.Estimate.Time == 0 {
			continue
		}
		if r := t.Runners.Get(f.Runner); r != nil {
			r.Cost.Own += remainingTime(f, now)
			r.Cost.Held += f.Size.Tokens()
		}
	}
}

// minRemainingShare is the least part of its expected time that a request is expected to go on for.
const minRemainingShare = 0.1

// remainingTime returns how much longer the attempt of a request is expected to take.
func remainingTime(f *gateway.Forward, now cs.Instant) cs.Span {
	begin := f.SentAt
	if f.Estimate.StartedAt != 0 {
		begin = f.Estimate.StartedAt
	}
	return max(f.Estimate.Time-now.Sub(begin), cs.Span(minRemainingShare*float64(f.Estimate.Time)))
}

// estimateAttempt records what a request that is sent to a runner is expected to cost there. The load is that without the request.
func estimateAttempt(t *gateway.Tables, f *gateway.Forward, r *gateway.Runner, load cs.Slots, now cs.Instant) {
	f.Estimate = gateway.ForwardEstimate{}
	c := costOf(t, f)
	if c.service == nil {
		return
	}
	read := r.Cost.TokensToRead(f.Parts, f.Size)
	f.Estimate = gateway.ForwardEstimate{
		Units: c.units, Read: read, Time: max(cs.Span(c.service.Time(&r.Cost, c.units, read)), 1), Excess: r.Cost.Excess(now),
		Unqueued: load < r.Spec.Slots, From: f.LastEvent,
	}
	r.Cost.Send(f.Parts)
	r.Cost.Own += f.Estimate.Time
	r.Cost.Held += f.Size.Tokens()
}

// observeCost corrects the estimates by a complete response.
func observeCost(t *gateway.Tables, f *gateway.Forward, r *gateway.Runner, o gateway.OutcomeAnswered, now cs.Instant) {
	if r == nil || f.Estimate.Time == 0 || o.Status < 200 || o.Status >= 300 {
		return
	}
	first := now
	if f.Estimate.StartedAt != 0 {
		first = f.Estimate.StartedAt
	}
	units := 1.0
	if f.Route.Kind == cs.RouteStreaming {
		units = float64(o.LastEvent - f.Estimate.From)
	}
	t.Costs.Observe(&r.Cost, cost.Response{
		Route: f.Route.Name, Service: f.Service, Size: f.Size, Read: f.Estimate.Read, Units: units,
		First: first.Sub(f.SentAt), Total: now.Sub(f.SentAt), Expected: f.Estimate.Time, Excess: f.Estimate.Excess, Prompt: f.Estimate.Unqueued,
	})
}
