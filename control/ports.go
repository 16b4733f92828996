package control

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// Ports carry out the actions of the loop. Their methods return at once: slow work goes to
// goroutines of the port, which post events when it ends.
type Ports struct {
	Requests Requests
	Items    Items
	Queries  Queries
	Log      Log
	Peers    Peers
	Runners  Runners
	Journal  Journal
	// Leave is called once the drain is over.
	Leave func()
}

// Requests carries the bytes of online requests.
type Requests interface {
	Dispatch(fleet.Dispatch)
	Finish(fleet.Finish)
	CancelRun(fleet.CancelRun)
}

// Items runs batch items.
type Items interface {
	RunItem(fleet.RunItem)
	StopItem(fleet.StopItem)
}

// Queries gives answers to callers of this VM.
type Queries interface {
	AnswerQuery(fleet.AnswerQuery)
	AnswerTicket(fleet.AnswerTicket)
}

// Log reads and appends to the platform's log.
type Log interface {
	Tail(cs.StreamID, cs.Offset)
	Untail(cs.StreamID)
	Append(cs.StreamID, cs.LogBatch)
}

// Peers holds links to other VMs.
type Peers interface {
	Dial(cs.VM)
	HangUp(cs.VMID)
	Send(cs.VMID, cs.PeerMessage)
}

// Runners polls runners and sends them orders.
type Runners interface {
	Watch(fleet.Watch)
	OrderRunner(fleet.OrderRunner)
}

// Journal counts and logs.
type Journal interface {
	Count(fleet.Counted)
	Note(fleet.Noted)
}

// carryOut hands an action to its port.
func (l *Loop) carryOut(a fleet.Action) {
	p := &l.cfg.Ports
	switch a := a.(type) {
	case fleet.Dispatch:
		p.Requests.Dispatch(a)
	case fleet.Finish:
		p.Requests.Finish(a)
	case fleet.CancelRun:
		p.Requests.CancelRun(a)
	case fleet.RunItem:
		p.Items.RunItem(a)
	case fleet.StopItem:
		p.Items.StopItem(a)
	case fleet.AnswerQuery:
		p.Queries.AnswerQuery(a)
	case fleet.AnswerTicket:
		p.Queries.AnswerTicket(a)
	case fleet.Tail:
		p.Log.Tail(a.Stream, a.From)
	case fleet.Untail:
		p.Log.Untail(a.Stream)
	case fleet.Append:
		p.Log.Append(a.Stream, a.Batch)
	case fleet.Send:
		l.send(a)
	case fleet.Dial:
		p.Peers.Dial(a.VM)
	case fleet.HangUp:
		p.Peers.HangUp(a.VM)
	case fleet.Watch:
		p.Runners.Watch(a)
	case fleet.OrderRunner:
		p.Runners.OrderRunner(a)
	case fleet.Counted:
		p.Journal.Count(a)
	case fleet.Noted:
		p.Journal.Note(a)
	case fleet.Leave:
		p.Leave()
	}
}

// send passes a message on to a peer; one to this VM itself comes back in the next tick.
func (l *Loop) send(a fleet.Send) {
	if a.To == l.cfg.Tables.Self.ID {
		l.local = append(l.local, fleet.PeerSaid{From: a.To, Message: a.Message})
		return
	}
	l.cfg.Ports.Peers.Send(a.To, a.Message)
}
