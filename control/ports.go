package control

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// Ports carry out the actions of the loop. Their methods must not block: a port does slow work in
// goroutines of its own, which post an event when it is done.
type Ports struct {
	Requests  Requests
	Items     Items
	Queries   Queries
	Log       Log
	Peers     Peers
	Runners   Runners
	Telemetry Telemetry
	// Exit is called when the drain has ended.
	Exit func()
}

// Requests dispatches online requests to runners, ends them with a refusal or a recorded answer, and
// cancels single attempts.
type Requests interface {
	Dispatch(fleet.Dispatch)
	Finish(fleet.Finish)
	CancelRun(fleet.CancelRun)
}

// Items starts and stops batch items on runners.
type Items interface {
	RunItem(fleet.RunItem)
	StopItem(fleet.StopItem)
}

// Queries returns answers to callers of this VM.
type Queries interface {
	AnswerQuery(fleet.AnswerQuery)
	AnswerTicket(fleet.AnswerTicket)
}

// Log reads streams of the platform's log and appends to them.
type Log interface {
	Subscribe(cs.StreamID, cs.Offset)
	Unsubscribe(cs.StreamID)
	Append(cs.StreamID, cs.LogBatch)
}

// Peers opens and closes links to other VMs and sends messages over them.
type Peers interface {
	Dial(cs.VM)
	CloseLink(cs.VMID)
	Send(cs.VMID, cs.PeerMessage)
}

// Runners polls the load of runners and sends them orders.
type Runners interface {
	PollLoad(fleet.PollLoad)
	OrderRunner(fleet.OrderRunner)
}

// Telemetry updates counters and writes log lines.
type Telemetry interface {
	Count(fleet.CounterAdded)
	LogChange(fleet.StateLogged)
}

// carryOut passes an action to the port that carries it out.
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
	case fleet.Subscribe:
		p.Log.Subscribe(a.Stream, a.From)
	case fleet.Unsubscribe:
		p.Log.Unsubscribe(a.Stream)
	case fleet.Append:
		p.Log.Append(a.Stream, a.Batch)
	case fleet.Send:
		l.send(a)
	case fleet.Dial:
		p.Peers.Dial(a.VM)
	case fleet.CloseLink:
		p.Peers.CloseLink(a.VM)
	case fleet.PollLoad:
		p.Runners.PollLoad(a)
	case fleet.OrderRunner:
		p.Runners.OrderRunner(a)
	case fleet.CounterAdded:
		p.Telemetry.Count(a)
	case fleet.StateLogged:
		p.Telemetry.LogChange(a)
	case fleet.Exit:
		p.Exit()
	}
}

// send sends a message to a peer. A message to this VM itself is delivered on the next tick.
func (l *Loop) send(a fleet.Send) {
	if a.To == l.cfg.Tables.Self.ID {
		l.selfEvents = append(l.selfEvents, fleet.PeerMessageReceived{From: a.To, Message: a.Message})
		return
	}
	l.cfg.Ports.Peers.Send(a.To, a.Message)
}
