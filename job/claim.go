package job

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// unsyncedLeases is the number of leases that a reader without a checkpoint waits before it claims,
// so that a reader that knows the whole stream goes first.
const unsyncedLeases = 3

// claim sends a claim if the shard is free and this VM's reading is up to date.
func claim(t *fleet.Tables, id cs.ShardID, s *fleet.Shard, now cs.Instant, out *fleet.Actions) {
	if s.Owned || s.Inflight != nil || !mayClaim(t, s, now) || !free(t, s, now) {
		return
	}
	s.OwnSeq++
	s.Claiming, s.Attempts = now, 0
	s.Inflight = &cs.LogBatch{
		Writer: t.Self.Incarnation, VM: t.Self.ID, Fence: cs.NoOffset, Seq: s.OwnSeq,
		Records: []cs.Record{cs.Claim{Shard: id, Previous: s.Claim}},
	}
	send(s, now, out)
	out.Count(fleet.CountClaims, "", 1)
}

// mayClaim reports whether this VM reads the log well enough to claim.
func mayClaim(t *fleet.Tables, s *fleet.Shard, now cs.Instant) bool {
	if !s.CaughtUp || t.Log.Age(now) >= logDown || now.Sub(s.ReadAt) >= logDown {
		return false
	}
	if !s.Synced && now.Sub(s.RenewedAt) < unsyncedLeases*t.Config.Lease {
		return false
	}
	return t.Log.FailedAt == 0 || now.Sub(t.Log.FreshSince) >= logDown
}

// free reports whether the claim in force no longer holds the shard. It only decides when to try:
// whether a claim counts is decided by its place in the log.
func free(t *fleet.Tables, s *fleet.Shard, now cs.Instant) bool {
	if s.Claim == cs.NoOffset || s.Released {
		return true
	}
	silent := now.Sub(s.RenewedAt)
	if silent >= t.Config.Lease {
		return true
	}
	if s.VM == t.Self.ID {
		return true // an earlier process of this VM, or this one before it read the stream again
	}
	vm := t.VMs.Get(s.VM)
	if vm == nil {
		return false
	}
	replaced := vm.Incarnation != s.Writer
	if vm.Live && !replaced {
		return vm.Beat.LogAge > t.Config.Lease
	}
	if missed := silent >= t.Config.Renewal+cs.Second; missed {
		return true
	}
	if vm.Live {
		return s.RenewedAt < vm.LiveSince
	}
	return silent >= t.Config.PeerTimeout && s.RenewedAt <= vm.Heard
}
