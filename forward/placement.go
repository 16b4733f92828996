package forward

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/cost"
	"github.com/crocusstile/crocusstile/gateway"
)

// Weights of the expected times in the runner choice, on the scale of its other terms. They are below affinityWeight: with higher ones
// VMs collide at the runners that seem to be fast (BenchmarkPlacement).
const (
	// slowWeight is the weight of the time of an event, as a multiple of the mean of the service.
	slowWeight = 1.0
	// readWeight is the weight of the time to read the prompt, as a share of the time of a mean response.
	readWeight = 2.5
)

// requestCost is what a request is expected to cost, wherever it runs.
type requestCost struct {
	service *cost.Service
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
	c := requestCost{service: s, meanMs: s.MeanMs(), memory: f.Size.Tokens(), meanMemory: s.Held()}
	if t.Catalog != nil {
		c.limit = t.Catalog.Groups[f.Service].Memory
	}
	return c
}

// timeCost returns what is added to the cost of a runner for the time that the request is expected to take there: that of its events and
// that to read the part of its prompt that the runner does not hold.
func timeCost(f *gateway.Forward, c *requestCost, r *gateway.Runner, now cs.Instant) float64 {
	slow := c.service.Slowness(&r.Cost, now)
	read := c.service.ReadMs(r.Cost.TokensToRead(f.Parts, f.Size)) * slow
	return slowWeight*(slow-1) + readWeight*read/c.meanMs
}

// updateHeld updates the tokens that the requests of this VM hold at runners.
func updateHeld(t *gateway.Tables) {
	if t.Costs.Services.Len() == 0 {
		return
	}
	for _, r := range t.Runners.All() {
		r.Cost.Held = 0
	}
	for _, f := range t.Forwards.All() {
		if f.Phase != gateway.ForwardRunning || !f.Estimate.Known {
			continue
		}
		if r := t.Runners.Get(f.Runner); r != nil {
			r.Cost.Held += f.Size.Tokens()
		}
	}
}

// estimateAttempt records what a request that is sent to a runner is expected to cost there. The load is that without the request.
func estimateAttempt(t *gateway.Tables, f *gateway.Forward, r *gateway.Runner, load cs.Slots, now cs.Instant) {
	f.Estimate = gateway.ForwardEstimate{}
	c := costOf(t, f)
	if c.service == nil {
		return
	}
	read := r.Cost.TokensToRead(f.Parts, f.Size)
	ms := t.Costs.CallMs(&r.Cost, f.Route.Name)
	if f.Route.Kind == cs.RouteStreaming {
		ms = c.service.StreamMs(&r.Cost, max(t.Costs.Units(f.Route.Name, f.Size)-float64(f.LastEvent), 1), read)
	}
	f.Estimate = gateway.ForwardEstimate{
		Known: true, Read: read, Time: cs.Span(ms), Excess: r.Cost.Excess(now), Unqueued: load < r.Spec.Slots, From: f.LastEvent,
	}
	r.Cost.Send(f.Parts)
	r.Cost.Held += f.Size.Tokens()
}

// observeCost corrects the estimates by a complete response.
func observeCost(t *gateway.Tables, f *gateway.Forward, r *gateway.Runner, o gateway.OutcomeAnswered, now cs.Instant) {
	if r == nil || !f.Estimate.Known || o.Status < 200 || o.Status >= 300 {
		return
	}
	first := now
	if f.Estimate.StartedAt != 0 {
		first = f.Estimate.StartedAt
	}
	units, isStream := 1.0, f.Route.Kind == cs.RouteStreaming
	if isStream {
		units = float64(o.LastEvent - f.Estimate.From)
	}
	t.Costs.Observe(&r.Cost, cost.Response{
		Route: f.Route.Name, Service: f.Service, Size: f.Size, Read: f.Estimate.Read,
		Stream: isStream, Resumed: f.Estimate.From > 0, Units: units,
		First: first.Sub(f.SentAt), Total: now.Sub(f.SentAt), Expected: f.Estimate.Time, Excess: f.Estimate.Excess, Prompt: f.Estimate.Unqueued,
	})
}
