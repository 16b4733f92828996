package entry_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
	"github.com/crocusstile/crocusstile/roster"
)

// receivedReports returns the encoded reports that one VM receives in a time.
func receivedReports(b *testing.B, f *simFleet, to *simVM, length cs.Span) [][]byte {
	var received [][]byte
	f.observeSend = func(a gateway.SendReport) {
		for _, address := range a.To {
			if address != to.tables.Self.Address {
				continue
			}
			data, err := cbor.Marshal(a.Report)
			qt.Assert(b, err, qt.IsNil)
			received = append(received, data)
		}
	}
	playRequests(f, length)
	f.observeSend = nil
	return received
}

// BenchmarkReports measures what a VM spends on the reports that it receives in a second, by the number of VMs: the time to
// decode and apply them, their number and their size.
func BenchmarkReports(b *testing.B) {
	for _, vms := range []int{21, 121, 390} {
		b.Run(fmt.Sprint("vms=", vms), func(b *testing.B) {
			f := newBusyFleet(1, vms)
			receiver := f.vms[0]
			received := receivedReports(b, f, receiver, cs.Second)
			size := 0
			for _, data := range received {
				size += len(data)
			}
			incarnation := cs.Incarnation(1)
			for b.Loop() {
				incarnation++
				applyReports(b, f, receiver, received, incarnation)
			}
			b.ReportMetric(float64(len(received)), "datagrams")
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

// applyReports decodes and applies reports, as those of new processes, so that none counts as received before.
func applyReports(b *testing.B, f *simFleet, to *simVM, received [][]byte, incarnation cs.Incarnation) {
	for _, data := range received {
		var r gateway.Report
		qt.Assert(b, cbor.Unmarshal(data, &r), qt.IsNil)
		r.Incarnation = incarnation
		for i := range r.Relayed {
			r.Relayed[i].Report.Incarnation = incarnation
		}
		var out gateway.Actions
		to.tables.Events = []gateway.Event{gateway.PeerReported{Address: "x:1", Report: r}}
		roster.Peers(to.tables, f.now, &out)
	}
}
