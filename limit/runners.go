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

// AssignedRunners lists the runners of which this VM is the batch sender. The list is cached for
// 100 ms, so that not every tick iterates over all runners; fresh reports whether it was rebuilt on
// this tick.
func AssignedRunners(t *fleet.Tables, now cs.Instant) (runners []cs.RunnerID, fresh bool) {
	self := t.VMs.Get(t.Self.ID)
	if self != nil && self.AssignedRunnersAt != 0 && now != self.AssignedRunnersAt && now.Sub(self.AssignedRunnersAt) < adaptInterval {
		return self.AssignedRunners, false
	}
	if self != nil && self.AssignedRunnersAt == now && now != 0 {
		return self.AssignedRunners, true
	}
	for id, r := range t.Runners.All() {
		if r.Sender == t.Self.ID {
			runners = append(runners, id)
		}
	}
	if self != nil {
		self.AssignedRunners, self.AssignedRunnersAt = runners, now
	}
	return runners, true
}
