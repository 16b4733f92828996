package quarantine

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/limit"
)

// Refused reports whether a content is refused: it is quarantined, or maxCrashedRunners runners
// have crashed with it in flight and the cause is not proven yet.
func Refused(t *fleet.Tables, h cs.ContentHash, now cs.Instant) bool {
	s := t.Suspects.Get(h)
	return s != nil && now < s.Until && (s.Quarantined || s.Crashes >= maxCrashedRunners)
}

// Suspect reports whether a content may run only on the runner that SuspectRunner returns.
func Suspect(t *fleet.Tables, h cs.ContentHash, now cs.Instant) bool {
	s := t.Suspects.Get(h)
	return s != nil && now < s.Until
}

// SuspectRunner returns the runner on which a suspect may run now.
//
// Suspects are assigned in the order of their hashes, each to the free runner with its highest
// rendezvous weight, so that all VMs of a data centre assign the same runner to one content and
// different runners to two contents. A suspect without a free runner waits until another one is
// cleared.
func SuspectRunner(t *fleet.Tables, h cs.ContentHash, target cs.Target, now cs.Instant) (cs.RunnerID, bool) {
	if Refused(t, h, now) {
		return "", false
	}
	runners := candidates(t, target)
	taken := make(map[cs.RunnerID]bool)
	for _, o := range contenders(t, h, now) {
		s := t.Suspects.Get(o)
		free := func(c cs.RunnerID) bool { return !taken[c] && !slices.Contains(s.Runners, c) }
		if o == h {
			return placeSuspect(h, target, runners, free)
		}
		taken[highestRanked(uint64(o), runners, free)] = true
	}
	return "", false
}

// placeSuspect returns the runner for the suspect itself: the one that routing prefers for the
// prefix of its prompt if that is free, or else the one ranked first for its content. Routing
// chooses between the same two, so that a content sent by several VMs at the same time reaches no
// third runner.
func placeSuspect(h cs.ContentHash, target cs.Target, runners []cs.RunnerID, free func(cs.RunnerID) bool) (cs.RunnerID, bool) {
	if key, ok := limit.PrefixKey(target); ok {
		first := highestRanked(key, runners, func(cs.RunnerID) bool { return true })
		if first != "" && free(first) {
			return first, true
		}
	}
	r := highestRanked(uint64(h), runners, free)
	return r, r != ""
}

// candidates lists the runners of this VM's data centre that serve the target, or those of other
// data centres if it has none. Load, ejections and reachability are ignored, since VMs can differ
// in their view of them and must derive the same list.
func candidates(t *fleet.Tables, target cs.Target) []cs.RunnerID {
	var local, remote []cs.RunnerID
	for id, r := range t.Runners.All() {
		if r.Leaving || r.Report.Leaving || !limit.Serves(r, target) {
			continue
		}
		if r.DataCentre == t.Self.DataCentre {
			local = append(local, id)
		} else {
			remote = append(remote, id)
		}
	}
	if len(local) == 0 {
		return remote
	}
	return local
}

// contenders lists the suspects that may still be retried, up to and including h, in the order of
// their hashes.
func contenders(t *fleet.Tables, h cs.ContentHash, now cs.Instant) []cs.ContentHash {
	var hashes []cs.ContentHash
	for o, s := range t.Suspects.All() {
		recent := now.Sub(s.CrashedAt) < exclusiveWindow
		if o == h || o < h && recent && !Refused(t, o, now) {
			hashes = append(hashes, o)
		}
	}
	slices.Sort(hashes)
	return hashes
}

// highestRanked returns the eligible runner with the highest rendezvous weight for a key, or "".
func highestRanked(key uint64, runners []cs.RunnerID, eligible func(cs.RunnerID) bool) cs.RunnerID {
	var (
		best       cs.RunnerID
		bestWeight uint64
	)
	for _, c := range runners {
		if !eligible(c) {
			continue
		}
		if w := limit.RunnerWeight(key, limit.RunnerKey(c)); best == "" || w > bestWeight {
			best, bestWeight = c, w
		}
	}
	return best
}
