package allowance

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// checkInterval is the time between two checks for idle rows.
const checkInterval = 500 * cs.Millisecond

// Serve determines the limits that this VM owns, and decides on the requests for permits that VMs have sent.
func Serve(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	if t.Config.Quota.Window == 0 {
		return
	}
	isMember := t.JobLog.Role == gateway.JobLogFollower && !t.Partitions.Left
	if !isMember {
		t.ReleaseLimits(now)
	}
	for _, e := range t.Events {
		if e, ok := e.(gateway.PartitionsAssigned); ok && isMember {
			t.AssignLimits(e.Partitions, e.SentAt, now)
		}
	}
	for _, e := range t.Events {
		if e, ok := e.(gateway.AllowanceReceived); ok && len(e.Message.Requests) > 0 {
			serve(t, e, now, out)
		}
	}
	if now.Sub(t.Allowance.CheckedAt) >= checkInterval {
		t.Allowance.CheckedAt = now
		removeIdleBuckets(t, now)
		removeIdleUses(t, now, out)
	}
}

// serve decides on the requests of one message and replies. Requests that arrive out of order, or once more, are ignored.
func serve(t *gateway.Tables, e gateway.AllowanceReceived, now cs.Instant, out *gateway.Actions) {
	m := &e.Message
	reply := gateway.AllowanceMessage{From: t.Self.ID, Incarnation: t.Self.Incarnation, For: m.Incarnation}
	p := t.Peers.Get(m.From)
	for _, request := range m.Requests {
		if p != nil && !isNewRequest(p, m.Incarnation, request.ID) {
			continue
		}
		reply.Replies = append(reply.Replies, decide(t, request, now))
	}
	if len(reply.Replies) > 0 {
		out.Add(gateway.SendAllowance{To: e.Address, Message: reply})
	}
}

// isNewRequest reports whether a request is later than all others of a VM, and records it.
func isNewRequest(p *gateway.Peer, incarnation cs.Incarnation, id gateway.AllowanceRequestID) bool {
	if incarnation < p.AllowanceIncarnation || incarnation == p.AllowanceIncarnation && id <= p.AllowanceID {
		return false
	}
	p.AllowanceIncarnation, p.AllowanceID = incarnation, id
	return true
}

// decide returns the reply to a request for permits. This VM decides only while it owns the limit, and knows of one.
func decide(t *gateway.Tables, request gateway.AllowanceRequest, now cs.Instant) gateway.AllowanceReply {
	reply := gateway.AllowanceReply{ID: request.ID}
	w := t.LimitOf(request.Workspace)
	if w == nil || !t.OwnsLimit(t.LimitPartition(w.ID), now) {
		reply.NotOwner = true
		return reply
	}
	reply.Granted, reply.Next, reply.Retry = t.TakePermits(t.FilledBucket(w, now), w, request.Permits, now)
	return reply
}

// removeIdleBuckets removes the buckets that are full, since nothing was taken from them for some time, and those of limits that
// this VM no longer owns.
func removeIdleBuckets(t *gateway.Tables, now cs.Instant) {
	t.Allowance.Buckets.DeleteFunc(func(id cs.WorkspaceID, b *gateway.Bucket) bool {
		w := t.LimitOf(id)
		gainedAt, owned := t.Allowance.Owned[t.LimitPartition(id)]
		return w == nil || !owned || gainedAt != b.GainedAt || t.IsIdle(b, w, now)
	})
}
