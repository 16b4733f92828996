package gateway

import (
	"math"
	"slices"
	"strconv"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

const (
	// maxContentCrashes is the number of crashes after which requests with the same content are refused.
	maxContentCrashes = 2
	// maxPartCrashes is the number of crashes, without a response that began, after which a part of prompts is
	// quarantined. One more than for a content, since a part that few requests have may be in flight beside the cause of
	// two crashes.
	maxPartCrashes = 3
	// minQuarantine is how long after the last crash requests with a quarantined part are refused without exception. Later
	// one request may pass, to find out whether the cause is gone. The time grows with that from the first to the last
	// crash, up to maxQuarantine, so that it doubles with each crash of such a probe.
	minQuarantine = 15 * cs.Second
	maxQuarantine = 5 * cs.Minute
	// maxProbeClaims is the number of parts of which a VM claims a probe at the same time, since its reports list them.
	maxProbeClaims = 4
)

// Quarantine lists the parts of prompts that crash runners, in ascending order.
type Quarantine struct{ Parts []cs.PromptPart }

// partSettleTime is the time from a crash becoming known at this VM until the crash counts against a part. Peers that
// know of a response that acquits the part have been told of the crash by then and have reported the response, also if
// one datagram was lost. A VM that has started, or returns from a cut, thus need not wait for crashes that its peers have
// known for longer.
func (t *Tables) partSettleTime() cs.Span { return 300*cs.Millisecond + 2*t.SpreadTime() }

// UpdateQuarantine decides which parts of prompts are quarantined. It returns when a crash that is known counts at the
// earliest, or 0.
func (t *Tables) UpdateQuarantine(now cs.Instant, out *Actions) (next cs.Instant) {
	var parts []cs.PromptPart
	for k, s := range t.Suspects.All() {
		if k.Kind != SuspectPart || len(s.Crashes) < maxPartCrashes {
			continue
		}
		counts := s.learnedAt(maxPartCrashes).Add(t.partSettleTime())
		if now >= counts || slices.Contains(t.Quarantine.Parts, cs.PromptPart(k.Hash)) {
			parts = append(parts, cs.PromptPart(k.Hash))
		} else if next == 0 || counts < next {
			next = counts
		}
	}
	slices.Sort(parts)
	t.logQuarantine(now, parts, out)
	t.Quarantine.Parts = parts
	return next
}

// logQuarantine logs the parts that are quarantined from now on, and those that no longer are.
func (t *Tables) logQuarantine(now cs.Instant, parts []cs.PromptPart, out *Actions) {
	for _, p := range parts {
		if !slices.Contains(t.Quarantine.Parts, p) {
			s := t.Suspects.Get(PartKey(p))
			out.Note(Note{
				Kind: NotePromptPartQuarantined, Parts: []cs.PromptPart{p}, Count: len(s.Crashes), Age: now.Sub(s.LastCrashAt),
			})
		}
	}
	for _, p := range t.Quarantine.Parts {
		if !slices.Contains(parts, p) {
			n := Note{Kind: NotePromptPartReleased, Parts: []cs.PromptPart{p}, Reason: "no crash for a long time"}
			if begun := t.BegunParts.Get(p); begun != nil && now.Sub(*begun) <= soundPeriod {
				n.Reason, n.Age = "a response began", now.Sub(*begun)
			}
			out.Note(n)
		}
	}
}

// ContentQuarantined reports whether requests with a content are refused.
func (t *Tables) ContentQuarantined(c cs.ContentHash) bool {
	s := t.Suspects.Get(ContentKey(c))
	return s != nil && len(s.Crashes) >= maxContentCrashes
}

// QuarantinedPart returns the part for which a request with the given parts must not be sent to a runner.
//
// Requests that crash runners may have several parts in common, of which one is the cause. A quarantined part counts
// only if no other quarantined part, which the request does not have, explains most of its crashes: parts that always
// were in flight together are refused together, and a request that has only some of them shows which one is sound.
func (t *Tables) QuarantinedPart(parts []cs.PromptPart) (cs.PromptPart, bool) {
	for _, p := range t.Quarantine.Parts {
		if slices.Contains(parts, p) && !t.explainedWithout(parts, p) {
			return p, true
		}
	}
	return 0, false
}

// explainedWithout reports whether a quarantined part that is not among the given ones explains the crashes of a part.
func (t *Tables) explainedWithout(parts []cs.PromptPart, p cs.PromptPart) bool {
	suspect := t.Suspects.Get(PartKey(p))
	if suspect == nil {
		return false // the row has given way since the part was quarantined
	}
	return slices.ContainsFunc(t.Quarantine.Parts, func(other cs.PromptPart) bool {
		cause := t.Suspects.Get(PartKey(other))
		return !slices.Contains(parts, other) && cause != nil && cause.explains(suspect)
	})
}

// explains reports whether a suspect was in flight at most crashes of another one, and at the last. Not at all of them,
// since a VM may not know all crashes of each. Of a suspect with many crashes all VMs know those with the lowest IDs, and
// only up to there it can be told which crashes of the other one are not among them.
func (s *Suspect) explains(other *Suspect) bool {
	if other.LastCrashAt.Sub(s.LastCrashAt) > transitTolerance {
		return false
	}
	common, compared, known := 0, 0, CrashID(math.MaxUint32)
	if len(s.Crashes) >= MaxReportedCrashes {
		known = s.Crashes[MaxReportedCrashes-1].ID
	}
	for _, c := range other.Crashes {
		_, shared := findCrash(s.Crashes, c.ID)
		if shared {
			common++
		}
		if shared || c.ID <= known {
			compared++
		}
	}
	return 2*common > compared
}

// nextProbeAt returns when a request with the part may be let through. A probe counts like a crash, whether or not its outcome
// becomes known, so that it is not repeated soon if the proof of its crash is missing.
func (s *Suspect) nextProbeAt() cs.Instant {
	last := max(s.LastCrashAt, s.ProbedAt)
	return last.Add(min(max(last.Sub(s.FirstCrashAt), minQuarantine), maxQuarantine))
}

// ClaimProbe reports whether a request that this VM has may be let through although a part of its prompt is quarantined. It
// must wait until ProbeSettledAt, and be sent only if MayProbe then allows it: VMs that claim a probe at the same time learn
// of each other's claims, and one of them sends it. A VM that does not hear most of the others does not probe, since each
// of them may do so as well.
func (t *Tables) ClaimProbe(p cs.PromptPart, now cs.Instant) bool {
	s := t.Suspects.Get(PartKey(p))
	switch {
	case s == nil || now < s.nextProbeAt() || t.claimsProbe(s, now):
		return false
	case t.Drain.Phase != fleet.DrainNone || t.liveShare(now) <= 0.5 || len(t.ProbeClaims(now)) == maxProbeClaims:
		return false
	}
	if _, claimed := t.peerProbeClaim(p); claimed {
		return false
	}
	s.ClaimedAt, s.ChangedAt = now, now
	return true
}

// ProbeSettledAt returns when peers have learned of the claim that this VM makes now, and this VM of theirs.
func (t *Tables) ProbeSettledAt(now cs.Instant) cs.Instant { return now.Add(t.partSettleTime()) }

// MayProbe reports whether this VM may now send one request with a quarantined part to a runner, which RecordProbe records.
func (t *Tables) MayProbe(p cs.PromptPart, now cs.Instant) bool {
	return t.HoldsProbeClaim(p, now) && now >= t.ProbeSettledAt(t.Suspects.Get(PartKey(p)).ClaimedAt)
}

// claimsProbe reports whether this VM claims a probe of a suspect. A claim lapses if the probe is not sent, since its
// caller has left or no runner is free.
func (t *Tables) claimsProbe(s *Suspect, now cs.Instant) bool {
	return s.ClaimedAt != 0 && now.Sub(s.ClaimedAt) < 2*t.partSettleTime()
}

// HoldsProbeClaim reports whether this VM claims a probe of a quarantined part, and no VM before it in the order of the
// part does.
func (t *Tables) HoldsProbeClaim(p cs.PromptPart, now cs.Instant) bool {
	s := t.Suspects.Get(PartKey(p))
	if s == nil || !t.claimsProbe(s, now) || now < s.nextProbeAt() {
		return false
	}
	weight, claimed := t.peerProbeClaim(p)
	return !claimed || weight < probeWeight(p, t.Self.ID)
}

// peerProbeClaim returns the highest weight of the peers that claim a probe of a part, if there are any.
func (t *Tables) peerProbeClaim(p cs.PromptPart) (weight uint64, claimed bool) {
	for id, peer := range t.Peers.All() {
		if peer.LastReportAt != 0 && !peer.VM.Leaving && slices.Contains(peer.ProbeClaims, p) {
			weight, claimed = max(weight, probeWeight(p, id)), true
		}
	}
	return weight, claimed
}

// probeWeight returns the rendezvous hashing weight of a VM for the probe of a part.
func probeWeight(p cs.PromptPart, id cs.VMID) uint64 {
	return cs.RendezvousWeight("part/"+strconv.FormatUint(uint64(p), 16), string(id))
}

// ProbeClaims returns the parts of which this VM claims a probe, in ascending order.
func (t *Tables) ProbeClaims(now cs.Instant) []cs.PromptPart {
	var parts []cs.PromptPart
	for _, p := range t.Quarantine.Parts {
		if s := t.Suspects.Get(PartKey(p)); s != nil && t.claimsProbe(s, now) {
			parts = append(parts, p)
		}
	}
	return parts
}

// RecordProbe records that this VM sends a request with a quarantined part to a runner.
func (t *Tables) RecordProbe(p cs.PromptPart, now cs.Instant, out *Actions) {
	if s := t.Suspects.Get(PartKey(p)); s != nil {
		s.ProbedAt, s.ClaimedAt, s.ChangedAt = now, 0, now
		out.Note(Note{Kind: NotePromptPartProbed, Parts: []cs.PromptPart{p}, Age: now.Sub(s.LastCrashAt)})
	}
}
