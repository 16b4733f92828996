package job

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

func newOwnedCluster(t *testing.T, n int) *cluster {
	c := newCluster(n)
	qt.Assert(t, c.runUntil(30*cs.Second, func() bool { return c.owner() != nil }), qt.IsTrue)
	return c
}

func submitAccepted(t *testing.T, c *cluster, m cs.SubmitJob) {
	c.ask(0, 1, m)
	qt.Assert(t, c.runUntil(5*cs.Second, func() bool { return c.answers[1] != nil }), qt.IsTrue)
	_, ok := c.answers[1].(cs.JobReply)
	qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%v", c.answers[1]))
}

// TestJobCompletes guards against items or results of a job that are lost between submission and
// reading the results, without any failures.
func TestJobCompletes(t *testing.T) {
	for _, nonIdempotent := range []bool{false, true} {
		c := newOwnedCluster(t, 3)
		m := job("a", 40, nonIdempotent)
		submitAccepted(t, c, m)
		qt.Assert(t, c.finish(m.Job.ID, 30*cs.Second), qt.IsTrue)
		c.ask(1, 2, cs.GetResults{Job: m.Job.ID, Tenant: "t"})
		c.runUntil(3*cs.Second, func() bool { return c.answers[2] != nil })
		a := c.answers[2].(cs.ResultsReply)
		qt.Assert(t, a.State, qt.Equals, cs.JobFinished)
		qt.Assert(t, len(a.Results), qt.Equals, 40)
		for _, r := range a.Results {
			qt.Assert(t, r, qt.DeepEquals, cs.ItemResult{Index: r.Index, State: cs.ItemDone, Output: "ok", Attempts: 1})
		}
		qt.Assert(t, logFacts(c.owner().t), qt.DeepEquals, logFacts(c.replay(c.owner().t.Shards.Get(0).Next)))
	}
}

// TestBatchValidity guards against a reader that applies duplicates, batches of former owners,
// batches out of sequence or the later one of two racing claims.
func TestBatchValidity(t *testing.T) {
	claim := func(w cs.Incarnation, seq cs.Seq, previous cs.Offset) cs.LogBatch {
		return cs.LogBatch{
			Writer: w, VM: "x", Fence: cs.NoOffset, Seq: seq, Records: []cs.Record{cs.Claim{Previous: previous}},
		}
	}
	data := func(w cs.Incarnation, fence cs.Offset, seq cs.Seq) cs.LogBatch {
		return cs.LogBatch{Writer: w, Fence: fence, Seq: seq}
	}
	checkpoint := data(7, 5, 40)
	checkpoint.Records = []cs.Record{cs.Checkpoint{Claim: 5}}
	tests := []struct {
		name    string
		first   cs.Offset
		batches []cs.LogBatch
		claim   cs.Offset
		seq     cs.Seq
		ignored int
		synced  bool
	}{
		{"in order", 0, []cs.LogBatch{claim(1, 1, -1), data(1, 0, 2), data(1, 0, 3)}, 0, 3, 0, true},
		{"duplicate", 0, []cs.LogBatch{claim(1, 1, -1), data(1, 0, 2), data(1, 0, 2)}, 0, 2, 1, true},
		{"lost batch", 0, []cs.LogBatch{claim(1, 1, -1), data(1, 0, 3)}, 0, 1, 1, true},
		{"racing claims", 0, []cs.LogBatch{claim(1, 1, -1), claim(2, 1, -1), data(2, 1, 2)}, 0, 1, 2, true},
		{"former owner", 0, []cs.LogBatch{claim(1, 1, -1), claim(2, 1, 0), data(1, 0, 2), data(2, 1, 2)}, 1, 2, 1, true},
		{"claim sent twice", 0, []cs.LogBatch{claim(1, 1, -1), claim(1, 1, -1), data(1, 0, 2)}, 0, 2, 1, true},
		{"data without a claim", 0, []cs.LogBatch{data(1, 0, 2)}, -1, 0, 1, true},
		{"gap without a checkpoint", 10, []cs.LogBatch{data(7, 5, 40)}, 5, 40, 0, false},
		{"gap, then a checkpoint", 10, []cs.LogBatch{checkpoint, data(7, 5, 41)}, 5, 41, 0, true},
		{"gap, former owner first", 10, []cs.LogBatch{data(6, 3, 9), checkpoint, data(6, 3, 10)}, 5, 40, 1, true},
		{"gap, lost claim first", 10, []cs.LogBatch{claim(8, 1, 2), checkpoint}, 5, 40, 0, true},
	}
	for _, tt := range tests {
		tables, out := benchTables(), &fleet.Actions{}
		read := fleet.LogRead{Stream: cs.WorkStream(0), First: tt.first, Next: tt.first + cs.Offset(len(tt.batches)), End: true}
		for i, b := range tt.batches {
			read.Batches = append(read.Batches, cs.LoggedBatch{Offset: tt.first + cs.Offset(i), Batch: b})
		}
		tables.Self.Incarnation = 99
		tables.Events = []fleet.Event{read, read} // a second delivery must change nothing
		Follow(tables, tables.Started, out)
		s := tables.Shards.Get(0)
		ignored := 0
		for _, a := range out.List {
			if c, ok := a.(fleet.CounterAdded); ok && c.Counter == fleet.CountBatchesIgnored {
				ignored++
			}
		}
		got := []any{s.Claim, s.LastSeq, ignored, s.Synced}
		qt.Assert(t, got, qt.DeepEquals, []any{tt.claim, tt.seq, tt.ignored, tt.synced}, qt.Commentf(tt.name))
	}
}

