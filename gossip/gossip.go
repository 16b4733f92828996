// Package gossip carries load reports between VMs as datagrams of CBOR, and the state of a VM over HTTP to
// a peer that has started without the store.
//
// A report is out of date after a few tens of milliseconds and repeated soon, so that a lost one
// does no harm, while a connection that goes silent would hold all that follow back. That is why
// these are datagrams and not messages of package link.
package gossip

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// maxReport bounds the bytes of a report.
const maxReportBytes = 16 << 10

// Config holds what a Gossip needs.
type Config struct {
	// Listen is the address on which reports come and from which they are sent.
	Listen cs.Address
	Post   gateway.Post
	Log    zerolog.Logger
}

// Gossip sends and receives reports.
type Gossip struct {
	cfg      Config
	conn     *net.UDPConn
	resolved map[cs.Address]*net.UDPAddr // of the sender's goroutine alone
}

// New listens for reports.
func New(c Config) (*Gossip, error) {
	addr, err := net.ResolveUDPAddr("udp4", string(c.Listen))
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, err
	}
	return &Gossip{cfg: c, conn: conn, resolved: make(map[cs.Address]*net.UDPAddr)}, nil
}

// Close ends Run.
func (g *Gossip) Close() { _ = g.conn.Close() } // nothing is buffered

// Send sends a report; it must be called from one goroutine. Reports that cannot be sent are lost,
// as others are on the way.
func (g *Gossip) Send(a gateway.SendReport) {
	data, err := cbor.Marshal(a.Report)
	if err != nil || len(data) > maxReportBytes {
		g.cfg.Log.Error().Err(err).Int("bytes", len(data)).Msg("report cannot be sent")
		return
	}
	for _, to := range a.To {
		addr := g.resolved[to]
		if addr == nil {
			if addr, err = net.ResolveUDPAddr("udp4", string(to)); err != nil {
				g.cfg.Log.Error().Err(err).Str("address", string(to)).Msg("peer's address is invalid")
				continue
			}
			g.resolved[to] = addr
		}
		_, _ = g.conn.WriteToUDP(data, addr) // the next report repeats what is lost
	}
}

// Run receives reports until Close.
func (g *Gossip) Run(ctx context.Context) error {
	buffer := make([]byte, maxReportBytes)
	for {
		n, from, err := g.conn.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			g.cfg.Log.Warn().Err(err).Msg("reading reports failed")
			continue
		}
		var r gateway.Report
		if err := cbor.Unmarshal(buffer[:n], &r); err != nil {
			g.cfg.Log.Warn().Err(err).Str("from", from.String()).Msg("report cannot be read")
			continue
		}
		e := gateway.PeerReported{Address: cs.Address(from.String()), Report: r}
		if err := g.cfg.Post(ctx, e); err != nil {
			return err
		}
	}
}
