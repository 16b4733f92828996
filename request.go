package crocusstile

// Request is one online request of a tenant.
type Request struct {
	ID            RequestID
	Tenant        TenantID
	Class         Class
	Target        Target
	Deadline      Instant
	Key           IdempotencyKey // empty: duplicates are not detected
	NonIdempotent bool
	Hash          ContentHash
}

// Target is the operation that a request asks for: a Generation or a ServiceCall.
type Target interface{ isTarget() }

// Generation asks a model engine to generate text from a prompt.
type Generation struct {
	Model     ModelID   `cbor:"m" json:"model"`
	Adapter   AdapterID `cbor:"a,omitempty" json:"adapter,omitempty"`
	Version   VersionID `cbor:"v,omitempty" json:"version,omitempty"`
	Prompt    string    `cbor:"p" json:"prompt"`
	MaxTokens Tokens    `cbor:"n" json:"maxTokens"`
}

// ServiceCall calls a method of a plain service, which returns a single response.
type ServiceCall struct {
	Service ServiceID `cbor:"s" json:"service"`
	Method  string    `cbor:"m" json:"method"`
	Body    []byte    `cbor:"b" json:"body"`
}

func (Generation) isTarget()  {}
func (ServiceCall) isTarget() {}

// HashTarget returns the content hash of a target, which covers neither the sender nor MaxTokens.
func HashTarget(t Target) ContentHash {
	switch t := t.(type) {
	case Generation:
		return HashContent(string(t.Model)+"/"+string(t.Adapter)+"/"+string(t.Version), t.Prompt)
	case ServiceCall:
		return HashContent(string(t.Service)+"/"+t.Method, string(t.Body))
	}
	return 0
}

// Load is the utilisation of a runner, as given in its responses and load reports.
type Load struct {
	Running Slots `json:"running"`
	Waiting Slots `json:"waiting"`
	Slots   Slots `json:"slots"`
}

// RequestSize is what a request states about its size; a number that it does not state is 0.
type RequestSize struct {
	// Prompt is the number of prompt tokens, Maximum that of the tokens that may be generated, and Hint that expected by the
	// caller.
	Prompt, Maximum, Hint Tokens
	// Parts are the sizes of the shareable parts of the prompt, in order.
	Parts []Tokens
}

// Tokens returns the largest number of tokens that a runner holds for the request.
func (s RequestSize) Tokens() Tokens { return s.Prompt + s.Maximum }