// TestOwnOldClaimReadAgain guards against a VM that reads its own former claim again and acts as
// the owner. It mistook a call recorded in that time for one that no VM had been allowed to run, and
// let it run twice.
func TestOwnOldClaimReadAgain(t *testing.T) {
	tables, out := benchTables(), &fleet.Actions{}
	s := tables.Shards.Get(0)
	s.Claiming, s.Inflight = 0, nil
	started := cs.LoggedBatch{Offset: 1, Batch: cs.LogBatch{Writer: 1, Seq: 2, Records: []cs.Record{cs.CallStarted{Call: "c"}}}}
	tables.Events = []fleet.Event{fleet.LogRead{Stream: s.Stream, Next: 2, End: true, Batches: []cs.LoggedBatch{claimBatch(), started}}}
	Follow(tables, tables.Started, out)
	qt.Check(t, tables.Calls.Get("c").Durable, qt.IsTrue)
	qt.Check(t, []any{s.Owned, len(s.Pending)}, qt.DeepEquals, []any{false, 0})
}

// TestOwnClaimReadLate guards against a VM that reads its own claim after the heartbeat of a later
// owner and acts as the owner until it has read the later claim too.
func TestOwnClaimReadLate(t *testing.T) {
	tables, out := benchTables(), &fleet.Actions{}
	s := tables.Shards.Get(0)
	vm := tables.VMs.Insert("vm1", fleet.VM{VM: cs.VM{ID: "vm1"}, Live: true, Linked: true})
	vm.LastHeartbeat.Owned = []cs.OwnedShard{{Fence: 1}}
	tables.Events = []fleet.Event{fleet.LogRead{Stream: s.Stream, Next: 1, Batches: []cs.LoggedBatch{claimBatch()}}}
	Follow(tables, tables.Started, out)
	qt.Check(t, []any{s.Claim, s.Owned}, qt.DeepEquals, []any{cs.Offset(0), false})
}

// TestClaims guards against a claim on a shard whose owner renews its claim, and against a shard
// that no VM claims after its owner has released it, died or lost access to the log.
func TestClaims(t *testing.T) {
	const now = cs.Instant(1_000_000)
	tests := []struct {
		name  string
		set   func(*fleet.Tables, *fleet.Shard, *fleet.VM)
		claim bool
	}{
		{"owner renews", func(*fleet.Tables, *fleet.Shard, *fleet.VM) {}, false},
		{"no claim yet", func(_ *fleet.Tables, s *fleet.Shard, _ *fleet.VM) { s.Claim = cs.NoOffset }, true},
		{"released", func(_ *fleet.Tables, s *fleet.Shard, _ *fleet.VM) { s.Released = true }, true},
		{"lease over", func(_ *fleet.Tables, s *fleet.Shard, _ *fleet.VM) { s.RenewedAt = now - 10_000 }, true},
		{"owner cannot read the log", func(_ *fleet.Tables, _ *fleet.Shard, vm *fleet.VM) { vm.LastHeartbeat.LogAge = 11_000 }, true},
		{"owner dead, not renewed", func(_ *fleet.Tables, s *fleet.Shard, vm *fleet.VM) {
			vm.Live, vm.LastMessageAt, s.RenewedAt = false, now-3000, now-3000
		}, true},
		{"link broken, renewed since", func(_ *fleet.Tables, s *fleet.Shard, vm *fleet.VM) {
			vm.Live, vm.LastMessageAt, s.RenewedAt = false, now-4000, now-3500
		}, false},
		{"owner restarted", func(_ *fleet.Tables, s *fleet.Shard, vm *fleet.VM) {
			vm.Incarnation, vm.LiveSince, s.RenewedAt = 3, now, now-1000
		}, true},
		{"own log not read", func(t *fleet.Tables, s *fleet.Shard, _ *fleet.VM) {
			s.Released, t.Log.ReadAt = true, now-5000
		}, false},
		{"own log back for a short time", func(t *fleet.Tables, s *fleet.Shard, _ *fleet.VM) {
			s.Released, t.Log.FailedAt, t.Log.FreshSince = true, now-4000, now-4000
		}, false},
		{"not caught up", func(_ *fleet.Tables, s *fleet.Shard, _ *fleet.VM) { s.Released, s.CaughtUp = true, false }, false},
		{"stream not known from its start", func(_ *fleet.Tables, s *fleet.Shard, _ *fleet.VM) {
			s.Released, s.Synced = true, false
		}, false},
		{"newer claim not read yet", func(_ *fleet.Tables, s *fleet.Shard, vm *fleet.VM) {
			s.Released, vm.LastHeartbeat.Owned = true, []cs.OwnedShard{{Fence: 9}}
		}, false},
	}
	for _, tt := range tests {
		tables, out := benchTables(), &fleet.Actions{}
		tables.Log = fleet.LogState{ReadAt: now, FreshSince: now - 60_000}
		vm := tables.VMs.Insert("vm1", fleet.VM{VM: cs.VM{ID: "vm1", Incarnation: 2}, Live: true, LastMessageAt: now})
		s := tables.Shards.Get(0)
		s.Claim, s.Writer, s.VM, s.RenewedAt, s.ReadAt, s.Synced = 4, 2, "vm1", now-1000, now, true
		s.Claiming, s.Inflight = 0, nil
		tt.set(tables, s, vm)
		claim(tables, 0, s, now, out)
		qt.Assert(t, s.Claiming != 0, qt.Equals, tt.claim, qt.Commentf(tt.name))
	}
}

