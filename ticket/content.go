package ticket

import (
	"strconv"
	"strings"

	cs "github.com/crocusstile/crocusstile"
)

// contentOf returns the hash of a ticket without its number. Two tickets with one number are the
// same ticket if their contents are equal.
func contentOf(ticket cs.Ticket) cs.ContentHash {
	parts := []string{ticket.Operator}
	switch s := ticket.State.(type) {
	case cs.Deployment:
		parts = append(parts, string(s.Service), string(s.Model), string(s.Version), strconv.Itoa(s.MinRunners))
		for _, a := range s.Adapters {
			parts = append(parts, string(a))
		}
	case cs.Service:
		parts = append(parts, strconv.FormatInt(int64(s.Timeout), 10))
		parts = append(parts, s.NonIdempotent...)
	case cs.TenantLimits:
		parts = append(parts, strconv.Itoa(int(s.MaxOnline)), strconv.FormatFloat(float64(s.Weight), 'g', -1, 64))
	}
	return cs.HashContent(string(ticket.State.Scope()), strings.Join(parts, "\x00"))
}
