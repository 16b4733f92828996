package crocusstile

import (
	"slices"
	"strings"
)

// Ticket is one approved configuration change, with the complete new state of its scope.
type Ticket struct {
	Number   TicketNumber `cbor:"n" json:"number"`
	Operator string       `cbor:"o" json:"operator"`
	State    ScopeState   `cbor:"s" json:"state"`
}

// ScopeState is the complete state of a scope: a Deployment, a Service or a TenantLimits.
type ScopeState interface {
	// Scope returns the scope to which the state belongs.
	Scope() Scope
	isScopeState()
}

// Deployment defines which version and adapters of a model are served, and by which runners.
type Deployment struct {
	Name     string      `cbor:"n" json:"name"`
	Service  ServiceID   `cbor:"s" json:"service"` // the group of runners that serves the model
	Model    ModelID     `cbor:"m" json:"model"`
	Version  VersionID   `cbor:"v" json:"version"`
	Adapters []AdapterID `cbor:"a" json:"adapters"`
	// MinRunners is the number of runners that keep the model loaded even without demand.
	MinRunners int `cbor:"r" json:"minRunners"`
}

// Service defines how calls to a plain service are handled.
type Service struct {
	Name ServiceID `cbor:"n" json:"name"`
	// NonIdempotent lists the methods whose calls must not be retried.
	NonIdempotent []string `cbor:"x" json:"nonIdempotent"`
	Timeout       Span     `cbor:"t" json:"timeout"`
}

// TenantLimits limits the resources that one tenant may use.
type TenantLimits struct {
	Tenant TenantID `cbor:"n" json:"tenant"`
	// MaxOnline limits the tenant's concurrent online requests on each VM; 0 means no limit.
	MaxOnline Slots `cbor:"o" json:"maxOnline"`
	// Weight is the tenant's weight in fair queueing against other tenants; 0 means 1.
	Weight Ratio `cbor:"w" json:"weight"`
}

// Scope returns "deployment/" followed by the deployment's name.
func (d Deployment) Scope() Scope { return Scope("deployment/" + d.Name) }

// Scope returns "service/" followed by the service's name.
func (s Service) Scope() Scope { return Scope("service/" + string(s.Name)) }

// Scope returns "tenant/" followed by the tenant's id.
func (l TenantLimits) Scope() Scope { return Scope("tenant/" + string(l.Tenant)) }

func (Deployment) isScopeState()   {}
func (Service) isScopeState()      {}
func (TenantLimits) isScopeState() {}

// Validate returns a refusal that names the first invalid field, or nil.
func (t Ticket) Validate() *Refusal {
	if t.Number <= 0 {
		return Invalid("number", "a ticket needs a number above 0")
	}
	if t.Operator == "" {
		return Invalid("operator", "a ticket needs the name of its operator")
	}
	if t.State == nil {
		return Invalid("state", "a ticket carries the whole new state of its scope")
	}
	switch s := t.State.(type) {
	case Deployment:
		return s.validate()
	case Service:
		return s.validate()
	case TenantLimits:
		return s.validate()
	}
	return nil
}

func (d Deployment) validate() *Refusal {
	switch {
	case !validName(d.Name):
		return Invalid("deployment.name", "a name has 1 to 64 letters, digits, '.', '_' or '-'")
	case d.Service == "":
		return Invalid("deployment.service", "names the group of runners")
	case d.Model == "":
		return Invalid("deployment.model", "names the model")
	case d.Version == "":
		return Invalid("deployment.version", "names the version")
	case d.MinRunners < 0:
		return Invalid("deployment.minRunners", "must not be negative")
	}
	return nil
}

func (s Service) validate() *Refusal {
	switch {
	case !validName(string(s.Name)):
		return Invalid("service.name", "a name has 1 to 64 letters, digits, '.', '_' or '-'")
	case s.Timeout < 0:
		return Invalid("service.timeout", "must not be negative")
	case slices.Contains(s.NonIdempotent, ""):
		return Invalid("service.nonIdempotent", "a method has a name")
	}
	return nil
}

func (l TenantLimits) validate() *Refusal {
	switch {
	case !validName(string(l.Tenant)):
		return Invalid("tenant.tenant", "a name has 1 to 64 letters, digits, '.', '_' or '-'")
	case l.MaxOnline < 0:
		return Invalid("tenant.maxOnline", "must not be negative")
	case l.Weight < 0:
		return Invalid("tenant.weight", "must not be negative")
	}
	return nil
}

func validName(s string) bool {
	allowed := func(r rune) bool {
		return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("._-", r)
	}
	return s != "" && len(s) <= 64 && !strings.ContainsFunc(s, func(r rune) bool { return !allowed(r) })
}
