package wire

import (
	"reflect"

	cs "github.com/crocusstile/crocusstile"
)

// The cbor library stores a pointer to the decoded struct in a non-empty interface, whereas type
// switches in this project expect the struct itself. The functions below replace the pointers by
// their structs, outermost first, and return ErrMissingValue for a missing record, message, query
// or reply. A missing target or scope state is detected later, by the validation of the struct
// that contains it.

// dereference replaces a pointer in an interface by the value it points to. It returns false if the
// interface is nil.
func dereference[I any](p *I) bool {
	v := reflect.ValueOf(*p)
	if !v.IsValid() {
		return false
	}
	if v.Kind() == reflect.Pointer {
		*p = v.Elem().Interface().(I)
	}
	return true
}

func dereferenceItems(items []cs.Item) {
	for i := range items {
		dereference(&items[i].Target)
	}
}

func dereferenceRecords(records []cs.Record) error {
	for i := range records {
		if !dereference(&records[i]) {
			return ErrMissingValue
		}
		switch r := records[i].(type) {
		case cs.JobItems:
			dereferenceItems(r.Items)
		case cs.JobSnapshot:
			dereferenceItems(r.Items)
		case cs.TicketRecorded:
			dereference(&r.Ticket.State)
			records[i] = r
		default: // has no interface fields
		}
	}
	return nil
}

func dereferenceMessage(m *cs.PeerMessage) error {
	if !dereference(m) {
		return ErrMissingValue
	}
	switch msg := (*m).(type) {
	case cs.TicketsReply:
		for i := range msg.Tickets {
			dereference(&msg.Tickets[i].Ticket.State)
		}
	case cs.ItemsGranted:
		for i := range msg.Items {
			dereference(&msg.Items[i].Item.Target)
		}
	case cs.Forward:
		if !dereference(&msg.Query) {
			return ErrMissingValue
		}
		if q, ok := msg.Query.(cs.SubmitJob); ok {
			dereferenceItems(q.Items)
		}
		*m = msg
	case cs.Forwarded:
		if !dereference(&msg.Answer) {
			return ErrMissingValue
		}
		*m = msg
	case cs.PendingRecords:
		return dereferenceRecords(msg.Records)
	default: // has no interface fields
	}
	return nil
}
