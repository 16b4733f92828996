package gossip_test

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
	"github.com/crocusstile/crocusstile/gossip"
)

// receiver is a Gossip that receives reports, with its log.
type receiver struct {
	*gossip.Gossip
	address cs.Address
	reports chan gateway.Report

	mu    sync.Mutex
	lines []string
}

// Write keeps a line of the log.
func (r *receiver) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, string(p))
	return len(p), nil
}

// loggedLines returns the number of lines in the log.
func (r *receiver) loggedLines() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.lines)
}

// freeAddress returns a local address at which nothing listens.
func freeAddress(c *qt.C) cs.Address {
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { c.Assert(conn.Close(), qt.IsNil) }()
	return cs.Address(conn.LocalAddr().String())
}

func newReceiver(c *qt.C) *receiver {
	r := &receiver{address: freeAddress(c), reports: make(chan gateway.Report, 1000)}
	var err error
	r.Gossip, err = gossip.New(gossip.Config{Listen: r.address, Log: zerolog.New(r), Pause: func() cs.Span { return 0 }, Post: func(_ context.Context, e gateway.Event) error {
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

// Guards against datagrams of other senders that end a VM or keep it from receiving reports, and against a log that grows with
// each of them.
func TestMalformedReportsDisturbNothing(t *testing.T) {
	c := qt.New(t)
	r := newReceiver(c)
	conn, err := net.Dial("udp4", string(r.address))
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	datagrams := []string{
		"", "\xff", strings.Repeat("\x81", 10_000), strings.Repeat("\xa1\x61a", 4_000), "\x9b\xff\xff\xff\xff\xff\xff\xff\xff",
		"\xbb\x7f\xff\xff\xff\xff\xff\xff\xff", "\x7b\x7f\xff\xff\xff\xff\xff\xff\xff", `{"f":"vm"}`,
	}
	for _, load := range []map[string]any{
		{"r": "i-1", "o": -1}, {"r": "i-1", "b": -1}, {"r": "i-1", "o": 1 << 31}, {"r": "i-1", "o": 1<<31 - 1}, {"r": "i-1", "b": 1<<31 - 1},
	} {
		datagrams = append(datagrams, encode(c, map[string]any{"f": "vm", "i": 1, "n": 1, "l": []any{load}}))
	}
	for _, report := range []map[string]any{
		{"f": "vm", "i": 1, "n": 1, "q": -1},
		{"f": "vm", "i": 1, "n": 1, "q": 1 << 62},
		{"f": "vm", "i": -1, "n": 1},
		{"f": "vm", "i": 1.5, "n": 1},
		{"f": "vm", "i": 1, "n": 1, "k": []any{map[string]any{"s": "s", "n": -1}}},
		{"f": "vm", "i": 1, "n": 1, "k": []any{map[string]any{"s": "s", "n": 1 << 62}}},
		{"f": "", "i": 1, "n": 1},
		{"f": "vm", "i": 1, "n": 1, "y": []any{[]any{"10.0.0.1:1", 5, map[string]any{"f": "x", "q": -1}}}},
		{"f": "vm", "i": 1, "n": 1, "y": []any{[]any{"10.0.0.1:1", 5, map[string]any{"f": "x", "y": []any{[]any{"10.0.0.1:1", 5, map[string]any{"f": "y"}}}}}}},
	} {
		datagrams = append(datagrams, encode(c, report))
	}
	for i := range 20 {
		for _, d := range datagrams {
			_, err := fmt.Fprint(conn, d)
			c.Assert(err, qt.IsNil)
		}
		sent := gateway.Report{From: "vm", Incarnation: 1, Seq: uint64(i + 1)}
		r.Send(gateway.SendReport{To: []cs.Address{r.address}, Report: sent})
		c.Assert(r.receive(c), qt.DeepEquals, sent)
	}
	c.Check(r.loggedLines() > 0, qt.IsTrue)
	c.Check(r.loggedLines() <= 25, qt.IsTrue, qt.Commentf("%d lines", r.loggedLines()))
}

// Guards against a log that grows with each report because the registered address of a peer cannot be sent to.
func TestReportsToMalformedAddressAreLoggedOnce(t *testing.T) {
	c := qt.New(t)
	r := newReceiver(c)
	for i := range 100 {
		r.Send(gateway.SendReport{To: []cs.Address{"[::1]:80", r.address}, Report: gateway.Report{From: "vm", Seq: uint64(i + 1)}})
		c.Assert(r.receive(c).Seq, qt.Equals, uint64(i+1))
	}
	c.Check(r.loggedLines(), qt.Equals, 1)
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

func encode(c *qt.C, report map[string]any) string {
	data, err := cbor.Marshal(report)
	c.Assert(err, qt.IsNil)
	return string(data)
}
