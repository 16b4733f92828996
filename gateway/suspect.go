package gateway

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	cs "github.com/crocusstile/crocusstile"
)

//go:generate enumer -type SuspectKind -transform lower -trimprefix Suspect

// SuspectKind is what the requests that a suspect stands for have in common.
type SuspectKind int

// The kinds of suspects.
const (
	// SuspectContent means that the requests have the same content. Batch items are never suspected by it.
	SuspectContent SuspectKind = iota
	// SuspectPart means that the prompts of the requests or items have a part in common.
	SuspectPart
)

// SuspectKey identifies a suspect on all VMs.
type SuspectKey struct {
	_    struct{} `cbor:",toarray"`
	Kind SuspectKind
	Hash uint64
}

// ContentKey returns the key of a content.
func ContentKey(c cs.ContentHash) SuspectKey {
	return SuspectKey{Kind: SuspectContent, Hash: uint64(c)}
}

// PartKey returns the key of a part of prompts.
func PartKey(p cs.PromptPart) SuspectKey { return SuspectKey{Kind: SuspectPart, Hash: uint64(p)} }

// Suspect is what requests had in common that were in flight on runners when they crashed, and that may have caused
// the crashes.
type Suspect struct {
	// Crashes are the known crashes in ascending order of their IDs. Of more than maxCrashesPerSuspect those with the
	// lowest IDs are kept, so that suspects that were in flight at the same crashes keep the same ones.
	Crashes []Crash
	// FirstCrashAt and LastCrashAt are when the first and the last known crash happened, of all since the suspect was last
	// acquitted.
	FirstCrashAt, LastCrashAt cs.Instant
	// ChangedAt is when this VM last learned of a crash, or of a response that acquits the suspect.
	ChangedAt cs.Instant
	// ProbedAt is when a VM last let a request with the quarantined part pass, or 0.
	ProbedAt cs.Instant
	// ClaimedAt is when this VM claimed to send such a request, or 0.
	ClaimedAt cs.Instant
}

// CrashID identifies the crash of a runner on all VMs: it is a hash of the runner and its incarnation.
type CrashID uint32

// Crash is the crash of a runner under a suspect.
type Crash struct {
	ID CrashID
	// At is when the connection was lost, and LearnedAt when this VM learned that it was a crash.
	At, LearnedAt cs.Instant
}

// NewCrashID returns the ID of the crash that ended an incarnation of a runner.
func NewCrashID(r cs.RunnerID, i cs.Incarnation) CrashID {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(i))
	_, _ = d.WriteString(string(r))
	return CrashID(d.Sum64())
}

// findCrash returns the position of a crash among crashes in ascending order, or where it belongs.
func findCrash(crashes []Crash, id CrashID) (int, bool) {
	return slices.BinarySearchFunc(crashes, id, func(c Crash, id CrashID) int { return cmp.Compare(c.ID, id) })
}

// learnedAt returns when n crashes of the suspect, of those that this VM has kept, were known to it or, since crashes are
// proved within CrashDetectionWindow, to its peers.
func (s *Suspect) learnedAt(n int) cs.Instant {
	at := make([]cs.Instant, len(s.Crashes))
	for i, c := range s.Crashes {
		at[i] = min(c.LearnedAt, c.At.Add(CrashDetectionWindow))
	}
	slices.Sort(at)
	return at[n-1]
}

// Bounds on what is kept of suspects, whatever contents and parts callers make up.
const (
	// MaxReportedCrashes is the number of crashes of a suspect that a report lists, those with the lowest IDs.
	MaxReportedCrashes = 5
	// maxCrashesPerSuspect is the number of crashes that are kept for a suspect; more do not change a decision.
	maxCrashesPerSuspect = 16
	// maxSuspects is the number of suspects. Beyond it those with the fewest crashes give way.
	maxSuspects = 1024
	// maxBegunParts is the number of parts for which this VM knows when a response began.
	maxBegunParts = 1024
)

