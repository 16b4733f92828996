package gossip_test

import (
	"context"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
	"github.com/crocusstile/crocusstile/gossip"
)

// receiver is a Gossip that receives reports.
type receiver struct {
	*gossip.Gossip
	address cs.Address
	reports chan gateway.Report
}

func newReceiver(c *qt.C) *receiver {
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	r := &receiver{address: cs.Address(conn.LocalAddr().String()), reports: make(chan gateway.Report, 1000)}
	c.Assert(conn.Close(), qt.IsNil)
	r.Gossip, err = gossip.New(gossip.Config{Listen: r.address, Log: zerolog.Nop(), Post: func(_ context.Context, e gateway.Event) error {
		r.reports <- e.(gateway.PeerReported).Report
		return nil
	}})
	c.Assert(err, qt.IsNil)
	ended := make(chan error, 1)
	go func() { ended <- r.Run(c.Context()) }()
	c.Cleanup(func() {
		r.Close()
		<-ended
	})
	return r
}

// receive returns the next report.
func (r *receiver) receive(c *qt.C) gateway.Report {
	select {
	case report := <-r.reports:
		return report
	case <-time.After(5 * time.Second):
		c.Fatal("no report")
		return gateway.Report{}
	}
}

// Guards against VMs that lose all reports of their peers, and take each other for cut off, since one name in the reports
// is not UTF-8.
func TestReportWithNameThatIsNotText(t *testing.T) {
	c := qt.New(t)
	r := newReceiver(c)
	sent := gateway.Report{From: "vm", Incarnation: 1, Seq: 1, Ejected: []cs.RunnerID{"i-\xff"}}
	r.Send(gateway.SendReport{To: []cs.Address{r.address}, Report: sent})
	c.Check(r.receive(c), qt.DeepEquals, sent)
}

// Guards against a VM that learns of no runners when it starts without the store, or of some to which nothing can be sent,
// because its peer took a malformed registration for that of a runner.
func TestMalformedRunnerInStateOfPeer(t *testing.T) {
	c := qt.New(t)
	valid := cs.Runner{ID: "i-1", Service: "s", DataCentre: "a", Address: "10.0.0.1:80", Slots: 8, Incarnation: 1}
	runners := []cs.Runner{valid}
	for _, change := range []func(*cs.Runner){
		func(r *cs.Runner) { r.ID = "i-\xff" }, func(r *cs.Runner) { r.Address = "10.0.0.1:0" }, func(r *cs.Runner) { r.Slots = 1 << 30 },
	} {
		r := valid
		change(&r)
		runners = append(runners, r)
	}
	events := make(chan gateway.Event, 2)
	var exchange *gossip.StateExchange
	exchange = gossip.NewStateExchange(func(_ context.Context, e gateway.Event) error {
		if request, ok := e.(gateway.PeerStateRequested); ok {
			exchange.Answer(gateway.AnswerPeerState{Query: request.Query, State: gateway.PeerState{Runners: runners}})
			return nil
		}
		events <- e
		return nil
	})
	server := httptest.NewServer(exchange)
	defer server.Close()
	c.Assert(exchange.Request(c.Context(), gateway.RequestPeerState{Address: cs.Address(server.Listener.Addr().String())}), qt.IsNil)
	c.Check((<-events).(gateway.PeerStateRead).State.Runners, qt.DeepEquals, []cs.Runner{valid})
}
