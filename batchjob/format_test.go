package batchjob_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// Guards against results without their text at VMs of an older version, which cannot read compressed records, while VMs are
// updated one by one.
func TestRecordsAreCompressedOnceAllVMsReadThem(t *testing.T) {
	for _, reported := range []bool{false, true} { // whether the VMs are known from reports before they are listed
		checkJobLogFormat(t, reported)
	}
}

func checkJobLogFormat(t *testing.T, reported bool) {
	c := qt.New(t)
	for _, test := range []struct {
		peers []cs.JobLogFormat
		want  cs.JobLogFormat
	}{
		{nil, cs.JobLogCompressed},
		{[]cs.JobLogFormat{cs.JobLogCompressed, cs.JobLogCompressed}, cs.JobLogCompressed},
		{[]cs.JobLogFormat{cs.JobLogCompressed, cs.JobLogPlain}, cs.JobLogPlain},
	} {
		v := newVM("a", 0, 1, 2, 3)
		v.Self.JobLogFormat = cs.JobLogCompressed
		var listed gateway.VMsRead
		for i, format := range test.peers {
			id := cs.VMID(rune('b' + i))
			if reported {
				v.inbox = append(v.inbox, gateway.PeerReported{Address: "10.0.0.2:1", Report: gateway.Report{From: id, Incarnation: 1, Seq: 1, JobLogFormat: format}})
			}
			listed.Changes = append(listed.Changes, gateway.VMChange{ID: id, VM: &cs.VM{ID: id, DataCentre: "a", Incarnation: 1, JobLogFormat: format}})
		}
		v.inbox = append(v.inbox, listed, gateway.FeedRead{Feed: gateway.FeedVMs, Loaded: true, AsOf: startTime}, gateway.JobSubmitted{Query: 1, Spec: newJob("j", 1)})
		for range 3 {
			v.tick(startTime)
		}
		c.Assert(v.appends, qt.HasLen, 1)
		c.Check(v.appends[0].Format, qt.Equals, test.want, qt.Commentf("peers %v, reported first: %t", test.peers, reported))
	}
}

// Guards against results without their text at VMs of an older version, when a VM appends before it has read the list of VMs.
func TestRecordsAreNotCompressedBeforeListIsRead(t *testing.T) {
	c := qt.New(t)
	v := newVM("a", 0, 1, 2, 3)
	v.Self.JobLogFormat = cs.JobLogCompressed
	v.inbox = append(v.inbox, gateway.JobSubmitted{Query: 1, Spec: newJob("j", 1)})
	for range 3 {
		v.tick(startTime)
	}
	c.Assert(v.appends, qt.HasLen, 1)
	c.Check(v.appends[0].Format, qt.Equals, cs.JobLogPlain)
}
