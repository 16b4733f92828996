package quarantine

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// convictAll convicts those of the contents that alone explain their crashes.
func convictAll(t *fleet.Tables, all []cs.ContentHash, now cs.Instant, out *fleet.Actions) {
	for _, h := range all {
		if guilty(t, h) {
			convict(t, h, now.Add(t.Config.Quarantine), out)
			tell(t, cs.SuspectNoted{
				Hash: h, Runner: last(t.Suspects.Get(h).Runners), Convicted: true, Until: t.Config.Quarantine,
			}, out)
		}
	}
}

// guilty reports whether two runners crashed with the content in flight and no other content was in
// flight on both of them.
func guilty(t *fleet.Tables, h cs.ContentHash) bool {
	s := t.Suspects.Get(h)
	if s == nil || s.Convicted || s.Crashes < maxCrashes {
		return false
	}
	for o, other := range t.Suspects.All() {
		if o != h && shared(s, other) >= maxCrashes {
			return false
		}
	}
	return true
}

// shared counts the crashes that two contents have in common.
func shared(a, b *fleet.Suspect) int {
	n := 0
	for _, r := range a.Runners {
		if slices.Contains(b.Runners, r) {
			n++
		}
	}
	return n
}

// convict quarantines a content and clears those whose only crash it explains.
func convict(t *fleet.Tables, h cs.ContentHash, until cs.Instant, out *fleet.Actions) {
	s := t.Suspects.Get(h)
	s.Convicted, s.Until = true, until
	runners := s.Runners
	out.Count(fleet.CountQuarantined, "", 1)
	out.Note("request", "quarantined", fleet.Field{Name: "hash", Value: uint64(h)}, fleet.Field{Name: "runners", Value: runners})
	t.Suspects.DeleteFunc(func(_ cs.ContentHash, o *fleet.Suspect) bool {
		return !o.Convicted && o.Crashes < maxCrashes && slices.Contains(runners, last(o.Runners))
	})
}

func last(r []cs.RunnerID) cs.RunnerID {
	if len(r) == 0 {
		return ""
	}
	return r[len(r)-1]
}

// noted takes over what a peer found.
func noted(t *fleet.Tables, m cs.SuspectNoted, now cs.Instant, out *fleet.Actions) {
	s := t.Suspects.Get(m.Hash)
	switch {
	case m.Convicted:
		if s == nil {
			t.Suspects.Insert(m.Hash, fleet.Suspect{})
		}
		blame(t, m.Hash, m.Runner, now, out)
		if !t.Suspects.Get(m.Hash).Convicted {
			convict(t, m.Hash, now.Add(m.Until), out)
		}
	case m.Until <= clearedFor:
		if s != nil && !s.Convicted && s.Crashes < maxCrashes {
			t.Suspects.Delete(m.Hash)
		}
	case s == nil && explained(t, m.Runner, now):
	default:
		blame(t, m.Hash, m.Runner, now, out)
		convictAll(t, []cs.ContentHash{m.Hash}, now, out)
	}
}

// tell sends a note to the live VMs of the own data centre.
func tell(t *fleet.Tables, m cs.SuspectNoted, out *fleet.Actions) {
	for id, vm := range t.VMs.All() {
		if id != t.Self.ID && vm.Live && vm.DataCentre == t.Self.DataCentre {
			out.Add(fleet.Send{To: id, Message: m})
		}
	}
}
