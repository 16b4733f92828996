package gossip_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
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

// exchangeState returns the state that a VM reads from a peer which has the given one.
func exchangeState(c *qt.C, state gateway.PeerState) gateway.PeerState {
	events := make(chan gateway.Event, 2)
	var exchange *gossip.StateExchange
	exchange = gossip.NewStateExchange(func(_ context.Context, e gateway.Event) error {
		if request, ok := e.(gateway.PeerStateRequested); ok {
			exchange.Answer(gateway.AnswerPeerState{Query: request.Query, State: state})
			return nil
		}
		events <- e
		return nil
	})
	server := httptest.NewServer(exchange)
	defer server.Close()
	c.Assert(exchange.Request(c.Context(), gateway.RequestPeerState{Address: cs.Address(server.Listener.Addr().String())}), qt.IsNil)
	return (<-events).(gateway.PeerStateRead).State
}

// Guards against a VM that starts without the store and, by the state of a peer, accepts requests without keys, or refuses keys. A key
// that two workspaces have must belong to the same one at each VM.
func TestStateContainsWorkspaces(t *testing.T) {
	c := qt.New(t)
	routes := []cs.Route{{Name: "r", Host: "h", Prefix: "/p/", Public: true}}
	plain := cs.NewCatalog(3, routes, nil, cs.CallerLimits{})
	c.Assert(exchangeState(c, gateway.PeerState{Catalog: plain}).Catalog.RequiresKeys, qt.IsFalse)
	c.Assert(exchangeState(c, gateway.PeerState{Catalog: plain.WithWorkspaces(nil)}).Catalog.RequiresKeys, qt.IsTrue)
	shared, own := cs.DigestKey("shared"), cs.DigestKey("own")
	for range 20 {
		state := exchangeState(c, gateway.PeerState{Catalog: plain.WithWorkspaces([]cs.Workspace{
			{ID: "a", Priority: 2, HasPriority: true, Rate: 1.5, Burst: 7, Keys: []cs.KeyDigest{shared}}, {ID: "b", Keys: []cs.KeyDigest{shared, own}},
		})})
		c.Assert(state.NamesWorkspaces, qt.IsTrue)
		c.Assert(state.Catalog.Route("r").Public, qt.IsTrue)
		a, b := state.Catalog.WorkspaceOf(shared), state.Catalog.WorkspaceOf(own)
		c.Assert([]any{a.ID, a.Priority, a.HasPriority, a.Rate, a.Burst}, qt.DeepEquals, []any{cs.WorkspaceID("a"), 2, true, cs.PerSecond(1.5), 7.0})
		c.Assert(b.ID, qt.Equals, cs.WorkspaceID("b"))
	}
}

// Guards against the state of a VM of an earlier version being taken for one without workspaces, and against a digest of the wrong length.
func TestStateOfEarlierVersionNamesNoWorkspaces(t *testing.T) {
	c := qt.New(t)
	for encoded, ok := range map[string]bool{
		encode(c, map[string]any{"v": 1, "r": []map[string]any{{"Name": "r"}}}):                                                                 true,
		encode(c, map[string]any{"v": 1, "r": []map[string]any{{"Name": "r"}}, "f": 1, "k": true, "w": []map[string]any{{"k": [][]byte{{1}}}}}): false,
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(encoded)) }))
		var read gateway.PeerStateRead
		exchange := gossip.NewStateExchange(func(_ context.Context, e gateway.Event) error {
			read = e.(gateway.PeerStateRead)
			return nil
		})
		err := exchange.Request(c.Context(), gateway.RequestPeerState{Address: cs.Address(server.Listener.Addr().String())})
		server.Close()
		c.Check(err == nil, qt.Equals, ok)
		c.Check(read.State.NamesWorkspaces, qt.IsFalse)
	}
}

func encode(c *qt.C, report map[string]any) string {
	data, err := cbor.Marshal(report)
	c.Assert(err, qt.IsNil)
	return string(data)
}
