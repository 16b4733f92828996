package audit

import (
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
)

// claimedStream returns a stream with a claim at offset 0 and one batch for each list of records.
func claimedStream(records ...[]cs.Record) []cs.LoggedBatch {
	batches := []cs.LoggedBatch{{Batch: cs.LogBatch{
		Writer: 1, Fence: cs.NoOffset, Seq: 1, Records: []cs.Record{cs.Claim{Previous: cs.NoOffset}},
	}}}
	for i, r := range records {
		batches = append(batches, cs.LoggedBatch{
			Offset: cs.Offset(i + 1), Batch: cs.LogBatch{Writer: 1, Seq: cs.Seq(i + 2), Records: r},
		})
	}
	return batches
}

// TestCheckFindsViolations guards against checks that miss a violation or report one without cause.
func TestCheckFindsViolations(t *testing.T) {
	job := []cs.Record{cs.JobOpened{Job: cs.Job{ID: "j", Count: 1}}, cs.JobSealed{Job: "j"}}
	done := func(output string) []cs.Record {
		return []cs.Record{cs.ItemEnded{Job: "j", Result: cs.ItemResult{State: cs.ItemDone, Output: output}}}
	}
	accepted := Accepted{Job: "j", Hashes: []cs.ContentHash{7}, Want: []string{"x"}}
	for _, c := range []struct {
		name      string
		evidence  Evidence
		invariant int // 0: no violation
	}{
		{"complete job", Evidence{Observations: []Observation{accepted}, Streams: map[cs.StreamID][]cs.LoggedBatch{"work-000": claimedStream(job, done("x"))}}, 0},
		{"lost job", Evidence{Observations: []Observation{accepted}}, 1},
		{"item not ended", Evidence{Observations: []Observation{accepted}, Streams: map[cs.StreamID][]cs.LoggedBatch{"work-000": claimedStream(job)}}, 1},
		{"wrong output", Evidence{Observations: []Observation{accepted}, Streams: map[cs.StreamID][]cs.LoggedBatch{"work-000": claimedStream(job, done("y"))}}, 1},
		{"run after cancel", Evidence{Observations: []Observation{accepted, Cancelled{Job: "j"}}, Unfinished: true, RunStarts: []RunStart{{At: 6000, Hash: 7}}, Streams: map[cs.StreamID][]cs.LoggedBatch{"work-000": claimedStream(job)}}, 2},
		{"wrong response", Evidence{Observations: []Observation{Responded{Got: "a", Want: "b"}}}, 4},
		{"refused as not run, but ran", Evidence{Observations: []Observation{Refused{Hash: 7, Ran: cs.RanNotRun}}, RunStarts: []RunStart{{Hash: 7}}}, 5},
		{"refused as not run, but ran before the retry", Evidence{Observations: []Observation{Refused{Hash: 7, Ran: cs.RanNotRun}, Responded{Hash: 7, Sent: 20}}, RunStarts: []RunStart{{Hash: 7, At: 10}}}, 5},
		{"refused as not run, ran after the retry", Evidence{Observations: []Observation{Refused{Hash: 7, Ran: cs.RanNotRun}, Responded{Hash: 7, Sent: 20}}, RunStarts: []RunStart{{Hash: 7, At: 30}}}, 0},
		{"non-idempotent content ran twice", Evidence{RunStarts: []RunStart{{Hash: 7, NonIdempotent: true}, {Hash: 7, NonIdempotent: true}}}, 6},
		{"request started on a leaving runner", Evidence{Observations: []Observation{Leaving{Runner: "r"}}, RunStarts: []RunStart{{Runner: "r", At: 3001}}}, 7},
		{"no response or refusal", Evidence{Observations: []Observation{NoResponse{}}}, 8},
		{"ticket reverted", Evidence{Observations: []Observation{InForce{Number: 2}, InForce{Number: 1}}}, 9},
		{"ticket late", Evidence{Observations: []Observation{TicketAccepted{Number: 2}, InForce{Number: 1, At: 13_001, Reachable: true}}, Streams: map[cs.StreamID][]cs.LoggedBatch{}}, 9},
	} {
		t.Run(c.name, func(t *testing.T) {
			violations := Check(c.evidence)
			if c.invariant == 0 {
				qt.Assert(t, violations, qt.HasLen, 0)
				return
			}
			qt.Assert(t, violations, qt.Not(qt.HasLen), 0)
			qt.Assert(t, violations[0].Invariant, qt.Equals, c.invariant)
		})
	}
}
