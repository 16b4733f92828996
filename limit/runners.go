package limit

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// Serves reports whether a runner can serve the target: an engine with the model loaded, or a
// runner of the called service.
func Serves(r *fleet.Runner, target cs.Target) bool {
	switch x := target.(type) {
	case cs.Generation:
		return r.Kind == cs.KindEngine && slices.ContainsFunc(r.Report.Loaded, func(m cs.LoadedModel) bool {
			return m.Model == x.Model && (x.Version == "" || m.Version == x.Version)
		})
	case cs.ServiceCall:
		return r.Kind == cs.KindService && r.Service == x.Service
	}
	return false
}

// SenderOf lists the runners for which this VM is the batch sender. The list is cached for 100 ms,
// so that not every tick iterates over all runners; fresh reports whether it was rebuilt on this
// tick.
func SenderOf(t *fleet.Tables, now cs.Instant) (runners []cs.RunnerID, fresh bool) {
	self := t.VMs.Get(t.Self.ID)
	if self != nil && self.SenderOfAt != 0 && now != self.SenderOfAt && now.Sub(self.SenderOfAt) < adaptInterval {
		return self.SenderOf, false
	}
	if self != nil && self.SenderOfAt == now && now != 0 {
		return self.SenderOf, true
	}
	for id, r := range t.Runners.All() {
		if r.Sender == t.Self.ID {
			runners = append(runners, id)
		}
	}
	if self != nil {
		self.SenderOf, self.SenderOfAt = runners, now
	}
	return runners, true
}
