package budget

import (
	"cmp"
	"slices"

	cs "github.com/crocusstile/crocusstile"
)

// Constants of the order at the limits.
const (
	// smallBytes is the size up to which a body or a response may use the part of a share that is kept free of larger ones, so
	// that ordinary callers find room while large bodies wait. It is one part in reservedParts.
	smallBytes    cs.Bytes = 64 << 10
	reservedParts          = 8
	// stallGrace is how long a client may make no progress before its connection can be ended to make room. A lost segment
	// is sent again within about 0.2 s.
	stallGrace = 500 * cs.Millisecond
	// checkGrace is stallGrace for readiness checks, which send one segment.
	checkGrace = 100 * cs.Millisecond
	// idleGrace is how long a kept connection must have been idle before it can be closed to make room.
	idleGrace = cs.Second
	// limitedTime is how long a limit must not have been met before it counts as ended.
	limitedTime = 10 * cs.Second
	// stoppingParts bounds the connections that are being ended beyond those of a pool: one part in stoppingParts of it, or one.
	stoppingParts = 16
)

// grace returns how long a client may make no progress before its connection can be ended to make room, and whether it can at
// all.
func (h *Holder) grace() (cs.Span, bool) {
	switch h.Phase() {
	case PhaseServing:
		return 0, false
	case PhaseIdle:
		return idleGrace, true
	case PhaseHeader, PhaseBody, PhaseResponse:
	}
	if h.Pool == Checks {
		return checkGrace, true
	}
	return stallGrace, true
}

// reserve takes n bytes of a share, or all that one holder may take if that is less. If there is too little room, it takes nothing and
// stops the connections that hold most of the share for longest without progress. size is that of the whole object.
func (t *Tables) reserve(h *Holder, s Share, n, size cs.Bytes, now cs.Instant, out *Actions) (cs.Bytes, bool) {
	limit := t.limits.Shares[s]
	if size > smallBytes {
		limit -= limit / reservedParts
	}
	n = min(n, limit)
	if t.used[s]+n <= limit {
		t.used[s] += n
		if h != nil {
			h.held[s] += n
		}
		return n, true
	}
	if t.limitedAt[s] == 0 {
		*out = append(*out, ShareChanged{Share: s, Limited: true})
	}
	t.limitedAt[s] = now
	t.makeRoom(h, s, t.used[s]+n-limit, now, out)
	return 0, false
}

// makeRoom stops connections until missing bytes of a share are expected to be free.
func (t *Tables) makeRoom(asking *Holder, s Share, missing cs.Bytes, now cs.Instant, out *Actions) {
	type candidate struct {
		holder *Holder
		weight int64
	}
	observeReaders(t, now)
	var candidates []candidate
	for _, h := range t.holders {
		if h.held[s] == 0 || h == asking {
			continue
		}
		if h.Stopped() {
			missing -= h.held[s]
			continue
		}
		if grace, ok := h.grace(); ok && h.stalled(now) >= grace {
			candidates = append(candidates, candidate{h, int64(h.held[s]) * int64(h.stalled(now))})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.weight, a.weight) })
	for _, c := range candidates {
		if missing <= 0 {
			return
		}
		missing -= c.holder.held[s]
		t.stop(c.holder, out)
	}
}

// release gives bytes of a share back.
func (t *Tables) release(h *Holder, s Share, n cs.Bytes) {
	t.used[s] -= n
	if h != nil {
		h.held[s] -= n
	}
}

// admit adds the row of a new connection. If its pool is full, it stops another connection for it, or refuses it.
func (t *Tables) admit(h *Holder, now cs.Instant, out *Actions) bool {
	p, limit := &t.pools[h.Pool], t.limits.Connections[h.Pool]
	most := limit + max(limit/stoppingParts, 1)
	if p.open-p.stopping < limit && p.open < most {
		t.add(h)
		return true
	}
	if p.limitedAt == 0 {
		*out = append(*out, PoolChanged{Pool: h.Pool, Limited: true})
	}
	p.limitedAt = now
	victim := t.worst(h, now)
	if victim == nil || p.open >= most {
		t.counts.Refused++
		return false
	}
	t.stop(victim, out)
	t.add(h)
	return true
}

// worst returns the connection of a pool that is ended first, or nil if none is: those without a whole header, then those that
// receive or send without progress, then idle ones. Those of an address that has more than half of the pool come before others, and
// such an address displaces only its own idle connections.
func (t *Tables) worst(asking *Holder, now cs.Instant) *Holder {
	observeReaders(t, now)
	var worst *Holder
	var worstRank int
	var worstWeight int64
	for _, h := range t.holders {
		if h.Stopped() || h.Pool != asking.Pool {
			continue
		}
		grace, ok := h.grace()
		stalled := h.stalled(now)
		if !ok || stalled < grace {
			continue
		}
		if h.Phase() == PhaseIdle && h.Address != asking.Address && t.dominates(asking) {
			continue
		}
		rank, weight := t.rank(h), int64(h.total()+1)*int64(stalled)
		if worst == nil || rank > worstRank || rank == worstRank && weight > worstWeight {
			worst, worstRank, worstWeight = h, rank, weight
		}
	}
	return worst
}

// rank returns the rank of a connection in the order of worst; the highest is ended first.
func (t *Tables) rank(h *Holder) int {
	rank := 0
	switch h.Phase() {
	case PhaseHeader:
		rank = 2
	case PhaseBody, PhaseResponse:
		rank = 1
	case PhaseServing, PhaseIdle:
	}
	if t.dominates(h) {
		rank += 3
	}
	return rank
}

// dominates reports whether the address of a connection has more than half of its pool.
func (t *Tables) dominates(h *Holder) bool {
	return t.pools[h.Pool].addresses[h.Address] > t.limits.Connections[h.Pool]/2
}

// EndStalled stops the connections whose body or whose reader has made too little progress within the window, also those that were stopped
// while they were idle and whose next request came at that moment, and ends limits that
// are no longer met.
func EndStalled(t *Tables, now cs.Instant, out *Actions) {
	for _, h := range t.holders {
		if h.Stopped() && h.stoppedIn == h.Phase() {
			continue
		}
		switch h.Phase() {
		case PhaseBody, PhaseResponse:
			if h.stalled(now) > t.limits.Window {
				t.stop(h, out)
			}
		case PhaseHeader, PhaseServing, PhaseIdle:
		}
	}
	for s, at := range t.limitedAt {
		if at != 0 && now.Sub(at) > limitedTime {
			t.limitedAt[s] = 0
			*out = append(*out, ShareChanged{Share: Share(s)})
		}
	}
	for i := range t.pools {
		if p := &t.pools[i]; p.limitedAt != 0 && now.Sub(p.limitedAt) > limitedTime {
			p.limitedAt = 0
			*out = append(*out, PoolChanged{Pool: Pool(i)})
		}
	}
}

// observeInterval is the least time between two looks at the readers: each is a system call for each of them.
const observeInterval = 100 * cs.Millisecond

// observeReaders notes the progress of the readers of responses that have been waited for since before now.
func observeReaders(t *Tables, now cs.Instant) {
	if now.Sub(t.observedAt) < observeInterval {
		return
	}
	t.observedAt = now
	for _, h := range t.holders {
		began := h.writing.Load()
		if began == 0 || cs.Instant(began) >= now {
			continue
		}
		if n := h.Connection.Acknowledged(); n >= h.acknowledged+t.limits.ProgressBytes {
			h.acknowledged = n
			h.writing.CompareAndSwap(began, int64(now)) // a write that has ended since is left alone
		}
	}
}
