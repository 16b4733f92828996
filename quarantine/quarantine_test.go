package quarantine

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

const at cs.Instant = 1_000_000

var target = cs.Generation{Model: "m", Prompt: "p"}

// tables returns a VM with three runners and a request of each hash in flight on its runner.
func tables(flight map[cs.ContentHash]cs.RunnerID) *fleet.Tables {
	t := fleet.New(fleet.DefaultConfig(), cs.VM{ID: "vm0", DataCentre: "a"}, at, 1)
	t.VMs.Insert("vm1", fleet.VM{VM: cs.VM{ID: "vm1", DataCentre: "a"}, Live: true})
	t.VMs.Insert("far", fleet.VM{VM: cs.VM{ID: "far", DataCentre: "b"}, Live: true})
	for _, id := range []cs.RunnerID{"r0", "r1", "r2"} {
		report := cs.LoadReport{Loaded: []cs.LoadedModel{{Model: "m"}}}
		t.Runners.Insert(id, fleet.Runner{Runner: cs.Runner{ID: id, DataCentre: "a"}, Report: report})
	}
	for h, r := range flight {
		id := cs.RequestID(fmt.Sprint(h))
		t.Requests.Insert(id, fleet.Request{Request: cs.Request{ID: id, Hash: h}, Runs: []fleet.RequestRun{{Runner: r, Attempt: 1}}})
	}
	return t
}

func watch(t *fleet.Tables, id cs.RequestID, res fleet.RunResult) []fleet.Action {
	var out fleet.Actions
	t.Events = []fleet.Event{fleet.RequestEnded{ID: id, Attempt: 1, Result: res}}
	Watch(t, at, &out)
	return out.List
}

// TestConviction guards against innocents that are convicted, and against a cause that is not.
func TestConviction(t *testing.T) {
	tb := tables(map[cs.ContentHash]cs.RunnerID{1: "r0", 2: "r0", 3: "r1"})
	sent := 0
	for _, a := range watch(tb, "1", fleet.RunBroken{Sent: true, Crashed: true}) {
		if s, ok := a.(fleet.Send); ok {
			sent++
			qt.Check(t, s.To, qt.Equals, cs.VMID("vm1"))
		}
	}
	qt.Assert(t, sent, qt.Equals, 2)
	qt.Assert(t, Suspect(tb, 1, at) && Suspect(tb, 2, at) && !Suspect(tb, 3, at), qt.IsTrue)
	a, okA := Place(tb, 1, target, at)
	b, okB := Place(tb, 2, target, at)
	qt.Assert(t, okA && okB && a != b && a != "r0" && b != "r0", qt.IsTrue)

	watch(tb, "2", fleet.RunWhole{})
	qt.Check(t, Suspect(tb, 2, at), qt.IsFalse)
	tb.Requests.Get("1").Runs[0].Runner = "r1"
	watch(tb, "1", fleet.RunBroken{Sent: true, Crashed: true})
	qt.Check(t, Blocked(tb, 1, at), qt.IsTrue)
	qt.Check(t, Suspect(tb, 3, at), qt.IsFalse, qt.Commentf("the conviction explains the crash"))
	qt.Check(t, Blocked(tb, 1, at.Add(tb.Config.Quarantine)), qt.IsFalse)
}

// TestRefusedConnectionIsNoCrash guards against suspects made by a runner that is merely gone.
func TestRefusedConnectionIsNoCrash(t *testing.T) {
	tb := tables(map[cs.ContentHash]cs.RunnerID{1: "r0"})
	watch(tb, "1", fleet.RunBroken{})
	qt.Check(t, tb.Suspects.Len(), qt.Equals, 0)
}

// TestTwoCrashesThroughTwoVMs guards against a third crash by a content that two VMs sent at once.
func TestTwoCrashesThroughTwoVMs(t *testing.T) {
	tb := tables(map[cs.ContentHash]cs.RunnerID{1: "r0"})
	watch(tb, "1", fleet.RunBroken{Sent: true, Crashed: true})
	var out fleet.Actions
	tb.Events = []fleet.Event{fleet.PeerSaid{From: "vm1", Message: cs.SuspectNoted{Hash: 1, Runner: "r1", Until: suspectFor}}}
	Watch(tb, at, &out)
	qt.Check(t, Blocked(tb, 1, at), qt.IsTrue)
}
