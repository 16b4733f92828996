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

// VMListConfig configures a VMList.
type VMListConfig struct {
	// Registrations is the initial content of the list.
	Registrations []Registration
	// Faults are the initial fault settings.
	Faults VMListFaults
	// Clock gives the time of changes; nil selects the system clock.
	Clock *cs.Clock
}

// VMListFaults are the fault settings of a VMList; POST /standin/faults changes them at run time.
type VMListFaults struct {
	// Lag is the time until a change becomes visible to readers; a new value applies to later changes only.
	Lag cs.Span `json:"lag"`
	// Outage makes reads of the list fail with status 503.
	Outage bool `json:"outage"`
	// Delay is added before the response to each read of the list.
	Delay cs.Span `json:"delay"`
}

// VMList simulates the platform's list of live and leaving VMs, whose readers see changes with a lag.
type VMList struct {
	mux     *http.ServeMux
	faults  faults[VMListFaults]
	inbox   inbox[listEvent]
	clock   *cs.Clock
	visible *fleet.Table[string, Registration]
	pending []listChange
}

// NewVMList returns a list with the configured registrations.
func NewVMList(c VMListConfig) *VMList {
	if c.Clock == nil {
		c.Clock = cs.NewClock()
	}
	l := &VMList{
		mux: http.NewServeMux(), faults: faults[VMListFaults]{set: c.Faults}, inbox: newInbox[listEvent](), clock: c.Clock,
		visible: fleet.NewTable[string, Registration](),
	}
	for _, r := range c.Registrations {
		l.visible.Insert(r.ID, r)
	}
	l.mux.HandleFunc("GET /v1/vms", l.handleRead)
	l.mux.HandleFunc("POST /standin/vms", l.handlePut)
	l.mux.HandleFunc("DELETE /standin/vms/{id}", l.handleRemove)
	l.mux.Handle("POST /standin/faults", &l.faults)
	return l
}

// ServeHTTP serves the list over HTTP; reads and changes of the list block until Run is called.
func (l *VMList) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

// SetFaults changes the fault settings.
func (l *VMList) SetFaults(set func(*VMListFaults)) { l.faults.update(set) }

// Faults returns the current fault settings.
func (l *VMList) Faults() VMListFaults { return l.faults.get() }

// Run owns the registrations and applies changes to them until ctx ends.
func (l *VMList) Run(ctx context.Context) error { return l.inbox.receive(ctx, l.apply) }

// Put inserts or replaces registrations by id; it returns false if Run or ctx ended first.
func (l *VMList) Put(ctx context.Context, registrations ...Registration) bool {
	return l.put(ctx, registrations, false)
}

// Replace removes all registrations and inserts the given ones; it returns false if Run or ctx ended
// first.
func (l *VMList) Replace(ctx context.Context, registrations ...Registration) bool {
	return l.put(ctx, registrations, true)
}

func (l *VMList) put(ctx context.Context, registrations []Registration, replace bool) bool {
	return sendAndWait(ctx, &l.inbox, func(applied chan<- struct{}) listEvent {
		return registrationsPut{registrations: registrations, replace: replace, applied: applied}
	})
}

// Remove deletes the registration with an id; it returns false if Run or ctx ended first.
func (l *VMList) Remove(ctx context.Context, id string) bool {
	return sendAndWait(ctx, &l.inbox, func(applied chan<- struct{}) listEvent {
		return registrationRemoved{id: id, applied: applied}
	})
}

// listEvent is a message to the goroutine that owns the registrations.
type listEvent interface{ isListEvent() }

type (
	registrationsPut struct {
		registrations []Registration
		replace       bool
		applied       chan<- struct{}
	}
	registrationRemoved struct {
		id      string
		applied chan<- struct{}
	}
	listRequested struct{ reply chan<- []Registration }
)

func (registrationsPut) isListEvent()    {}
func (registrationRemoved) isListEvent() {}
func (listRequested) isListEvent()       {}

// listChange is a change that becomes visible to readers at due.
type listChange struct {
	due    cs.Instant
	change listEvent
}

func (l *VMList) apply(e listEvent) {
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

// delayChange queues a change that becomes visible once the lag has passed.
func (l *VMList) delayChange(now cs.Instant, change listEvent) {
	l.pending = append(l.pending, listChange{due: now.Add(l.faults.get().Lag), change: change})
}

// applyDue applies the queued changes up to the first that is not due yet, in order of arrival.
func (l *VMList) applyDue(now cs.Instant) {
	for len(l.pending) > 0 && l.pending[0].due <= now {
		l.applyChange(l.pending[0].change)
		l.pending = l.pending[1:]
	}
}

func (l *VMList) applyChange(change listEvent) {
	switch c := change.(type) {
	case registrationsPut:
		if c.replace {
			l.visible.DeleteFunc(func(string, *Registration) bool { return true })
		}
		for _, r := range c.registrations {
			l.visible.Insert(r.ID, r)
		}
	case registrationRemoved:
		l.visible.Delete(c.id)
	case listRequested:
	}
}

// registrations returns the visible registrations sorted by id.
func (l *VMList) registrations() []Registration {
	registrations := make([]Registration, 0, l.visible.Len())
	for _, r := range l.visible.All() {
		registrations = append(registrations, *r)
	}
	slices.SortFunc(registrations, func(a, b Registration) int { return strings.Compare(a.ID, b.ID) })
	return registrations
}

// listBody is the JSON body of a response with the list and of a request that changes it.
type listBody struct {
	VMs []Registration `json:"vms"`
	// Replace removes the registrations that a change does not contain.
	Replace bool `json:"replace,omitempty"`
}

func (l *VMList) handleRead(w http.ResponseWriter, r *http.Request) {
	settings := l.faults.get()
	if !pause(r.Context().Done(), settings.Delay) {
		abort()
	}
	if settings.Outage {
		writeError(w, http.StatusServiceUnavailable, "the list is unavailable")
		return
	}
	registrations, ok := sendForReply(r.Context(), &l.inbox, func(reply chan<- []Registration) listEvent {
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
	_, _ = w.Write(body) // fails only if the client has disconnected
}

func (l *VMList) handlePut(w http.ResponseWriter, r *http.Request) {
	var body listBody
	if !readJSON(w, r, &body) {
		return
	}
	if !l.put(r.Context(), body.VMs, body.Replace) {
		abort()
	}
	w.WriteHeader(http.StatusNoContent)
}

func (l *VMList) handleRemove(w http.ResponseWriter, r *http.Request) {
	if !l.Remove(r.Context(), r.PathValue("id")) {
		abort()
	}
	w.WriteHeader(http.StatusNoContent)
}
