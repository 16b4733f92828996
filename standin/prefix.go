package standin

import (
	"container/list"
	"encoding/binary"
	"net/http"
	"strconv"

	cs "github.com/crocusstile/crocusstile"
)

// prefixKey identifies a cached prompt prefix: the hash of model, adapter, version and prefix.
type prefixKey cs.ContentHash

// prefixOf returns the key of a prompt's prefix of at most limit bytes, and its length in bytes.
func prefixOf(g cs.Generation, limit cs.Bytes) (prefixKey, int) {
	length := min(len(g.Prompt), int(limit))
	g.Prompt = g.Prompt[:length]
	return prefixKey(cs.HashTarget(g)), length
}

func (k prefixKey) String() string { return strconv.FormatUint(uint64(k), 16) }

// blockContent encodes the key as the content of an exported KV cache block.
func (k prefixKey) blockContent() []byte { return binary.BigEndian.AppendUint64(nil, uint64(k)) }

// CacheEvent reports that a prefix was stored in the prefix cache or evicted from it. Prefix is the
// hexadecimal hash that cs.HashTarget returns for model, adapter, version and the prompt's prefix.
type CacheEvent struct {
	Seq    cs.Seq     `json:"seq"`
	Prefix string     `json:"prefix"`
	Stored bool       `json:"stored"`
	due    cs.Instant // when readers can see the event
}

// cachePage is the JSON body of a response with cache events.
type cachePage struct {
	Next   cs.Seq       `json:"next"`
	Events []CacheEvent `json:"events"`
}

// maxCacheEvents is the number of cache events kept for readers; older ones are discarded.
const maxCacheEvents = 4096

// prefixCache is an LRU cache of prompt prefixes with the events of its changes.
type prefixCache struct {
	limit    int
	lag      cs.Span
	gap      cs.Seq     // events whose number is a multiple of gap are never published
	recent   *list.List // of prefixKey, most recently used first
	elements map[prefixKey]*list.Element
	seq      cs.Seq
	events   []CacheEvent
}

func newPrefixCache(c RunnerConfig) prefixCache {
	return prefixCache{
		limit: c.Prefixes, lag: c.CacheEventLag, gap: cs.Seq(c.CacheEventGap),
		recent: list.New(), elements: make(map[prefixKey]*list.Element),
	}
}

// touch marks a prefix as the most recently used, inserts it if it is not cached, and tells whether it
// was.
func (c *prefixCache) touch(key prefixKey, now cs.Instant) bool {
	if e, ok := c.elements[key]; ok {
		c.recent.MoveToFront(e)
		return true
	}
	c.elements[key] = c.recent.PushFront(key)
	c.recordEvent(key, true, now)
	if c.recent.Len() > c.limit {
		oldest := c.recent.Remove(c.recent.Back()).(prefixKey)
		delete(c.elements, oldest)
		c.recordEvent(oldest, false, now)
	}
	return false
}

// recordEvent numbers an event and keeps it for readers unless it falls into a gap.
func (c *prefixCache) recordEvent(key prefixKey, stored bool, now cs.Instant) {
	c.seq++
	if c.seq%c.gap == 0 {
		return
	}
	c.events = append(c.events, CacheEvent{Seq: c.seq, Prefix: key.String(), Stored: stored, due: now.Add(c.lag)})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// page returns the events numbered from or higher whose lag has passed.
func (c *prefixCache) page(from cs.Seq, now cs.Instant) cachePage {
	p := cachePage{Next: max(from, 1), Events: []CacheEvent{}}
	for _, e := range c.events {
		if e.due > now {
			break
		}
		if e.Seq >= from {
			p.Events = append(p.Events, e)
			p.Next = e.Seq + 1
		}
	}
	return p
}

func (r *Runner) handleCacheEvents(w http.ResponseWriter, req *http.Request) {
	var from uint64
	if text := req.URL.Query().Get("from"); text != "" {
		var err error
		if from, err = strconv.ParseUint(text, 10, 64); err != nil {
			writeError(w, http.StatusBadRequest, "from is not a number")
			return
		}
	}
	page, ok := sendForReply(req.Context(), &r.inbox, func(reply chan<- cachePage) runnerEvent {
		return cacheEventsRequested{from: cs.Seq(from), reply: reply}
	})
	if !ok {
		abort()
	}
	writeJSON(w, http.StatusOK, page)
}
