package gateway

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// Each limited workspace has an owner: the VM that owns its partition of the batch group. The owner keeps a token bucket and
// grants permits, each of which lets one request be sent. A permit ends permitLifetime after it was requested, so that a VM that
// was cut off or frozen does not use it later. docs/design/limits.md has the proof of the bound.

// Permits is a number of requests that may be sent.
type Permits int

// AllowanceRequestID identifies a request for permits within the process.
type AllowanceRequestID uint64

// Bucket is the token bucket of a limited workspace at its owner.
type Bucket struct {
	Level float64
	// FilledAt is when Level was computed, and GainedAt when this VM became the owner, with an empty bucket.
	FilledAt, GainedAt cs.BootInstant
	// RetryAt is the time for which the last refused request was told to come back.
	RetryAt cs.BootInstant
}

// PermitRequest is a request for permits that was sent to an owner.
type PermitRequest struct {
	Workspace cs.WorkspaceID
	Owner     cs.VMID
	Permits   Permits
	At        cs.BootInstant
}

// PermitLease is a number of permits that no request has taken, with the time at which they end.
type PermitLease struct {
	Permits Permits
	Until   cs.BootInstant
}

// HeldPermit is a permit of a request that was not sent yet.
type HeldPermit struct {
	Request ForwardID
	Until   cs.BootInstant
}

// WorkspaceUse is what this VM knows and does about the requests of a limited workspace that callers have sent it.
type WorkspaceUse struct {
	Leases []PermitLease
	Held   []HeldPermit
	// Demand is a moving average of the requests per millisecond, as of DemandAt.
	Demand   float64
	DemandAt cs.BootInstant
	// RefuseUntil is the time before which the owner expects to have no permit, and DecidedAt when it said so.
	RefuseUntil, DecidedAt cs.BootInstant
	// RetryAt is the time for which the last refused request was told to come back.
	RetryAt cs.BootInstant
	// AskAt is the earliest time of the next request for permits, and Unanswered the number of requests without a usable reply
	// since the last one.
	AskAt      cs.Instant
	Unanswered int
	// LimitedSince is when requests began to be refused, or 0. LastRefusedAt and Refused describe the refusals since.
	LimitedSince, LastRefusedAt cs.Instant
	Refused                     int
}

// Allowance is what this VM knows and does as an owner of limits, and as a VM that needs permits.
type Allowance struct {
	// Owned holds the partitions assigned to this VM with the time from which their buckets fill.
	Owned map[int]cs.BootInstant
	// RenewedAt is when the last successful renewal of the membership in the group was sent, or 0 if there is none.
	RenewedAt cs.BootInstant
	// OutsideAt is when this VM last was outside the group by its own decision. Renewals sent until then do not count.
	OutsideAt cs.BootInstant
	Buckets   *fleet.Table[cs.WorkspaceID, Bucket]
	Uses      *fleet.Table[cs.WorkspaceID, WorkspaceUse]
	Requests  *fleet.Table[AllowanceRequestID, PermitRequest]
	LastID    AllowanceRequestID
	// WithoutOwner holds the partitions of which requests were refused for want of an owner, with the time of the first one.
	WithoutOwner map[int]cs.Instant
	// CheckedAt is when idle rows were last removed.
	CheckedAt cs.Instant

	// owners caches the VMs that report to own each partition, as of the counts of changes.
	owners           map[int][]cs.VMID
	liveChanges      uint64
	partitionChanges uint64
	peers            int
}

const (
	// renewalMargin is how long before the session timeout an owner stops to grant permits. It covers the length of a tick.
	renewalMargin = 200 * cs.Millisecond
	// handoverStarts is the number of parts into which the time of a window is divided. An owner gets a part of the slack in the
	// first of them.
	handoverStarts = 4
	// maxCapacityExcess is the most by which the capacity of a bucket exceeds the burst: a bucket must hold one permit.
	maxCapacityExcess = 1
)

// newAllowance returns the state of a VM that owns no limits.
func newAllowance() Allowance {
	return Allowance{
		Buckets: fleet.NewTable[cs.WorkspaceID, Bucket](), Uses: fleet.NewTable[cs.WorkspaceID, WorkspaceUse](),
		Requests: fleet.NewTable[AllowanceRequestID, PermitRequest](), WithoutOwner: make(map[int]cs.Instant),
	}
}

// minPermitLifetime is the least lifetime of a permit, in which a reply arrives that takes some milliseconds.
const minPermitLifetime = 25 * cs.Millisecond

