package gateway

import (
	"iter"
	"math/bits"

	"github.com/cockroachdb/errors"

	cs "github.com/crocusstile/crocusstile"
)

// AllowanceMessage is a message between a VM that needs permits and the owner of limits. A lost one is lost allowance.
type AllowanceMessage struct {
	_           struct{} `cbor:",toarray"`
	From        cs.VMID
	Incarnation cs.Incarnation
	// For is the incarnation of the process that the replies are for, or 0 without replies.
	For      cs.Incarnation
	Requests []AllowanceRequest
	Replies  []AllowanceReply
}

// AllowanceRequest requests permits.
type AllowanceRequest struct {
	_         struct{} `cbor:",toarray"`
	ID        AllowanceRequestID
	Workspace cs.WorkspaceID
	Permits   Permits
}

// AllowanceReply answers an AllowanceRequest.
type AllowanceReply struct {
	_  struct{} `cbor:",toarray"`
	ID AllowanceRequestID
	// NotOwner means that the sender does not decide on the limit.
	NotOwner bool
	Granted  Permits
	// Next is the time until the next permit, if fewer were granted than requested, and Retry the time after which the first of
	// the refused requests should come back.
	Next, Retry cs.Span
}

// Bounds of the fields of an AllowanceMessage. Anyone can send a datagram to the address for reports.
const (
	// MaxPermits bounds the permits of one request, which are those for the requests that wait at a VM.
	MaxPermits = 4096
	// MaxAllowanceRequests bounds the requests in a message, so that the message and its reply fit into a datagram.
	MaxAllowanceRequests = 128
	// maxWorkspaceBytes bounds the ID of a workspace in a message.
	maxWorkspaceBytes = 512
)

// Validate returns an error unless a VM can have sent the message.
func (m *AllowanceMessage) Validate() error {
	if m.From == "" {
		return errors.New("allowance message without a sender")
	}
	if len(m.Requests) > MaxAllowanceRequests || len(m.Replies) > MaxAllowanceRequests {
		return errors.Newf("allowance message with %d requests and %d replies", len(m.Requests), len(m.Replies))
	}
	for _, r := range m.Requests {
		if r.Workspace == "" || len(r.Workspace) > maxWorkspaceBytes || r.Permits < 1 || r.Permits > MaxPermits {
			return errors.Newf("request for permits out of range: %d permits, ID of %d bytes", r.Permits, len(r.Workspace))
		}
	}
	for _, r := range m.Replies {
		if r.Granted < 0 || r.Granted > MaxPermits || r.Next < 0 || r.Next > 2*maxRetry || r.Retry < 0 || r.Retry > 2*maxRetry {
			return errors.Newf("reply with permits out of range: %d permits, next in %d ms, retry in %d ms", r.Granted, r.Next, r.Retry)
		}
	}
	return nil
}

// PartitionSet is a set of partitions: bit i of byte j stands for partition 8j + i.
type PartitionSet []byte

// NoPartitions is the empty set in a report, in which an empty string of bytes is left out.
var NoPartitions = PartitionSet{0}

// maxPartitionSetBytes bounds a set in a report.
const maxPartitionSetBytes = 512

// With returns the set with a partition added.
func (s PartitionSet) With(partition int) PartitionSet {
	for len(s) <= partition/8 {
		s = append(s, 0)
	}
	s[partition/8] |= 1 << (partition % 8)
	return s
}

// All iterates over the partitions of the set.
func (s PartitionSet) All() iter.Seq[int] {
	return func(yield func(int) bool) {
		for i, b := range s {
			for ; b != 0; b &= b - 1 {
				if !yield(8*i + bits.TrailingZeros8(b)) {
					return
				}
			}
		}
	}
}
