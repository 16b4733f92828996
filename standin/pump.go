package standin

import (
	"bytes"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	cs "github.com/crocusstile/crocusstile"
)

const (
	// chunkBytes is the size of the read buffer and so the limit for a chunk.
	chunkBytes = 32 << 10
	// maxChunks is the number of chunks that each direction can buffer, as it does during a delay.
	maxChunks = 1024
)

// proxyConn is a client connection paired with its connection to the target.
type proxyConn struct {
	client, target *net.TCPConn
	// mode is written by the goroutine that owns the connections and read by those that copy data.
	mode      atomic.Pointer[ProxyMode]
	done      chan struct{}
	closeOnce sync.Once
}

func newProxyConn(client, target *net.TCPConn) *proxyConn {
	return &proxyConn{client: client, target: target, done: make(chan struct{})}
}

func (c *proxyConn) close() {
	c.closeOnce.Do(func() {
		close(c.done)
		_ = c.client.Close()
		_ = c.target.Close()
	})
}

// copyBoth copies data in both directions until both have ended.
func (c *proxyConn) copyBoth() {
	var copies sync.WaitGroup
	requests, responses := make(chan chunk, maxChunks), make(chan chunk, maxChunks)
	copies.Go(func() { c.read(c.client, requests) })
	copies.Go(func() { c.write(c.target, requests, false) })
	copies.Go(func() { c.read(c.target, responses) })
	copies.Go(func() { c.write(c.client, responses, true) })
	copies.Wait()
}

// chunk is the data of one read; an empty one marks the end of the direction.
type chunk struct {
	data   []byte
	readAt time.Time
}

// read reads one direction into a channel. It runs in a goroutine separate from write, so that a delay
// adds latency without reducing the throughput.
func (c *proxyConn) read(src *net.TCPConn, out chan<- chunk) {
	defer close(out)
	buf := make([]byte, chunkBytes)
	for {
		n, err := src.Read(buf)
		if _, frozen := (*c.mode.Load()).(Freeze); frozen {
			<-c.done // forwards neither data nor the end of the stream
			return
		}
		if err != nil && err != io.EOF {
			c.close()
			return
		}
		select {
		case out <- chunk{data: bytes.Clone(buf[:n]), readAt: time.Now()}:
		case <-c.done:
			return
		}
		if err == io.EOF {
			return
		}
	}
}

// write forwards the chunks of one direction, delayed if the mode says so.
func (c *proxyConn) write(dst *net.TCPConn, in <-chan chunk, toClient bool) {
	for received := range in {
		if delay, ok := (*c.mode.Load()).(Delay); ok {
			if !pause(c.done, cs.SpanOf(time.Until(received.readAt.Add(delay.Latency.Std())))) {
				return
			}
		}
		if !c.forward(dst, received, toClient) {
			return
		}
	}
}

// forward handles one chunk as the mode says; it returns false if the direction has ended.
func (c *proxyConn) forward(dst *net.TCPConn, received chunk, toClient bool) bool {
	switch (*c.mode.Load()).(type) {
	case Freeze:
		<-c.done
		return false
	case HalfClose:
		if toClient {
			return true
		}
	case DropResponses:
		if toClient {
			c.close()
			return false
		}
	case Pass, Delay, Cut:
	}
	if len(received.data) == 0 {
		return dst.CloseWrite() == nil
	}
	if _, err := dst.Write(received.data); err != nil {
		if _, half := (*c.mode.Load()).(HalfClose); half && toClient {
			return true // setConnMode has closed this direction meanwhile
		}
		c.close()
		return false
	}
	return true
}