// TestRunOutcomes guards against a second run of a non-idempotent item, a wrong attempt count and
// an outcome that is applied to another run.
func TestRunOutcomes(t *testing.T) {
	refusal := func(reason cs.Reason, ran cs.Ran) *cs.Refusal { return &cs.Refusal{Reason: reason, Ran: ran} }
	ok, stopped := cs.ItemOutcome{}, cs.ItemOutcome{Stopped: true, Output: "part", Tokens: 2}
	notRun := cs.ItemOutcome{Refusal: refusal(cs.ReasonUnavailable, cs.RanNotRun)}
	failed := cs.ItemOutcome{Refusal: refusal(cs.ReasonRejected, cs.RanFailed)}
	unknown := cs.ItemOutcome{Refusal: refusal(cs.ReasonBroken, cs.RanUnknown)}
	crashed := cs.ItemOutcome{Refusal: refusal(cs.ReasonBroken, cs.RanUnknown), Crashed: true}
	invalid := cs.ItemOutcome{Refusal: refusal(cs.ReasonInvalid, cs.RanNotRun)}
	quarantined := cs.ItemOutcome{Refusal: refusal(cs.ReasonQuarantined, cs.RanFailed)}
	tests := []struct {
		name          string
		nonIdempotent bool
		before        cs.Attempt // failed attempts before this run
		from          cs.VMID
		m             cs.ItemOutcome
		state         cs.ItemState
		attempts      cs.Attempt
	}{
		{"done", false, 0, "vm0", ok, cs.ItemDone, 1},
		{"done by an earlier sender", false, 0, "vm9", ok, cs.ItemDone, 1},
		{"stopped", false, 0, "vm0", stopped, cs.ItemWaiting, 0},
		{"stopped by another sender", false, 0, "vm9", stopped, cs.ItemRunning, 1},
		{"not run", false, 0, "vm0", notRun, cs.ItemWaiting, 0},
		{"failed", false, 0, "vm0", failed, cs.ItemWaiting, 1},
		{"failed for the last time", false, 2, "vm0", failed, cs.ItemFailed, 3},
		{"unknown for the last time", false, 2, "vm0", unknown, cs.ItemFailed, 3},
		{"runner crashed", false, 0, "vm0", crashed, cs.ItemWaiting, 0},
		{"runner crashed, two failed attempts before", false, 2, "vm0", crashed, cs.ItemWaiting, 2},
		{"runner crashed, of an earlier grant", false, 0, "vm9", crashed, cs.ItemRunning, 1},
		{"invalid", false, 0, "vm0", invalid, cs.ItemFailed, 1},
		{"quarantined by a sender of an earlier version", false, 0, "vm0", quarantined, cs.ItemWaiting, 1},
		{"non-idempotent, done", true, 0, "vm0", ok, cs.ItemDone, 1},
		{"non-idempotent, stopped", true, 0, "vm0", stopped, cs.ItemUnknown, 1},
		{"non-idempotent, not run", true, 0, "vm0", notRun, cs.ItemWaiting, 0},
		{"non-idempotent, not run by another", true, 0, "vm9", notRun, cs.ItemRunning, 1},
		{"non-idempotent, failed", true, 0, "vm0", failed, cs.ItemFailed, 1},
		{"non-idempotent, unknown", true, 0, "vm0", unknown, cs.ItemUnknown, 1},
		{"non-idempotent, runner crashed", true, 0, "vm0", crashed, cs.ItemUnknown, 1},
	}
	for _, tt := range tests {
		tables, out := ownerWithJobs(1, 1)
		id := job("job0", 1, false).Job.ID
		j := tables.Jobs.Get(id)
		it := &j.Items[0]
		it.NonIdempotent, it.Started = tt.nonIdempotent, tt.nonIdempotent
		it.Attempts, it.Grants = tt.before+1, 5
		markRunning(j, 0, it, "vm0", 1, 0, 1<<60)
		tt.m.Key, tt.m.Attempt = cs.ItemKey{Job: id}, 5
		handleOutcome(tables, tt.from, tt.m, tables.Started, out)
		qt.Check(t, []any{it.State, it.Attempts}, qt.DeepEquals, []any{tt.state, tt.attempts}, qt.Commentf(tt.name))
		if tt.m.Stopped && tt.state == cs.ItemWaiting {
			qt.Check(t, it.Partial, qt.Equals, "part")
		}
	}
}

