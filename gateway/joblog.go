package gateway

import cs "github.com/crocusstile/crocusstile"

//go:generate enumer -type AppendPhase -text -transform lower -trimprefix Append

// AppendPhase is the phase of the append in flight.
type AppendPhase int

// The phases. An append is never sent twice: once its outcome is unknown, a fence makes sure that it can no longer take effect,
// and the log tells whether it has.
const (
	// AppendSent awaits the outcome of the append.
	AppendSent AppendPhase = iota
	// AppendUnsettled awaits the time at which a fence may be sent, since the outcome of the append is unknown.
	AppendUnsettled
	// AppendFencing awaits the outcome of a fence.
	AppendFencing
	// AppendFenced awaits a read of the log to its end as of the fence.
	AppendFenced
)

// JobLog is the state of this VM as a reader and writer of the job log. A VM has at most one append in
// flight.
type JobLog struct {
	Role JobLogRole
	Rank FollowerRank
	// SurplusSince is when this VM was found to come after the VMs that follow the log, or 0.
	SurplusSince cs.Instant
	// Synced means that a snapshot of the log has been applied, so that the tables hold its state at End.
	Synced bool
	// End is the offset after the last record applied.
	End cs.Offset
	// PartialChunks counts the last records before End that are chunks of a specification of which other chunks have
	// not been read.
	PartialChunks cs.Offset
	// InFlight is the append whose outcome is not known yet, or nil.
	InFlight *AppendJobs
	// Phase is that of the append in flight.
	Phase AppendPhase
	// SentAt is when the append in flight was sent.
	SentAt cs.Instant
	// Fences counts the fences that were sent for the append in flight, and FencedAt is when one was confirmed.
	Fences   int
	FencedAt cs.Instant
	// RequiredEnd is the offset up to which the log must be applied before an append counts as settled by its fence
	// and before the next append that is conditional on the end of the log.
	RequiredEnd cs.Offset
	// RetryAt is the earliest time of the next send of an append or a fence.
	RetryAt cs.Instant
	// Proposals are those that the append in flight carries.
	Proposals []Proposal
	// InFlightAside is the group of refused proposals that the append in flight carries, or nil if they come from the queue.
	InFlightAside *AsideGroup
	// Aside holds the proposals that were refused, which are sent again apart from the others.
	Aside []AsideGroup
	// OthersNext means that proposals which were not refused are sent before a group that was.
	OthersNext bool
	// Number is the number of the last append of this process.
	Number uint64
	// Epoch and Seq are the producer epoch and sequence number of the next unconditional append, by which
	// the store orders the appends and fences of this process.
	Epoch, Seq uint64
	// Conflicts counts consecutive conditional appends that failed because the log did not end at the
	// expected offset.
	Conflicts int
	// Failures counts consecutive appends and fences that the store rejected or did not confirm.
	Failures int
	// FailingEnd is the end of the log when the first of these failed, and OvertakenSince since when records of others have been
	// read after it, or 0: the store accepts their appends.
	FailingEnd     cs.Offset
	OvertakenSince cs.Instant
	// Effective counts the appends of this process that have taken effect.
	Effective int
}

// AsideGroup is a group of proposals that the store has refused together.
type AsideGroup struct {
	Proposals []Proposal
	// Refusals counts the refusals of the group.
	Refusals int
	// Fenced means that the last one was no response at all, although the store confirmed the fence.
	Fenced bool
	// Effective is JobLog.Effective at the last refusal: if it has grown since, the store accepts other proposals.
	Effective int
	// RetryAt is when the group may be sent again, and Pause how long that is after the last refusal.
	RetryAt cs.Instant
	Pause   cs.Span
}

// JustFenced reports whether the group has had no response once, and was not sent again.
func (g *AsideGroup) JustFenced() bool { return g.Fenced && g.Refusals == 1 }

// ChangesAside returns the number of proposals that are set aside.
func (l *JobLog) ChangesAside() int {
	n := 0
	for i := range l.Aside {
		n += len(l.Aside[i].Proposals)
	}
	return n
}

// HasPendingChanges reports whether a change of the job log waits, or is in flight.
func (t *Tables) HasPendingChanges() bool {
	return len(t.Proposals) > 0 || len(t.JobLog.Aside) > 0 || t.JobLog.InFlight != nil
}
