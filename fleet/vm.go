package fleet

import cs "github.com/crocusstile/crocusstile"

// VM is the row of a VM, including this one. Package membership writes most of it.
type VM struct {
	cs.VM
	// Listed is when the platform's list last contained the VM; 0 if it never did.
	Listed cs.Instant
	// LastMessageAt is when the last message of the VM was received; 0 if none was.
	LastMessageAt cs.Instant
	// Linked tells whether a link to the VM is open.
	Linked bool
	// BrokenAt is when the last link broke or the last dial failed; 0 while linked.
	BrokenAt cs.Instant
	// LinkedAt is when the last link was opened.
	LinkedAt cs.Instant
	// DialedAt is when the VM was last dialled.
	DialedAt cs.Instant
	// Selected tells whether package membership selected the VM as a peer to keep a link to.
	Selected bool
	// Dialing tells whether a dial is in progress.
	Dialing bool
	// FailedDials counts consecutive failed dials and short-lived links.
	FailedDials int
	// NextDialAt is the earliest time of the next dial.
	NextDialAt cs.Instant
	// Live tells whether package membership considers the VM live.
	Live bool
	// LiveSince is when Live last changed.
	LiveSince cs.Instant
	// LastHeartbeat is the last heartbeat received.
	LastHeartbeat cs.Heartbeat
	// HeartbeatAt is when LastHeartbeat was received.
	HeartbeatAt cs.Instant
	// Backlog is the number of waiting items in each shard that the VM owns. It is set by heartbeats
	// and adjusted between them.
	Backlog map[cs.ShardID]cs.ItemIndex
	// OfferedAt is when batch slots were last offered to the VM.
	OfferedAt cs.Instant
	// AssignedRunners lists the runners of which the VM is the batch sender, as of
	// AssignedRunnersAt. Both are kept for this VM only.
	AssignedRunners   []cs.RunnerID
	AssignedRunnersAt cs.Instant
	// RecentRequests is the number of online requests that the VM accepted in about the last 10 s,
	// as an exponentially decaying sum, and RecentRequestsAt when it was computed. Both are kept
	// for this VM only.
	RecentRequests   float64
	RecentRequestsAt cs.Instant
}
