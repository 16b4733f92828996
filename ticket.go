package crocusstile

import (
	"slices"
	"strings"
)

// Ticket is one approved change: the whole new state of its scope.
type Ticket struct {
	Number   TicketNumber `cbor:"n" json:"number"`
	Operator string       `cbor:"o" json:"operator"`
	State    ScopeState   `cbor:"s" json:"state"`
}

// ScopeState is the whole state of a scope: a Deployment, a Service or a TenantLimits.
type ScopeState interface {
	// Scope returns the scope that the state belongs to.
	Scope() Scope
	isScopeState()
}

// Deployment says which version and adapters of a model serve, and where.
type Deployment struct {
	Name     string      `cbor:"n" json:"name"`
	Service  ServiceID   `cbor:"s" json:"service"` // the group of runners
	Model    ModelID     `cbor:"m" json:"model"`
	Version  VersionID   `cbor:"v" json:"version"`
	Adapters []AdapterID `cbor:"a" json:"adapters"`
	// MinRunners is the number of runners that hold the model even without demand.
	MinRunners int `cbor:"r" json:"minRunners"`
}

// Service says how the calls of a plain service are treated.
type Service struct {
	Name ServiceID `cbor:"n" json:"name"`
	// NonIdempotent lists the methods whose calls must not be repeated.
	NonIdempotent []string `cbor:"x" json:"nonIdempotent"`
	Timeout       Span     `cbor:"t" json:"timeout"`
}

// TenantLimits bounds what one tenant may use.
type TenantLimits struct {
	Tenant TenantID `cbor:"n" json:"tenant"`
	// MaxOnline bounds the online requests of the tenant at once on each VM; 0 means no bound.
	MaxOnline Slots `cbor:"o" json:"maxOnline"`
	// Weight is the share of the tenant against others when both wait; 0 means 1.
	Weight Ratio `cbor:"w" json:"weight"`
}

// Scope returns "deployment/" and the name.
func (d Deployment) Scope() Scope { return Scope("deployment/" + d.Name) }

// Scope returns "service/" and the name.
func (s Service) Scope() Scope { return Scope("service/" + string(s.Name)) }

// Scope returns "tenant/" and the name.
func (l TenantLimits) Scope() Scope { return Scope("tenant/" + string(l.Tenant)) }

func (Deployment) isScopeState()   {}
func (Service) isScopeState()      {}
func (TenantLimits) isScopeState() {}

// Validate returns the first field that is wrong, or nil.
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
	ok := func(r rune) bool {
		return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("._-", r)
	}
	return s != "" && len(s) <= 64 && !strings.ContainsFunc(s, func(r rune) bool { return !ok(r) })
}
