package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	cs "github.com/crocusstile/crocusstile"
)

// ServiceResponse is the JSON body of a service's response to a call.
type ServiceResponse struct {
	Method    string         `json:"method"`
	RequestID cs.RequestID   `json:"requestId"`
	BodyHash  cs.ContentHash `json:"bodyHash"` // as returned by cs.HashTarget
	// Runs counts the executions of calls with this method and body, including this one.
	Runs int `json:"runs"`
}

// serviceEvent is a message to the goroutine that owns a service's calls.
type serviceEvent interface{ isServiceEvent() }

type (
	callArrived struct {
		id        cs.RequestID
		hash      cs.ContentHash
		body      string
		admission chan callAdmission // has capacity 1; also identifies the call
	}
	callEnded             struct{ reply chan<- cs.Load }
	callerDisconnected    struct{ admission chan callAdmission }
	serviceLoadRequested  struct{ reply chan<- loadReport }
	serviceLeaveRequested struct{ applied chan<- struct{} }
)

func (callArrived) isServiceEvent()           {}
func (callEnded) isServiceEvent()             {}
func (callerDisconnected) isServiceEvent()    {}
func (serviceLoadRequested) isServiceEvent()  {}
func (serviceLeaveRequested) isServiceEvent() {}

// callAdmission tells the goroutine of a call that the call has a slot or, if runs is 0, that it was
// refused.
type callAdmission struct{ runs int }

func (s *Service) apply(e serviceEvent) {
	switch e := e.(type) {
	case callArrived:
		if s.leaving {
			e.admission <- callAdmission{}
			return
		}
		s.waiting = append(s.waiting, e)
	case callEnded:
		s.running--
		e.reply <- s.load()
	case callerDisconnected:
		s.abandonCall(e.admission)
	case serviceLoadRequested:
		e.reply <- s.reports.at(s.config.Clock.Now(), s.faults.get().LoadLag)
		return
	case serviceLeaveRequested:
		s.leaving = true
		e.applied <- struct{}{}
	}
	s.fillSlots()
	s.recordLoad()
}

// fillSlots starts waiting calls in order of arrival while slots are free.
func (s *Service) fillSlots() {
	for s.running < s.config.Slots && len(s.waiting) > 0 {
		c := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.running++
		s.journal.add(c.entry(JournalStart, s.config.Clock.Now()))
		runs := 1
		if previous := s.runs.Get(c.hash); previous != nil {
			runs = *previous + 1
		}
		s.runs.Insert(c.hash, runs)
		c.admission <- callAdmission{runs: runs}
	}
}

// abandonCall removes a call whose client has disconnected. If the call was given a slot meanwhile, the
// slot is released.
func (s *Service) abandonCall(admission chan callAdmission) {
	for i, c := range s.waiting {
		if c.admission == admission {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
	if granted := <-admission; granted.runs > 0 {
		s.running--
	}
}

func (s *Service) load() cs.Load {
	return cs.Load{Running: s.running, Waiting: cs.Slots(len(s.waiting)), Slots: s.config.Slots}
}

func (s *Service) recordLoad() {
	s.reports.add(loadReport{
		Load: s.load(), Batch: s.running, Leaving: s.leaving, Loaded: []string{}, At: s.config.Clock.Now(),
	})
}

func (c callArrived) entry(e JournalEvent, now cs.Instant) JournalEntry {
	return JournalEntry{ID: c.id, Hash: c.hash, Body: c.body, Event: e, At: now}
}

func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r, maxBodyBytes)
	if !ok {
		return
	}
	method := r.PathValue("method")
	w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
	if s.faults.get().Refuse || strings.Contains(method, MarkRefuse) || strings.Contains(string(body), MarkRefuse) {
		writeNotRun(w, "the service refuses the call")
		return
	}
	call := callArrived{
		id:   cs.RequestID(r.Header.Get(headerRequestID)),
		hash: cs.HashTarget(cs.ServiceCall{Service: s.config.Service, Method: method, Body: body}),
		body: string(body), admission: make(chan callAdmission, 1),
	}
	decision, ok := s.awaitSlot(r.Context(), call)
	if !ok {
		abort()
	}
	if decision.runs == 0 {
		writeNotRun(w, "the service is leaving")
		return
	}
	s.execute(w, r, call, ServiceResponse{Method: method, RequestID: call.id, BodyHash: call.hash, Runs: decision.runs})
}

// awaitSlot waits until a call has a slot or is refused; it returns false if the client disconnected or
// Run ended first.
func (s *Service) awaitSlot(ctx context.Context, call callArrived) (callAdmission, bool) {
	if !s.inbox.send(ctx, call) {
		return callAdmission{}, false
	}
	select {
	case decision := <-call.admission:
		return decision, true
	case <-ctx.Done():
		s.inbox.send(context.WithoutCancel(ctx), callerDisconnected{admission: call.admission})
	case <-s.inbox.done:
	}
	return callAdmission{}, false
}

// execute runs a call that has a slot; the call completes even if the client disconnects.
func (s *Service) execute(w http.ResponseWriter, r *http.Request, call callArrived, answer ServiceResponse) {
	settings := s.faults.get()
	ctx := context.WithoutCancel(r.Context())
	if !pause(s.inbox.done, settings.Work) {
		abort()
	}
	s.journal.add(call.entry(JournalEnd, s.config.Clock.Now()))
	load, ok := sendForReply(ctx, &s.inbox, func(reply chan<- cs.Load) serviceEvent {
		return callEnded{reply: reply}
	})
	if !ok {
		abort()
	}
	if settings.WithholdResponses {
		select {
		case <-r.Context().Done():
		case <-s.inbox.done:
		}
		abort()
	}
	s.answer(w, call, answer, load)
}

// answer sends the response to a call that was executed, or applies the fault that replaces it.
func (s *Service) answer(w http.ResponseWriter, call callArrived, answer ServiceResponse, load cs.Load) {
	loadJSON, _ := json.Marshal(load) // cannot fail: a Load has only integer fields
	w.Header().Set(headerLoad, string(loadJSON))
	switch {
	case s.faults.consume(func(f *ServiceFaults) *int { return &f.DropResponseNext }):
		abort()
	case s.faults.consume(func(f *ServiceFaults) *int { return &f.ErrorNext }),
		strings.Contains(answer.Method, MarkFail), strings.Contains(call.body, MarkFail):
		writeError(w, http.StatusInternalServerError, "the call failed")
	case s.faults.consume(func(f *ServiceFaults) *int { return &f.MisattributeNext }):
		answer.RequestID += "-crossed"
		w.Header().Set(headerRequestID, string(answer.RequestID))
		writeJSON(w, http.StatusOK, answer)
	default:
		writeJSON(w, http.StatusOK, answer)
	}
}
