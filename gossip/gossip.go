// Package gossip exchanges load reports between entry VMs as CBOR-encoded UDP datagrams, and serves the
// state of a VM over HTTP to peers that start while the store is unavailable.
//
// Reports use datagrams and not the connections of package link, since a report is out of date after a few
// tens of milliseconds and the next one follows soon: a lost report does no harm, while a stalled
// connection would hold back all reports after it.
package gossip

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

const (
	// maxReportBytes bounds the encoded size of a report.
	maxReportBytes = 16 << 10
	// malformedLines is the largest number of log lines about reports that cannot be decoded in each malformedPeriod.
	// Anyone can send a datagram.
	malformedLines  = 20
	malformedPeriod = 20 * cs.Second
)

// decoder accepts strings that are not valid UTF-8, as encoders do: one ID with such a string must not make all else that a
// VM reports undecodable.
var decoder = newDecoder()

// newDecoder returns the decoding mode of reports and states. It panics on inconsistent options, which would be a
// programming error independent of any input.
func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Config holds the address and the dependencies of a Gossip.
type Config struct {
	// Listen is the local UDP address from which reports are sent and on which they are received.
	Listen cs.Address
	// Post delivers the received reports to the control loop.
	Post gateway.Post
	Log  zerolog.Logger
}

// Gossip sends load reports to peers and posts those that it receives to the control loop.
type Gossip struct {
	cfg  Config
	conn *net.UDPConn
	// resolved holds the addresses of peers, nil for one that cannot be resolved. It is used only by the goroutine that
	// calls Send.
	resolved map[cs.Address]*net.UDPAddr
	// malformed logs reports that cannot be decoded, within a rate limit.
	malformed zerolog.Logger
	// sent and received count datagrams.
	sent, received atomic.Int64
}

// Traffic returns the numbers of datagrams sent and received since the start.
func (g *Gossip) Traffic() (sent, received int64) { return g.sent.Load(), g.received.Load() }

// New opens the UDP socket for reports; Run must be called to receive them.
func New(c Config) (*Gossip, error) {
	addr, err := net.ResolveUDPAddr("udp4", string(c.Listen))
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, err
	}
	return &Gossip{
		cfg: c, conn: conn, resolved: make(map[cs.Address]*net.UDPAddr),
		malformed: c.Log.Sample(&zerolog.BurstSampler{Burst: malformedLines, Period: malformedPeriod.Std()}),
	}, nil
}

// Close closes the socket, which ends Run.
func (g *Gossip) Close() { _ = g.conn.Close() } // no data is lost, since writes are not buffered

// Send sends a report to peers. It must be called from one goroutine only. A report that cannot be sent is
// dropped, as it might also be lost on the network.
func (g *Gossip) Send(a gateway.SendReport) {
	data, err := cbor.Marshal(a.Report)
	if err != nil || len(data) > maxReportBytes {
		g.cfg.Log.Error().Err(err).Int("bytes", len(data)).Msg("load report cannot be encoded or is too large")
		return
	}
	g.sent.Add(int64(len(a.To)))
	for _, to := range a.To {
		if addr := g.resolve(to); addr != nil {
			_, _ = g.conn.WriteToUDP(data, addr) // the next report replaces a lost one
		}
	}
}

// resolve returns the address of a peer, or nil if reports cannot be sent there.
func (g *Gossip) resolve(a cs.Address) *net.UDPAddr {
	if addr, known := g.resolved[a]; known {
		return addr
	}
	addr, err := net.ResolveUDPAddr("udp4", string(a))
	if err != nil {
		addr = nil
		g.cfg.Log.Error().Err(err).Str("address", string(a)).Msg("cannot resolve the address of a peer")
	}
	g.resolved[a] = addr
	return addr
}

// Run receives reports and posts them to the control loop until Close is called or ctx ends.
func (g *Gossip) Run(ctx context.Context) error {
	buffer := make([]byte, maxReportBytes)
	for {
		n, from, err := g.conn.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			g.cfg.Log.Warn().Err(err).Msg("receiving load reports failed")
			continue
		}
		g.received.Add(1)
		r, err := decodeReport(buffer[:n])
		if err != nil {
			g.malformed.Warn().Err(err).Str("from", from.String()).Msg("load report cannot be decoded")
			continue
		}
		e := gateway.PeerReported{Address: cs.Address(from.String()), Report: r}
		if err := g.cfg.Post(ctx, e); err != nil {
			return err
		}
	}
}

// decodeReport decodes a report and returns an error for one that no VM can have sent.
func decodeReport(data []byte) (gateway.Report, error) {
	var r gateway.Report
	if err := decoder.Unmarshal(data, &r); err != nil {
		return gateway.Report{}, err
	}
	return r, r.Validate()
}
