package fleet

import cs "github.com/crocusstile/crocusstile"

// View is an immutable snapshot of the control state, for traffic goroutines and operators.
type View struct {
	At   cs.Instant
	Self cs.VM
	// Ready tells load balancers whether to send requests to the VM: it knows runners, it knows the
	// tickets or has waited ticketWait for them, and it is not draining.
	Ready bool
	// TicketsKnown tells whether the tickets in force have been read from the log or from a peer.
	TicketsKnown bool
	Drain        DrainPhase
	LogAge       cs.Span
	VMs          []VMView
	Runners      []RunnerView
	Tickets      []Ticket
	Shards       []ShardView
	Jobs         []cs.JobStatus // of the shards this VM owns
	// Online counts the online requests in flight on this VM, and Batch its batch runs.
	Online, Batch int
}

// VMView is the state of a VM as seen by this one.
type VMView struct {
	cs.VM
	Live          bool       `json:"live"`
	Linked        bool       `json:"linked"`
	LastMessageAt cs.Instant `json:"heard"`
}

// RunnerView is the state of a runner as seen by this VM.
type RunnerView struct {
	cs.Runner
	Online     cs.Slots      `json:"online"`
	Batch      cs.Slots      `json:"batch"`
	Report     cs.LoadReport `json:"report"`
	ReportAge  cs.Span       `json:"reportAge"`
	Sender     cs.VMID       `json:"sender"`
	BatchLimit float64       `json:"batchLimit"`
	Ejected    bool          `json:"ejected"`
	Down       bool          `json:"down"`
}

// ShardView is the state of a shard that this VM tails.
type ShardView struct {
	Shard cs.ShardID `json:"shard"`
	Owner cs.VMID    `json:"owner"`
	Claim cs.Offset  `json:"claim"`
	Next  cs.Offset  `json:"next"`
}

// NewView returns a snapshot of the tables.
func NewView(t *Tables, now cs.Instant) *View {
	v := &View{
		At: now, Self: t.Self, Drain: t.Drain.Phase, LogAge: t.Log.Age(now),
		Ready: t.Drain.Phase == DrainNone && t.Runners.Len() > 0 && t.ticketsReady(now), TicketsKnown: t.TicketsKnown(),
		Online: t.Requests.Len(), Batch: t.Runs.Len(),
		VMs: make([]VMView, 0, t.VMs.Len()), Runners: make([]RunnerView, 0, t.Runners.Len()),
		Tickets: make([]Ticket, 0, t.Tickets.Len()),
	}
	for _, vm := range t.VMs.All() {
		v.VMs = append(v.VMs, VMView{VM: vm.VM, Live: vm.Live, Linked: vm.Linked, LastMessageAt: vm.LastMessageAt})
	}
	for _, r := range t.Runners.All() {
		v.Runners = append(v.Runners, RunnerView{
			Runner: r.Runner, Online: r.Online, Batch: r.Batch, Report: r.Report,
			ReportAge: now.Sub(r.ReportAt), Sender: r.Sender, BatchLimit: r.BatchLimit,
			Ejected: now < r.EjectedUntil, Down: r.DownSince != 0,
		})
	}
	for _, row := range t.Tickets.All() {
		v.Tickets = append(v.Tickets, *row)
	}
	for id, s := range t.Shards.All() {
		v.Shards = append(v.Shards, ShardView{Shard: id, Owner: s.VM, Claim: s.Claim, Next: s.Next})
	}
	for _, j := range t.Jobs.All() {
		if s := t.Shards.Get(j.Shard); s != nil && s.Owned {
			v.Jobs = append(v.Jobs, j.Status())
		}
	}
	return v
}

// ticketWait is how long after its start a VM that does not know the tickets refuses requests.
// After that, a VM that can reach neither the log nor any peer serves without them.
const ticketWait = 10 * cs.Second

// TicketsKnown reports whether the tickets in force have been read, from the log or from a peer.
func (t *Tables) TicketsKnown() bool {
	return t.TicketLog.CaughtUp || t.Tickets.Len() > 0 && t.TicketLog.BehindSince == 0
}

// ticketsReady reports whether the tickets are known or the wait for them has ended.
func (t *Tables) ticketsReady(now cs.Instant) bool {
	return t.TicketsKnown() || now.Sub(t.Started) >= ticketWait
}

// Status returns the job's status, with the number of its items in each state.
func (j *Job) Status() cs.JobStatus {
	s := cs.JobStatus{
		Job: j.Job, State: j.State, Waiting: j.Counts[cs.ItemWaiting], Running: j.Counts[cs.ItemRunning],
		Done: j.Counts[cs.ItemDone], Failed: j.Counts[cs.ItemFailed],
		Cancelled: j.Counts[cs.ItemCancelled], Unknown: j.Counts[cs.ItemUnknown],
		Undurable: j.Undurable,
	}
	return s
}
