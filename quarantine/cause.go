package quarantine

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// quarantineProven quarantines those of the contents that are the proven cause of their crashes,
// and notifies the peers.
func quarantineProven(t *fleet.Tables, hashes []cs.ContentHash, now cs.Instant, out *fleet.Actions) {
	for _, h := range hashes {
		if provenCause(t, h) {
			quarantineContent(t, h, now.Add(t.Config.Quarantine), out)
			notifyPeers(t, cs.SuspectNotice{
				Hash: h, Runner: lastRunner(t.Suspects.Get(h).Runners), Quarantined: true, QuarantineFor: t.Config.Quarantine,
			}, out)
		}
	}
}

// provenCause reports whether two runners crashed with the content in flight and no other content
// was in flight on both.
func provenCause(t *fleet.Tables, h cs.ContentHash) bool {
	s := t.Suspects.Get(h)
	if s == nil || s.Quarantined || s.Crashes < maxCrashedRunners {
		return false
	}
	for o, other := range t.Suspects.All() {
		if o != h && commonCrashes(s, other) >= maxCrashedRunners {
			return false
		}
	}
	return true
}

// commonCrashes counts the crashed runners on which both contents were in flight.
func commonCrashes(a, b *fleet.Suspect) int {
	n := 0
	for _, r := range a.Runners {
		if slices.Contains(b.Runners, r) {
			n++
		}
	}
	return n
}

// quarantineContent quarantines a content until the given instant, and removes the suspects whose
// only crash it explains.
func quarantineContent(t *fleet.Tables, h cs.ContentHash, until cs.Instant, out *fleet.Actions) {
	s := t.Suspects.Get(h)
	s.Quarantined, s.Until = true, until
	runners := s.Runners
	out.Count(fleet.CountQuarantined, "", 1)
	out.LogChange("request", "quarantined", fleet.Field{Name: "hash", Value: uint64(h)}, fleet.Field{Name: "runners", Value: runners})
	t.Suspects.DeleteFunc(func(_ cs.ContentHash, o *fleet.Suspect) bool {
		return !o.Quarantined && o.Crashes < maxCrashedRunners && slices.Contains(runners, lastRunner(o.Runners))
	})
}

// lastRunner returns the runner that crashed last, or "" if there is none.
func lastRunner(runners []cs.RunnerID) cs.RunnerID {
	if len(runners) == 0 {
		return ""
	}
	return runners[len(runners)-1]
}

// applyPeerNotice updates the suspects from a notice of a peer: a quarantined content, a cleared
// suspect or a new crash.
func applyPeerNotice(t *fleet.Tables, notice cs.SuspectNotice, now cs.Instant, out *fleet.Actions) {
	s := t.Suspects.Get(notice.Hash)
	switch {
	case notice.Quarantined:
		if s == nil {
			t.Suspects.Insert(notice.Hash, fleet.Suspect{})
		}
		recordCrash(t, notice.Hash, notice.Runner, now, out)
		if !t.Suspects.Get(notice.Hash).Quarantined {
			quarantineContent(t, notice.Hash, now.Add(notice.QuarantineFor), out)
		}
	case notice.QuarantineFor <= clearedTTL:
		if s != nil && !s.Quarantined && s.Crashes < maxCrashedRunners {
			t.Suspects.Delete(notice.Hash)
		}
	case s == nil && crashExplained(t, notice.Runner, now):
	default:
		recordCrash(t, notice.Hash, notice.Runner, now, out)
		quarantineProven(t, []cs.ContentHash{notice.Hash}, now, out)
	}
}

// notifyPeers sends a notice to the other live VMs of this VM's data centre.
func notifyPeers(t *fleet.Tables, m cs.SuspectNotice, out *fleet.Actions) {
	for id, vm := range t.VMs.All() {
		if id != t.Self.ID && vm.Live && vm.DataCentre == t.Self.DataCentre {
			out.Add(fleet.Send{To: id, Message: m})
		}
	}
}
