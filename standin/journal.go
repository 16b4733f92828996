package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"

	cs "github.com/crocusstile/crocusstile"
)

//go:generate enumer -type JournalEvent -json -text -transform lower -trimprefix Journal

// JournalEvent is what happened to a run.
type JournalEvent int

// The events of a journal.
const (
	// JournalStart means that the run began to execute.
	JournalStart JournalEvent = iota
	// JournalEnd means that the run completed; its answer may still be lost on the way.
	JournalEnd
	// JournalCancel means that the run was stopped, by a cancellation or a closed connection.
	JournalCancel
	// JournalCrash means that the run made the runner crash.
	JournalCrash
)

// JournalEntry is one line of the journal of a runner or a service.
type JournalEntry struct {
	ID    cs.RequestID   `json:"id"`
	Hash  cs.ContentHash `json:"hash"` // as cs.HashTarget returns it
	Body  string         `json:"body"` // the prompt, or the body of the call
	Event JournalEvent   `json:"event"`
	At    cs.Instant     `json:"atMs"`
}

// journal keeps the entries in memory and copies them to a writer, which survives a crash.
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

// ServeHTTP answers all entries as JSON lines.
func (j *journal) ServeHTTP(w http.ResponseWriter, _ *http.Request) { writeJSONLines(w, j.snapshot()) }
