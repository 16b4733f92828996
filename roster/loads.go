package roster

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/cost"
	"github.com/crocusstile/crocusstile/gateway"
)

// Loads applies the figures by which runners state how long work takes on their machines. From the first one of a service on, its
// requests are placed by what they cost.
func Loads(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	for _, e := range t.Events {
		read, ok := e.(gateway.RunnerLoadRead)
		if !ok {
			continue
		}
		if r := t.Runners.Get(read.Runner); r != nil {
			t.Costs.Activate(r.Spec.Service)
			r.Cost.ReadFigure(read.Figure, now)
		}
	}
	for id, s := range t.Costs.Services.All() {
		noteError(id, s, now, out)
	}
}

const (
	// inaccurateError is the error of estimates from which a line is logged, and accurateError the one below which it is logged that
	// this has ended.
	inaccurateError = 0.5
	accurateError   = 0.4
	// inaccuratePeriod is how long the error must last. A moving average of few responses may be off by chance.
	inaccuratePeriod = 10 * cs.Second
	// recordInterval is the least time between two records of the error as a metric.
	recordInterval = 5 * cs.Second
)

// noteError logs once when the estimates of a service have been inaccurate for some time, and once when that has ended.
func noteError(id cs.ServiceID, s *cost.Service, now cs.Instant, out *gateway.Actions) {
	if now.Sub(s.RecordedAt) >= recordInterval {
		s.RecordedAt = now
		out.Add(gateway.RecordEstimateError{Service: id, Error: cs.Ratio(s.Error.Value)})
	}
	note := gateway.Note{Reason: string(id), Count: int(100 * s.Error.Value)}
	switch {
	case s.Error.Value > inaccurateError && s.WrongSince == 0:
		s.WrongSince = now
	case s.Error.Value > inaccurateError && !s.Told && now.Sub(s.WrongSince) >= inaccuratePeriod:
		s.Told, note.Kind, note.Duration = true, gateway.NoteEstimatesInaccurate, now.Sub(s.WrongSince)
		out.Note(note)
	case s.Error.Value < accurateError && s.WrongSince != 0:
		if s.Told {
			note.Kind, note.Duration = gateway.NoteEstimatesAccurate, now.Sub(s.WrongSince)
			out.Note(note)
		}
		s.WrongSince, s.Told = 0, false
	}
}
