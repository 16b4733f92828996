package wire

import (
	"reflect"

	"github.com/fxamacker/cbor/v2"

	cs "github.com/crocusstile/crocusstile"
)

// taggedType assigns a CBOR tag number to a type that implements a sealed interface.
type taggedType struct {
	number uint64
	zero   any
}

// tags lists every type that is encoded as an interface value. A number is never reused, even after its
// type is removed, because the log and VMs of older versions still contain it. The numbers are in the
// "first come, first served" range of RFC 8949, section 9.2, and take three bytes.
var tags = []taggedType{
	// crocusstile.Record
	{40001, cs.Claim{}},
	{40002, cs.Released{}},
	{40003, cs.Checkpoint{}},
	{40004, cs.JobOpened{}},
	{40005, cs.JobItems{}},
	{40006, cs.JobSealed{}},
	{40007, cs.JobStopped{}},
	{40008, cs.ItemStarted{}},
	{40009, cs.ItemEnded{}},
	{40010, cs.JobSnapshot{}},
	{40011, cs.CallStarted{}},
	{40012, cs.CallEnded{}},
	{40013, cs.TicketRecorded{}},

	// crocusstile.PeerMessage
	{40101, cs.Hello{}},
	{40102, cs.Heartbeat{}},
	{40103, cs.TicketsReply{}},
	{40104, cs.TicketsRequest{}},
	{40105, cs.Preempt{}},
	{40106, cs.BacklogReport{}},
	{40107, cs.SlotsOffered{}},
	{40108, cs.ItemsGranted{}},
	{40109, cs.ItemOutcome{}},
	{40110, cs.StopItems{}},
	{40111, cs.SuspectNotice{}},
	{40112, cs.Forward{}},
	{40113, cs.Forwarded{}},
	{40114, cs.PendingRecords{}},
	{40115, cs.ItemsHeld{}},

	// crocusstile.ShardQuery
	{40201, cs.SubmitJob{}},
	{40202, cs.GetJob{}},
	{40203, cs.StopJob{}},
	{40204, cs.GetResults{}},
	{40205, cs.BeginCall{}},
	{40206, cs.EndCall{}},

	// crocusstile.ShardReply
	{40301, cs.JobReply{}},
	{40302, cs.ResultsReply{}},
	{40303, cs.CallReply{}},
	{40304, cs.RefusedReply{}},

	// crocusstile.Target
	{40401, cs.Generation{}},
	{40402, cs.ServiceCall{}},

	// crocusstile.ScopeState
	{40501, cs.Deployment{}},
	{40502, cs.Service{}},
	{40503, cs.TenantLimits{}},
}

// newTagSet returns a CBOR tag set of all types in tags. It panics on a duplicate number or type, which
// is a programming error in the table above.
func newTagSet() cbor.TagSet {
	set := cbor.NewTagSet()
	required := cbor.TagOptions{DecTag: cbor.DecTagRequired, EncTag: cbor.EncTagRequired}
	for _, t := range tags {
		if err := set.Add(required, reflect.TypeOf(t.zero), t.number); err != nil {
			panic(err)
		}
	}
	return set
}
