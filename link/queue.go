package link

import (
	"sync"

	cs "github.com/crocusstile/crocusstile"
)

// lane is one of the queues of a link.
type lane int

const (
	laneControl lane = iota
	laneBulk
	laneCount
)

// queued is a message with its estimated size.
type queued struct {
	message cs.PeerMessage
	size    cs.Bytes
}

// queue holds the messages to a peer that are not written yet.
type queue struct {
	mu       sync.Mutex
	messages [laneCount][]queued
	bytes    [laneCount]cs.Bytes
	limits   [laneCount]cs.Bytes
	// wake holds a token while the queue may have messages that the writer has not seen.
	wake chan struct{}
}

func newQueue(c Config) *queue {
	return &queue{
		limits: [laneCount]cs.Bytes{laneControl: c.ControlBytes, laneBulk: c.BulkBytes},
		wake:   make(chan struct{}, 1),
	}
}

// push adds a message, or returns false if its lane is full.
func (q *queue) push(m cs.PeerMessage) bool {
	l, size := laneOf(m), sizeOf(m)
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.bytes[l]+size > q.limits[l] {
		return false
	}
	q.messages[l] = append(q.messages[l], queued{message: m, size: size})
	q.bytes[l] += size
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
	q.messages[l][0] = queued{} // lets go of the message
	q.messages[l] = q.messages[l][1:]
	q.bytes[l] -= first.size
	return first.message
}
