package fleet

import cs "github.com/crocusstile/crocusstile"

// VM is the row of a VM, this one included. Package membership writes it.
type VM struct {
	cs.VM
	// Listed is when the platform's list last showed the VM; 0 if it never did.
	Listed cs.Instant
	// Heard is when its last message came; 0 if none did.
	Heard cs.Instant
	// Linked tells whether a link is open.
	Linked bool
	// Broken is when the last link broke or could not be opened; 0 while linked.
	Broken cs.Instant
	// LinkedAt is when the last link opened.
	LinkedAt cs.Instant
	// DialedAt is when a link was last asked for.
	DialedAt cs.Instant
	// Wanted tells whether package membership chose to hold a link to the VM.
	Wanted bool
	// Dialing tells whether a dial is in progress.
	Dialing bool
	// Dials counts failed dials and short-lived links in a row.
	Dials int
	// DialAt bars dials before it.
	DialAt cs.Instant
	// Live is the verdict of package membership on this tick.
	Live bool
	// LiveSince is when Live last changed.
	LiveSince cs.Instant
	// Beat is the last heartbeat.
	Beat cs.Heartbeat
	// BeatAt is when Beat came.
	BeatAt cs.Instant
	// Backlog is the number of waiting items by shard owned, corrected between heartbeats.
	Backlog map[cs.ShardID]cs.ItemIndex
	// OfferedAt is when batch slots were last offered to the VM.
	OfferedAt cs.Instant
	// Sending lists the runners of which the VM is the batch sender, as of SendingAt; it is kept for
	// this VM only.
	Sending   []cs.RunnerID
	SendingAt cs.Instant
	// Recent is the number of online requests that the VM took in the last 10 s, as a decaying sum,
	// and RecentAt when it was computed; they are kept for this VM only.
	Recent   float64
	RecentAt cs.Instant
}