// TestQueryRefusals guards against a wrong refusal of a query, above all a "not run" for something
// that may have run.
func TestQueryRefusals(t *testing.T) {
	m, other := job("a", 10, false), job("a", 11, false)
	big, stranger := job("b", 500_000, false), cs.GetJob{Job: m.Job.ID, Tenant: "x"}
	begin := cs.BeginCall{Call: "c", Hash: 1, VM: "vm0"}
	tests := []struct {
		name    string
		q       cs.ShardQuery
		logDown bool
		reason  cs.Reason
		ran     cs.Ran
	}{
		{"other content", other, false, cs.ReasonConflict, cs.RanNotRun},
		{"other tenant", stranger, false, cs.ReasonNotFound, cs.RanNotRun},
		{"too many items", big, false, cs.ReasonOverloaded, cs.RanNotRun},
		{"no such job", cs.StopJob{Job: "none", Tenant: "t"}, false, cs.ReasonNotFound, cs.RanNotRun},
		{"other call", cs.BeginCall{Call: "c", Hash: 2, VM: "vm1"}, false, cs.ReasonConflict, cs.RanNotRun},
		{"call runs", begin, false, cs.ReasonExpired, cs.RanUnknown},
		{"submit without log", job("c", 1, false), true, cs.ReasonUnavailable, cs.RanNotRun},
		{"call without log", cs.BeginCall{Call: "d", Hash: 1, VM: "vm0"}, true, cs.ReasonUnavailable, cs.RanNotRun},
		{"call not sent to the log", cs.BeginCall{Call: "e", Hash: 1, VM: "vm0"}, false, cs.ReasonExpired, cs.RanNotRun},
		{"submit not sent to the log", job("e", 1, false), false, cs.ReasonExpired, cs.RanNotRun},
		{"stop without log", cs.StopJob{Job: m.Job.ID, Tenant: "t"}, true, cs.ReasonExpired, cs.RanUnknown},
	}
	c := newOwnedCluster(t, 1) // one VM, so that no query is forwarded
	submitAccepted(t, c, m)
	c.ask(0, 2, begin)
	c.runUntil(cs.Second, func() bool { return c.answers[2] != nil })
	qt.Assert(t, c.answers[2], qt.DeepEquals, cs.ShardReply(cs.CallReply{Run: true}))
	for i, tt := range tests {
		if tt.name == "call not sent to the log" {
			c.runUntil(6*cs.Second, func() bool { return false })
			blocked := cs.LogBatch{Writer: 1, Fence: 99, Seq: 1 << 40}
			c.nodes[0].t.Shards.Get(0).Inflight = &blocked // is never read back
		}
		if c.logDown != tt.logDown {
			c.logDown = tt.logDown
			c.runUntil(6*cs.Second, func() bool { return false })
		}
		id := uint64(10 + i)
		c.ask(0, id, tt.q)
		c.runUntil(31*cs.Second, func() bool { return c.answers[id] != nil })
		r, ok := c.answers[id].(cs.RefusedReply)
		qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%s: %v", tt.name, c.answers[id]))
		qt.Check(t, []any{r.Refusal.Reason, r.Refusal.Ran}, qt.DeepEquals, []any{tt.reason, tt.ran}, qt.Commentf(tt.name))
	}
}

// TestTakeover guards against a second run of non-idempotent items that a dead owner had started,
// against ended items that are lost when their owner dies during an outage of the log, and against
// a call that never ends.
func TestTakeover(t *testing.T) {
	c := newOwnedCluster(t, 3)
	once, many := job("once", 4, true), job("many", 20, false)
	submitAccepted(t, c, once)
	c.answers = map[uint64]cs.ShardReply{}
	submitAccepted(t, c, many)
	o := c.owner()
	call := cs.BeginCall{Call: "c", Hash: 1, VM: o.vm.ID}
	c.ask(slices.Index(c.nodes, o), 2, call)
	c.runUntil(2*cs.Second, func() bool { c.offer(0, 0, 0); return c.answers[2] != nil })
	for range 40 { // until both jobs have items running
		for i, n := range c.nodes {
			if n == o {
				c.offer((i+1)%3, i, 8)
			}
		}
		c.step(100)
	}
	c.logDown = true
	for _, r := range slices.Clone(c.runs) {
		if r.item.Key.Job == many.Job.ID {
			c.deliverOutcome(slices.IndexFunc(c.runs, func(x heldRun) bool { return x.item.Key == r.item.Key }), cs.ItemOutcome{Output: "before"})
		}
	}
	c.runUntil(2*cs.Second, func() bool { return false }) // the standby gets copies
	o.dead, c.logDown, c.runs = true, false, nil
	qt.Assert(t, c.runUntil(30*cs.Second, func() bool { return c.owner() != nil }), qt.IsTrue)
	qt.Assert(t, c.finish(once.Job.ID, 30*cs.Second), qt.IsTrue)
	tables := c.owner().t
	qt.Check(t, tables.Jobs.Get(once.Job.ID).Counts[cs.ItemUnknown], qt.Equals, cs.ItemIndex(4))
	qt.Check(t, tables.Jobs.Get(many.Job.ID).Items[0].Output, qt.Equals, "before")
	qt.Check(t, c.runUntil(5*cs.Second, func() bool { return tables.Calls.Get("c").Ended }), qt.IsTrue)
	qt.Check(t, tables.Calls.Get("c").Refusal.Ran, qt.Equals, cs.RanUnknown)
}