const (
	// contentSuspectTTL is how long a content stays suspected after its last crash.
	contentSuspectTTL = 60 * cs.Second
	// partSuspectTTL is how long the crashes of a part are kept after the last one. It exceeds maxQuarantine, so that a
	// part stays quarantined if a probe crashes a runner.
	partSuspectTTL = 10 * cs.Minute
	// soundPeriod is how long after a response began its parts are acquitted of crashes. A part of every tenth request
	// begins several responses in this time even while most runners are down.
	soundPeriod = 10 * cs.Second
)

// RecordCrash records that a runner crashed under a suspect, and reports whether the crash was not known before.
func (t *Tables) RecordCrash(k SuspectKey, c Crash) bool {
	if k.Kind == SuspectPart && t.acquitted(cs.PromptPart(k.Hash), c.At) {
		return false
	}
	s := t.Suspects.Get(k)
	if s == nil {
		t.makeRoomForSuspect()
		s = t.Suspects.Insert(k, Suspect{})
	}
	s.extendCrashTime(c.At, c.At)
	i, known := findCrash(s.Crashes, c.ID)
	if known || i == maxCrashesPerSuspect {
		return false
	}
	s.Crashes = slices.Insert(s.Crashes, i, c)
	s.Crashes = s.Crashes[:min(len(s.Crashes), maxCrashesPerSuspect)]
	s.ChangedAt = c.LearnedAt
	return true
}

// makeRoomForSuspect deletes the suspect with the fewest crashes, the oldest of several, if there are maxSuspects.
func (t *Tables) makeRoomForSuspect() {
	if t.Suspects.Len() < maxSuspects {
		return
	}
	var (
		weakestKey SuspectKey
		weakest    *Suspect
	)
	for k, s := range t.Suspects.All() {
		if weakest == nil || s.weakerThan(weakest) {
			weakestKey, weakest = k, s
		}
	}
	t.Suspects.Delete(weakestKey)
}

// weakerThan reports whether there is less evidence against a suspect than against another one, or older evidence.
func (s *Suspect) weakerThan(other *Suspect) bool {
	if len(s.Crashes) != len(other.Crashes) {
		return len(s.Crashes) < len(other.Crashes)
	}
	return s.ChangedAt < other.ChangedAt
}

// extendCrashTime extends the time from the first to the last crash.
func (s *Suspect) extendCrashTime(first, last cs.Instant) {
	if s.FirstCrashAt == 0 {
		s.FirstCrashAt = first
	}
	s.FirstCrashAt, s.LastCrashAt = min(s.FirstCrashAt, first), max(s.LastCrashAt, last)
}

// transitTolerance is the difference up to which two instants from reports count as the same one. The ages in a report do
// not include its time on the network, so that an instant seems later with each VM that passes it on.
const transitTolerance = 200 * cs.Millisecond

// latest returns the later of an instant that this VM knows and one from a report.
func latest(known, reported cs.Instant) cs.Instant {
	if reported.Sub(known) > transitTolerance {
		return reported
	}
	return known
}

// MergeSuspect adds what a peer reported of a suspect to what this VM knows of it.
func (t *Tables) MergeSuspect(r SuspectReport, now cs.Instant) {
	if r.Key.Kind == SuspectPart && r.Begun {
		t.mergeBegun(cs.PromptPart(r.Key.Hash), now.Add(-r.BegunAge), now)
	}
	for _, c := range r.Crashes {
		crash := Crash{ID: c.ID, At: now.Add(-c.Age), LearnedAt: now}
		if !t.RecordCrash(r.Key, crash) {
			t.reportAcquittal(r.Key, crash)
		}
	}
	s := t.Suspects.Get(r.Key)
	if s == nil || len(s.Crashes) == 0 || len(r.Crashes) == 0 {
		return
	}
	s.extendCrashTime(now.Add(-r.FirstCrashAge), latest(s.LastCrashAt, now.Add(-r.LastCrashAge)))
	if probedAt := latest(s.ProbedAt, now.Add(-r.ProbeAge)); r.Probed && probedAt != s.ProbedAt {
		s.ProbedAt, s.ChangedAt = probedAt, now
	}
}

