package crocusstile

// Request is one online call by a tenant.
type Request struct {
	ID            RequestID
	Tenant        TenantID
	Class         Class
	Target        Target
	Deadline      Instant
	Key           IdempotencyKey // empty: resends are not recognised
	NonIdempotent bool
	Hash          ContentHash
}

// Target is what a request asks for: a Generation or a ServiceCall.
type Target interface{ isTarget() }

// Generation asks a model engine for text.
type Generation struct {
	Model     ModelID   `cbor:"m" json:"model"`
	Adapter   AdapterID `cbor:"a,omitempty" json:"adapter,omitempty"`
	Version   VersionID `cbor:"v,omitempty" json:"version,omitempty"`
	Prompt    string    `cbor:"p" json:"prompt"`
	MaxTokens Tokens    `cbor:"n" json:"maxTokens"`
}

// ServiceCall asks a plain service for one answer.
type ServiceCall struct {
	Service ServiceID `cbor:"s" json:"service"`
	Method  string    `cbor:"m" json:"method"`
	Body    []byte    `cbor:"b" json:"body"`
}

func (Generation) isTarget()  {}
func (ServiceCall) isTarget() {}

// HashTarget returns the content hash of a target.
func HashTarget(t Target) ContentHash {
	switch t := t.(type) {
	case Generation:
		return HashContent(string(t.Model)+"/"+string(t.Adapter)+"/"+string(t.Version), t.Prompt)
	case ServiceCall:
		return HashContent(string(t.Service)+"/"+t.Method, string(t.Body))
	}
	return 0
}

// Load is what an answer or a report tells about its runner.
type Load struct {
	Running Slots `json:"running"`
	Waiting Slots `json:"waiting"`
	Slots   Slots `json:"slots"`
}
