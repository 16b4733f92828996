package standin

import (
	"net/http"
	"slices"

	cs "github.com/crocusstile/crocusstile"
)

// loadReport is the JSON body of a load report.
type loadReport struct {
	cs.Load
	// Batch is the size of the current batch, which here holds all running requests.
	Batch   cs.Slots   `json:"batch"`
	Leaving bool       `json:"leaving"`
	Loaded  []string   `json:"loaded"`
	At      cs.Instant `json:"atMs"`
}

// loadHistory holds load reports in order of time, so that a response can carry an outdated one.
type loadHistory struct{ reports []loadReport }

// maxReports limits the history of a runner or service whose load is never requested.
const maxReports = 4096

func (h *loadHistory) add(r loadReport) {
	h.reports = append(h.reports, r)
	if n := len(h.reports); n > maxReports {
		h.reports = slices.Clone(h.reports[n/2:])
	}
}

// at returns the load as it was one lag before now, and discards older reports.
func (h *loadHistory) at(now cs.Instant, lag cs.Span) loadReport {
	then, i := now.Add(-lag), 0
	for i+1 < len(h.reports) && h.reports[i+1].At <= then {
		i++
	}
	h.reports = h.reports[i:]
	r := h.reports[0]
	r.At = max(r.At, then)
	return r
}

// recordLoad adds the current load to the history.
func (g *engine) recordLoad(now cs.Instant) {
	loaded := []string{}
	for m, row := range g.loaded.All() {
		if row.ready {
			loaded = append(loaded, string(m.Model)+"/"+string(m.Version))
		}
	}
	slices.Sort(loaded)
	g.reports.add(loadReport{Load: g.load(), Batch: g.running, Leaving: g.leaving, Loaded: loaded, At: now})
}

func (r *Runner) handleLoad(w http.ResponseWriter, req *http.Request) {
	report, ok := sendForReply(req.Context(), &r.inbox, func(reply chan<- loadReport) runnerEvent {
		return loadRequested{reply: reply}
	})
	if !ok {
		abort()
	}
	writeJSON(w, http.StatusOK, report)
}

// handleLeaving makes the runner refuse new requests and finish those it has.
func (r *Runner) handleLeaving(w http.ResponseWriter, req *http.Request) {
	if !r.Leave(req.Context()) {
		abort()
	}
	w.WriteHeader(http.StatusNoContent)
}
