package audit

import (
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
)

// claimed returns a stream with a claim at offset 0 and a batch for each list of records.
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

// TestCheckFindsViolations guards against a checker that passes everything.
func TestCheckFindsViolations(t *testing.T) {
	job := []cs.Record{cs.JobOpened{Job: cs.Job{ID: "j", Count: 1}}, cs.JobSealed{Job: "j"}}
	done := func(output string) []cs.Record {
		return []cs.Record{cs.ItemEnded{Job: "j", Result: cs.ItemResult{State: cs.ItemDone, Output: output}}}
	}
	accepted := Accepted{Job: "j", Hashes: []cs.ContentHash{7}, Want: []string{"x"}}
	for _, c := range []struct {
		name     string
		evidence Evidence
		promise  int // 0: none is broken
	}{
		{"complete job", Evidence{Observations: []Observation{accepted}, Streams: map[cs.StreamID][]cs.LoggedBatch{"work-000": claimedStream(job, done("x"))}}, 0},
		{"lost job", Evidence{Observations: []Observation{accepted}}, 1},
		{"item not ended", Evidence{Observations: []Observation{accepted}, Streams: map[cs.StreamID][]cs.LoggedBatch{"work-000": claimedStream(job)}}, 1},
		{"wrong output", Evidence{Observations: []Observation{accepted}, Streams: map[cs.StreamID][]cs.LoggedBatch{"work-000": claimedStream(job, done("y"))}}, 1},
		{"run after cancel", Evidence{Observations: []Observation{accepted, Cancelled{Job: "j"}}, Unfinished: true, Starts: []Start{{At: 6000, Hash: 7}}, Streams: map[cs.StreamID][]cs.LoggedBatch{"work-000": claimedStream(job)}}, 2},
		{"wrong answer", Evidence{Observations: []Observation{Answered{Got: "a", Want: "b"}}}, 4},
		{"not run and ran", Evidence{Observations: []Observation{Refused{Hash: 7, Ran: cs.RanNotRun}}, Starts: []Start{{Hash: 7}}}, 5},
		{"not run and ran before the resend", Evidence{Observations: []Observation{Refused{Hash: 7, Ran: cs.RanNotRun}, Answered{Hash: 7, Sent: 20}}, Starts: []Start{{Hash: 7, At: 10}}}, 5},
		{"not run and resent", Evidence{Observations: []Observation{Refused{Hash: 7, Ran: cs.RanNotRun}, Answered{Hash: 7, Sent: 20}}, Starts: []Start{{Hash: 7, At: 30}}}, 0},
		{"ran twice", Evidence{Starts: []Start{{Hash: 7, NonIdempotent: true}, {Hash: 7, NonIdempotent: true}}}, 6},
		{"work for a leaving runner", Evidence{Observations: []Observation{Leaving{Runner: "r"}}, Starts: []Start{{Runner: "r", At: 3001}}}, 7},
		{"cut off", Evidence{Observations: []Observation{CutOff{}}}, 8},
		{"ticket reverted", Evidence{Observations: []Observation{InForce{Number: 2}, InForce{Number: 1}}}, 9},
		{"ticket late", Evidence{Observations: []Observation{TicketAccepted{Number: 2}, InForce{Number: 1, At: 13_001, Reachable: true}}, Streams: map[cs.StreamID][]cs.LoggedBatch{}}, 9},
	} {
		t.Run(c.name, func(t *testing.T) {
			violations := Check(c.evidence)
			if c.promise == 0 {
				qt.Assert(t, violations, qt.HasLen, 0)
				return
			}
			qt.Assert(t, violations, qt.Not(qt.HasLen), 0)
			qt.Assert(t, violations[0].Promise, qt.Equals, c.promise)
		})
	}
}
