package quarantine

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

const (
	// suspectFor is the time for which a content stays suspect without another run.
	suspectFor = cs.Minute
	// clearedFor marks a note to peers that a suspect has run whole: its row ends at once.
	clearedFor = cs.Millisecond
	// sameCrash is the time within which the broken connections of one crash become known.
	sameCrash = 5 * cs.Second
	// retriedWithin is the time after its crash for which a suspect keeps a runner to itself. One
	// that is not run again by then has probably lost its caller.
	retriedWithin = 10 * cs.Second
	// maxCrashes is the number of runners of a data centre that one content may take down.
	maxCrashes = 2
)

// Watch records suspects from crashes and from peers, and convicts and clears them.
func Watch(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	if t.Config.Policy.NoQuarantine {
		return
	}
	for _, e := range t.Events {
		switch e := e.(type) {
		case fleet.RequestEnded:
			if q := t.Requests.Get(e.ID); q != nil {
				ended(t, q.Hash, runnerOf(q, e.Attempt), e.Result, now, out)
			}
		case fleet.ItemRunEnded:
			if run := t.Runs.Get(e.Key); run != nil && run.Attempt == e.Attempt {
				ended(t, cs.HashTarget(run.Item.Target), run.Runner, e.Result, now, out)
			}
		case fleet.PeerSaid:
			if m, ok := e.Message.(cs.SuspectNoted); ok {
				noted(t, m, now, out)
			}
		default:
		}
	}
	if t.Suspects.Len() > 0 {
		t.Suspects.DeleteFunc(func(_ cs.ContentHash, s *fleet.Suspect) bool { return now >= s.Until })
	}
}

func runnerOf(q *fleet.Request, a cs.Attempt) cs.RunnerID {
	for _, run := range q.Runs {
		if run.Attempt == a {
			return run.Runner
		}
	}
	return ""
}

// ended handles the end of a run of this VM.
func ended(t *fleet.Tables, h cs.ContentHash, r cs.RunnerID, res fleet.RunResult, now cs.Instant, out *fleet.Actions) {
	switch x := res.(type) {
	case fleet.RunWhole:
		if s := t.Suspects.Get(h); s != nil && !s.Convicted && s.Crashes < maxCrashes {
			t.Suspects.Delete(h)
			tell(t, cs.SuspectNoted{Hash: h, Runner: r, Until: clearedFor}, out)
		}
	case fleet.RunBroken:
		if x.Crashed && r != "" {
			crashed(t, r, now, out)
		}
	case fleet.RunRejected, fleet.RunCancelled:
	}
}

// crashed makes everything of this VM in flight on the runner suspect. Known suspects come first: if
// one of them is convicted, it explains the crash and the others stay innocent.
func crashed(t *fleet.Tables, r cs.RunnerID, now cs.Instant, out *fleet.Actions) {
	var known, fresh []cs.ContentHash
	for _, h := range inFlight(t, r) {
		if Suspect(t, h, now) {
			known = append(known, h)
		} else {
			fresh = append(fresh, h)
		}
	}
	blameAll(t, known, r, now, out)
	convictAll(t, known, now, out)
	if !explained(t, r, now) {
		blameAll(t, fresh, r, now, out)
	}
}

func blameAll(t *fleet.Tables, all []cs.ContentHash, r cs.RunnerID, now cs.Instant, out *fleet.Actions) {
	for _, h := range all {
		if blame(t, h, r, now, out) {
			tell(t, cs.SuspectNoted{Hash: h, Runner: r, Until: suspectFor}, out)
		}
	}
}

// inFlight lists the contents of this VM's runs on a runner, each once.
func inFlight(t *fleet.Tables, r cs.RunnerID) []cs.ContentHash {
	var all []cs.ContentHash
	for _, q := range t.Requests.All() {
		if slices.ContainsFunc(q.Runs, func(run fleet.RequestRun) bool { return run.Runner == r }) {
			all = append(all, q.Hash)
		}
	}
	for _, run := range t.Runs.All() {
		if run.Runner == r && run.Ended == nil {
			all = append(all, cs.HashTarget(run.Item.Target))
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// explained reports whether a convicted content has just crashed the runner.
func explained(t *fleet.Tables, r cs.RunnerID, now cs.Instant) bool {
	for _, s := range t.Suspects.All() {
		if s.Convicted && now.Sub(s.CrashedAt) < sameCrash && slices.Contains(s.Runners, r) {
			return true
		}
	}
	return false
}

// blame counts a crash against a content and reports whether it is new.
func blame(t *fleet.Tables, h cs.ContentHash, r cs.RunnerID, now cs.Instant, out *fleet.Actions) bool {
	s := t.Suspects.Get(h)
	if s == nil {
		s = t.Suspects.Insert(h, fleet.Suspect{})
		out.Count(fleet.CountSuspects, "", 1)
	}
	if !s.Convicted {
		s.Until = now.Add(suspectFor)
	}
	if slices.Contains(s.Runners, r) {
		return false
	}
	s.Runners = append(s.Runners, r)
	s.Crashes = len(s.Runners)
	s.CrashedAt = now
	return true
}
