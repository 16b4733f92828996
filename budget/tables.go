package budget

import (
	"net/netip"
	"sync/atomic"

	cs "github.com/crocusstile/crocusstile"
)

// Connection is what a row needs of the connection of its client.
type Connection interface {
	// Stop ends what the connection is doing in a phase. It does not block.
	Stop(p Phase)
	// Acknowledged returns the number of bytes that the client's side has acknowledged, or 0 if it is not known.
	Acknowledged() cs.Bytes
}

// Holder is the row of a connection. Its phase and progress are written by the goroutine that serves the connection; the rest
// belongs to the Tables.
type Holder struct {
	Pool       Pool
	Address    netip.Addr
	Connection Connection
	// held are the bytes taken of each share.
	held [shareCount]cs.Bytes
	// stopped means that the connection is being ended.
	stopped atomic.Bool
	// stoppedIn is the phase in which it was last stopped.
	stoppedIn Phase
	index     int

	phase atomic.Int32
	// since is the last instant at which ProgressBytes had been moved since the instant before it, or the phase began.
	since atomic.Int64
	moved atomic.Int64
	// writing is since when a write has been waiting for the client to read, with progress like since, or 0.
	writing atomic.Int64
	// acknowledged are the bytes acknowledged as of writing.
	acknowledged cs.Bytes
}

// Tables holds the rows of the connections and the use of the shares and pools.
type Tables struct {
	limits  Limits
	holders []*Holder
	used    [shareCount]cs.Bytes
	pools   [poolCount]pool
	// limitedAt is when a share last had too little room, or 0 if it is not limited.
	limitedAt [shareCount]cs.Instant
	counts    Counts
	// observedAt is when the progress of readers was last noted.
	observedAt cs.Instant
}

// pool is the use of a pool.
type pool struct {
	open, stopping int
	// addresses are the open connections of each client address.
	addresses map[netip.Addr]int
	limitedAt cs.Instant
}

// Counts counts what was done at the limits since the start.
type Counts struct {
	// Stopped are the connections that were ended since they made too little progress, and Refused what got no room.
	Stopped, Refused int64
}

// newTables returns tables without rows.
func newTables(l Limits) *Tables {
	t := &Tables{limits: l}
	for i := range t.pools {
		t.pools[i].addresses = make(map[netip.Addr]int)
	}
	return t
}

// add adds the row of a connection.
func (t *Tables) add(h *Holder) {
	h.index = len(t.holders)
	t.holders = append(t.holders, h)
	p := &t.pools[h.Pool]
	p.open++
	p.addresses[h.Address]++
}

// remove removes the row of a connection that is closed.
func (t *Tables) remove(h *Holder) {
	last := len(t.holders) - 1
	if h.index > last || t.holders[h.index] != h {
		return // removed already, or never added
	}
	t.holders[h.index] = t.holders[last]
	t.holders[h.index].index = h.index
	t.holders[last] = nil
	t.holders = t.holders[:last]
	p := &t.pools[h.Pool]
	p.open--
	if h.stopped.Load() {
		p.stopping--
	}
	if p.addresses[h.Address]--; p.addresses[h.Address] == 0 {
		delete(p.addresses, h.Address)
	}
}

// stop marks a connection as being ended.
func (t *Tables) stop(h *Holder, out *Actions) {
	h.stoppedIn = h.Phase()
	if !h.stopped.Swap(true) {
		t.pools[h.Pool].stopping++
		t.counts.Stopped++
	}
	*out = append(*out, StopConnection{Holder: h, Phase: h.stoppedIn})
}

// Phase returns what the connection is doing.
func (h *Holder) Phase() Phase {
	if h.writing.Load() != 0 {
		return PhaseResponse
	}
	return Phase(h.phase.Load())
}

// stalled returns for how long the connection has made too little progress in its phase.
func (h *Holder) stalled(now cs.Instant) cs.Span {
	if w := h.writing.Load(); w != 0 {
		return now.Sub(cs.Instant(w))
	}
	return now.Sub(cs.Instant(h.since.Load()))
}

// Stopped reports whether the connection is being ended.
func (h *Holder) Stopped() bool { return h.stopped.Load() }

// total returns the bytes held of all shares.
func (h *Holder) total() cs.Bytes {
	sum := cs.Bytes(0)
	for _, n := range h.held {
		sum += n
	}
	return sum
}

// Enter begins a phase. A nil Holder is that of a call without a connection of its own.
func (h *Holder) Enter(p Phase, now cs.Instant) {
	if h == nil {
		return
	}
	h.moved.Store(0)
	h.since.Store(int64(now))
	h.phase.Store(int32(p))
}

// Received adds bytes that the client has sent in a phase.
func (h *Holder) Received(n, progress cs.Bytes, now cs.Instant) {
	if h.moved.Add(int64(n)) >= int64(progress) {
		h.moved.Store(0)
		h.since.Store(int64(now))
	}
}

// BeginWrite means that bytes are being written to the client, and EndWrite that they are.
func (h *Holder) BeginWrite(now cs.Instant) { h.writing.Store(int64(now)) }

// EndWrite ends what BeginWrite begins.
func (h *Holder) EndWrite() { h.writing.Store(0) }
