package wire

import (
	"reflect"

	cs "github.com/crocusstile/crocusstile"
)

// The cbor library stores a pointer to the decoded struct in a non-empty interface, whereas type
// switches in this project expect the struct itself. The functions below replace the pointers,
// outermost first, and return ErrEmpty for a missing record, message, query or answer. A missing
// target or scope state is left to the validation of its owner.

// value replaces a pointer in an interface by what it points to. It reports whether there is a
// value.
func value[I any](p *I) bool {
	v := reflect.ValueOf(*p)
	if !v.IsValid() {
		return false
	}
	if v.Kind() == reflect.Pointer {
		*p = v.Elem().Interface().(I)
	}
	return true
}

func valueItems(items []cs.Item) {
	for i := range items {
		value(&items[i].Target)
	}
}

func valueRecords(records []cs.Record) error {
	for i := range records {
		if !value(&records[i]) {
			return ErrEmpty
		}
		switch r := records[i].(type) {
		case cs.JobItems:
			valueItems(r.Items)
		case cs.JobSnapshot:
			valueItems(r.Items)
		case cs.TicketFiled:
			value(&r.Ticket.State)
			records[i] = r
		default: // holds no interface
		}
	}
	return nil
}

func valueMessage(m *cs.PeerMessage) error {
	if !value(m) {
		return ErrEmpty
	}
	switch x := (*m).(type) {
	case cs.TicketsPassed:
		for i := range x.Tickets {
			value(&x.Tickets[i].Ticket.State)
		}
	case cs.ItemsGranted:
		for i := range x.Items {
			value(&x.Items[i].Item.Target)
		}
	case cs.Forward:
		if !value(&x.Query) {
			return ErrEmpty
		}
		if q, ok := x.Query.(cs.SubmitJob); ok {
			valueItems(q.Items)
		}
		*m = x
	case cs.Forwarded:
		if !value(&x.Answer) {
			return ErrEmpty
		}
		*m = x
	case cs.PendingCopied:
		return valueRecords(x.Records)
	default: // holds no interface
	}
	return nil
}
