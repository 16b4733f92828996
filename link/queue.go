package link

import (
	"sync"
	"sync/atomic"

	cs "github.com/crocusstile/crocusstile"
)

// lane is one of the queues of a link.
type lane int

const (
	laneControl lane = iota
	laneBulk
	laneCount
)

// queuedMessage is a message with its estimated size.
type queuedMessage struct {
	message cs.PeerMessage
	size    cs.Bytes
}

// queue holds the messages to a peer that are not written yet.
type queue struct {
	// totalBytes counts the bytes in the queues of all links.
	totalBytes *atomic.Int64
	limits     [laneCount]cs.Bytes
	// totalLimit bounds total.
	totalLimit cs.Bytes
	// wake holds a token while the queue may have messages that the writer has not seen.
	wake chan struct{}

	mu       sync.Mutex
	closed   bool
	messages [laneCount][]queuedMessage
	bytes    [laneCount]cs.Bytes
}

func newQueue(c Config, totalBytes *atomic.Int64) *queue {
	return &queue{
		totalBytes: totalBytes,
		limits:     [laneCount]cs.Bytes{laneControl: c.ControlBytes, laneBulk: c.BulkBytes}, totalLimit: c.TotalBytes,
		wake: make(chan struct{}, 1),
	}
}

// push adds a message, or returns false if there is no room for it or the link has ended.
func (q *queue) push(m cs.PeerMessage) bool {
	l, size := laneOf(m), sizeOf(m)
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || q.bytes[l]+size > q.limits[l] || cs.Bytes(q.totalBytes.Load())+size > q.totalLimit {
		return false
	}
	q.messages[l] = append(q.messages[l], queuedMessage{message: m, size: size})
	q.bytes[l] += size
	q.totalBytes.Add(int64(size))
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return true
}

// pop removes the oldest message of a lane; it returns nil if there is none.
func (q *queue) pop(l lane) cs.PeerMessage {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.messages[l]) == 0 {
		return nil
	}
	first := q.messages[l][0]
	q.messages[l][0] = queuedMessage{} // lets go of the message
	q.messages[l] = q.messages[l][1:]
	q.bytes[l] -= first.size
	q.totalBytes.Add(-int64(first.size))
	return first.message
}

// close empties the queue for good and returns the number of messages that it dropped.
func (q *queue) close() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	var dropped int64
	for l := range laneCount {
		dropped += int64(len(q.messages[l]))
		q.totalBytes.Add(-int64(q.bytes[l]))
		q.messages[l], q.bytes[l] = nil, 0
	}
	return dropped
}
