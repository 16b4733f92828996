package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// ListConfig configures a List.
type ListConfig struct {
	// Entries are shown from the start.
	Entries []Entry
	// Faults are the settings at the start.
	Faults ListFaults
	// Clock tells the time of changes; nil stands for the machine's clock.
	Clock *cs.Clock
}

// ListFaults are the settings of a List that POST /standin/faults changes.
type ListFaults struct {
	// Lag is the time after which a change is shown; it applies to later changes.
	Lag cs.Span `json:"lag"`
	// Outage answers 503 to reads of the list.
	Outage bool `json:"outage"`
	// Delay passes before each read of the list is answered.
	Delay cs.Span `json:"delay"`
}

// List is the platform's list of live and leaving VMs, which lags.
type List struct {
	mux     *http.ServeMux
	faults  faults[ListFaults]
	inbox   inbox[listEvent]
	clock   *cs.Clock
	visible *fleet.Table[string, Entry]
	pending []listChange
}

// NewList returns a list that shows the configured entries.
func NewList(c ListConfig) *List {
	if c.Clock == nil {
		c.Clock = cs.NewClock()
	}
	l := &List{
		mux: http.NewServeMux(), faults: faults[ListFaults]{set: c.Faults}, inbox: newInbox[listEvent](), clock: c.Clock,
		visible: fleet.NewTable[string, Entry](),
	}
	for _, e := range c.Entries {
		l.visible.Insert(e.ID, e)
	}
	l.mux.HandleFunc("GET /v1/vms", l.handleRead)
	l.mux.HandleFunc("POST /standin/vms", l.handlePut)
	l.mux.HandleFunc("DELETE /standin/vms/{id}", l.handleRemove)
	l.mux.Handle("POST /standin/faults", &l.faults)
	return l
}

// ServeHTTP answers requests; it needs Run.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

// SetFaults changes the settings.
func (l *List) SetFaults(set func(*ListFaults)) { l.faults.update(set) }

// Faults returns the present settings.
func (l *List) Faults() ListFaults { return l.faults.get() }

// Run owns the entries until ctx ends.
func (l *List) Run(ctx context.Context) error { return l.inbox.receive(ctx, l.apply) }

// Put inserts or replaces entries by id; it returns false if Run or ctx ended first.
func (l *List) Put(ctx context.Context, registrations ...Entry) bool {
	return l.put(ctx, registrations, false)
}

// Replace puts the entries in place of all others; it returns false if Run or ctx ended first.
func (l *List) Replace(ctx context.Context, registrations ...Entry) bool {
	return l.put(ctx, registrations, true)
}

func (l *List) put(ctx context.Context, registrations []Entry, replace bool) bool {
	return sendAndWait(ctx, &l.inbox, func(applied chan<- struct{}) listEvent {
		return registrationsPut{registrations: registrations, replace: replace, applied: applied}
	})
}

// Remove removes an entry; it returns false if Run or ctx ended first.
func (l *List) Remove(ctx context.Context, id string) bool {
	return sendAndWait(ctx, &l.inbox, func(applied chan<- struct{}) listEvent {
		return registrationRemoved{id: id, applied: applied}
	})
}

// listEvent is a message to the owner of the entries.
type listEvent interface{ isListEvent() }

type (
	registrationsPut struct {
		registrations []Entry
		replace       bool
		applied       chan<- struct{}
	}
	registrationRemoved struct {
		id      string
		applied chan<- struct{}
	}
	listRequested struct{ reply chan<- []Entry }
)

func (registrationsPut) isListEvent()    {}
func (registrationRemoved) isListEvent() {}
func (listRequested) isListEvent()       {}

// listChange is a change that is shown from due on.
type listChange struct {
	due    cs.Instant
	change listEvent
}

func (l *List) apply(e listEvent) {
	now := l.clock.Now()
	switch e := e.(type) {
	case listRequested:
		l.applyDue(now)
		e.reply <- l.registrations()
	case registrationsPut:
		l.delayChange(now, e)
		e.applied <- struct{}{}
	case registrationRemoved:
		l.delayChange(now, e)
		e.applied <- struct{}{}
	}
}

// hold keeps a change back until the lag has passed.
func (l *List) delayChange(now cs.Instant, change listEvent) {
	l.pending = append(l.pending, listChange{due: now.Add(l.faults.get().Lag), change: change})
}

// showDue applies the changes that are due, in the order in which they came.
func (l *List) applyDue(now cs.Instant) {
	for len(l.pending) > 0 && l.pending[0].due <= now {
		l.applyChange(l.pending[0].change)
		l.pending = l.pending[1:]
	}
}

func (l *List) applyChange(change listEvent) {
	switch c := change.(type) {
	case registrationsPut:
		if c.replace {
			l.visible.DeleteFunc(func(string, *Entry) bool { return true })
		}
		for _, e := range c.registrations {
			l.visible.Insert(e.ID, e)
		}
	case registrationRemoved:
		l.visible.Delete(c.id)
	case listRequested:
	}
}

// entries returns the shown entries by id.
func (l *List) registrations() []Entry {
	registrations := make([]Entry, 0, l.visible.Len())
	for _, e := range l.visible.All() {
		registrations = append(registrations, *e)
	}
	slices.SortFunc(registrations, func(a, b Entry) int { return strings.Compare(a.ID, b.ID) })
	return registrations
}

// listBody is the JSON of the list and of a change to it.
type listBody struct {
	VMs []Entry `json:"vms"`
	// Replace removes the entries that a change does not name.
	Replace bool `json:"replace,omitempty"`
}

func (l *List) handleRead(w http.ResponseWriter, r *http.Request) {
	settings := l.faults.get()
	if !pause(r.Context().Done(), settings.Delay) {
		abort()
	}
	if settings.Outage {
		writeError(w, http.StatusServiceUnavailable, "the list is unavailable")
		return
	}
	registrations, ok := sendForReply(r.Context(), &l.inbox, func(reply chan<- []Entry) listEvent {
		return listRequested{reply: reply}
	})
	if !ok {
		abort()
	}
	body, err := json.Marshal(listBody{VMs: registrations})
	if err != nil {
		writeError(w, http.StatusInternalServerError, "cannot encode the list: %v", err)
		return
	}
	etag := strconv.Quote(strconv.FormatUint(xxhash.Sum64(body), 16))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body) // the client is gone if this fails
}

func (l *List) handlePut(w http.ResponseWriter, r *http.Request) {
	var body listBody
	if !readJSON(w, r, &body) {
		return
	}
	if !l.put(r.Context(), body.VMs, body.Replace) {
		abort()
	}
	w.WriteHeader(http.StatusNoContent)
}

func (l *List) handleRemove(w http.ResponseWriter, r *http.Request) {
	if !l.Remove(r.Context(), r.PathValue("id")) {
		abort()
	}
	w.WriteHeader(http.StatusNoContent)
}
