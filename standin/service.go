package standin

import (
	"context"
	"io"
	"net/http"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// ServiceConfig configures a Service.
type ServiceConfig struct {
	// Service is the service id that is part of the hash of a call, see cs.HashTarget.
	Service cs.ServiceID
	// Slots is the number of calls that run concurrently; others wait in order of arrival. 0 selects 8.
	Slots cs.Slots
	// Faults are the initial fault settings; a Work of 0 selects 5 ms and a LoadLag of 0 selects 300 ms.
	Faults ServiceFaults
	// Journal, unless nil, receives a copy of each journal line.
	Journal io.Writer
	// Clock gives the time of journal entries and load reports; nil selects the system clock.
	Clock *cs.Clock
}

// ServiceFaults are the fault settings of a Service; POST /standin/faults changes them at run time.
type ServiceFaults struct {
	// Work is the execution time of a call.
	Work cs.Span `json:"work"`
	// LoadLag is the age of the load reports that readers get.
	LoadLag cs.Span `json:"loadLag"`
	// WithholdResponses makes the service execute calls without sending responses.
	WithholdResponses bool `json:"silent"`
	// Refuse makes new calls fail with status 503 and the header X-Not-Run.
	Refuse bool `json:"refuse"`
	// ErrorNext is the number of following calls that are executed and fail with status 500.
	ErrorNext int `json:"errorNext"`
	// DropResponseNext is the number of following calls that are executed and whose connection is closed
	// without a response.
	DropResponseNext int `json:"loseNext"`
	// MisattributeNext is the number of following calls whose response carries the id of another request.
	MisattributeNext int `json:"crossNext"`
}

// Service simulates a plain service, which executes calls in a limited number of slots.
type Service struct {
	config  ServiceConfig
	mux     *http.ServeMux
	faults  faults[ServiceFaults]
	inbox   inbox[serviceEvent]
	journal journal
	running cs.Slots
	// waiting holds the calls without a slot, in order of arrival.
	waiting []callArrived
	// runs counts the executions of each content.
	runs    *fleet.Table[cs.ContentHash, int]
	leaving bool
	reports loadHistory
}

// NewService returns a service; zero fields of the configuration select the defaults.
func NewService(c ServiceConfig) *Service {
	setDefault(&c.Slots, 8)
	setDefault(&c.Faults.Work, 5*cs.Millisecond)
	setDefault(&c.Faults.LoadLag, 300*cs.Millisecond)
	if c.Clock == nil {
		c.Clock = cs.NewClock()
	}
	s := &Service{
		config: c, mux: http.NewServeMux(), faults: faults[ServiceFaults]{set: c.Faults},
		inbox: newInbox[serviceEvent](), journal: journal{mirror: c.Journal},
		runs: fleet.NewTable[cs.ContentHash, int](),
	}
	s.recordLoad()
	s.mux.HandleFunc("POST /v1/call/{method}", s.handleCall)
	s.mux.HandleFunc("GET /v1/load", s.handleLoad)
	s.mux.HandleFunc("POST /standin/leaving", s.handleLeaving)
	s.mux.Handle("POST /standin/faults", &s.faults)
	s.mux.Handle("GET /standin/journal", &s.journal)
	return s
}

// ServeHTTP serves calls and load reports; they block until Run is called.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults changes the fault settings.
func (s *Service) SetFaults(set func(*ServiceFaults)) { s.faults.update(set) }

// Faults returns the current fault settings.
func (s *Service) Faults() ServiceFaults { return s.faults.get() }

// Journal returns the journal entries of all calls so far.
func (s *Service) Journal() []JournalEntry { return s.journal.snapshot() }

// Leave makes the service refuse new calls and finish those it has; it returns false if Run or ctx
// ended first.
func (s *Service) Leave(ctx context.Context) bool {
	return sendAndWait(ctx, &s.inbox, func(applied chan<- struct{}) serviceEvent {
		return serviceLeaveRequested{applied: applied}
	})
}

// Run owns the waiting and running calls until ctx ends.
func (s *Service) Run(ctx context.Context) error { return s.inbox.receive(ctx, s.apply) }

func (s *Service) handleLoad(w http.ResponseWriter, r *http.Request) {
	report, ok := sendForReply(r.Context(), &s.inbox, func(reply chan<- loadReport) serviceEvent {
		return serviceLoadRequested{reply: reply}
	})
	if !ok {
		abort()
	}
	writeJSON(w, http.StatusOK, report)
}

func (s *Service) handleLeaving(w http.ResponseWriter, r *http.Request) {
	if !s.Leave(r.Context()) {
		abort()
	}
	w.WriteHeader(http.StatusNoContent)
}
