package quarantine

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

const (
	// suspectTTL is the time after its last crash for which a content stays a suspect.
	suspectTTL = cs.Minute
	// clearedTTL in a notice to peers means that the suspect has completed a run and that its row is
	// deleted at once.
	clearedTTL = cs.Millisecond
	// crashReportWindow is the time within which all broken connections of one crash are detected.
	crashReportWindow = 5 * cs.Second
	// exclusiveWindow is the time after its crash for which a suspect reserves a runner for itself.
	// If it has not been retried by then, its caller has probably disconnected.
	exclusiveWindow = 10 * cs.Second
	// maxCrashedRunners is the number of runners in a data centre that one content may crash.
	maxCrashedRunners = 2
)

// Watch records suspects after crashes and from the notices of peers, clears suspects that complete
// a run, and quarantines the proven causes of crashes.
func Watch(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	if t.Config.Policy.NoQuarantine {
		return
	}
	for _, e := range t.Events {
		switch e := e.(type) {
		case fleet.RequestEnded:
			if q := t.Requests.Get(e.ID); q != nil {
				handleRunEnd(t, q.Hash, attemptRunner(q, e.Attempt), e.Result, now, out)
			}
		case fleet.ItemRunEnded:
			if run := t.Runs.Get(e.Key); run != nil && run.Attempt == e.Attempt {
				handleRunEnd(t, cs.HashTarget(run.Item.Target), run.Runner, e.Result, now, out)
			}
		case fleet.PeerMessageReceived:
			if m, ok := e.Message.(cs.SuspectNotice); ok {
				applyPeerNotice(t, m, now, out)
			}
		default:
		}
	}
	if t.Suspects.Len() > 0 {
		t.Suspects.DeleteFunc(func(_ cs.ContentHash, s *fleet.Suspect) bool { return now >= s.Until })
	}
}

// attemptRunner returns the runner of a request's in-flight attempt, or "".
func attemptRunner(q *fleet.Request, a cs.Attempt) cs.RunnerID {
	for _, run := range q.Runs {
		if run.Attempt == a {
			return run.Runner
		}
	}
	return ""
}

// handleRunEnd clears or records suspects after a run of this VM has ended.
func handleRunEnd(t *fleet.Tables, h cs.ContentHash, r cs.RunnerID, res fleet.RunResult, now cs.Instant, out *fleet.Actions) {
	switch x := res.(type) {
	case fleet.RunCompleted:
		if s := t.Suspects.Get(h); s != nil && !s.Quarantined && s.Crashes < maxCrashedRunners {
			t.Suspects.Delete(h)
			notifyPeers(t, cs.SuspectNotice{Hash: h, Runner: r, QuarantineFor: clearedTTL}, out)
		}
	case fleet.RunInterrupted:
		if x.Crashed && r != "" {
			handleCrash(t, r, now, out)
		}
	case fleet.RunRejected, fleet.RunCancelled:
	}
}

// handleCrash makes the content of every online request that this VM had in flight on the crashed
// runner a suspect. Batch items are not, since they never crash runners by themselves. Contents that
// were suspects already are checked first: if one of them is the proven cause, it explains the crash
// and the others do not become suspects.
func handleCrash(t *fleet.Tables, r cs.RunnerID, now cs.Instant, out *fleet.Actions) {
	var suspects, newHashes []cs.ContentHash
	for _, h := range inFlight(t, r) {
		if Suspect(t, h, now) {
			suspects = append(suspects, h)
		} else {
			newHashes = append(newHashes, h)
		}
	}
	recordCrashes(t, suspects, r, now, out)
	quarantineProven(t, suspects, now, out)
	if !crashExplained(t, r, now) {
		recordCrashes(t, newHashes, r, now, out)
	}
}

// recordCrashes records a crash for each of the contents and notifies the peers of those for which
// it is new.
func recordCrashes(t *fleet.Tables, hashes []cs.ContentHash, r cs.RunnerID, now cs.Instant, out *fleet.Actions) {
	for _, h := range hashes {
		if recordCrash(t, h, r, now, out) {
			notifyPeers(t, cs.SuspectNotice{Hash: h, Runner: r, QuarantineFor: suspectTTL}, out)
		}
	}
}

// inFlight lists the distinct contents of this VM's online requests on a runner.
func inFlight(t *fleet.Tables, r cs.RunnerID) []cs.ContentHash {
	var hashes []cs.ContentHash
	for _, q := range t.Requests.All() {
		if slices.ContainsFunc(q.Runs, func(run fleet.RequestAttempt) bool { return run.Runner == r }) {
			hashes = append(hashes, q.Hash)
		}
	}
	slices.Sort(hashes)
	return slices.Compact(hashes)
}

// crashExplained reports whether a quarantined content has just crashed the runner.
func crashExplained(t *fleet.Tables, r cs.RunnerID, now cs.Instant) bool {
	for _, s := range t.Suspects.All() {
		if s.Quarantined && now.Sub(s.CrashedAt) < crashReportWindow && slices.Contains(s.Runners, r) {
			return true
		}
	}
	return false
}

// recordCrash records a runner crash for a content and reports whether it was not yet recorded.
func recordCrash(t *fleet.Tables, h cs.ContentHash, r cs.RunnerID, now cs.Instant, out *fleet.Actions) bool {
	s := t.Suspects.Get(h)
	if s == nil {
		s = t.Suspects.Insert(h, fleet.Suspect{})
		out.Count(fleet.CountSuspects, "", 1)
	}
	if !s.Quarantined {
		s.Until = now.Add(suspectTTL)
	}
	if slices.Contains(s.Runners, r) {
		return false
	}
	s.Runners = append(s.Runners, r)
	s.Crashes = len(s.Runners)
	s.CrashedAt = now
	return true
}
