package job

import (
	"fmt"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

const testShards = 1

// world is a simulated log with VMs that run the systems against it.
type world struct {
	now   cs.Instant
	log   []cs.LoggedBatch
	first cs.Offset // the oldest offset kept
	down  bool      // the log takes and gives nothing
	nodes []*node
	lose  func() bool // whether the answer of an append is lost
	twice func() bool // whether an append lands twice
	late  []cs.LogBatch
	// answers and runs are what callers and runners saw.
	answers map[uint64]cs.ShardAnswer
	runs    []run
	ran     map[cs.ItemKey]int // runs of non-idempotent items that were not refused as not run
	stopped map[cs.JobID]bool  // the caller was told that the job is cancelled
	// afterStop counts grants of stopped jobs by VMs that can read the log.
	afterStop int
	// spins counts ticks that asked for another tick at once.
	spins int
}

type node struct {
	vm     cs.VM
	t      *fleet.Tables
	out    fleet.Actions
	inbox  []fleet.Event
	tails  bool
	dead   bool
	frozen bool
	cut    bool // no messages to or from other VMs
}

// run is an item that a sender holds.
type run struct {
	sender, owner cs.VMID
	item          cs.GrantedItem
}

func testConfig() fleet.Config {
	c := fleet.DefaultConfig()
	c.Shards = testShards
	return c
}

func newWorld(n int) *world {
	no := func() bool { return false }
	w := &world{
		now: 1_000_000, lose: no, twice: no, answers: map[uint64]cs.ShardAnswer{},
		ran: map[cs.ItemKey]int{}, stopped: map[cs.JobID]bool{},
	}
	for i := range n {
		w.nodes = append(w.nodes, &node{})
		w.start(i, cs.Incarnation(i+1))
	}
	return w
}

// start puts a new process in place of a VM.
func (w *world) start(i int, inc cs.Incarnation) {
	vm := cs.VM{ID: cs.VMID(fmt.Sprintf("vm%d", i)), Incarnation: inc, DataCentre: "a"}
	w.nodes[i] = &node{vm: vm, t: fleet.New(testConfig(), vm, w.now, uint64(inc))}
	w.meet()
}

// meet brings the VM rows of all nodes up to date, as package membership would.
func (w *world) meet() {
	for _, n := range w.nodes {
		for _, other := range w.nodes {
			live := n == other || !other.dead && !other.frozen && !other.cut && !n.cut
			row := n.t.VMs.Get(other.vm.ID)
			if row == nil {
				row = n.t.VMs.Insert(other.vm.ID, fleet.VM{VM: other.vm, LiveSince: w.now})
			}
			if row.Live != live || row.Incarnation != other.vm.Incarnation {
				row.LiveSince = w.now
			}
			row.VM, row.Live, row.Linked = other.vm, live, live
			if live {
				row.Heard, row.BeatAt = w.now, w.now
				row.Beat = cs.Heartbeat{LogAge: other.t.Log.Age(max(w.now, other.t.Log.ReadAt)), Owned: other.owned()}
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
func (w *world) step(by cs.Span) {
	w.now = w.now.Add(by)
	w.meet()
	for _, n := range w.nodes {
		w.tick(n)
	}
}

func (w *world) tick(n *node) {
	if n.dead || n.frozen {
		return
	}
	w.read(n)
	n.inbox = append(n.inbox, fleet.ListRead{})
	n.t.Events, n.inbox = n.inbox, nil
	n.out.Reset()
	for _, system := range []fleet.System{Follow, Serve, Grant, Commit} {
		system(n.t, w.now, &n.out)
	}
	if at := n.out.NextWake(); at != 0 && at <= w.now {
		w.spins++
	}
	for _, a := range n.out.List {
		w.do(n, a)
	}
}

func (w *world) read(n *node) {
	s := n.t.Shards.Get(0)
	if !n.tails || s == nil {
		return
	}
	if w.down {
		n.inbox = append(n.inbox, fleet.LogFailed{Stream: s.Stream})
		return
	}
	next := w.first + cs.Offset(len(w.log))
	n.inbox = append(n.inbox, fleet.LogRead{
		Stream: s.Stream, First: w.first, Next: next, End: true, Batches: w.log[max(0, min(s.Next, next)-w.first):],
	})
}

func (w *world) do(n *node, a fleet.Action) {
	switch a := a.(type) {
	case fleet.Tail:
		n.tails = true
	case fleet.Untail:
		n.tails = false
	case fleet.Append:
		w.append(n, a)
	case fleet.Send:
		w.send(n, a)
	case fleet.AnswerQuery:
		w.answers[a.ID] = a.Answer
		if ja, ok := a.Answer.(cs.JobAnswer); ok && ja.Status.State == cs.JobCancelled {
			w.stopped[ja.Status.Job.ID] = true
		}
	default:
	}
}

func (w *world) append(n *node, a fleet.Append) {
	if w.down {
		n.inbox = append(n.inbox, fleet.AppendFailed{Stream: a.Stream, Seq: a.Batch.Seq})
		return
	}
	w.land(a.Batch)
	if w.twice() {
		w.late = append(w.late, a.Batch)
	}
	if !w.lose() {
		n.inbox = append(n.inbox, fleet.Appended{Stream: a.Stream, Seq: a.Batch.Seq})
	}
}

func (w *world) land(b cs.LogBatch) {
	w.log = append(w.log, cs.LoggedBatch{Offset: w.first + cs.Offset(len(w.log)), At: w.now, Batch: b})
}

func (w *world) send(n *node, a fleet.Send) {
	var to *node
	for _, other := range w.nodes {
		if other.vm.ID == a.To {
			to = other
		}
	}
	if to == nil || to.dead || to != n && (to.cut || n.cut) {
		return
	}
	switch m := a.Message.(type) {
	case cs.ItemsGranted:
		for _, item := range m.Items {
			w.runs = append(w.runs, run{sender: to.vm.ID, owner: n.vm.ID, item: item})
			if w.stopped[item.Key.Job] && !w.down {
				w.afterStop++
			}
			if item.Item.NonIdempotent {
				w.ran[item.Key]++
			}
		}
	case cs.WorkWaiting, cs.ItemsStop:
	default:
		to.inbox = append(to.inbox, fleet.PeerSaid{From: n.vm.ID, Message: m})
	}
}

// offer has a VM offer slots of an engine to another.
func (w *world) offer(from, to int, slots cs.Slots) {
	if w.nodes[from].dead || w.nodes[to].dead {
		return
	}
	w.nodes[to].inbox = append(w.nodes[to].inbox, fleet.PeerSaid{From: w.nodes[from].vm.ID, Message: cs.SlotsOffered{
		Runner: "r", Slots: slots, Loaded: []cs.LoadedModel{{Model: "m", Version: "1"}},
	}})
}

// give returns a run to every VM that lives; only the owner takes it.
func (w *world) give(i int, m cs.ItemReturned) {
	r := w.runs[i]
	w.runs = append(w.runs[:i], w.runs[i+1:]...)
	m.Key, m.Attempt = r.item.Key, r.item.Attempt
	if r.item.Item.NonIdempotent && m.Refusal != nil && m.Refusal.Ran == cs.RanNotRun {
		w.ran[m.Key]--
	}
	for _, n := range w.nodes {
		if !n.dead {
			n.inbox = append(n.inbox, fleet.PeerSaid{From: r.sender, Message: m})
		}
	}
}

func (w *world) ask(i int, id uint64, q cs.ShardQuery) {
	w.nodes[i].inbox = append(w.nodes[i].inbox, fleet.QueryAsked{
		ID: id, Shard: shardOfQuery(q, testShards), Query: q, Deadline: w.now.Add(30 * cs.Second),
	})
}

// owner returns the VM that owns the shard and is not superseded, or nil.
func (w *world) owner() *node {
	var best *node
	fence := cs.NoOffset
	for _, n := range w.nodes {
		if s := n.t.Shards.Get(0); !n.dead && !n.frozen && s != nil && s.Owned && s.Claim > fence {
			best, fence = n, s.Claim
		}
	}
	return best
}

// until steps until a condition holds; it reports false after the given time.
func (w *world) until(limit cs.Span, cond func() bool) bool {
	for end := w.now.Add(limit); w.now < end; w.step(50 * cs.Millisecond) {
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

// finish runs everything that is offered to success until the job has ended.
func (w *world) finish(id cs.JobID, limit cs.Span) bool {
	return w.until(limit, func() bool {
		for len(w.runs) > 0 {
			w.give(0, cs.ItemReturned{Output: "ok"})
		}
		for i := range w.nodes {
			for j := range w.nodes {
				w.offer(i, j, 16)
			}
		}
		o := w.owner()
		if o == nil {
			return false
		}
		j := o.t.Jobs.Get(id)
		return j != nil && (j.State == cs.JobFinished || j.State == cs.JobCancelled)
	})
}

// reader returns the tables of a VM that reads the log up to an offset at once and owns nothing.
func (w *world) reader(next cs.Offset) *fleet.Tables {
	vm := cs.VM{ID: "reader", Incarnation: 999_999, DataCentre: "z"}
	t := fleet.New(testConfig(), vm, w.now, 1)
	t.Shards.Insert(0, fleet.Shard{Stream: cs.WorkStream(0), Claim: cs.NoOffset})
	var out fleet.Actions
	readStream(t, fleet.LogRead{Stream: cs.WorkStream(0), Next: next, End: true, Batches: w.log[:next]}, w.now, &out)
	return t
}

// facts describes what the tables say that the log says about a shard.
func facts(t *fleet.Tables) map[string]string {
	m := map[string]string{"claim": fmt.Sprint(t.Shards.Get(0).Claim)}
	for id, j := range t.Jobs.All() {
		if j.State == cs.JobOpening {
			continue
		}
		m[string(id)] = fmt.Sprint(j.State, j.FinishedAt, j.Ended-j.Undurable)
		for i := range j.Items {
			item, res := durable(cs.ItemIndex(i), &j.Items[i])
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
