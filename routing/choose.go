package routing

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/quarantine"
)

const (
	// prefixBytes is the length of the part of a prompt that decides which runner may have it in
	// its cache.
	prefixBytes = 256
	// boundedLoad is the ratio to the mean load up to which a runner is preferred for a prefix.
	boundedLoad = 1.25
	// cached is the factor on the expected first-token time of the runner that may have the prefix
	// in its cache.
	cached = 0.8
	// queueBound is the number of online requests that may wait inside a runner. It bridges the
	// time between the end of a run and the next dispatch; more would wait behind one runner while
	// another becomes free.
	queueBound cs.Slots = 2
	// distance is the penalty in milliseconds of another data centre.
	distance = 20.0
	// yieldCost is the time in milliseconds until batch gives a slot back.
	yieldCost = 5.0
	// assumedFirstToken stands in for first-token times that are not known yet, in milliseconds.
	assumedFirstToken = 100.0
	// forget is the age in milliseconds at which the distance of a runner's average from the
	// median counts half, so that a runner that was slow is tried again.
	forget = 10_000.0
)

// choose returns the runner for a request, or nil if none has room.
func (d *round) choose(p *pool, q *fleet.Request) *candidate {
	if quarantine.Suspect(d.t, q.Hash, d.now) {
		return d.chooseSuspect(p, q)
	}
	if d.t.Config.Policy.RoundRobin {
		return inTurn(p, q)
	}
	if p.full && len(q.Tried) == 0 {
		return nil
	}
	near := d.draw(p, &p.local, q)
	if near != nil && near.online < near.slots {
		return near
	}
	far := d.draw(p, &p.remote, q)
	if near == nil && far == nil && len(q.Tried) == 0 {
		p.full = true
	}
	if near == nil || far != nil && d.expect(p, far)+distance < d.expect(p, near) {
		return far
	}
	return near
}

// chooseSuspect returns the only runner on which a suspect may run, if it has room.
func (d *round) chooseSuspect(p *pool, q *fleet.Request) *candidate {
	id, ok := quarantine.Place(d.t, q.Hash, q.Target, d.now)
	if !ok {
		return nil
	}
	for _, g := range [...]*group{&p.local, &p.remote} {
		for i := range g.list {
			if c := &g.list[i]; c.row.ID == id && c.hasRoom() {
				return c
			}
		}
	}
	return nil
}

// inTurn returns the runner with the fewest dispatches, without regard to load: the baseline.
func inTurn(p *pool, q *fleet.Request) *candidate {
	g := &p.local
	if len(g.list) == 0 {
		g = &p.remote
	}
	var best *candidate
	for i := range g.list {
		c := &g.list[i]
		if len(g.list) > 1 && avoid(q, c.row.ID) {
			continue
		}
		if best == nil || c.row.Dispatched < best.row.Dispatched {
			best = c
		}
	}
	return best
}

// draw returns the better of two runners of a group: the one preferred for the prompt's prefix and a
// random one.
func (d *round) draw(p *pool, g *group, q *fleet.Request) *candidate {
	preferred := g.preferred(q)
	random := d.random(g, q)
	if random == nil || preferred == random {
		return preferred
	}
	if preferred != nil && cached*d.expect(p, preferred) <= d.expect(p, random) {
		return preferred
	}
	return random
}

// random draws among the runners with a free slot for online requests, or else among those with
// room, and leaves out those tried before while there are others.
func (d *round) random(g *group, q *fleet.Request) *candidate {
	n := len(g.list)
	if n == 0 {
		return nil
	}
	start := d.t.Rand.IntN(n)
	var waits, tried *candidate
	for i := range n {
		c := &g.list[(start+i)%n]
		switch {
		case !c.hasRoom() || inFlight(q, c.row.ID):
		case slices.Contains(q.Tried, c.row.ID):
			tried = c
		case c.online < c.slots:
			return c
		case waits == nil:
			waits = c
		}
	}
	if waits == nil {
		return tried
	}
	return waits
}

// preferred returns the runner ranked first for the prompt's prefix among those that are not loaded
// far above the mean, or nil.
func (g *group) preferred(q *fleet.Request) *candidate {
	gen, ok := q.Target.(cs.Generation)
	if !ok || len(g.list) == 0 {
		return nil
	}
	var (
		best *candidate
		high uint64
		key  [16]byte
		mean = float64(g.online+1) / float64(len(g.list))
		most = cs.Slots(math.Ceil(boundedLoad * mean))
	)
	binary.LittleEndian.PutUint64(key[:8], xxhash.Sum64String(gen.Prompt[:min(len(gen.Prompt), prefixBytes)]))
	for i := range g.list {
		c := &g.list[i]
		if c.online >= most || c.online >= c.slots || avoid(q, c.row.ID) {
			continue
		}
		binary.LittleEndian.PutUint64(key[8:], c.hash)
		if w := xxhash.Sum64(key[:]); best == nil || w > high {
			best, high = c, w
		}
	}
	return best
}

// expect estimates the first-token time on a runner in milliseconds.
func (d *round) expect(p *pool, c *candidate) float64 {
	usual := p.usual()
	if usual == 0 {
		usual = assumedFirstToken
	}
	own := usual
	if c.row.FirstToken > 0 {
		age := float64(d.now.Sub(c.row.SampledAt))
		own += (c.row.FirstToken - usual) * math.Exp2(-age/forget)
	}
	slots := float64(c.slots)
	x := own * (1 + min(c.total/slots, 1))
	if c.online >= c.slots {
		return x + float64(c.online-c.slots+1)*max(c.row.Took, own)/slots
	}
	if c.total >= slots {
		return x + yieldCost
	}
	return x
}

// hasRoom reports whether the runner takes another online request. After an ejection it takes one
// at a time.
func (c *candidate) hasRoom() bool {
	return c.online < c.slots+queueBound && (c.row.Ejections == 0 || c.row.Online == 0)
}

func inFlight(q *fleet.Request, id cs.RunnerID) bool {
	return slices.ContainsFunc(q.Runs, func(run fleet.RequestRun) bool { return run.Runner == id })
}

// avoid reports whether a request has run or runs on the runner.
func avoid(q *fleet.Request, id cs.RunnerID) bool {
	return inFlight(q, id) || slices.Contains(q.Tried, id)
}
