package link

import cs "github.com/crocusstile/crocusstile"

// Estimated encoded sizes of the parts of a message other than its strings and bodies: elementSize of a
// small element of a list, headerSize of the fixed fields of a message, item or record.
const (
	elementSize cs.Bytes = 24
	headerSize  cs.Bytes = 64
)

// laneOf returns the lane of a message. Control messages are small and may overtake bulk messages.
// Messages whose order matters, such as StopItems after ItemsGranted, use the same lane.
func laneOf(m cs.PeerMessage) lane {
	switch m.(type) {
	case cs.Hello, cs.Heartbeat, cs.TicketsRequest, cs.Preempt, cs.BacklogReport, cs.SlotsOffered, cs.SuspectNotice:
		return laneControl
	default:
		return laneBulk
	}
}

// sizeOf estimates the encoded size of a message without encoding it, so that the control loop can
// queue a message of many megabytes without delay.
func sizeOf(m cs.PeerMessage) cs.Bytes {
	size := headerSize
	switch m := m.(type) {
	case cs.Heartbeat:
		size += elementSize * cs.Bytes(len(m.Owned)+len(m.Online))
	case cs.TicketsReply:
		for _, t := range m.Tickets {
			size += sizeOfState(t.Ticket.State)
		}
	case cs.SlotsOffered:
		size += elementSize * cs.Bytes(len(m.Loaded))
	case cs.ItemsGranted:
		for _, g := range m.Items {
			size += headerSize + sizeOfTarget(g.Item.Target) + cs.Bytes(len(g.Partial))
		}
	case cs.ItemOutcome:
		size += cs.Bytes(len(m.Output))
	case cs.Forward:
		size += sizeOfQuery(m.Query)
	case cs.Forwarded:
		size += sizeOfReply(m.Answer)
	case cs.PendingRecords:
		for _, r := range m.Records {
			size += sizeOfRecord(r)
		}
	default: // a few short fields
	}
	return size
}

func sizeOfQuery(q cs.ShardQuery) cs.Bytes {
	switch q := q.(type) {
	case cs.SubmitJob:
		return headerSize + sizeOfItems(q.Items)
	case cs.EndCall:
		return headerSize + cs.Bytes(len(q.Answer))
	default: // a few short fields
		return headerSize
	}
}

func sizeOfReply(r cs.ShardReply) cs.Bytes {
	switch r := r.(type) {
	case cs.ResultsReply:
		return headerSize + sizeOfResults(r.Results)
	case cs.CallReply:
		return headerSize + cs.Bytes(len(r.Answer))
	default: // a few short fields
		return headerSize
	}
}

func sizeOfRecord(r cs.Record) cs.Bytes {
	switch r := r.(type) {
	case cs.JobItems:
		return headerSize + sizeOfItems(r.Items)
	case cs.JobSnapshot:
		return headerSize + sizeOfItems(r.Items) + sizeOfResults(r.Results)
	case cs.ItemEnded:
		return headerSize + cs.Bytes(len(r.Result.Output)+len(r.Result.Error))
	case cs.CallEnded:
		return headerSize + cs.Bytes(len(r.Answer))
	case cs.TicketRecorded:
		return headerSize + sizeOfState(r.Ticket.State)
	default: // a few short fields
		return headerSize
	}
}

func sizeOfItems(items []cs.Item) cs.Bytes {
	var size cs.Bytes
	for _, i := range items {
		size += sizeOfTarget(i.Target)
	}
	return size
}

func sizeOfResults(results []cs.ItemResult) cs.Bytes {
	var size cs.Bytes
	for _, r := range results {
		size += elementSize + cs.Bytes(len(r.Output)+len(r.Error))
	}
	return size
}

func sizeOfTarget(t cs.Target) cs.Bytes {
	switch t := t.(type) {
	case cs.Generation:
		return headerSize + cs.Bytes(len(t.Prompt))
	case cs.ServiceCall:
		return headerSize + cs.Bytes(len(t.Body))
	default: // no target
		return elementSize
	}
}

func sizeOfState(s cs.ScopeState) cs.Bytes {
	switch s := s.(type) {
	case cs.Deployment:
		return headerSize + elementSize*cs.Bytes(len(s.Adapters)+1)
	case cs.Service:
		return headerSize + elementSize*cs.Bytes(len(s.NonIdempotent)+1)
	default: // a few short fields
		return headerSize
	}
}
