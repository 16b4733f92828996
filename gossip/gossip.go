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
	"net/netip"
	"os"
	"sync/atomic"
	"time"

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

// maxReportsAtOnce bounds the reports that are posted together.
const maxReportsAtOnce = 256

// Config holds the address and the dependencies of a Gossip.
type Config struct {
	// Listen is the local UDP address from which reports are sent and on which they are received.
	Listen cs.Address
	// Post delivers the received reports to the control loop.
	Post gateway.Post
	// Pause returns how long a received report may wait for others.
	Pause func() cs.Span
	Log   zerolog.Logger
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

// SendSlots sends a slot message to a peer. It must be called from the goroutine that calls Send.
func (g *Gossip) SendSlots(a gateway.SendSlots) {
	data, err := cbor.Marshal(a.Message)
	if err != nil || len(data) > maxReportBytes {
		g.cfg.Log.Error().Err(err).Int("bytes", len(data)).Msg("slot message cannot be encoded or is too large")
		return
	}
	g.sent.Add(1)
	if addr := g.resolve(a.To); addr != nil {
		_, _ = g.conn.WriteToUDP(data, addr) // a later message replaces a lost one
	}
}

// SendAllowance sends a message about limits to a peer. It must be called from the goroutine that calls Send.
func (g *Gossip) SendAllowance(a gateway.SendAllowance) {
	data, err := encodeAllowance(a.Message)
	if err != nil || len(data) > maxReportBytes {
		g.cfg.Log.Error().Err(err).Int("bytes", len(data)).Msg("allowance message cannot be encoded or is too large")
		return
	}
	g.sent.Add(1)
	if addr := g.resolve(a.To); addr != nil {
		_, _ = g.conn.WriteToUDP(data, addr) // a lost grant is lost allowance
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

// Run receives reports and slot messages and posts them to the control loop until Close is called or ctx ends. Reports that
// arrive within a pause are posted together, so that they wake the loop once; slot messages are posted at once.
func (g *Gossip) Run(ctx context.Context) error {
	buffer := make([]byte, maxReportBytes)
	batch := reportBatch{conn: g.conn}
	for {
		n, from, err := g.conn.ReadFromUDPAddrPort(buffer)
		switch {
		case errors.Is(err, net.ErrClosed) || ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, os.ErrDeadlineExceeded): // the pause has ended
		case err != nil:
			g.cfg.Log.Warn().Err(err).Msg("receiving load reports failed")
			continue
		default:
			g.received.Add(1)
			e, isReport := g.decode(buffer[:n], from)
			switch {
			case e == nil:
			case isReport:
				if err := batch.add(e, g.cfg.Pause()); err != nil {
					return err
				}
			default:
				if err := g.cfg.Post(ctx, e); err != nil {
					return err
				}
			}
		}
		if !batch.isDue() {
			continue
		}
		for _, e := range batch.reports {
			if err := g.cfg.Post(ctx, e); err != nil {
				return err
			}
		}
		if err := batch.reset(); err != nil {
			return err
		}
	}
}

// reportBatch collects the reports that arrive within a pause.
type reportBatch struct {
	conn    *net.UDPConn
	reports []gateway.Event
	// end is the end of the pause, or zero if there is none.
	end time.Time
}

// add adds a report. The first one starts the pause, at the end of which reads fail.
func (b *reportBatch) add(e gateway.Event, pause cs.Span) error {
	b.reports = append(b.reports, e)
	if len(b.reports) > 1 || pause == 0 {
		return nil
	}
	b.end = time.Now().Add(pause.Std())
	return b.conn.SetReadDeadline(b.end)
}

// isDue reports whether the reports must be posted.
func (b *reportBatch) isDue() bool {
	return len(b.reports) > 0 && (len(b.reports) >= maxReportsAtOnce || !time.Now().Before(b.end))
}

// reset removes the reports and ends the pause.
func (b *reportBatch) reset() error {
	clear(b.reports)
	b.reports = b.reports[:0]
	if b.end.IsZero() {
		return nil
	}
	b.end = time.Time{}
	return b.conn.SetReadDeadline(time.Time{})
}

// cborTag is the major type of a tagged value in the first byte of an encoding. Messages about limits are tagged with
// allowanceTag, which is local to the exchange between VMs.
const (
	cborTag      = 6
	allowanceTag = 60001
)

// encodeAllowance encodes a message about limits.
func encodeAllowance(m gateway.AllowanceMessage) ([]byte, error) {
	return cbor.Marshal(cbor.Tag{Number: allowanceTag, Content: m})
}

// decodeAllowance decodes a message about limits and returns an error for one that no VM can have sent.
func decodeAllowance(data []byte) (gateway.AllowanceMessage, error) {
	var tagged cbor.RawTag
	if err := decoder.Unmarshal(data, &tagged); err != nil {
		return gateway.AllowanceMessage{}, err
	}
	if tagged.Number != allowanceTag {
		return gateway.AllowanceMessage{}, errors.Newf("unknown tag %d", tagged.Number)
	}
	var m gateway.AllowanceMessage
	if err := decoder.Unmarshal(tagged.Content, &m); err != nil {
		return gateway.AllowanceMessage{}, err
	}
	return m, m.Validate()
}

// cborArray is the major type of an array in the first byte of an encoding (RFC 8949, section 3.1). Slot messages are arrays,
// and reports are maps.
const cborArray = 4

// decodeReport decodes a report and returns an error for one that no VM can have sent.
func decodeReport(data []byte) (gateway.Report, error) {
	var r gateway.Report
	if err := decoder.Unmarshal(data, &r); err != nil {
		return gateway.Report{}, err
	}
	return r, r.Validate()
}

// decodeSlots decodes a slot message and returns an error for one that no VM can have sent.
func decodeSlots(data []byte) (gateway.SlotMessage, error) {
	var m gateway.SlotMessage
	if err := decoder.Unmarshal(data, &m); err != nil {
		return gateway.SlotMessage{}, err
	}
	return m, m.Validate()
}

// decode returns the event of a datagram, or nil if it cannot be decoded, and whether it is a report.
func (g *Gossip) decode(data []byte, from netip.AddrPort) (gateway.Event, bool) {
	if len(data) > 0 && data[0]>>5 == cborArray {
		m, err := decodeSlots(data)
		if err != nil {
			g.malformed.Warn().Err(err).Stringer("from", from).Msg("slot message cannot be decoded")
			return nil, false
		}
		return gateway.SlotsReceived{Message: m}, false
	}
	address := cs.Address(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String())
	if len(data) > 0 && data[0]>>5 == cborTag {
		m, err := decodeAllowance(data)
		if err != nil {
			g.malformed.Warn().Err(err).Stringer("from", from).Msg("allowance message cannot be decoded")
			return nil, false
		}
		return gateway.AllowanceReceived{Address: address, Message: m}, false
	}
	r, err := decodeReport(data)
	if err != nil {
		g.malformed.Warn().Err(err).Stringer("from", from).Msg("load report cannot be decoded")
		return nil, true
	}
	return gateway.PeerReported{Address: address, Report: r}, true
}