// TestBatchSizeAndOrder guards against batches that are too large for the log, and against a batch
// that is sent before the previous one is read back.
func TestBatchSizeAndOrder(t *testing.T) {
	c := newOwnedCluster(t, 2)
	submitAccepted(t, c, job("a", 20_000, false))
	batches := 0
	for i, b := range c.log {
		size := cs.Bytes(0)
		for _, r := range b.Batch.Records {
			size += sizeOf(r)
		}
		qt.Assert(t, size <= maxBatchSize, qt.IsTrue, qt.Commentf("batch %d has %d bytes", i, size))
		if size > maxChunkSize {
			batches++
		}
		if i > 0 && b.Batch.Writer == c.log[i-1].Batch.Writer {
			qt.Assert(t, b.At > c.log[i-1].At, qt.IsTrue)
		}
	}
	qt.Check(t, batches >= 2, qt.IsTrue)
}

// TestItemEndsOnce guards against an item that ends a second time or after its job was cancelled.
func TestItemEndsOnce(t *testing.T) {
	id := job("job0", 1, false).Job.ID
	done := cs.ItemEnded{Job: id, Result: cs.ItemResult{State: cs.ItemDone, Output: "a", Attempts: 1}}
	failed := cs.ItemEnded{Job: id, Result: cs.ItemResult{State: cs.ItemFailed, Error: "b", Attempts: 1}}
	stopped := cs.JobStopped{Job: id}
	tests := []struct {
		records []cs.Record
		state   cs.ItemState
		job     cs.JobState
	}{
		{[]cs.Record{done, failed}, cs.ItemDone, cs.JobOpen},
		{[]cs.Record{stopped, done}, cs.ItemCancelled, cs.JobCancelled},
		{[]cs.Record{done, stopped}, cs.ItemDone, cs.JobCancelled},
	}
	for _, tt := range tests {
		tables, out := ownerWithJobs(1, 2)
		a := applier{t: tables, s: tables.Shards.Get(0), now: tables.Started, out: out}
		for _, r := range tt.records {
			a.apply(r)
		}
		j := tables.Jobs.Get(id)
		qt.Check(t, []any{j.Items[0].State, j.State}, qt.DeepEquals, []any{tt.state, tt.job})
	}
}

// TestCallOfDeadVM guards against a repeated call that waits for ever, or runs, after the VM that
// began the call is dead.
func TestCallOfDeadVM(t *testing.T) {
	c := newOwnedCluster(t, 3)
	i := (slices.Index(c.nodes, c.owner()) + 1) % 3
	c.ask(i, 1, cs.BeginCall{Call: "c", Hash: 1, VM: c.nodes[i].vm.ID})
	c.runUntil(3*cs.Second, func() bool { return c.answers[1] != nil })
	qt.Assert(t, c.answers[1], qt.DeepEquals, cs.ShardReply(cs.CallReply{Run: true}))
	c.nodes[i].dead = true
	c.ask((i+1)%3, 2, cs.BeginCall{Call: "c", Hash: 1, VM: c.nodes[(i+1)%3].vm.ID})
	c.runUntil(10*cs.Second, func() bool { return c.answers[2] != nil })
	a, ok := c.answers[2].(cs.CallReply)
	qt.Assert(t, ok && !a.Run && a.Refusal != nil, qt.IsTrue, qt.Commentf("%v", c.answers[2]))
	qt.Check(t, a.Refusal.Ran, qt.Equals, cs.RanUnknown)
}

// TestSmallJobBesideLarge guards against a job of 130,000 items that delays one of 20, and against
// a cost of the large job that grows faster than its number of items.
func TestSmallJobBesideLarge(t *testing.T) {
	for _, due := range []cs.Instant{0, 2_000_000, 1_000_001} { // none, equal, missed by the large one
		tables, out := ownerWithJobs(1, 130_000)
		small := job("small", 20, false)
		s := tables.Shards.Get(0)
		tables.Jobs.Get(job("job0", 1, false).Job.ID).Due = due
		s.ItemTime = 2000
		a := applier{t: tables, s: s, now: tables.Started, out: out}
		small.Job.Due = 2_000_000
		for _, r := range []cs.Record{
			cs.JobOpened{Job: small.Job}, cs.JobItems{Job: small.Job.ID, Items: small.Items}, cs.JobSealed{Job: small.Job.ID},
		} {
			a.apply(r)
		}
		granted := 0
		for tables.Jobs.Get(small.Job.ID).Counts[cs.ItemWaiting] > 0 {
			m := cs.SlotsOffered{Slots: 8, Loaded: []cs.LoadedModel{{Model: "m", Version: "1"}}}
			answerOffer(tables, "vm0", m, &versions{}, tables.Started, out)
			granted += 8
		}
		qt.Check(t, granted <= 20*nonUrgentEvery+8, qt.IsTrue, qt.Commentf("20 items took %d grants with due %d", granted, due))
	}
}