// mergeBegun records when a response to a prompt with a part began, as a peer reported.
func (t *Tables) mergeBegun(p cs.PromptPart, at, now cs.Instant) {
	if known := t.BegunParts.Get(p); known != nil {
		at = latest(*known, at)
	}
	t.RecordBegun([]cs.PromptPart{p}, at, now)
}

// acquitted reports whether a response to a prompt with the part has begun so recently that the part did not cause a
// crash at the given time, or whether one has begun since.
func (t *Tables) acquitted(p cs.PromptPart, crash cs.Instant) bool {
	begun := t.BegunParts.Get(p)
	return begun != nil && crash <= begun.Add(soundPeriod)
}

// RecordBegun records that a response to a prompt with these parts began at the given time, which acquits the parts.
func (t *Tables) RecordBegun(parts []cs.PromptPart, at, now cs.Instant) {
	for _, p := range parts {
		if begun := t.BegunParts.Get(p); begun != nil {
			*begun = max(*begun, at)
		} else {
			t.makeRoomForBegunPart(now)
			t.BegunParts.Insert(p, at)
		}
		t.acquit(p, now)
	}
}

// reportAcquittal makes this VM report to its peers that a part is acquitted of a crash, of which one of them has learned.
func (t *Tables) reportAcquittal(k SuspectKey, c Crash) {
	if k.Kind != SuspectPart || !t.acquitted(cs.PromptPart(k.Hash), c.At) {
		return
	}
	if s := t.Suspects.Get(k); s != nil {
		s.ChangedAt = c.LearnedAt
		return
	}
	t.makeRoomForSuspect()
	t.Suspects.Insert(k, Suspect{ChangedAt: c.LearnedAt})
}

// acquit removes the crashes of which the responses to a part acquit it.
func (t *Tables) acquit(p cs.PromptPart, now cs.Instant) {
	s := t.Suspects.Get(PartKey(p))
	if s == nil {
		return
	}
	before := len(s.Crashes)
	s.Crashes = slices.DeleteFunc(s.Crashes, func(c Crash) bool { return t.acquitted(p, c.At) })
	if len(s.Crashes) < before {
		s.ChangedAt = now
	}
	if len(s.Crashes) == 0 {
		s.FirstCrashAt, s.LastCrashAt, s.ProbedAt, s.ClaimedAt = 0, 0, 0, 0
	}
}

// makeRoomForBegunPart deletes what no longer acquits a part and, if there still are maxBegunParts, the oldest entry.
func (t *Tables) makeRoomForBegunPart(now cs.Instant) {
	if t.BegunParts.Len() < maxBegunParts {
		return
	}
	t.BegunParts.DeleteFunc(func(_ cs.PromptPart, at *cs.Instant) bool { return now.Sub(*at) > soundPeriod })
	if t.BegunParts.Len() < maxBegunParts {
		return
	}
	var (
		oldest   cs.PromptPart
		oldestAt cs.Instant
	)
	for p, at := range t.BegunParts.All() {
		if oldestAt == 0 || *at < oldestAt {
			oldest, oldestAt = p, *at
		}
	}
	t.BegunParts.Delete(oldest)
}

// ForgetSuspects deletes the suspects whose last crash is too long ago, and those that have been acquitted and
// reported.
func (t *Tables) ForgetSuspects(now cs.Instant) {
	t.Suspects.DeleteFunc(func(k SuspectKey, s *Suspect) bool {
		switch {
		case now.Sub(s.ChangedAt) <= NewsPeriod:
			return false
		case k.Kind == SuspectContent:
			return now.Sub(s.LastCrashAt) > contentSuspectTTL
		default:
			return len(s.Crashes) == 0 || now.Sub(s.LastCrashAt) > partSuspectTTL
		}
	})
}
