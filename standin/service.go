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
	// Service is the name under which calls are hashed, as cs.HashTarget does.
	Service cs.ServiceID
	// Slots is the number of calls that run at once, others wait in order; 0 stands for 8.
	Slots cs.Slots
	// Faults are the settings at the start; a Work of 0 stands for 5 ms and a LoadLag for 300 ms.
	Faults ServiceFaults
	// Journal receives a copy of the journal's lines; may be nil.
	Journal io.Writer
	// Clock tells the time of entries; nil stands for the machine's clock.
	Clock *cs.Clock
}

// ServiceFaults are the settings of a Service that POST /standin/faults changes.
type ServiceFaults struct {
	// Work is the time that a call takes.
	Work cs.Span `json:"work"`
	// LoadLag is the age of the load reports.
	LoadLag cs.Span `json:"loadLag"`
	// Silent runs calls but never answers them.
	Silent bool `json:"silent"`
	// Refuse answers new calls 503 with X-Not-Run.
	Refuse bool `json:"refuse"`
	// ErrorNext is the number of coming calls that run and are answered 500.
	ErrorNext int `json:"errorNext"`
	// LoseNext is the number of coming calls that run, but whose connection breaks before the answer.
	LoseNext int `json:"loseNext"`
	// CrossNext is the number of coming calls that are answered with the id of another request.
	CrossNext int `json:"crossNext"`
}

// Service is a plain service.
type Service struct {
	config  ServiceConfig
	mux     *http.ServeMux
	faults  faults[ServiceFaults]
	inbox   inbox[serviceEvent]
	journal journal
	running cs.Slots
	// waiting holds the calls without a slot, in the order of their arrival.
	waiting []callArrived
	runs    *fleet.Table[cs.ContentHash, int]
	leaving bool
	reports loadHistory
}

// NewService returns a service.
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

// ServeHTTP answers requests; it needs Run.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults changes the settings.
func (s *Service) SetFaults(set func(*ServiceFaults)) { s.faults.update(set) }

// Faults returns the present settings.
func (s *Service) Faults() ServiceFaults { return s.faults.get() }

// Journal returns what was run.
func (s *Service) Journal() []JournalEntry { return s.journal.snapshot() }

// Leave makes the service refuse new calls and finish those it has; it returns false if Run or ctx
// ended first.
func (s *Service) Leave(ctx context.Context) bool {
	return sendAndWait(ctx, &s.inbox, func(applied chan<- struct{}) serviceEvent {
		return serviceLeaveRequested{applied: applied}
	})
}

// Run owns the calls until ctx ends.
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