// TestRewriteBeforeRetention guards against jobs and calls that are lost when the log drops the
// records that described them.
func TestRewriteBeforeRetention(t *testing.T) {
	c := newOwnedCluster(t, 2)
	for _, n := range c.nodes {
		n.t.Config.Retention = 40 * cs.Second
	}
	m, once := job("a", 1000, false), job("once", 4, true)
	submitAccepted(t, c, once)
	c.offer(0, 0, 4) // writes ItemStarted
	c.offer(1, 1, 4)
	c.runUntil(cs.Second, func() bool { return false })
	c.answers = map[uint64]cs.ShardReply{}
	submitAccepted(t, c, m)
	c.offer(0, 0, 5)
	c.offer(1, 1, 5)
	c.step(100)
	c.runs = slices.DeleteFunc(c.runs, func(r heldRun) bool { return r.item.Key.Job == once.Job.ID })
	for len(c.runs) > 0 {
		c.deliverOutcome(0, cs.ItemOutcome{Output: "early"})
	}
	c.ask(0, 2, cs.BeginCall{Call: "c", Hash: 1, VM: "vm0"})
	c.runUntil(cs.Second, func() bool { return c.answers[2] != nil })
	c.ask(0, 5, cs.BeginCall{Call: "open", Hash: 1, VM: "vm0"})
	c.ask(0, 3, cs.EndCall{Call: "c", Answer: []byte("recorded")})
	c.runUntil(3*cs.Minute, func() bool { return false })
	qt.Check(t, c.owner().t.Calls.Get("open").Ended, qt.IsFalse)
	keep := slices.IndexFunc(c.log, func(b cs.LoggedBatch) bool { return b.At > c.now-20_000 })
	c.log, c.firstOffset = c.log[keep:], c.log[keep].Offset
	c.start(0, 50)
	c.start(1, 51)
	qt.Assert(t, c.runUntil(30*cs.Second, func() bool { return c.owner() != nil }), qt.IsTrue)
	c.ask(1, 4, cs.BeginCall{Call: "c", Hash: 1, VM: "vm1"})
	qt.Assert(t, c.finish(m.Job.ID, 30*cs.Second), qt.IsTrue)
	qt.Check(t, c.answers[4], qt.DeepEquals, cs.ShardReply(cs.CallReply{Answer: []byte("recorded")}))
	qt.Assert(t, c.finish(once.Job.ID, 30*cs.Second), qt.IsTrue)
	j := c.owner().t.Jobs.Get(m.Job.ID)
	qt.Check(t, c.owner().t.Jobs.Get(once.Job.ID).Counts[cs.ItemUnknown], qt.Equals, cs.ItemIndex(4))
	qt.Check(t, []any{j.Items[0].Output, j.Counts[cs.ItemDone]}, qt.DeepEquals, []any{"early", cs.ItemIndex(1000)})
}

// TestForwardQuery guards against a query that waits although there is a path to the owner, and
// against one that is forwarded in a circle.
func TestForwardQuery(t *testing.T) {
	tests := []struct {
		name    string
		links   []cs.VMID
		from    cs.VMID
		hops    int
		sentTo  cs.VMID
		without bool // no owner is known
	}{
		{"to the owner", []cs.VMID{"b1", "b2"}, "", 0, "b1", false},
		{"through a VM of the owner's data centre", []cs.VMID{"b2"}, "", 0, "b2", false},
		{"no path", []cs.VMID{"a1"}, "", 0, "", false},
		{"not back to the sender", []cs.VMID{"b1"}, "b1", 1, "", false},
		{"too many hops", []cs.VMID{"b1"}, "a1", maxHops, "", false},
		{"no owner known", []cs.VMID{"b1", "b2"}, "", 0, "b1", true},
	}
	for _, tt := range tests {
		tables, out := benchTables(), &fleet.Actions{}
		tables.Shards.Delete(0)
		tables.Drain.Phase = fleet.DrainWaiting // this VM is no candidate for the owner itself
		for _, id := range []cs.VMID{"a1", "b1", "b2"} {
			vm := fleet.VM{VM: cs.VM{ID: id, DataCentre: cs.DataCentreID(id[:1])}, Live: true, Linked: slices.Contains(tt.links, id)}
			vm.Leaving = tt.without && id != "b1"
			if id == "b1" && !tt.without {
				vm.LastHeartbeat.Owned = []cs.OwnedShard{{Fence: 3}}
			}
			tables.VMs.Insert(id, vm)
		}
		q := tables.Queries.Insert(1, fleet.Query{
			Query: cs.StopJob{}, Since: tables.Started, Deadline: tables.Started + 10_000, From: tt.from, Hops: tt.hops,
		})
		Serve(tables, tables.Started, out)
		qt.Check(t, q.SentTo, qt.Equals, tt.sentTo, qt.Commentf(tt.name))
		qt.Check(t, q.Recorded, qt.Equals, tt.sentTo != "", qt.Commentf(tt.name))
	}
}

