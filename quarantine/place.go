package quarantine

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/limit"
)

// Blocked reports whether a content is refused: it is convicted, or it has taken down as many
// runners as any content may and the cause is not settled.
func Blocked(t *fleet.Tables, h cs.ContentHash, now cs.Instant) bool {
	s := t.Suspects.Get(h)
	return s != nil && now < s.Until && (s.Convicted || s.Crashes >= maxCrashes)
}

// Suspect reports whether a content may run only where Place says.
func Suspect(t *fleet.Tables, h cs.ContentHash, now cs.Instant) bool {
	s := t.Suspects.Get(h)
	return s != nil && now < s.Until
}

// Mark makes a content suspect that an owner in another data centre calls so.
func Mark(t *fleet.Tables, h cs.ContentHash, now cs.Instant) {
	if t.Suspects.Get(h) == nil && !t.Config.Policy.NoQuarantine {
		t.Suspects.Insert(h, fleet.Suspect{Crashes: 1, Until: now.Add(suspectFor)})
	}
}

// Place returns the runner on which a suspect may run now.
//
// Suspects choose in the order of their hashes, each the free runner ranked first for it, so that
// all VMs of a data centre give one content the same runner and two contents different ones. A
// suspect that gets none waits until another is cleared.
func Place(t *fleet.Tables, h cs.ContentHash, target cs.Target, now cs.Instant) (cs.RunnerID, bool) {
	if Blocked(t, h, now) {
		return "", false
	}
	all := candidates(t, target)
	taken := make(map[cs.RunnerID]bool)
	for _, o := range waiting(t, h, now) {
		s := t.Suspects.Get(o)
		free := func(c cs.RunnerID) bool { return !taken[c] && !slices.Contains(s.Runners, c) }
		if o == h {
			return own(h, target, all, free)
		}
		taken[rank(uint64(o), all, free)] = true
	}
	return "", false
}

// own returns the runner for the suspect itself: the one that routing prefers for its prefix, or else
// the one ranked first for its content. Routing draws from the same two, so that a content that
// several VMs send at once reaches no third runner.
func own(h cs.ContentHash, target cs.Target, all []cs.RunnerID, free func(cs.RunnerID) bool) (cs.RunnerID, bool) {
	if key, ok := limit.PrefixKey(target); ok {
		first := rank(key, all, func(cs.RunnerID) bool { return true })
		if first != "" && free(first) {
			return first, true
		}
	}
	r := rank(uint64(h), all, free)
	return r, r != ""
}

// Placeable reports whether a content may run on a runner now.
func Placeable(t *fleet.Tables, h cs.ContentHash, target cs.Target, r cs.RunnerID, now cs.Instant) bool {
	if !Suspect(t, h, now) {
		return true
	}
	c, ok := Place(t, h, target, now)
	return ok && c == r
}

// candidates lists the runners of the own data centre that serve the target, or those of others if
// it has none. Load, ejections and whether they are down are left out, since VMs judge them
// differently.
func candidates(t *fleet.Tables, target cs.Target) []cs.RunnerID {
	var near, far []cs.RunnerID
	for id, r := range t.Runners.All() {
		if r.Leaving || r.Report.Leaving || !limit.Serves(r, target) {
			continue
		}
		if r.DataCentre == t.Self.DataCentre {
			near = append(near, id)
		} else {
			far = append(far, id)
		}
	}
	if len(near) == 0 {
		return far
	}
	return near
}

// waiting lists the suspects that may still run, up to and including h, in the order of hashes.
func waiting(t *fleet.Tables, h cs.ContentHash, now cs.Instant) []cs.ContentHash {
	var all []cs.ContentHash
	for o, s := range t.Suspects.All() {
		recent := now.Sub(s.CrashedAt) < retriedWithin
		if o == h || o < h && recent && !Blocked(t, o, now) {
			all = append(all, o)
		}
	}
	slices.Sort(all)
	return all
}

// rank returns the candidate with the highest weight for a key, or "".
func rank(key uint64, all []cs.RunnerID, ok func(cs.RunnerID) bool) cs.RunnerID {
	var (
		best cs.RunnerID
		high uint64
	)
	for _, c := range all {
		if !ok(c) {
			continue
		}
		if w := limit.Weight(key, limit.RunnerKey(c)); best == "" || w > high {
			best, high = c, w
		}
	}
	return best
}
