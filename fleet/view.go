package fleet

import cs "github.com/crocusstile/crocusstile"

// View is what traffic goroutines and operators read; it does not change once published.
type View struct {
	At   cs.Instant
	Self cs.VM
	// Ready means that the VM takes requests: the platform's list is read, the tickets are known or
	// have not come for long, and the VM is not leaving.
	Ready bool
	// TicketsKnown means that the tickets in force have been read from the log or from a peer.
	TicketsKnown bool
	Drain        DrainPhase
	LogAge       cs.Span
	VMs          []VMView
	Runners      []RunnerView
	Tickets      []Ticket
	Shards       []ShardView
	Jobs         []cs.JobStatus // of the shards this VM owns
	// Online counts requests in flight here, and Batch runs.
	Online, Batch int
}

// VMView is a VM as this one sees it.
type VMView struct {
	cs.VM
	Live   bool       `json:"live"`
	Linked bool       `json:"linked"`
	Heard  cs.Instant `json:"heard"`
}

// RunnerView is a runner as this VM sees it.
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

// ShardView is a shard that this VM tails.
type ShardView struct {
	Shard cs.ShardID `json:"shard"`
	Owner cs.VMID    `json:"owner"`
	Claim cs.Offset  `json:"claim"`
	Next  cs.Offset  `json:"next"`
}

// NewView copies what the view shows out of the tables.
func NewView(t *Tables, now cs.Instant) *View {
	v := &View{
		At: now, Self: t.Self, Drain: t.Drain.Phase, LogAge: t.Log.Age(now),
		Ready: t.Drain.Phase == DrainNone && t.Runners.Len() > 0 && t.mayServe(now), TicketsKnown: t.TicketsKnown(),
		Online: t.Requests.Len(), Batch: t.Runs.Len(),
		VMs: make([]VMView, 0, t.VMs.Len()), Runners: make([]RunnerView, 0, t.Runners.Len()),
		Tickets: make([]Ticket, 0, t.Tickets.Len()),
	}
	for _, vm := range t.VMs.All() {
		v.VMs = append(v.VMs, VMView{VM: vm.VM, Live: vm.Live, Linked: vm.Linked, Heard: vm.Heard})
	}
	for _, r := range t.Runners.All() {
		v.Runners = append(v.Runners, RunnerView{
			Runner: r.Runner, Online: r.Online, Batch: r.Batch, Report: r.Report,
			ReportAge: now.Sub(r.ReportAt), Sender: r.Sender, BatchLimit: r.BatchLimit,
			Ejected: now < r.EjectedUntil, Down: r.DownSince != 0,
		})
	}
	for _, k := range t.Tickets.All() {
		v.Tickets = append(v.Tickets, *k)
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

// ticketWait is the time after its start for which a VM without tickets refuses requests. A VM that is
// cut off from the log and from all peers serves what it can after that.
const ticketWait = 10 * cs.Second

// TicketsKnown reports whether the tickets in force have been read, from the log or from a peer.
func (t *Tables) TicketsKnown() bool {
	return t.TicketLog.CaughtUp || t.Tickets.Len() > 0 && t.TicketLog.BehindSince == 0
}

func (t *Tables) mayServe(now cs.Instant) bool {
	return t.TicketsKnown() || now.Sub(t.Started) >= ticketWait
}

// Status counts the job's items by state.
func (j *Job) Status() cs.JobStatus {
	s := cs.JobStatus{
		Job: j.Job, State: j.State, Waiting: j.Counts[cs.ItemWaiting], Running: j.Counts[cs.ItemRunning],
		Done: j.Counts[cs.ItemDone], Failed: j.Counts[cs.ItemFailed],
		Cancelled: j.Counts[cs.ItemCancelled], Unknown: j.Counts[cs.ItemUnknown],
		Undurable: j.Undurable,
	}
	return s
}
