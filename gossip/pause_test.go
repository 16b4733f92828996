package gossip_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
	"github.com/crocusstile/crocusstile/gossip"
)

// posted is an event that a Gossip has posted, with the time.
type posted struct {
	at    time.Time
	event gateway.PeerReported
}

// newGossip returns a running Gossip on an address and the events that it posts.
func newGossip(c *qt.C, address cs.Address, pause cs.Span) (*gossip.Gossip, <-chan posted) {
	events := make(chan posted, 100)
	post := func(_ context.Context, e gateway.Event) error {
		events <- posted{at: time.Now(), event: e.(gateway.PeerReported)}
		return nil
	}
	g, err := gossip.New(gossip.Config{Listen: address, Post: post, Pause: func() cs.Span { return pause }, Log: zerolog.Nop()})
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- g.Run(ctx) }()
	c.Cleanup(func() {
		cancel()
		g.Close()
		c.Check(<-ended, qt.Equals, context.Canceled)
	})
	return g, events
}

// Guards against a tick of the control loop for each report among many VMs, and against reports that are lost, or have
// another sender, when they are received together.
func TestReportsArePostedTogether(t *testing.T) {
	const reports = 5
	for name, pause := range map[string]cs.Span{"pause": 100 * cs.Millisecond, "no pause": 0} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			senderAddress, receiverAddress := freeAddress(c), freeAddress(c)
			sender, _ := newGossip(c, senderAddress, 0)
			_, events := newGossip(c, receiverAddress, pause)
			sentAt := time.Now()
			for seq := range uint64(reports) {
				sender.Send(gateway.SendReport{To: []cs.Address{receiverAddress}, Report: gateway.Report{From: "a", Seq: seq}})
			}
			for seq := range uint64(reports) {
				select {
				case p := <-events:
					c.Check(p.event.Report.Seq, qt.Equals, seq)
					c.Check(p.event.Address, qt.Equals, senderAddress)
					c.Check(p.at.Sub(sentAt) >= pause.Std(), qt.IsTrue)
				case <-time.After(5 * time.Second):
					c.Fatalf("report %d has not been posted", seq)
				}
			}
		})
	}
}
