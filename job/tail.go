package job

import (
	"strconv"
	"strings"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// tailRetention is the time for which this VM still reads a stream after it has ceased to be ranked
// for it. A VM that is ranked again within that time need not read the stream from its start.
const tailRetention = 30 * cs.Second

// Follow decides which work streams to read, applies what was read and claims shards.
func Follow(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	rerank := false
	for _, e := range t.Events {
		switch e := e.(type) {
		case fleet.LogRead:
			t.Log.Read(now)
			applyRead(t, e, now, out)
		case fleet.LogReadFailed:
			t.Log.FailedAt = now
		case fleet.AppendFailed:
			appendFailed(t, e, now)
		case fleet.ListRead, fleet.ListReadFailed, fleet.LinkOpened, fleet.LinkClosed:
			rerank = true
		case fleet.PeerMessageReceived:
			switch m := e.Message.(type) {
			case cs.PendingRecords:
				storeCopies(t, m)
			case cs.Heartbeat:
				yieldShards(t, m, now, out)
			default:
			}
		default:
		}
	}
	for _, s := range t.Shards.All() {
		rerank = rerank || now >= s.SweepAt
	}
	if rerank {
		followShards(t, now, out)
	}
	for _, s := range t.Shards.All() {
		if !isActiveOwner(s) { // Grant sets the wake-up of active owners
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

// followShards starts and stops reading streams by rank, and claims the shards that this VM should
// own.
func followShards(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	centres := candidates(t, now)
	for n := range t.Config.Shards {
		id := cs.ShardID(n)
		s := t.Shards.Get(id)
		if home := homeOf(id, centres); s == nil && (home == nil || home.dc != t.Self.DataCentre) {
			continue
		}
		first, second := ranked(id, centres)
		isRanked := first == t.Self.ID || second == t.Self.ID
		switch {
		case s == nil && isRanked:
			s = startTail(t, id, now, out)
		case s == nil:
			continue
		case isRanked || s.Owned || s.Claiming != 0:
			s.UnrankedSince = 0
		case s.UnrankedSince == 0:
			s.UnrankedSince = now
		case now.Sub(s.UnrankedSince) >= tailRetention:
			stopTail(t, id, out)
			continue
		}
		chooseStandby(t, s, first, second)
		if first == t.Self.ID {
			claim(t, id, s, now, out)
		}
		if isActiveOwner(s) {
			continue // Grant and Commit sweep and expire the shards of an active owner
		}
		if now >= s.RewriteAt {
			expireResults(t, id, now)
			s.RewriteAt = now.Add(maxRewriteCheckInterval)
		}
		if now >= s.SweepAt {
			pruneCopies(t, s)
			s.SweepAt = now.Add(sweepInterval)
		}
	}
}

func startTail(t *fleet.Tables, id cs.ShardID, now cs.Instant, out *fleet.Actions) *fleet.Shard {
	s := t.Shards.Insert(id, fleet.Shard{
		Stream: cs.WorkStream(id), Claim: cs.NoOffset, RenewedAt: now, SweepAt: now.Add(sweepInterval),
	})
	out.Add(fleet.Subscribe{Stream: s.Stream, From: 0})
	return s
}

func stopTail(t *fleet.Tables, id cs.ShardID, out *fleet.Actions) {
	out.Add(fleet.Unsubscribe{Stream: cs.WorkStream(id)})
	dropShardRows(t, id)
	t.Shards.Delete(id)
}

// dropShardRows deletes the jobs and calls of a shard.
func dropShardRows(t *fleet.Tables, id cs.ShardID) {
	t.Jobs.DeleteFunc(func(_ cs.JobID, j *fleet.Job) bool { return j.Shard == id })
	t.Calls.DeleteFunc(func(_ cs.CallID, c *fleet.Call) bool { return c.Shard == id })
}

// chooseStandby sets the VM that gets copies of end records: the first ranked VM, or the second if
// this VM is the first.
func chooseStandby(t *fleet.Tables, s *fleet.Shard, first, second cs.VMID) {
	standby := first
	if first == t.Self.ID {
		standby = second
	}
	if s.Standby != standby {
		s.Standby, s.CopiedCount = standby, 0
	}
}
