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

// TicketShow shows the tickets in force.
type TicketShow struct{ scope string }

func (*TicketSubmit) isCommand()            {}
func (*TicketSubmit) declare(*flag.FlagSet) {}
func (c *TicketSubmit) operands(a []string) { c.file = a[0] }

func (*TicketShow) isCommand()            {}
func (*TicketShow) declare(*flag.FlagSet) {}

func (c *TicketShow) operands(args []string) {
	if len(args) > 0 {
		c.scope = args[0]
	}
}

func (s *session) ticketSubmit(ctx context.Context, c *TicketSubmit) error {
	data, err := os.ReadFile(c.file)
	if err != nil {
		return misuse("", "%v", err)
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
	_, err = fmt.Fprintf(s.Out, "ticket %d is in force for %s since %s\n", t.Number, t.Scope, instant(t.InForceMs))
	return err
}

// ParseTicket reads a ticket from JSON and checks it; its error is a Misuse.
func ParseTicket(data []byte) (*operations.FilePayload, error) {
	var body operationshttp.FileRequestBody
	if err := decodeStrict(data, &body); err != nil {
		return nil, misuse("", "is not a ticket: %v", err)
	}
	payload, err := operationshttp.BuildFilePayload(string(data))
	if err != nil {
		return nil, misuse("", "%v", err)
	}
	state, err := stateOf(payload)
	if err != nil {
		return nil, err
	}
	t := cs.Ticket{Number: cs.TicketNumber(payload.Number), Operator: payload.Operator, State: state}
	if r := t.Validate(); r != nil {
		return nil, Misuse{Field: r.Field, Message: r.Message}
	}
	return payload, nil
}

// stateOf returns the state of the one scope that a ticket has.
func stateOf(p *operations.FilePayload) (cs.ScopeState, error) {
	var states []cs.ScopeState
	if d := p.Deployment; d != nil {
		states = append(states, cs.Deployment{
			Name: d.Name, Service: cs.ServiceID(d.Service), Model: cs.ModelID(d.Model),
			Version: cs.VersionID(d.Version), MinRunners: valueOf(d.MinRunners),
		})
	}
	if v := p.Service; v != nil {
		states = append(states, cs.Service{
			Name: cs.ServiceID(v.Name), NonIdempotent: v.NonIdempotent, Timeout: cs.Span(valueOf(v.TimeoutMs)),
		})
	}
	if l := p.Tenant; l != nil {
		states = append(states, cs.TenantLimits{
			Tenant: cs.TenantID(l.Tenant), MaxOnline: cs.Slots(valueOf(l.MaxOnline)), Weight: cs.Ratio(valueOf(l.Weight)),
		})
	}
	if len(states) != 1 {
		return nil, misuse("", `has %d scopes; should have exactly one of "deployment", "service" and "tenant"`, len(states))
	}
	return states[0], nil
}

func valueOf[T any](p *T) T {
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
			row("%s\t%d\t%s\t%s\t%s", t.Scope, t.Number, t.Operator, instant(t.InForceMs), describeState(t))
		}
		return nil
	})
}

// describeState returns the state of a ticket's scope on one line.
func describeState(t *operations.Ticket) string {
	switch {
	case t.Deployment != nil:
		d := t.Deployment
		text := fmt.Sprintf("%s %s on %s, at least %d runners", d.Model, d.Version, d.Service, valueOf(d.MinRunners))
		if len(d.Adapters) > 0 {
			text += ", adapters " + strings.Join(d.Adapters, " ")
		}
		return text
	case t.Service != nil:
		v := t.Service
		return fmt.Sprintf("timeout %s, non-idempotent: %s", cs.Span(valueOf(v.TimeoutMs)), strings.Join(v.NonIdempotent, " "))
	case t.Tenant != nil:
		return fmt.Sprintf("at most %d online, weight %g", valueOf(t.Tenant.MaxOnline), valueOf(t.Tenant.Weight))
	}
	return "-"
}
