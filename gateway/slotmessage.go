package gateway

import (
	"github.com/cockroachdb/errors"

	cs "github.com/crocusstile/crocusstile"
)

// SlotUse is what a slot is requested for.
type SlotUse uint8

// The uses of a slot.
const (
	// SlotFree is an online request that is to get a free slot; there may be one at another runner.
	SlotFree SlotUse = iota
	// SlotOnline is an online request for which an item may be preempted.
	SlotOnline
	// SlotQueued is an online request that may also wait at the runner for a slot.
	SlotQueued
	// SlotBatch is an item of a batch job.
	SlotBatch
)

// SlotRequestID identifies a request for a slot within the process.
type SlotRequestID uint64

// SlotMessage is a message between a VM and an allocator. A message that is lost is made up for by a later one.
type SlotMessage struct {
	_           struct{} `cbor:",toarray"`
	From        cs.VMID
	Incarnation cs.Incarnation
	// Seq is the sequence number of the message within the process.
	Seq uint64
	// Holdings is all that the sender holds at the runners of which it takes the receiver for the allocator, with the slots
	// granted by replies to the requests before Outstanding; HasHoldings tells an empty list from none.
	HasHoldings bool
	Holdings    []SlotHolding
	Outstanding SlotRequestID
	Requests    []SlotRequest
	Replies     []SlotReply
	Preemptions []SlotPreemption
}

// SlotHolding is what a VM holds at a runner.
type SlotHolding struct {
	_             struct{} `cbor:",toarray"`
	Runner        cs.RunnerID
	Online, Batch cs.Slots
	// DueIn is the time until the least urgent of the items is due; one that will be late is due after all others.
	DueIn cs.Span
}

// SlotRequest requests a slot of a runner.
type SlotRequest struct {
	_      struct{} `cbor:",toarray"`
	Runner cs.RunnerID
	ID     SlotRequestID
	Use    SlotUse
}

// SlotReply answers a SlotRequest.
type SlotReply struct {
	_       struct{} `cbor:",toarray"`
	Runner  cs.RunnerID
	ID      SlotRequestID
	Granted bool
}

// SlotPreemption tells a VM to stop runs of items at a runner, to make room for online requests.
type SlotPreemption struct {
	_      struct{} `cbor:",toarray"`
	Runner cs.RunnerID
	Runs   cs.Slots
}

// Validate returns an error unless a VM can have sent the message.
func (m *SlotMessage) Validate() error {
	if m.From == "" {
		return errors.New("slot message without a sender")
	}
	for _, h := range m.Holdings {
		if h.Online < 0 || h.Batch < 0 || h.Online > maxReportedLoad || h.Batch > maxReportedLoad || h.DueIn < 0 {
			return errors.Newf("holding out of range: %d and %d requests, due in %d ms", h.Online, h.Batch, h.DueIn)
		}
	}
	for _, r := range m.Requests {
		if r.Use > SlotBatch {
			return errors.Newf("unknown use of a slot: %d", r.Use)
		}
	}
	for _, p := range m.Preemptions {
		if p.Runs < 0 || p.Runs > maxReportedLoad {
			return errors.Newf("preemption out of range: %d runs", p.Runs)
		}
	}
	return nil
}
