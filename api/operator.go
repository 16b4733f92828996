package api

import (
	"context"
	"slices"
	"strconv"
	"strings"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/gen/operations"
)

// operator implements the goa service for operators.
type operator struct{ *Server }

// File submits a ticket and returns once it is in force on this VM.
func (o operator) File(ctx context.Context, p *operations.FilePayload) (*operations.Ticket, error) {
	ticket, err := toTicket(p)
	if err != nil {
		return nil, operationsError(err)
	}
	if err := o.cfg.Relay.File(ctx, ticket); err != nil {
		return nil, operationsError(err)
	}
	for _, t := range o.cfg.View().Tickets {
		if t.Ticket.Number == ticket.Number {
			return fromTicket(t), nil
		}
	}
	return fromTicket(fleet.Ticket{LoggedTicket: cs.LoggedTicket{Ticket: ticket}, InForce: o.cfg.Clock.Now()}), nil
}

// Tickets lists the tickets in force, optionally those of one scope, ordered by scope.
func (o operator) Tickets(_ context.Context, p *operations.TicketsPayload) ([]*operations.Ticket, error) {
	list := []*operations.Ticket{}
	for _, t := range o.cfg.View().Tickets {
		if p.Scope == nil || string(t.Ticket.State.Scope()) == *p.Scope {
			list = append(list, fromTicket(t))
		}
	}
	slices.SortFunc(list, func(a, b *operations.Ticket) int { return strings.Compare(a.Scope, b.Scope) })
	return list, nil
}

// Vms lists the VMs known to this one, ordered by id.
func (o operator) Vms(context.Context) ([]*operations.VM, error) {
	v, list := o.cfg.View(), []*operations.VM{}
	for _, vm := range v.VMs {
		list = append(list, &operations.VM{
			ID: string(vm.ID), Incarnation: strconv.FormatUint(uint64(vm.Incarnation), 16),
			DataCentre: string(vm.DataCentre), Address: string(vm.Address), Leaving: vm.Leaving,
			Live: vm.Live, Linked: vm.Linked, Self: vm.ID == v.Self.ID,
		})
	}
	slices.SortFunc(list, func(a, b *operations.VM) int { return strings.Compare(a.ID, b.ID) })
	return list, nil
}

// Runners lists the runners known to this VM, ordered by id.
func (o operator) Runners(context.Context) ([]*operations.Runner, error) {
	list := []*operations.Runner{}
	for _, runner := range o.cfg.View().Runners {
		r := &operations.Runner{
			ID: string(runner.ID), Kind: runner.Kind.String(), Service: string(runner.Service), DataCentre: string(runner.DataCentre),
			Address: string(runner.Address), Leaving: runner.Leaving, Down: runner.Down, Ejected: runner.Ejected,
			Slots: int32(runner.Slots), Running: int32(runner.Report.Running), Online: int32(runner.Online),
			Batch: int32(runner.Batch), Sender: string(runner.Sender), BatchLimit: runner.BatchLimit, Loaded: []string{},
		}
		for _, m := range runner.Report.Loaded {
			r.Loaded = append(r.Loaded, string(m.Model)+"/"+string(m.Version))
		}
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *operations.Runner) int { return strings.Compare(a.ID, b.ID) })
	return list, nil
}

// Drain starts to drain this VM and returns at once.
func (o operator) Drain(ctx context.Context) (*operations.DrainResult, error) {
	if err := o.cfg.Drain(ctx); err != nil {
		return nil, operationsError(err)
	}
	return &operations.DrainResult{Phase: fleet.DrainWaiting.String()}, nil
}

// toTicket converts and validates a ticket, whose payload must contain exactly one state.
func toTicket(p *operations.FilePayload) (cs.Ticket, error) {
	t := cs.Ticket{Number: cs.TicketNumber(p.Number), Operator: p.Operator}
	states := 0
	if d := p.Deployment; d != nil {
		states++
		state := cs.Deployment{
			Name: d.Name, Service: cs.ServiceID(d.Service), Model: cs.ModelID(d.Model),
			Version: cs.VersionID(d.Version), MinRunners: deref(d.MinRunners),
		}
		for _, a := range d.Adapters {
			state.Adapters = append(state.Adapters, cs.AdapterID(a))
		}
		t.State = state
	}
	if s := p.Service; s != nil {
		states++
		if ms := cs.Span(deref(s.TimeoutMs)); ms < 0 || ms > maxDeadline {
			return t, cs.Invalid("service.timeoutMs", "must be between 0 and %d", maxDeadline)
		}
		t.State = cs.Service{
			Name: cs.ServiceID(s.Name), NonIdempotent: s.NonIdempotent, Timeout: cs.Span(deref(s.TimeoutMs)),
		}
	}
	if l := p.Tenant; l != nil {
		states++
		t.State = cs.TenantLimits{
			Tenant: cs.TenantID(l.Tenant), MaxOnline: cs.Slots(deref(l.MaxOnline)), Weight: cs.Ratio(deref(l.Weight)),
		}
	}
	if states != 1 {
		return t, cs.Invalid("deployment", "a ticket carries exactly one of deployment, service and tenant, not %d", states)
	}
	if refusal := t.Validate(); refusal != nil {
		return t, refusal
	}
	return t, nil
}

// fromTicket converts a ticket in force to its API representation.
func fromTicket(t fleet.Ticket) *operations.Ticket {
	r := &operations.Ticket{
		Number: int64(t.Ticket.Number), Operator: t.Ticket.Operator,
		Scope: string(t.Ticket.State.Scope()), InForceMs: int64(t.InForce),
	}
	switch s := t.Ticket.State.(type) {
	case cs.Deployment:
		d := &operations.Deployment{
			Name: s.Name, Service: string(s.Service), Model: string(s.Model), Version: string(s.Version),
			MinRunners: &s.MinRunners,
		}
		for _, a := range s.Adapters {
			d.Adapters = append(d.Adapters, string(a))
		}
		r.Deployment = d
	case cs.Service:
		timeout := int64(s.Timeout)
		r.Service = &operations.ServiceState{Name: string(s.Name), NonIdempotent: s.NonIdempotent, TimeoutMs: &timeout}
	case cs.TenantLimits:
		online, weight := int32(s.MaxOnline), float64(s.Weight)
		r.Tenant = &operations.TenantLimits{Tenant: string(s.Tenant), MaxOnline: &online, Weight: &weight}
	}
	return r
}