// PermitLifetime returns the time from the request for a permit to its end: half of the overshoot of a window, or more if that is
// too short to use a permit.
func (q *Quota) PermitLifetime() cs.Span {
	return max(cs.Span(float64(q.Overshoot)*float64(q.Window)/2), minPermitLifetime)
}

// fillRatio returns the share of its rate at which a bucket fills, so that what fills in a window and the lifetime of a permit is
// within the rate and the overshoot of a window. It is 1 unless the overshoot is too small for minPermitLifetime.
func (q *Quota) fillRatio() float64 {
	return min(float64(q.Window)*(1+float64(q.Overshoot))/float64(q.Window+q.PermitLifetime()), 1)
}

// handoverRate returns the permits per millisecond that a bucket gets beyond its rate within handoverTime of its start. All owners
// of a limit in a window and the lifetime of a permit together get no more than the slack, however often the limit moves.
func (q *Quota) handoverRate() float64 {
	return max(q.Slack-maxCapacityExcess, 0) / float64(q.Window+q.PermitLifetime())
}

// handoverTime returns the time in which a new bucket gets a quarter of the slack.
func (q *Quota) handoverTime() cs.Span { return (q.Window + q.PermitLifetime()) / handoverStarts }

// LimitOf returns a workspace if its requests are limited, or nil.
func (t *Tables) LimitOf(id cs.WorkspaceID) *cs.Workspace {
	if t.Config.Quota.Window == 0 || id == "" || t.Catalog == nil {
		return nil
	}
	if w := t.Catalog.Workspace(id); w != nil && w.IsLimited() {
		return w
	}
	return nil
}

// HasPermit reports whether a request may be sent as far as the limit of its workspace is concerned. Only the first send needs a
// permit.
func (t *Tables) HasPermit(f *Forward, now cs.Instant) bool {
	return f.Attempt > 0 || t.BootTime(now) < f.PermitUntil || t.LimitOf(f.Workspace) == nil
}

// LimitPartition returns the partition of the batch group whose owner keeps the limit of a workspace.
func (t *Tables) LimitPartition(id cs.WorkspaceID) int {
	return int(xxhash.Sum64String(string(id)) % uint64(max(t.Config.PartitionCount, 1)))
}

// IsLimitOwner reports whether this VM may grant permits for the limits of its partitions: no other VM can own them yet, even if
// this one has been removed from the group.
func (t *Tables) IsLimitOwner(now cs.Instant) bool {
	a := &t.Allowance
	return a.RenewedAt != 0 && t.BootTime(now) < a.RenewedAt.Add(t.Config.GroupTimeout-renewalMargin)
}

// OwnsLimit reports whether this VM may grant permits for the limits of a partition.
func (t *Tables) OwnsLimit(partition int, now cs.Instant) bool {
	_, owned := t.Allowance.Owned[partition]
	return owned && t.IsLimitOwner(now)
}

// LimitPartitions returns the partitions of which this VM may grant permits, or nil.
func (t *Tables) LimitPartitions(now cs.Instant) PartitionSet {
	if !t.IsLimitOwner(now) {
		return nil
	}
	var set PartitionSet
	for p := range t.Allowance.Owned {
		set = set.With(p)
	}
	return set
}

// LimitOwners returns the peers that report to own a partition, the one that has reported it last first.
func (t *Tables) LimitOwners(partition int) []cs.VMID {
	a := &t.Allowance
	if a.owners == nil || a.liveChanges != t.LiveChanges || a.partitionChanges != t.PartitionChanges || a.peers != t.Peers.Len() {
		a.liveChanges, a.partitionChanges, a.peers = t.LiveChanges, t.PartitionChanges, t.Peers.Len()
		a.owners = make(map[int][]cs.VMID)
		for id, p := range t.Peers.All() {
			if p.LastReportAt == 0 {
				continue
			}
			for partition := range p.Partitions.All() {
				a.owners[partition] = append(a.owners[partition], id)
			}
		}
		for _, owners := range a.owners {
			slices.SortFunc(owners, func(x, y cs.VMID) int {
				return cmp.Or(cmp.Compare(t.Peers.Get(y).PartitionsAt, t.Peers.Get(x).PartitionsAt), cmp.Compare(x, y))
			})
		}
	}
	return a.owners[partition]
}

// AssignLimits applies the partitions that the group has assigned upon a renewal sent at sentAt. Buckets start again unless this
// VM has owned their partition all the time.
func (t *Tables) AssignLimits(partitions []int, sentAt cs.BootInstant, now cs.Instant) {
	a, boot := &t.Allowance, t.BootTime(now)
	if sentAt <= a.OutsideAt {
		return
	}
	// The store has processed the renewal by now, so that the membership did not time out before.
	isContinuous := a.RenewedAt != 0 && boot <= a.RenewedAt.Add(t.Config.GroupTimeout)
	owned := make(map[int]cs.BootInstant, len(partitions))
	for _, p := range partitions {
		gainedAt, kept := a.Owned[p]
		if !kept || !isContinuous {
			gainedAt = boot
		}
		owned[p] = gainedAt
	}
	a.Owned, a.RenewedAt = owned, max(a.RenewedAt, sentAt)
}

