package job

import (
	"strconv"
	"strings"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// keepTail is the time for which a stream is still read after this VM ceased to be ranked for it. A
// VM that is ranked again meanwhile need not read the stream from its start.
const keepTail = 30 * cs.Second

// Follow decides which work streams to read, applies what was read and claims shards.
func Follow(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	rank := false
	for _, e := range t.Events {
		switch e := e.(type) {
		case fleet.LogRead:
			t.Log.Read(now)
			readStream(t, e, now, out)
		case fleet.LogFailed:
			t.Log.FailedAt = now
		case fleet.AppendFailed:
			appendFailed(t, e, now)
		case fleet.ListRead, fleet.ListFailed, fleet.LinkOpened, fleet.LinkClosed:
			rank = true
		case fleet.PeerSaid:
			if m, ok := e.Message.(cs.PendingCopied); ok {
				keepCopies(t, m)
			}
		default:
		}
	}
	for _, s := range t.Shards.All() {
		rank = rank || now >= s.SweepAt
	}
	if rank {
		follow(t, now, out)
	}
	for _, s := range t.Shards.All() {
		if !acts(s) { // Grant sweeps the others
			out.WakeAt(s.SweepAt)
		}
	}
}

// shardOf returns the shard of a work stream.
func shardOf(stream cs.StreamID) (cs.ShardID, bool) {
	digits, ok := strings.CutPrefix(string(stream), "work-")
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseUint(digits, 10, 16)
	return cs.ShardID(n), err == nil
}

// follow begins and ends the reading of streams by rank, and claims what this VM should own.
func follow(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	all := candidates(t, now)
	for n := range t.Config.Shards {
		id := cs.ShardID(n)
		s := t.Shards.Get(id)
		if home := homeOf(id, all); s == nil && (home == nil || home.dc != t.Self.DataCentre) {
			continue
		}
		first, second := ranked(id, all)
		mine := first == t.Self.ID || second == t.Self.ID
		switch {
		case s == nil && mine:
			s = tail(t, id, now, out)
		case s == nil:
			continue
		case mine || s.Owned || s.Claiming != 0:
			s.Unranked = 0
		case s.Unranked == 0:
			s.Unranked = now
		case now.Sub(s.Unranked) >= keepTail:
			untail(t, id, out)
			continue
		}
		chooseStandby(t, s, first, second)
		if first == t.Self.ID {
			claim(t, id, s, now, out)
		}
		if acts(s) {
			continue // Grant and Commit do the rest
		}
		if now >= s.CarryAt {
			expire(t, id, now)
			s.CarryAt = now.Add(maxCarryCheck)
		}
		if now >= s.SweepAt {
			pruneCopies(t, s)
			s.SweepAt = now.Add(sweepEvery)
		}
	}
}

func tail(t *fleet.Tables, id cs.ShardID, now cs.Instant, out *fleet.Actions) *fleet.Shard {
	s := t.Shards.Insert(id, fleet.Shard{
		Stream: cs.WorkStream(id), Claim: cs.NoOffset, RenewedAt: now, SweepAt: now.Add(sweepEvery),
	})
	out.Add(fleet.Tail{Stream: s.Stream, From: 0})
	return s
}

func untail(t *fleet.Tables, id cs.ShardID, out *fleet.Actions) {
	out.Add(fleet.Untail{Stream: cs.WorkStream(id)})
	forget(t, id)
	t.Shards.Delete(id)
}

// forget drops the rows that were read from a shard's stream.
func forget(t *fleet.Tables, id cs.ShardID) {
	t.Jobs.DeleteFunc(func(_ cs.JobID, j *fleet.Job) bool { return j.Shard == id })
	t.Calls.DeleteFunc(func(_ cs.CallID, c *fleet.Call) bool { return c.Shard == id })
}

// chooseStandby sets the VM that gets copies: the first two ranks without the owner.
func chooseStandby(t *fleet.Tables, s *fleet.Shard, first, second cs.VMID) {
	standby := first
	if first == t.Self.ID {
		standby = second
	}
	if s.Standby != standby {
		s.Standby, s.CopyMark = standby, 0
	}
}
