package link

import (
	"sync"
	"sync/atomic"

	cs "github.com/crocusstile/crocusstile"
)

// lane is one of the queues of a link. Messages of different lanes may overtake each other.
type lane int

const (
	laneControl lane = iota
	laneBulk
	laneCount
)

// queuedMessage is a message with its estimated encoded size.
type queuedMessage struct {
	message cs.PeerMessage
	size    cs.Bytes
}

// queue holds the messages to a peer that have not been written yet.
type queue struct {
	// totalBytes is the sum over the queues of all links.
	totalBytes *atomic.Int64
	limits     [laneCount]cs.Bytes
	// totalLimit bounds totalBytes.
	totalLimit cs.Bytes
	// wake has a capacity of one and holds a value while there may be messages that the writer has
	// not seen.
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

// push adds a message. It returns false if a bound is reached or the link has ended.
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

// pop removes and returns the oldest message of a lane, or returns nil if there is none.
func (q *queue) pop(l lane) cs.PeerMessage {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.messages[l]) == 0 {
		return nil
	}
	first := q.messages[l][0]
	q.messages[l][0] = queuedMessage{} // lets the garbage collector free the message
	q.messages[l] = q.messages[l][1:]
	q.bytes[l] -= first.size
	q.totalBytes.Add(-int64(first.size))
	return first.message
}

// close drops all messages, makes later pushes fail and returns the number of dropped messages.
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