// TestManyShards guards against shards that no VM claims, or two VMs claim, when there are several.
func TestManyShards(t *testing.T) {
	const shards = 16
	vms := []cs.VM{{ID: "a", Incarnation: 1, DataCentre: "x"}, {ID: "b", Incarnation: 2, DataCentre: "x"}, {ID: "c", Incarnation: 3, DataCentre: "y"}}
	claims, tails := map[cs.StreamID]int{}, map[cs.StreamID]int{}
	for _, self := range vms {
		c := testConfig()
		c.Shards = shards
		tables, out := fleet.New(c, self, 1_000_000, 1), &fleet.Actions{}
		for _, vm := range vms {
			tables.VMs.Insert(vm.ID, fleet.VM{VM: vm, Live: true, Linked: true})
		}
		tables.Log.ReadAt = tables.Started
		tables.Events = []fleet.Event{fleet.ListRead{}}
		Follow(tables, tables.Started, out)
		tables.Events = nil
		for _, a := range out.List {
			if tail, ok := a.(fleet.Subscribe); ok {
				tails[tail.Stream]++
				tables.Events = append(tables.Events, fleet.LogRead{Stream: tail.Stream, End: true})
			}
		}
		out.Reset()
		Follow(tables, tables.Started.Add(300), out)
		for _, a := range out.List {
			if sent, ok := a.(fleet.Append); ok {
				claims[sent.Stream]++
			}
		}
	}
	for i := range shards {
		stream := cs.WorkStream(cs.ShardID(i))
		qt.Check(t, claims[stream], qt.Equals, 1, qt.Commentf("%s", stream))
		qt.Check(t, tails[stream] >= 1 && tails[stream] <= 2, qt.IsTrue, qt.Commentf("%s", stream))
	}
}

// TestLaneMatchesOffer guards against an item that runs on a model version that is not in force, or
// on a runner that cannot run it.
func TestLaneMatchesOffer(t *testing.T) {
	tables, _ := ownerWithJobs(0, 0)
	tables.Tickets.Insert("deployment/d", fleet.Ticket{LoggedTicket: cs.LoggedTicket{Ticket: cs.Ticket{
		State: cs.Deployment{Name: "d", Service: "g", Model: "m", Version: "2"},
	}}})
	engine := func(group cs.ServiceID, model cs.ModelID, version cs.VersionID) cs.SlotsOffered {
		return cs.SlotsOffered{Service: group, Loaded: []cs.LoadedModel{{Model: "z", Version: "9"}, {Model: model, Version: version}}}
	}
	tests := []struct {
		lane  fleet.Lane
		offer cs.SlotsOffered
		want  bool
	}{
		{fleet.Lane{Model: "m", Version: "1"}, engine("g", "m", "1"), true},
		{fleet.Lane{Model: "m", Version: "1"}, engine("g", "m", "2"), false},
		{fleet.Lane{Model: "m"}, engine("g", "m", "2"), true},
		{fleet.Lane{Model: "m"}, engine("g", "m", "1"), false},
		{fleet.Lane{Model: "m"}, engine("h", "m", "1"), true}, // no deployment for this group
		{fleet.Lane{Model: "m"}, engine("g", "n", "2"), false},
		{fleet.Lane{Service: "s"}, cs.SlotsOffered{Service: "s"}, true},
		{fleet.Lane{Service: "s"}, cs.SlotsOffered{Service: "r"}, false},
		{fleet.Lane{Service: "s"}, engine("s", "m", "1"), false},
		{fleet.Lane{Model: "m"}, cs.SlotsOffered{Service: "g"}, false},
	}
	for _, tt := range tests {
		v := &versions{}
		qt.Check(t, v.matches(tables, &tt.lane, tt.offer), qt.Equals, tt.want, qt.Commentf("%v %v", tt.lane, tt.offer))
	}
}

// TestRunTimeoutAndLostSender guards against an item that waits for ever for the outcome of its
// run, and against an item of a former owner that is granted again while this VM still runs it.
func TestRunTimeoutAndLostSender(t *testing.T) {
	const now = cs.Instant(1_000_000)
	tests := []struct {
		name          string
		nonIdempotent bool
		dead          bool
		after         cs.Span
		state         cs.ItemState
		attempts      cs.Attempt
	}{
		{"in time", false, false, maxRunTime - 1, cs.ItemRunning, 1},
		{"too long", false, false, maxRunTime, cs.ItemWaiting, 1},
		{"non-idempotent, too long", true, false, maxRunTime, cs.ItemUnknown, 1},
		{"sender dead", false, true, cs.Second, cs.ItemWaiting, 0},
		{"non-idempotent, sender dead", true, true, cs.Second, cs.ItemUnknown, 1},
	}
	for _, tt := range tests {
		tables, out := ownerWithJobs(1, 1)
		s, id := tables.Shards.Get(0), job("job0", 1, false).Job.ID
		tables.VMs.Insert("vm1", fleet.VM{VM: cs.VM{ID: "vm1", Incarnation: 2}, Live: !tt.dead})
		j := tables.Jobs.Get(id)
		it := &j.Items[0]
		it.NonIdempotent, it.Started, it.Attempts, it.Grants = tt.nonIdempotent, tt.nonIdempotent, 1, 1
		markRunning(j, 0, it, "vm1", 2, now, now.Add(maxRunTime))
		sweepShard(tables, 0, s, now.Add(tt.after), out)
		qt.Check(t, []any{it.State, it.Attempts}, qt.DeepEquals, []any{tt.state, tt.attempts}, qt.Commentf(tt.name))
	}
	tables, out := ownerWithJobs(1, 2)
	s, id := tables.Shards.Get(0), job("job0", 1, false).Job.ID
	tables.Runs.Insert(cs.ItemKey{Job: id}, fleet.Run{GrantedItem: cs.GrantedItem{Attempt: 3}})
	takeOver(tables, 0, s, now, out)
	j := tables.Jobs.Get(id)
	qt.Check(t, []any{j.Items[0].State, j.Items[1].State}, qt.DeepEquals, []any{cs.ItemRunning, cs.ItemWaiting})
	qt.Check(t, j.Items[0].Attempts, qt.Equals, cs.Attempt(1))
	sweepShard(tables, 0, s, now.Add(tables.Config.Lease), out)
	qt.Check(t, j.Items[0].State, qt.Equals, cs.ItemWaiting)
}

