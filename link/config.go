package link

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/wire"
)

// Path is where a VM serves Handler.
const Path = "/v1/link"

// Config holds the parameters of a VM's links. A zero value of a limit or time stands for its
// default.
type Config struct {
	// Self is this VM as its peers shall see it.
	Self cs.VM
	// Events takes the events of all links; it is called from many goroutines and must not block
	// for long, because a link is not read meanwhile and Close waits for it.
	Events func(fleet.Event)
	// PeerTimeout is the silence after which a link is closed. The default is 3 s.
	PeerTimeout cs.Span
	// PingEvery is the longest time between two frames to a peer. The default is 1 s.
	PingEvery cs.Span
	// WriteTimeout bounds the write of one frame of at most ChunkBytes. The default is 3 s.
	WriteTimeout cs.Span
	// HandshakeTimeout bounds each of connecting and the exchange of Hello. The default is 2 s.
	HandshakeTimeout cs.Span
	// ControlBytes bounds the control messages queued for a peer. The default is 1 MiB.
	ControlBytes cs.Bytes
	// BulkBytes bounds the bulk messages queued for a peer. The default is 40 MiB, which holds one
	// message of the greatest length and some others.
	BulkBytes cs.Bytes
	// TotalBytes bounds the messages queued for all peers. The default is 96 MiB, so that peers that
	// stall at once leave room in the 256 MB allowed for control.
	TotalBytes cs.Bytes
	// ChunkBytes is the part of a bulk message that is sent before control messages have their
	// turn again. The default is 64 KiB.
	ChunkBytes cs.Bytes
}

func (c Config) withDefaults() Config {
	setDefault(&c.PeerTimeout, 3*cs.Second)
	setDefault(&c.PingEvery, cs.Second)
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
