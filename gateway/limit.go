package gateway

import (
	"math"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// RunnerLimit is the limit on requests from all VMs together that a runner names in its responses.
type RunnerLimit struct {
	// Named means that the runner names a limit of Rate.
	Named bool
	Rate  cs.PerSecond
	// AsOf is when a response to any VM last named the limit or, if it no longer did, showed that there is none; 0 if no
	// response has named one.
	AsOf cs.Instant
	// ChangedAt is when this VM last learned of a change, or that a peer has not.
	ChangedAt cs.Instant
	// Sender means that this VM is one of those that may send to the runner.
	Sender bool
	Bucket LimitBucket
	// Sent counts the requests that this VM has sent since the limit was named, the last one at SentAt.
	Sent   uint32
	SentAt cs.Instant
}

// LimitBucket is a token bucket that holds one request. Each VM has a copy of it for each limited runner, from which it
// takes a token for each request that it sends and for each that a peer reports.
type LimitBucket struct {
	// Rate is the rate at which tokens come.
	Rate cs.PerSecond
	// Tokens is the number of tokens at the time At. It is negative while VMs have sent at the same time.
	Tokens float64
	At     cs.Instant
}

const (
	// limitNewsPeriod is how long each report lists what has changed of a limit. It covers the loss of a datagram.
	limitNewsPeriod = 600 * cs.Millisecond
	// minLimitRate is the rate that is used for a lower limit. A runner that gets no request at all could not tell that
	// its limit has ended.
	minLimitRate = 0.1
	// extraSenders is the number of VMs that may send to a runner whatever its limit. See limitSenders.
	extraSenders = 3
	// maxSendersByLimit bounds the senders that a limit adds. It exceeds the number of VMs of any deployment.
	maxSendersByLimit = 1 << 20
	// partitionTime is how long a VM that is not heard counts as cut off and sending on. Later it counts as gone.
	partitionTime = 30 * cs.Second
	// assignInterval is the time after which the senders are determined again although no live VM has changed.
	assignInterval = cs.Second
)

// limitSenders returns the number of VMs that may send to a runner. The users' platform allows five requests, and half of
// the limit, beyond the limit in a few seconds. Between two reports each sender may take the same token, so that one
// sender for each request a second, and extraSenders, leave room for VMs that disagree for a moment on who sends.
func limitSenders(limit cs.PerSecond) int {
	return extraSenders + int(min(limit, maxSendersByLimit))
}

// settle brings the number of tokens up to a time, or to when the bucket was full.
func (b *LimitBucket) settle(now cs.Instant) {
	if full := b.fullAt(); now >= full {
		b.Tokens, b.At = 1, full
		return
	}
	b.Tokens += float64(b.Rate) * float64(now.Sub(b.At)) / 1000
	b.At = now
}

// take takes tokens. The debt is bounded, since what a VM has missed of its peers may be much.
func (b *LimitBucket) take(n, maxDebt int, now cs.Instant) {
	b.settle(now)
	b.Tokens, b.At = max(b.Tokens-float64(n), -float64(maxDebt)), now
}

// fullAt returns when the bucket has a token.
func (b *LimitBucket) fullAt() cs.Instant {
	return b.At.Add(cs.Span(math.Ceil(max(1-b.Tokens, 0) * 1000 / float64(b.Rate))))
}

// WithinLimit reports whether this VM may send a request to the runner now, as far as its limit is concerned.
func (r *Runner) WithinLimit(now cs.Instant) bool {
	return !r.Limit.Named || r.Limit.Sender && now >= r.Limit.Bucket.fullAt()
}

// NextWithinLimit returns since or from when the limit of the runner allows this VM another request. It must only be
// called for a limited runner to which this VM may send.
func (r *Runner) NextWithinLimit() cs.Instant { return r.Limit.Bucket.fullAt() }

// MayEverSend reports whether the limit of the runner lets this VM send requests, at once or later.
func (r *Runner) MayEverSend() bool { return !r.Limit.Named || r.Limit.Sender }

// TakeToken records that this VM sends a request to the runner.
func (r *Runner) TakeToken(now cs.Instant) {
	if !r.Limit.Named {
		return
	}
	r.Limit.Bucket.take(1, limitSenders(r.Limit.Rate), now)
	r.Limit.Sent++
	r.Limit.SentAt = now
}

// RecordLimit records the limit that a runner named, or no longer named, at a time. It does nothing for a runner that is
// no longer in the table (nil).
func (t *Tables) RecordLimit(r *Runner, named bool, rate cs.PerSecond, asOf, now cs.Instant, out *Actions) {
	if r == nil {
		return
	}
	r.Limit.AsOf = asOf
	if r.Limit.Named == named && r.Limit.Rate == rate {
		return
	}
	if !r.Limit.Named {
		r.Limit.Bucket, r.Limit.Sent = LimitBucket{Rate: minLimitRate, At: now}, 0
	}
	r.Limit.Named, r.Limit.Rate, r.Limit.ChangedAt = named, rate, now
	t.assignSender(r, t.liveShare(now), now)
	kind := NoteRunnerLimited
	if !named {
		kind = NoteRunnerUnlimited
	}
	out.Note(Note{Kind: kind, Runner: r.Spec.ID, Rate: rate, Load: r.Load(), Age: now.Sub(asOf)})
}

// MergeLimit adopts the limit that a peer reported if it is newer than what this VM knows, and otherwise lets the next
// report correct the peer. It takes tokens for the requests that the peer has sent since its last report.
func (t *Tables) MergeLimit(peer *Peer, l LimitReport, now cs.Instant, out *Actions) {
	r := t.Runners.Get(l.Runner)
	if r == nil {
		return
	}
	asOf := now.Add(-l.Age)
	differs := r.Limit.Named != l.Named || r.Limit.Rate != l.Rate
	switch {
	case differs && asOf > r.Limit.AsOf:
		t.RecordLimit(r, l.Named, l.Rate, asOf, now, out)
	case differs && now.Sub(r.Limit.ChangedAt) > limitNewsPeriod:
		r.Limit.ChangedAt = now
	case !differs:
		r.Limit.AsOf = latest(r.Limit.AsOf, asOf)
	}
	if n := peer.newlySent(l); n > 0 && r.Limit.Named {
		r.Limit.Bucket.take(n, limitSenders(r.Limit.Rate), now)
	}
}

// newlySent returns how many requests a peer has sent to a limited runner since its last report.
func (p *Peer) newlySent(l LimitReport) int {
	if p.SentTo == nil {
		p.SentTo = make(map[cs.RunnerID]uint32)
	}
	before, known := p.SentTo[l.Runner]
	if l.Sent == 0 {
		delete(p.SentTo, l.Runner)
		return 0
	}
	p.SentTo[l.Runner] = l.Sent
	switch {
	case !known:
		return 1 // this VM may have missed earlier reports, so that the others of the count may be long ago
	case l.Sent > before:
		return int(l.Sent - before)
	default:
		return 0
	}
}

// HasLimitNews reports whether reports list the limit of the runner, since it has changed or this VM has sent a request.
func (r *Runner) HasLimitNews(now cs.Instant) bool {
	return r.Limit.AsOf != 0 && now.Sub(max(r.Limit.ChangedAt, r.Limit.SentAt)) <= limitNewsPeriod
}

// Senders is the state by which the senders of limited runners were last determined.
type Senders struct {
	At cs.Instant
	// Changes is the value of Tables.LiveChanges, and Leaving tells whether this VM was draining.
	Changes uint64
	Leaving bool
}

// AssignSenders decides for each limited runner whether this VM may send to it, if the live VMs have changed and at
// intervals.
func (t *Tables) AssignSenders(now cs.Instant) {
	leaving := t.Drain.Phase != fleet.DrainNone
	if t.Senders.Changes == t.LiveChanges && t.Senders.Leaving == leaving && now.Sub(t.Senders.At) < assignInterval {
		return
	}
	t.Senders = Senders{At: now, Changes: t.LiveChanges, Leaving: leaving}
	share := 0.0
	for _, r := range t.Runners.All() {
		if !r.Limit.Named {
			continue
		}
		if share == 0 {
			share = t.liveShare(now)
		}
		t.assignSender(r, share, now)
	}
}

// assignSender decides whether this VM may send to a runner: the VMs that come first in the order of the runner may. The
// VMs on each side of a network partition use the part of the limit that they are of all VMs.
func (t *Tables) assignSender(r *Runner, liveShare float64, now cs.Instant) {
	r.Limit.Sender = r.Limit.Named && t.Drain.Phase == fleet.DrainNone && t.liveVMRank("limit/"+string(r.Spec.ID)) < limitSenders(r.Limit.Rate)
	r.Limit.Bucket.settle(now)
	r.Limit.Bucket.Rate = max(r.Limit.Rate*cs.PerSecond(liveShare), minLimitRate)
}

// liveShare returns the share that this VM and the peers that report are of these and of those that have reported within
// partitionTime and may be cut off. A VM that is leaving does not count.
func (t *Tables) liveShare(now cs.Instant) float64 {
	live, silent := 1, 0
	for _, p := range t.Peers.All() {
		switch {
		case p.VM.Leaving:
		case p.LastReportAt != 0:
			live++
		case p.HeardAt != 0 && now.Sub(p.HeardAt) <= partitionTime:
			silent++
		}
	}
	return float64(live) / float64(live+silent)
}
