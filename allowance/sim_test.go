package allowance_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/allowance"
	"github.com/crocusstile/crocusstile/forward"
	"github.com/crocusstile/crocusstile/gateway"
	"github.com/crocusstile/crocusstile/roster"
)

const (
	simStart      cs.Instant = 1_000_000
	simPartitions            = 3
	simReport                = 150 * cs.Millisecond
)

// systems are those of an entry VM that requests of callers and limits depend on, in their order.
var systems = []gateway.System{
	roster.Peers, forward.Admit, forward.ApplyOutcomes, allowance.Serve, allowance.Take, forward.Dispatch, allowance.Settle,
}

// simEvent is a step of the simulation.
type simEvent struct {
	at  cs.Instant
	seq int
	run func()
}

// simQueue is a heap of steps.
type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// simVM is a VM with its real tables and systems.
type simVM struct {
	id      cs.VMID
	address cs.Address
	tables  *gateway.Tables
	inbox   []gateway.Event
	// suspended is the time for which its monotonic clock stood still, and frozenUntil the end of the current freeze.
	suspended   cs.Span
	frozenUntil cs.Instant
	// wakeAt is the time of the tick that is planned, or 0.
	wakeAt cs.Instant
	// cut means that the VM does not reach other VMs, and storeCut that it does not reach the store.
	cut, storeCut bool
	incarnation   cs.Incarnation
	generation    int
	seq           uint64
}

// sim is a fleet of VMs with a store and an exchange of messages, in simulated time. Times of the simulation are those of the
// boot-time clock of all VMs.
type sim struct {
	now    cs.Instant
	rand   *rand.Rand
	queue  simQueue
	seq    int
	vms    []*simVM
	group  simGroup
	config gateway.Config
	// latency is the largest time that a message takes, late the probability that one takes up to a second, lost that it is lost
	// and doubled that it arrives twice.
	latency             cs.Span
	late, lost, doubled float64
	catalogs            []*cs.Catalog
	lastID              gateway.ForwardID
	// sends are the times at which requests of each workspace were first sent.
	sends            map[cs.WorkspaceID][]cs.Instant
	workspaceOf      map[gateway.ForwardID]cs.WorkspaceID
	limited, noOwner int
	arrived          int
	retries          []cs.Instant
	service          cs.Span
	observeMessage   func(gateway.AllowanceMessage)
}

// newSim returns a fleet of VMs that know each other and the workspaces.
func newSim(seed uint64, vms int, c gateway.Config, workspaces []cs.Workspace) *sim {
	s := &sim{
		now: simStart, rand: rand.New(rand.NewPCG(seed, 7)), config: c, latency: 4, service: 40 * cs.Millisecond,
		sends: make(map[cs.WorkspaceID][]cs.Instant), workspaceOf: make(map[gateway.ForwardID]cs.WorkspaceID),
		group: simGroup{timeout: c.GroupTimeout},
	}
	s.addCatalog(workspaces)
	for i := range vms {
		s.vms = append(s.vms, &simVM{id: cs.VMID(fmt.Sprint("front-mitte-a-", i)), address: cs.Address(fmt.Sprint("10.0.0.1:", i)), incarnation: 1 << 60})
	}
	for i := range vms {
		s.start(i)
		s.after(cs.Span(s.rand.IntN(20)), func() { s.renew(i) })
		s.after(cs.Span(s.rand.IntN(int(simReport))), func() { s.report(i) })
	}
	return s
}

// addCatalog adds a version of the catalog. Each workspace has its ID as its key.
func (s *sim) addCatalog(workspaces []cs.Workspace) {
	workspaces = slices.Clone(workspaces)
	for i := range workspaces {
		workspaces[i].Keys = []cs.KeyDigest{cs.DigestKey(string(workspaces[i].ID))}
	}
	s.catalogs = append(s.catalogs, cs.NewCatalog(cs.CatalogVersion(len(s.catalogs)+1), nil, nil, cs.CallerLimits{}).WithWorkspaces(workspaces))
}

func (s *sim) after(d cs.Span, run func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{s.now.Add(max(d, 0)), s.seq, run})
}

