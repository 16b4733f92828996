package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	cs "github.com/crocusstile/crocusstile"
)

// ServiceAnswer is the JSON of an answer to a call.
type ServiceAnswer struct {
	Method    string         `json:"method"`
	RequestID cs.RequestID   `json:"requestId"`
	BodyHash  cs.ContentHash `json:"bodyHash"` // as cs.HashTarget returns it
	// Runs is the number of times that a call with this method and body ran, this one included.
	Runs int `json:"runs"`
}

// serviceEvent is a message to the owner of a service's calls.
type serviceEvent interface{ isServiceEvent() }

type (
	callArrived struct {
		id     cs.RequestID
		hash   cs.ContentHash
		body   string
		answer chan callState // of capacity 1; it identifies the call
	}
	callEnded        struct{ reply chan<- cs.Load }
	callGone         struct{ answer chan callState }
	serviceLoadAsked struct{ reply chan<- loadReport }
	callsClosed      struct{ applied chan<- struct{} }
)

func (callArrived) isServiceEvent()      {}
func (callEnded) isServiceEvent()        {}
func (callGone) isServiceEvent()         {}
func (serviceLoadAsked) isServiceEvent() {}
func (callsClosed) isServiceEvent()      {}

// callState tells a call's goroutine that it has a slot or, if runs is 0, that it was refused.
type callState struct{ runs int }

func (s *Service) apply(e serviceEvent) {
	switch e := e.(type) {
	case callArrived:
		if s.leaving {
			e.answer <- callState{}
			return
		}
		s.waiting = append(s.waiting, e)
	case callEnded:
		s.running--
		e.reply <- s.load()
	case callGone:
		s.drop(e.answer)
	case serviceLoadAsked:
		e.reply <- s.reports.at(s.config.Clock.Now(), s.faults.get().LoadLag)
		return
	case callsClosed:
		s.leaving = true
		e.applied <- struct{}{}
	}
	s.fillSlots()
	s.report()
}

// fillSlots starts the calls that waited longest.
func (s *Service) fillSlots() {
	for s.running < s.config.Slots && len(s.waiting) > 0 {
		c := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.running++
		s.journal.add(c.entry(JournalStart, s.config.Clock.Now()))
		runs := 1
		if n := s.runs.Get(c.hash); n != nil {
			runs = *n + 1
		}
		s.runs.Insert(c.hash, runs)
		c.answer <- callState{runs: runs}
	}
}

// drop forgets a call whose client is gone; if it started meanwhile, its slot is free again.
func (s *Service) drop(answer chan callState) {
	for i, c := range s.waiting {
		if c.answer == answer {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
	if state := <-answer; state.runs > 0 {
		s.running--
	}
}

func (s *Service) load() cs.Load {
	return cs.Load{Running: s.running, Waiting: cs.Slots(len(s.waiting)), Slots: s.config.Slots}
}

func (s *Service) report() {
	s.reports.add(loadReport{
		Load: s.load(), Batch: s.running, Leaving: s.leaving, Loaded: []string{}, At: s.config.Clock.Now(),
	})
}

func (c callArrived) entry(e JournalEvent, now cs.Instant) JournalEntry {
	return JournalEntry{ID: c.id, Hash: c.hash, Body: c.body, Event: e, At: now}
}

func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r, maxBody)
	if !ok {
		return
	}
	method := r.PathValue("method")
	w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
	if s.faults.get().Refuse || strings.Contains(method, MarkRefuse) || strings.Contains(string(body), MarkRefuse) {
		refuseNotRun(w, "the service refuses the call")
		return
	}
	c := callArrived{
		id:   cs.RequestID(r.Header.Get(headerRequestID)),
		hash: cs.HashTarget(cs.ServiceCall{Service: s.config.Service, Method: method, Body: body}),
		body: string(body), answer: make(chan callState, 1),
	}
	state, ok := s.wait(r.Context(), c)
	if !ok {
		abort()
	}
	if state.runs == 0 {
		refuseNotRun(w, "the service is leaving")
		return
	}
	s.work(w, r, c, ServiceAnswer{Method: method, RequestID: c.id, BodyHash: c.hash, Runs: state.runs})
}

// wait waits until a call has a slot; it returns false if the client went away or Run ended.
func (s *Service) wait(ctx context.Context, c callArrived) (callState, bool) {
	if !s.inbox.send(ctx, c) {
		return callState{}, false
	}
	select {
	case state := <-c.answer:
		return state, true
	case <-ctx.Done():
		s.inbox.send(context.WithoutCancel(ctx), callGone{answer: c.answer})
	case <-s.inbox.done:
	}
	return callState{}, false
}

// work runs a call that has a slot; it goes on to the end even if the client goes away.
func (s *Service) work(w http.ResponseWriter, r *http.Request, c callArrived, answer ServiceAnswer) {
	set := s.faults.get()
	ctx := context.WithoutCancel(r.Context())
	if !pause(s.inbox.done, set.Work) {
		abort()
	}
	s.journal.add(c.entry(JournalEnd, s.config.Clock.Now()))
	load, ok := ask(ctx, &s.inbox, func(reply chan<- cs.Load) serviceEvent {
		return callEnded{reply: reply}
	})
	if !ok {
		abort()
	}
	if set.Silent {
		select {
		case <-r.Context().Done():
		case <-s.inbox.done:
		}
		abort()
	}
	s.answer(w, c, answer, load)
}

func (s *Service) answer(w http.ResponseWriter, c callArrived, answer ServiceAnswer, load cs.Load) {
	header, _ := json.Marshal(load) // three numbers always encode
	w.Header().Set(headerLoad, string(header))
	switch {
	case s.faults.take(func(f *ServiceFaults) *int { return &f.LoseNext }):
		abort()
	case s.faults.take(func(f *ServiceFaults) *int { return &f.ErrorNext }),
		strings.Contains(answer.Method, MarkFail), strings.Contains(c.body, MarkFail):
		writeError(w, http.StatusInternalServerError, "the call failed")
	case s.faults.take(func(f *ServiceFaults) *int { return &f.CrossNext }):
		answer.RequestID += "-crossed"
		w.Header().Set(headerRequestID, string(answer.RequestID))
		writeJSON(w, http.StatusOK, answer)
	default:
		writeJSON(w, http.StatusOK, answer)
	}
}
