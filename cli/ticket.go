package cli

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	cs "github.com/crocusstile/crocusstile"
	operationshttp "github.com/crocusstile/crocusstile/gen/http/operations/client"
	"github.com/crocusstile/crocusstile/gen/operations"
)

// TicketSubmit files a change ticket.
type TicketSubmit struct{ file string }

// TicketShow shows the tickets in force, all of them or that of one scope.
type TicketShow struct{ scope string }

func (*TicketSubmit) isCommand()                {}
func (*TicketSubmit) defineFlags(*flag.FlagSet) {}
func (c *TicketSubmit) operands(a []string)     { c.file = a[0] }

func (*TicketShow) isCommand()                {}
func (*TicketShow) defineFlags(*flag.FlagSet) {}

func (c *TicketShow) operands(args []string) {
	if len(args) > 0 {
		c.scope = args[0]
	}
}

func (s *session) ticketSubmit(ctx context.Context, c *TicketSubmit) error {
	data, err := os.ReadFile(c.file)
	if err != nil {
		return usageErrorf("", "%v", err)
	}
	payload, err := ParseTicket(data)
	if err != nil {
		return errors.Wrap(err, c.file)
	}
	t, err := invoke[*operations.Ticket](ctx, s, s.operations().File(), payload)
	if err != nil {
		return err
	}
	if s.json {
		return s.printBody()
	}
	_, err = fmt.Fprintf(s.Out, "ticket %d is in force for %s since %s\n", t.Number, t.Scope, formatTime(t.InForceMs))
	return err
}

// ParseTicket parses and validates a ticket in JSON; its error is a UsageError.
func ParseTicket(data []byte) (*operations.FilePayload, error) {
	var body operationshttp.FileRequestBody
	if err := decodeStrict(data, &body); err != nil {
		return nil, usageErrorf("", "is not a ticket: %v", err)
	}
	payload, err := operationshttp.BuildFilePayload(string(data))
	if err != nil {
		return nil, usageErrorf("", "%v", err)
	}
	state, err := scopeStateOf(payload)
	if err != nil {
		return nil, err
	}
	t := cs.Ticket{Number: cs.TicketNumber(payload.Number), Operator: payload.Operator, State: state}
	if r := t.Validate(); r != nil {
		return nil, UsageError{Field: r.Field, Message: r.Message}
	}
	return payload, nil
}

// scopeStateOf returns the new state in a ticket, which must have exactly one scope.
func scopeStateOf(p *operations.FilePayload) (cs.ScopeState, error) {
	var states []cs.ScopeState
	if d := p.Deployment; d != nil {
		states = append(states, cs.Deployment{
			Name: d.Name, Service: cs.ServiceID(d.Service), Model: cs.ModelID(d.Model),
			Version: cs.VersionID(d.Version), MinRunners: valueOrZero(d.MinRunners),
		})
	}
	if v := p.Service; v != nil {
		states = append(states, cs.Service{
			Name: cs.ServiceID(v.Name), NonIdempotent: v.NonIdempotent, Timeout: cs.Span(valueOrZero(v.TimeoutMs)),
		})
	}
	if l := p.Tenant; l != nil {
		states = append(states, cs.TenantLimits{
			Tenant: cs.TenantID(l.Tenant), MaxOnline: cs.Slots(valueOrZero(l.MaxOnline)), Weight: cs.Ratio(valueOrZero(l.Weight)),
		})
	}
	if len(states) != 1 {
		return nil, usageErrorf("", `has %d scopes; should have exactly one of "deployment", "service" and "tenant"`, len(states))
	}
	return states[0], nil
}

// valueOrZero returns the value of an optional field, or the zero value if the field is absent.
func valueOrZero[T any](p *T) T {
	var v T
	if p != nil {
		v = *p
	}
	return v
}

func (s *session) ticketShow(ctx context.Context, c *TicketShow) error {
	payload := &operations.TicketsPayload{Scope: optional(c.scope)}
	tickets, err := invoke[[]*operations.Ticket](ctx, s, s.operations().Tickets(), payload)
	if err != nil {
		return err
	}
	if s.json {
		return s.printBody()
	}
	return s.printTable("SCOPE\tNUMBER\tOPERATOR\tIN FORCE SINCE\tSTATE", func(row row) error {
		for _, t := range tickets {
			row("%s\t%d\t%s\t%s\t%s", t.Scope, t.Number, t.Operator, formatTime(t.InForceMs), describeState(t))
		}
		return nil
	})
}

// describeState describes the state of the scope of a ticket in one line.
func describeState(t *operations.Ticket) string {
	switch {
	case t.Deployment != nil:
		d := t.Deployment
		text := fmt.Sprintf("%s %s on %s, at least %d runners", d.Model, d.Version, d.Service, valueOrZero(d.MinRunners))
		if len(d.Adapters) > 0 {
			text += ", adapters " + strings.Join(d.Adapters, " ")
		}
		return text
	case t.Service != nil:
		v := t.Service
		return fmt.Sprintf("timeout %s, non-idempotent: %s", cs.Span(valueOrZero(v.TimeoutMs)), strings.Join(v.NonIdempotent, " "))
	case t.Tenant != nil:
		return fmt.Sprintf("at most %d online, weight %g", valueOrZero(t.Tenant.MaxOnline), valueOrZero(t.Tenant.Weight))
	}
	return "-"
}
