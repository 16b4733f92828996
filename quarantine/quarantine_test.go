package quarantine

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

const testStart cs.Instant = 1_000_000

var target = cs.Generation{Model: "m", Prompt: "p"}

// newTables returns a VM with three runners, a peer in its data centre and one in another, and a
// request with each of the given hashes in flight on the given runner.
func newTables(inFlightOn map[cs.ContentHash]cs.RunnerID) *fleet.Tables {
	t := fleet.New(fleet.DefaultConfig(), cs.VM{ID: "vm0", DataCentre: "a"}, testStart, 1)
	t.VMs.Insert("vm1", fleet.VM{VM: cs.VM{ID: "vm1", DataCentre: "a"}, Live: true})
	t.VMs.Insert("far", fleet.VM{VM: cs.VM{ID: "far", DataCentre: "b"}, Live: true})
	for _, id := range []cs.RunnerID{"r0", "r1", "r2"} {
		report := cs.LoadReport{Loaded: []cs.LoadedModel{{Model: "m"}}}
		t.Runners.Insert(id, fleet.Runner{Runner: cs.Runner{ID: id, DataCentre: "a"}, Report: report})
	}
	for h, r := range inFlightOn {
		id := cs.RequestID(fmt.Sprint(h))
		t.Requests.Insert(id, fleet.Request{Request: cs.Request{ID: id, Hash: h}, Runs: []fleet.RequestAttempt{{Runner: r, Attempt: 1}}})
	}
	return t
}

// runWatch runs the system on the end of one request and returns its actions.
func runWatch(t *fleet.Tables, id cs.RequestID, res fleet.RunResult) []fleet.Action {
	var out fleet.Actions
	t.Events = []fleet.Event{fleet.RequestEnded{ID: id, Attempt: 1, Result: res}}
	Watch(t, testStart, &out)
	return out.List
}

// TestQuarantinesOnlyProvenCause guards against quarantining a request that was merely in flight at
// a crash, and against not quarantining the one that caused two.
func TestQuarantinesOnlyProvenCause(t *testing.T) {
	tb := newTables(map[cs.ContentHash]cs.RunnerID{1: "r0", 2: "r0", 3: "r1"})
	sent := 0
	for _, a := range runWatch(tb, "1", fleet.RunInterrupted{Sent: true, Crashed: true}) {
		if s, ok := a.(fleet.Send); ok {
			sent++
			qt.Check(t, s.To, qt.Equals, cs.VMID("vm1"))
		}
	}
	qt.Assert(t, sent, qt.Equals, 2)
	qt.Assert(t, Suspect(tb, 1, testStart) && Suspect(tb, 2, testStart) && !Suspect(tb, 3, testStart), qt.IsTrue)
	a, okA := SuspectRunner(tb, 1, target, testStart)
	b, okB := SuspectRunner(tb, 2, target, testStart)
	qt.Assert(t, okA && okB && a != b && a != "r0" && b != "r0", qt.IsTrue)

	runWatch(tb, "2", fleet.RunCompleted{})
	qt.Check(t, Suspect(tb, 2, testStart), qt.IsFalse)
	tb.Requests.Get("1").Runs[0].Runner = "r1"
	runWatch(tb, "1", fleet.RunInterrupted{Sent: true, Crashed: true})
	qt.Check(t, Refused(tb, 1, testStart), qt.IsTrue)
	qt.Check(t, Suspect(tb, 3, testStart), qt.IsFalse, qt.Commentf("the quarantined content explains the crash"))
	qt.Check(t, Refused(tb, 1, testStart.Add(tb.Config.Quarantine)), qt.IsFalse)
}

// TestRefusedConnectionIsNoCrash guards against suspects after a connection that was refused
// because the runner no longer exists.
func TestRefusedConnectionIsNoCrash(t *testing.T) {
	tb := newTables(map[cs.ContentHash]cs.RunnerID{1: "r0"})
	runWatch(tb, "1", fleet.RunInterrupted{})
	qt.Check(t, tb.Suspects.Len(), qt.Equals, 0)
}

// TestCountsCrashReportedByPeer guards against a third crash by a content that two VMs dispatched
// at the same time, one crash seen by each.
func TestCountsCrashReportedByPeer(t *testing.T) {
	tb := newTables(map[cs.ContentHash]cs.RunnerID{1: "r0"})
	runWatch(tb, "1", fleet.RunInterrupted{Sent: true, Crashed: true})
	var out fleet.Actions
	tb.Events = []fleet.Event{fleet.PeerMessageReceived{From: "vm1", Message: cs.SuspectNotice{Hash: 1, Runner: "r1", QuarantineFor: suspectTTL}}}
	Watch(tb, testStart, &out)
	qt.Check(t, Refused(tb, 1, testStart), qt.IsTrue)
}