// TestOwnerCutOffFromLogGivesUp guards against an owner that cannot read the log and goes on as the
// owner although heartbeats show the claim of a new one: it granted items to itself that the new
// owner had granted, and answered queries from its old state. Ends that it could not append must
// reach the new owner, and no item may stay running.
func TestOwnerCutOffFromLogGivesUp(t *testing.T) {
	c := newOwnedCluster(t, 3)
	m := job("a", 40, false)
	submitAccepted(t, c, m)
	former := c.owner()
	former.cutOff = true
	i := slices.Index(c.nodes, former)
	c.offer(i, i, 10)
	c.step(50 * cs.Millisecond)
	for range 5 {
		c.deliverOutcome(0, cs.ItemOutcome{Output: "ok"})
	}
	qt.Assert(t, c.runUntil(30*cs.Second, func() bool { return c.owner() != former }), qt.IsTrue)
	c.step(50 * cs.Millisecond)
	c.step(50 * cs.Millisecond)
	qt.Check(t, former.t.Shards.Get(0).Owned, qt.IsFalse)
	qt.Check(t, c.owner().t.Jobs.Get(m.Job.ID).Counts[cs.ItemDone], qt.Equals, cs.ItemIndex(5))

	c.offer(i, i, 10)
	c.ask(i, 2, cs.GetJob{Job: m.Job.ID, Tenant: "t"})
	granted := len(c.runs)
	c.runUntil(cs.Second, func() bool { return c.answers[2] != nil })
	qt.Check(t, len(c.runs), qt.Equals, granted, qt.Commentf("runs granted by the former owner"))
	reply, ok := c.answers[2].(cs.JobReply)
	qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%v", c.answers[2]))
	qt.Check(t, reply.Status, qt.DeepEquals, c.owner().t.Jobs.Get(m.Job.ID).Status())

	qt.Assert(t, c.finish(m.Job.ID, 30*cs.Second), qt.IsTrue)
}

// TestNewOwnerAdoptsLocalRuns guards against runs that a VM keeps when it takes a shard over and that the
// former owner then stops: the new owner waited a lease for their outcome.
func TestNewOwnerAdoptsLocalRuns(t *testing.T) {
	c := newOwnedCluster(t, 3)
	m := job("a", 4, false)
	submitAccepted(t, c, m)
	former := c.owner()
	key := cs.ItemKey{Job: m.Job.ID}
	for _, n := range c.nodes {
		n.t.Runs.Insert(key, fleet.Run{GrantedItem: cs.GrantedItem{Key: key, Attempt: 2}, Grant: 2, Owner: former.vm.ID})
	}
	former.cutOff = true
	qt.Assert(t, c.runUntil(30*cs.Second, func() bool { return c.owner() != former }), qt.IsTrue)
	tables := c.owner().t
	run := tables.Runs.Get(key)
	got := []any{run.Owner, run.Fence, run.Grant, tables.Jobs.Get(key.Job).Items[0].State}
	qt.Check(t, got, qt.DeepEquals, []any{tables.Self.ID, tables.Shards.Get(0).Claim, cs.Attempt(2), cs.ItemRunning})
}

// TestFormerOwnerDoesNotDenyJob guards against 404 for an accepted job: a VM that cannot read the log still
// takes itself for the owner of the shard, and does not know the jobs that the new owner has accepted.
func TestFormerOwnerDoesNotDenyJob(t *testing.T) {
	c := newOwnedCluster(t, 3)
	former := c.owner()
	former.frozen = true
	qt.Assert(t, c.runUntil(60*cs.Second, func() bool { return c.owner() != nil }), qt.IsTrue)
	m := job("later", 1, false)
	c.ask(slices.Index(c.nodes, c.owner()), 7, m)
	qt.Assert(t, c.runUntil(5*cs.Second, func() bool { return c.answers[7] != nil }), qt.IsTrue)
	_, accepted := c.answers[7].(cs.JobReply)
	qt.Assert(t, accepted, qt.IsTrue)
	former.frozen, former.tailing = false, false // it runs again, but its reads of the log do not return
	c.ask(slices.Index(c.nodes, former), 8, cs.GetJob{Job: m.Job.ID, Tenant: "t"})
	c.runUntil(3*cs.Second, func() bool { return c.answers[8] != nil })
	if refused, ok := c.answers[8].(cs.RefusedReply); ok {
		qt.Assert(t, refused.Refusal.Reason, qt.Not(qt.Equals), cs.ReasonNotFound)
	}
}