// runUntil runs the steps up to a time.
func (s *sim) runUntil(end cs.Instant) {
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// start starts the process of a VM, or starts it again.
func (s *sim) start(i int) {
	v := s.vms[i]
	v.incarnation++
	v.generation, v.inbox, v.suspended, v.seq, v.wakeAt = 0, nil, 0, 0, 0
	v.tables = gateway.New(s.config, s.vmOf(i), s.now, s.rand.Uint64())
	v.tables.Catalog = s.catalogs[len(s.catalogs)-1]
	v.tables.Runners.Insert("r", gateway.Runner{Spec: cs.Runner{ID: "r", Service: "s", Slots: 100_000}})
	v.tables.Runners.Get("r").RefusedAt = s.now.Add(-cs.Hour)
	for j := range s.vms {
		if j != i {
			v.tables.Peers.Insert(s.vmOf(j).ID, gateway.Peer{VM: s.vmOf(j)})
		}
	}
	s.tick(i)
}

func (s *sim) vmOf(i int) cs.VM {
	return cs.VM{ID: s.vms[i].id, Address: s.vms[i].address, Incarnation: s.vms[i].incarnation}
}

// local returns the time of the monotonic clock of a VM.
func (v *simVM) local(now cs.Instant) cs.Instant { return now.Add(-v.suspended) }

// deliver gives a VM an event, which it processes with its next tick.
func (s *sim) deliver(i int, e gateway.Event) {
	s.vms[i].inbox = append(s.vms[i].inbox, e)
	s.wake(i, s.now)
}

// wake plans a tick of a VM.
func (s *sim) wake(i int, at cs.Instant) {
	v := s.vms[i]
	at = max(at, s.now, v.frozenUntil)
	if v.wakeAt != 0 && v.wakeAt <= at {
		return
	}
	v.wakeAt = at
	s.after(at.Sub(s.now), func() {
		if v.wakeAt == at {
			v.wakeAt = 0
			s.tick(i)
		}
	})
}

// tick runs the systems of a VM and executes their actions.
func (s *sim) tick(i int) {
	v := s.vms[i]
	if s.now < v.frozenUntil {
		s.wake(i, v.frozenUntil)
		return
	}
	t := v.tables
	t.Events, v.inbox = v.inbox, nil
	t.Suspended = v.suspended
	local := v.local(s.now)
	var out gateway.Actions
	for _, system := range systems {
		system(t, local, &out)
	}
	if due := out.NextWake(); due != 0 {
		s.wake(i, s.now.Add(max(due.Sub(local), 1)))
	}
	for _, a := range out.List {
		switch a := a.(type) {
		case gateway.Dispatch:
			s.dispatch(i, a)
		case gateway.Refuse:
			if a.Refusal.Reason == cs.ReasonRateLimited {
				s.limited++
				s.retries = append(s.retries, s.now.Add(a.RetryAfter))
			} else {
				s.noOwner++
			}
		case gateway.SendAllowance:
			s.send(i, a)
		default:
		}
	}
}

// dispatch records the first send of a request, and ends some attempts without a run.
func (s *sim) dispatch(i int, a gateway.Dispatch) {
	if a.Attempt == 1 {
		w := s.workspaceOf[a.ID]
		s.sends[w] = append(s.sends[w], s.now)
	}
	var outcome gateway.Outcome = gateway.OutcomeAnswered{Status: 200}
	if a.Attempt < 3 && s.rand.IntN(10) == 0 {
		outcome = gateway.OutcomeNotRun{Reason: "full"}
	}
	incarnation := s.vms[i].incarnation
	s.after(cs.Span(s.rand.IntN(int(s.service)+1)), func() {
		if s.vms[i].incarnation == incarnation {
			s.deliver(i, gateway.ForwardEnded{ID: a.ID, Attempt: a.Attempt, Outcome: outcome})
		}
	})
}

// send passes a message on.
func (s *sim) send(from int, a gateway.SendAllowance) {
	if s.observeMessage != nil {
		s.observeMessage(a.Message)
	}
	copies := 1
	if s.rand.Float64() < s.doubled {
		copies = 2
	}
	for range copies {
		if s.rand.Float64() < s.lost {
			continue
		}
		delay := 1 + cs.Span(s.rand.IntN(int(s.latency)))
		if s.rand.Float64() < s.late {
			delay += cs.Span(s.rand.IntN(1000))
		}
		s.after(delay, func() {
			for to := range s.vms {
				if s.vms[to].address == a.To && !s.vms[to].cut && !s.vms[from].cut {
					s.deliver(to, gateway.AllowanceReceived{Address: s.vmOf(from).Address, Message: a.Message})
				}
			}
		})
	}
}

// report sends a report of a VM to the others, at intervals.
func (s *sim) report(i int) {
	v := s.vms[i]
	s.after(simReport, func() { s.report(i) })
	if s.now < v.frozenUntil || v.cut {
		return
	}
	v.seq++
	partitions := v.tables.LimitPartitions(v.local(s.now))
	if partitions == nil {
		partitions = gateway.NoPartitions
	}
	r := gateway.Report{
		From: v.tables.Self.ID, Incarnation: v.incarnation, Seq: v.seq, Partitions: partitions,
	}
	for j := range s.vms {
		if j != i && !s.vms[j].cut && s.rand.Float64() >= s.lost {
			s.after(1+cs.Span(s.rand.IntN(int(s.latency))), func() {
				s.deliver(j, gateway.PeerReported{Address: s.vmOf(i).Address, Report: r})
			})
		}
	}
}

// renew renews the membership of a VM in the group, at intervals.
func (s *sim) renew(i int) {
	v := s.vms[i]
	s.after(s.group.timeout/3, func() { s.renew(i) })
	if s.now < v.frozenUntil || v.storeCut || v.tables.JobLog.Role != gateway.JobLogFollower {
		return
	}
	incarnation, generation, sentAt := v.incarnation, v.generation, cs.BootInstant(s.now)
	s.after(s.storeDelay(), func() {
		next, partitions := s.group.join(i, incarnation, generation, s.now)
		if s.rand.Float64() < s.lost {
			return
		}
		s.after(s.storeDelay(), func() {
			if v.incarnation == incarnation && !v.storeCut {
				s.whenAwake(i, func() {
					if v.incarnation == incarnation {
						v.generation = next
						s.deliver(i, gateway.PartitionsAssigned{Partitions: partitions, SentAt: sentAt})
					}
				})
			}
		})
	})
}

// whenAwake runs a step once a VM is not frozen.
func (s *sim) whenAwake(i int, run func()) {
	if until := s.vms[i].frozenUntil; s.now < until {
		s.after(until.Sub(s.now), func() { s.whenAwake(i, run) })
		return
	}
	run()
}

// storeDelay returns the time that a message to or from the store takes.
func (s *sim) storeDelay() cs.Span {
	if s.rand.Float64() < s.late {
		return cs.Span(s.rand.IntN(300))
	}
	return 1 + cs.Span(s.rand.IntN(5))
}

// request lets a request of a workspace arrive at a VM.
func (s *sim) request(i int, w cs.WorkspaceID) {
	v := s.vms[i]
	s.lastID++
	s.arrived++
	s.workspaceOf[s.lastID] = w
	local := v.local(s.now)
	s.deliver(i, gateway.ForwardArrived{Forward: gateway.Forward{
		ID: s.lastID, Key: cs.DigestKey(string(w)), Arrived: local, Deadline: local.Add(3 * cs.Second),
		Route: cs.Route{Name: "t", Kind: cs.RouteIdempotent, MaxAttempts: 3, Timeout: 3 * cs.Second, Shares: []cs.ServiceShare{{Service: "s", Weight: 1}}},
	}})
}

// freeze stops a VM for a time, in which its monotonic clock stops if the machine is suspended.
func (s *sim) freeze(i int, d cs.Span, suspended bool) {
	v := s.vms[i]
	if s.now < v.frozenUntil {
		return
	}
	v.frozenUntil = s.now.Add(d)
	if suspended {
		v.suspended += d // it is not read before the end of the freeze
	}
	v.wakeAt = 0
	s.wake(i, v.frozenUntil)
}

// excess returns by how many the sends of a workspace exceed a bound in the worst window that begins at from or later.
func excess(sends []cs.Instant, window cs.Span, bound float64, from cs.Instant) float64 {
	worst, first := -bound, 0
	for last, at := range sends {
		for at.Sub(sends[first]) >= window {
			first++
		}
		if sends[first] >= from {
			worst = max(worst, float64(last-first+1)-bound)
		}
	}
	return worst
}
