package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"

	cs "github.com/crocusstile/crocusstile"
)

//go:generate enumer -type JournalEvent -json -text -transform lower -trimprefix Journal

// JournalEvent is the kind of an event in the life of a run.
type JournalEvent int

// The events that a journal records.
const (
	// JournalStart is recorded when a run begins to execute.
	JournalStart JournalEvent = iota
	// JournalEnd is recorded when a run completes; its response may still be lost.
	JournalEnd
	// JournalCancel is recorded when a run is stopped by a cancellation or a closed connection.
	JournalCancel
	// JournalCrash is recorded when a run makes the runner crash.
	JournalCrash
)

// JournalEntry is one line of the journal in which a runner or a service records its runs.
type JournalEntry struct {
	ID    cs.RequestID   `json:"id"`
	Hash  cs.ContentHash `json:"hash"` // as returned by cs.HashTarget
	Body  string         `json:"body"` // the prompt, or the body of the call
	Event JournalEvent   `json:"event"`
	At    cs.Instant     `json:"atMs"`
}

// journal keeps the entries in memory and also writes them to mirror, if set, whose content survives a
// crash of the process.
type journal struct {
	mu      sync.Mutex
	entries []JournalEntry
	mirror  io.Writer
}

func (j *journal) add(e JournalEntry) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.entries = append(j.entries, e)
	if j.mirror != nil {
		_ = json.NewEncoder(j.mirror).Encode(e)
	}
}

func (j *journal) snapshot() []JournalEntry {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.entries[:len(j.entries):len(j.entries)]
}

// ServeHTTP responds with all entries as JSON lines.
func (j *journal) ServeHTTP(w http.ResponseWriter, _ *http.Request) { writeJSONLines(w, j.snapshot()) }
