package link

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/wire"
)

// Path is the URL path at which a VM serves Handler.
const Path = "/v1/link"

// Config holds the parameters of a VM's links. A limit or time that is zero selects its default.
type Config struct {
	// Self is the description of this VM that is sent to peers.
	Self cs.VM
	// OnEvent receives the events of all links. It is called from several goroutines and must not
	// block for long, because the link is not read during the call and Close waits for it.
	OnEvent func(fleet.Event)
	// PeerTimeout is the idle timeout: a link that receives nothing for so long is closed. The
	// default is 3 s.
	PeerTimeout cs.Span
	// PingInterval is the longest time between two frames to a peer; a ping is sent if there is no
	// message. The default is 1 s.
	PingInterval cs.Span
	// WriteTimeout bounds the write of one frame of at most ChunkBytes. The default is 3 s.
	WriteTimeout cs.Span
	// HandshakeTimeout bounds each step of the handshake: connecting, sending Hello and receiving
	// Hello. The default is 2 s.
	HandshakeTimeout cs.Span
	// ControlBytes bounds the control messages queued for a peer. The default is 1 MiB.
	ControlBytes cs.Bytes
	// BulkBytes bounds the bulk messages queued for a peer. The default is 40 MiB, which is the
	// maximum size of a message and 8 MiB for others.
	BulkBytes cs.Bytes
	// TotalBytes bounds the messages queued for all peers together. The default is 96 MiB, so that
	// several stalled peers leave room in the 256 MB of memory allowed for control.
	TotalBytes cs.Bytes
	// ChunkBytes is the size of the parts in which a bulk message is sent; control messages are sent
	// between the parts. The default is 64 KiB.
	ChunkBytes cs.Bytes
}

func (c Config) withDefaults() Config {
	setDefault(&c.PeerTimeout, 3*cs.Second)
	setDefault(&c.PingInterval, cs.Second)
	setDefault(&c.WriteTimeout, 3*cs.Second)
	setDefault(&c.HandshakeTimeout, 2*cs.Second)
	setDefault(&c.ControlBytes, 1<<20)
	setDefault(&c.BulkBytes, wire.MaxMessage+8<<20)
	setDefault(&c.TotalBytes, 96<<20)
	setDefault(&c.ChunkBytes, 64<<10)
	return c
}

func setDefault[T cs.Span | cs.Bytes](p *T, value T) {
	if *p == 0 {
		*p = value
	}
}
