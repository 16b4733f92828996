package crocusstile

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Named types for identifiers.
type (
	// VMID identifies an entry VM; a replacement VM may reuse the id with a new incarnation.
	VMID string
	// Incarnation is unique to each start of a process; a later start has a higher one.
	Incarnation uint64
	// DataCentreID identifies a data centre.
	DataCentreID string
	// RunnerID identifies a runner: a model engine or an instance of a plain service.
	RunnerID string
	// ServiceID identifies a plain service or a group of runners that serve models.
	ServiceID string
	// TenantID identifies a tenant (a workspace).
	TenantID string
	// ModelID identifies a model.
	ModelID string
	// AdapterID identifies an adapter of a model; empty means no adapter.
	AdapterID string
	// VersionID identifies a version of a model.
	VersionID string
	// RequestID is unique to each request that a VM accepts.
	RequestID string
	// JobID is the hash of a tenant and its job key.
	JobID string
	// ItemIndex is the position of an item in its job, counted from 0.
	ItemIndex int32
	// CallID is the hash of a tenant and the idempotency key of its call.
	CallID string
	// IdempotencyKey is chosen by the caller; requests with the same key are duplicates.
	IdempotencyKey string
	// ContentHash identifies a request by its content, independently of the sender.
	ContentHash uint64
	// PromptPart identifies a part of a prompt that several requests may share, such as their instructions.
	PromptPart uint64
	// ShardID numbers the shards of jobs and calls, from 0; each has a work stream in the log.
	ShardID uint16
	// StreamID identifies a stream of the platform's log.
	StreamID string
	// Offset is the position of a record in a stream, counted from 0.
	Offset int64
	// Seq numbers the batches of a writer in a stream, from 1.
	Seq uint64
	// TicketNumber numbers the change tickets of all scopes in one sequence.
	TicketNumber int64
	// Scope names the object that a ticket changes, such as "deployment/tutor".
	Scope string
	// ItemID identifies an item of a batch job and is chosen by the caller.
	ItemID string
	// EventID numbers the events of a response stream, increasing from 1.
	EventID int64
	// Address is an IP address and port, such as "10.1.0.7:8080".
	Address string
)

// NoOffset stands for a missing offset, such as Claim.Previous in the first claim of a stream.
const NoOffset Offset = -1

// ItemKey identifies an item among those of all jobs.
type ItemKey struct {
	Job   JobID     `cbor:"j" json:"job"`
	Index ItemIndex `cbor:"i" json:"index"`
}

// HashContent returns the hash of a request's target and body.
func HashContent(target, body string) ContentHash {
	return ContentHash(xxhash.Sum64String(target + "\x00" + body))
}

// NewJobID returns the job id of a tenant's job key, which is the same on every VM.
func NewJobID(t TenantID, key IdempotencyKey) JobID {
	return JobID(hashParts("job", string(t), string(key)))
}

// NewCallID returns the call id of a tenant's idempotency key, which is the same on every VM.
func NewCallID(t TenantID, key IdempotencyKey) CallID {
	return CallID(hashParts("call", string(t), string(key)))
}

// hashParts returns a 128-bit hash of the parts as 32 hexadecimal digits.
func hashParts(parts ...string) string {
	var first, second xxhash.Digest
	first.ResetWithSeed(1)
	second.ResetWithSeed(2)
	for _, p := range parts {
		_, _ = first.WriteString(p + "\x00")
		_, _ = second.WriteString(p + "\x00")
	}
	return formatHex16(first.Sum64()) + formatHex16(second.Sum64())
}

func formatHex16(n uint64) string {
	s := strconv.FormatUint(n, 16)
	return "0000000000000000"[:16-len(s)] + s
}

// ShardOf maps a job or call id to one of n shards.
func ShardOf(id string, n int) ShardID {
	return ShardID(xxhash.Sum64String(id) % uint64(n))
}

// TicketStream is the stream that carries all tickets.
const TicketStream StreamID = "tickets"

// WorkStream returns the log stream of a shard, such as "work-007".
func WorkStream(s ShardID) StreamID {
	n := strconv.Itoa(int(s))
	return StreamID("work-" + "000"[:max(0, 3-len(n))] + n)
}

// RendezvousWeight returns the rendezvous hashing weight of a candidate for a key; the candidate
// with the highest weight is chosen first.
func RendezvousWeight(key, candidate string) uint64 {
	return xxhash.Sum64String(key + "\x00" + candidate)
}
