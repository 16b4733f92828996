package batchjob_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// Guards against a fleet that stops compressing, since the removal of a VM's former registration arrives after its new one.
func TestFormatOfVMSurvivesLateRemoval(t *testing.T) {
	c := qt.New(t)
	v := newVM("a", 0, 1, 2, 3)
	v.Self.JobLogFormat = cs.JobLogCompressed
	b := &cs.VM{ID: "b", DataCentre: "a", Incarnation: 2, JobLogFormat: cs.JobLogCompressed}
	v.inbox = append(v.inbox, gateway.VMsRead{Snapshot: true, Changes: []gateway.VMChange{{ID: "b", VM: b}}}, gateway.FeedRead{Feed: gateway.FeedVMs, Loaded: true, AsOf: startTime},
		gateway.PeerReported{Address: "10.0.0.2:1", Report: gateway.Report{From: "b", Incarnation: 2, Seq: 1, JobLogFormat: cs.JobLogCompressed}})
	v.tick(startTime)
	v.inbox = append(v.inbox, gateway.VMsRead{Changes: []gateway.VMChange{{ID: "b"}}})
	v.tick(startTime)
	v.inbox = append(v.inbox, gateway.PeerReported{Address: "10.0.0.2:1", Report: gateway.Report{From: "b", Incarnation: 2, Seq: 2, JobLogFormat: cs.JobLogCompressed}},
		gateway.JobSubmitted{Query: 1, Spec: newJob("j", 1)})
	for range 3 {
		v.tick(startTime)
	}
	c.Assert(v.appends, qt.HasLen, 1)
	c.Check(v.appends[0].Format, qt.Equals, cs.JobLogCompressed)
}