// ReleaseLimits ends the ownership of all limits, since this VM is outside the group.
func (t *Tables) ReleaseLimits(now cs.Instant) {
	a := &t.Allowance
	a.Owned, a.RenewedAt, a.OutsideAt = nil, 0, t.BootTime(now)
}

// bucketCapacity returns the most permits that the bucket of a workspace holds.
func bucketCapacity(w *cs.Workspace) float64 { return max(w.Burst, maxCapacityExcess) }

// FilledBucket returns the bucket of a workspace of which this VM owns the limit, filled up to now. A row that is missing is that
// of a bucket of which nothing was taken.
func (t *Tables) FilledBucket(w *cs.Workspace, now cs.Instant) *Bucket {
	gainedAt := t.Allowance.Owned[t.LimitPartition(w.ID)]
	b := t.Allowance.Buckets.Get(w.ID)
	if b == nil || b.GainedAt != gainedAt {
		b = t.Allowance.Buckets.Insert(w.ID, Bucket{FilledAt: gainedAt, GainedAt: gainedAt})
	}
	t.fill(b, w, now)
	return b
}

// fill adds to a bucket what it has got since it was last filled.
func (t *Tables) fill(b *Bucket, w *cs.Workspace, now cs.Instant) {
	boot := max(t.BootTime(now), b.FilledAt)
	quota := &t.Config.Quota
	b.Level += float64(w.Rate) * quota.fillRatio() * float64(boot.Sub(b.FilledAt)) / float64(cs.Second)
	startEnd := b.GainedAt.Add(quota.handoverTime())
	if extra := min(boot, startEnd).Sub(b.FilledAt); extra > 0 {
		b.Level += quota.handoverRate() * float64(extra)
	}
	b.Level, b.FilledAt = min(b.Level, bucketCapacity(w)), boot
}

// NextPermit returns the time until a filled bucket holds a permit, at least 1 ms.
func (b *Bucket) NextPermit(w *cs.Workspace) cs.Span {
	perMillisecond := float64(w.Rate) / float64(cs.Second)
	return max(cs.Span(math.Ceil(min(max(1-b.Level, 0)/perMillisecond, float64(maxRetry)))), 1)
}

// TakePermits takes permits from a bucket and returns their number. If there are fewer than requested, it also returns the time
// until the next one, and that after which the first of the refused requests should come back; the others follow at the rate.
func (t *Tables) TakePermits(b *Bucket, w *cs.Workspace, requested Permits, now cs.Instant) (granted Permits, next, retry cs.Span) {
	granted = min(requested, Permits(min(b.Level, MaxPermits)))
	b.Level -= float64(granted)
	if granted == requested {
		return granted, 0, 0
	}
	next, boot := b.NextPermit(w), t.BootTime(now)
	first := RetryTime(&b.RetryAt, boot, next, t.Config.Quota.Window, w, requested-granted)
	return granted, next, first.Sub(boot)
}

// maxRetry bounds the time until the next permit, at very low rates.
const maxRetry = 10 * cs.Minute

// RetryTime returns the time at which the first of some refused requests should come back: those refused before are to be served
// first, one after the other at the rate of the workspace. last is the time of the last one, which is updated. Beyond a window the
// times begin again with the next permit, so that they spread over the window.
func RetryTime(last *cs.BootInstant, boot cs.BootInstant, next, window cs.Span, w *cs.Workspace, refused Permits) cs.BootInstant {
	earliest := boot.Add(next)
	first := max(last.Add(RetryStep(w, 1)), earliest)
	if first > earliest.Add(window) {
		first = earliest
	}
	*last = first.Add(RetryStep(w, refused-1))
	return first
}

// RetryStep returns the time in which a workspace gets a number of permits.
func RetryStep(w *cs.Workspace, permits Permits) cs.Span {
	return cs.Span(min(float64(permits)/float64(w.Rate)*float64(cs.Second), float64(maxRetry)))
}

// IsIdle reports whether a bucket is full, so that it can be removed.
func (t *Tables) IsIdle(b *Bucket, w *cs.Workspace, now cs.Instant) bool {
	t.fill(b, w, now)
	return b.Level >= bucketCapacity(w)
}
