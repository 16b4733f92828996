package job

import (
	"fmt"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

const testShards = 1

// cluster is a simulated log with VMs that run the systems against it.
type cluster struct {
	now         cs.Instant
	log         []cs.LoggedBatch
	firstOffset cs.Offset // the oldest offset that the log still holds
	logDown     bool      // reads and appends fail
	nodes       []*node
	loseReply   func() bool // whether the answer to an append is lost
	duplicate   func() bool // whether an append reaches the log twice
	delayed     []cs.LogBatch
	// answers and runs are what callers and runners received.
	answers   map[uint64]cs.ShardReply
	runs      []heldRun
	runCount  map[cs.ItemKey]int // runs of non-idempotent items, except those refused as not run
	cancelled map[cs.JobID]bool  // a caller received the answer that the job is cancelled
	// grantsAfterStop counts items of cancelled jobs that were granted while the log was available.
	grantsAfterStop int
	// immediateWakes counts ticks that requested another tick at once.
	immediateWakes int
}

type node struct {
	vm          cs.VM
	t           *fleet.Tables
	out         fleet.Actions
	inbox       []fleet.Event
	tailing     bool
	dead        bool
	frozen      bool
	partitioned bool // no messages to or from other VMs
	cutOff      bool // reads and appends of this VM fail
}

// heldRun is an item that a sender runs.
type heldRun struct {
	sender, owner cs.VMID
	item          cs.GrantedItem
}

func testConfig() fleet.Config {
	c := fleet.DefaultConfig()
	c.Shards = testShards
	return c
}

func newCluster(n int) *cluster {
	no := func() bool { return false }
	c := &cluster{
		now: 1_000_000, loseReply: no, duplicate: no, answers: map[uint64]cs.ShardReply{},
		runCount: map[cs.ItemKey]int{}, cancelled: map[cs.JobID]bool{},
	}
	for i := range n {
		c.nodes = append(c.nodes, &node{})
		c.start(i, cs.Incarnation(i+1))
	}
	return c
}

// start replaces a VM by a new process.
func (c *cluster) start(i int, inc cs.Incarnation) {
	vm := cs.VM{ID: cs.VMID(fmt.Sprintf("vm%d", i)), Incarnation: inc, DataCentre: "a"}
	c.nodes[i] = &node{vm: vm, t: fleet.New(testConfig(), vm, c.now, uint64(inc))}
	c.updateMembership()
}

// updateMembership updates the VM rows of all nodes, as package membership would.
func (c *cluster) updateMembership() {
	for _, n := range c.nodes {
		for _, other := range c.nodes {
			live := n == other || !other.dead && !other.frozen && !other.partitioned && !n.partitioned
			row := n.t.VMs.Get(other.vm.ID)
			if row == nil {
				row = n.t.VMs.Insert(other.vm.ID, fleet.VM{VM: other.vm, LiveSince: c.now})
			}
			if row.Live != live || row.Incarnation != other.vm.Incarnation {
				row.LiveSince = c.now
			}
			row.VM, row.Live, row.Linked = other.vm, live, live
			if live {
				row.LastMessageAt, row.HeartbeatAt = c.now, c.now
				row.LastHeartbeat = cs.Heartbeat{LogAge: other.t.Log.Age(max(c.now, other.t.Log.ReadAt)), Owned: other.owned()}
			}
		}
	}
}

// sendHeartbeats delivers to each VM the heartbeats that its rows of the other VMs hold.
func (c *cluster) sendHeartbeats() {
	for _, n := range c.nodes {
		for id, row := range n.t.VMs.All() {
			if id != n.vm.ID && row.Live {
				n.inbox = append(n.inbox, fleet.PeerMessageReceived{From: id, Message: row.LastHeartbeat})
			}
		}
	}
}

func (n *node) owned() []cs.OwnedShard {
	var owned []cs.OwnedShard
	for id, s := range n.t.Shards.All() {
		if s.Owned {
			owned = append(owned, cs.OwnedShard{Shard: id, Fence: s.Claim})
		}
	}
	return owned
}

// step advances the time and runs a tick of each VM.
func (c *cluster) step(by cs.Span) {
	c.now = c.now.Add(by)
	c.updateMembership()
	c.sendHeartbeats()
	for _, n := range c.nodes {
		c.tick(n)
	}
}

func (c *cluster) tick(n *node) {
	if n.dead || n.frozen {
		return
	}
	c.read(n)
	n.inbox = append(n.inbox, fleet.ListRead{})
	n.t.Events, n.inbox = n.inbox, nil
	n.out.Reset()
	for _, system := range []fleet.System{Follow, Serve, Grant, Commit} {
		system(n.t, c.now, &n.out)
	}
	if at := n.out.NextWake(); at != 0 && at <= c.now {
		c.immediateWakes++
	}
	for _, a := range n.out.List {
		c.perform(n, a)
	}
}

func (c *cluster) read(n *node) {
	s := n.t.Shards.Get(0)
	if !n.tailing || s == nil {
		return
	}
	if c.logDown || n.cutOff {
		n.inbox = append(n.inbox, fleet.LogReadFailed{Stream: s.Stream})
		return
	}
	next := c.firstOffset + cs.Offset(len(c.log))
	n.inbox = append(n.inbox, fleet.LogRead{
		Stream: s.Stream, First: c.firstOffset, Next: next, End: true, Batches: c.log[max(0, min(s.Next, next)-c.firstOffset):],
	})
}

func (c *cluster) perform(n *node, a fleet.Action) {
	switch a := a.(type) {
	case fleet.Subscribe:
		n.tailing = true
	case fleet.Unsubscribe:
		n.tailing = false
	case fleet.Append:
		c.append(n, a)
	case fleet.Send:
		c.send(n, a)
	case fleet.AnswerQuery:
		c.answers[a.ID] = a.Answer
		if ja, ok := a.Answer.(cs.JobReply); ok && ja.Status.State == cs.JobCancelled {
			c.cancelled[ja.Status.Job.ID] = true
		}
	default:
	}
}

func (c *cluster) append(n *node, a fleet.Append) {
	if c.logDown || n.cutOff {
		n.inbox = append(n.inbox, fleet.AppendFailed{Stream: a.Stream, Seq: a.Batch.Seq})
		return
	}
	c.appendToLog(a.Batch)
	if c.duplicate() {
		c.delayed = append(c.delayed, a.Batch)
	}
	if !c.loseReply() {
		n.inbox = append(n.inbox, fleet.Appended{Stream: a.Stream, Seq: a.Batch.Seq})
	}
}

func (c *cluster) appendToLog(b cs.LogBatch) {
	c.log = append(c.log, cs.LoggedBatch{Offset: c.firstOffset + cs.Offset(len(c.log)), At: c.now, Batch: b})
}

func (c *cluster) send(n *node, a fleet.Send) {
	var to *node
	for _, other := range c.nodes {
		if other.vm.ID == a.To {
			to = other
		}
	}
	if to == nil || to.dead || to != n && (to.partitioned || n.partitioned) {
		return
	}
	switch m := a.Message.(type) {
	case cs.ItemsGranted:
		for _, item := range m.Items {
			c.runs = append(c.runs, heldRun{sender: to.vm.ID, owner: n.vm.ID, item: item})
			if c.cancelled[item.Key.Job] && !c.logDown {
				c.grantsAfterStop++
			}
			if item.Item.NonIdempotent {
				c.runCount[item.Key]++
			}
		}
	case cs.BacklogReport, cs.StopItems:
	default:
		to.inbox = append(to.inbox, fleet.PeerMessageReceived{From: n.vm.ID, Message: m})
	}
}

// offer makes one VM offer slots of an engine to another.
func (c *cluster) offer(from, to int, slots cs.Slots) {
	if c.nodes[from].dead || c.nodes[to].dead {
		return
	}
	c.nodes[to].inbox = append(c.nodes[to].inbox, fleet.PeerMessageReceived{From: c.nodes[from].vm.ID, Message: cs.SlotsOffered{
		Runner: "r", Slots: slots, Loaded: []cs.LoadedModel{{Model: "m", Version: "1"}},
	}})
}

// deliverOutcome ends a run and sends its outcome to every VM that is not dead; only the owner
// applies it.
func (c *cluster) deliverOutcome(i int, m cs.ItemOutcome) {
	r := c.runs[i]
	c.runs = append(c.runs[:i], c.runs[i+1:]...)
	m.Key, m.Attempt = r.item.Key, r.item.Attempt
	if r.item.Item.NonIdempotent && m.Refusal != nil && m.Refusal.Ran == cs.RanNotRun {
		c.runCount[m.Key]--
	}
	for _, n := range c.nodes {
		if !n.dead {
			n.inbox = append(n.inbox, fleet.PeerMessageReceived{From: r.sender, Message: m})
		}
	}
}

func (c *cluster) ask(i int, id uint64, q cs.ShardQuery) {
	c.nodes[i].inbox = append(c.nodes[i].inbox, fleet.QueryReceived{
		ID: id, Shard: shardOfQuery(q, testShards), Query: q, Deadline: c.now.Add(30 * cs.Second),
	})
}

// owner returns the running VM that owns the shard under the newest claim, or nil.
func (c *cluster) owner() *node {
	var best *node
	fence := cs.NoOffset
	for _, n := range c.nodes {
		if s := n.t.Shards.Get(0); !n.dead && !n.frozen && s != nil && s.Owned && s.Claim > fence {
			best, fence = n, s.Claim
		}
	}
	return best
}

// runUntil runs steps until a condition holds; it returns false if it does not within the given
// time.
func (c *cluster) runUntil(limit cs.Span, cond func() bool) bool {
	for end := c.now.Add(limit); c.now < end; c.step(50 * cs.Millisecond) {
		if cond() {
			return true
		}
	}
	return cond()
}

func job(name string, n int, nonIdempotent bool) cs.SubmitJob {
	m := cs.SubmitJob{Job: cs.Job{
		ID: cs.NewJobID("t", cs.IdempotencyKey(name)), Tenant: "t", Key: cs.IdempotencyKey(name),
		Content: cs.HashContent(name, fmt.Sprint(n)), Count: cs.ItemIndex(n),
	}}
	for range n {
		m.Items = append(m.Items, cs.Item{
			Target: cs.Generation{Model: "m", Prompt: "p"}, NonIdempotent: nonIdempotent,
		})
	}
	return m
}

// finish grants items and lets each run succeed until the job has ended.
func (c *cluster) finish(id cs.JobID, limit cs.Span) bool {
	return c.runUntil(limit, func() bool {
		for len(c.runs) > 0 {
			c.deliverOutcome(0, cs.ItemOutcome{Output: "ok"})
		}
		for i := range c.nodes {
			for j := range c.nodes {
				c.offer(i, j, 16)
			}
		}
		o := c.owner()
		if o == nil {
			return false
		}
		j := o.t.Jobs.Get(id)
		return j != nil && (j.State == cs.JobFinished || j.State == cs.JobCancelled)
	})
}

// replay returns the tables of a VM that reads the log up to an offset in one read and owns
// nothing.
func (c *cluster) replay(next cs.Offset) *fleet.Tables {
	vm := cs.VM{ID: "reader", Incarnation: 999_999, DataCentre: "z"}
	t := fleet.New(testConfig(), vm, c.now, 1)
	t.Shards.Insert(0, fleet.Shard{Stream: cs.WorkStream(0), Claim: cs.NoOffset})
	var out fleet.Actions
	applyRead(t, fleet.LogRead{Stream: cs.WorkStream(0), Next: next, End: true, Batches: c.log[:next]}, c.now, &out)
	return t
}

// logFacts describes what the tables hold as durable about a shard, for comparison between readers.
func logFacts(t *fleet.Tables) map[string]string {
	m := map[string]string{"claim": fmt.Sprint(t.Shards.Get(0).Claim)}
	for id, j := range t.Jobs.All() {
		if j.State == cs.JobOpening {
			continue
		}
		m[string(id)] = fmt.Sprint(j.State, j.FinishedAt, j.Ended-j.Undurable)
		for i := range j.Items {
			item, res := durableState(cs.ItemIndex(i), &j.Items[i])
			m[fmt.Sprint(id, i)] = fmt.Sprint(item.NonIdempotent, res)
		}
	}
	for id, c := range t.Calls.All() {
		if c.Durable {
			m[string(id)] = fmt.Sprint(c.Hash, c.VM, c.Started, c.Ended, string(c.Answer), c.Refusal)
		}
	}
	return m
}
