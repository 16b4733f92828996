package job

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// unsyncedLeases is the number of leases that a reader that has seen neither the start of the
// stream nor a checkpoint waits before it claims, so that a reader that knows the whole stream goes
// first.
const unsyncedLeases = 3

// claim appends a claim if the shard is claimable and this VM's reads of the log are up to date.
func claim(t *fleet.Tables, id cs.ShardID, s *fleet.Shard, now cs.Instant, out *fleet.Actions) {
	if s.Owned || s.Inflight != nil || !readsUpToDate(t, s, now) || !isClaimable(t, s, now) || t.NewestClaim(id).Fence > s.Claim {
		return // a claim that this VM has not read yet would make its own invalid
	}
	s.OwnSeq++
	s.Claiming, s.Attempts = now, 0
	s.Inflight = &cs.LogBatch{
		Writer: t.Self.Incarnation, VM: t.Self.ID, Fence: cs.NoOffset, Seq: s.OwnSeq,
		Records: []cs.Record{cs.Claim{Shard: id, Previous: s.Claim}},
	}
	appendInFlight(s, now, out)
	out.Count(fleet.CountClaims, "", 1)
}

// readsUpToDate reports whether this VM's reads of the log are recent and complete enough for a
// claim.
func readsUpToDate(t *fleet.Tables, s *fleet.Shard, now cs.Instant) bool {
	if !s.CaughtUp || t.Log.Age(now) >= logUnavailableAfter || now.Sub(s.ReadAt) >= logUnavailableAfter {
		return false
	}
	if !s.Synced && now.Sub(s.RenewedAt) < unsyncedLeases*t.Config.Lease {
		return false
	}
	return t.Log.FailedAt == 0 || now.Sub(t.Log.FreshSince) >= logUnavailableAfter
}

// isClaimable reports whether the claim in force no longer holds the shard. It decides only when to
// try: whether a claim is valid depends on its position in the log.
func isClaimable(t *fleet.Tables, s *fleet.Shard, now cs.Instant) bool {
	if s.Claim == cs.NoOffset || s.Released {
		return true
	}
	sinceRenewal := now.Sub(s.RenewedAt)
	if sinceRenewal >= t.Config.Lease {
		return true
	}
	if s.VM == t.Self.ID {
		return true // the claim is of an earlier process of this VM, or of this one before it read the stream again
	}
	vm := t.VMs.Get(s.VM)
	if vm == nil {
		return false
	}
	restarted := vm.Incarnation != s.Writer
	if vm.Live && !restarted {
		return vm.LastHeartbeat.LogAge > t.Config.Lease
	}
	if missed := sinceRenewal >= t.Config.Renewal+cs.Second; missed {
		return true
	}
	if vm.Live {
		return s.RenewedAt < vm.LiveSince
	}
	return sinceRenewal >= t.Config.PeerTimeout && s.RenewedAt <= vm.LastMessageAt
}
