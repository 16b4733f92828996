package cli

import (
	"context"
	"flag"
	"io"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/crocusstile/crocusstile/gen/inference"
)

// Ask sends a prompt to a model and prints the response as it is streamed.
type Ask struct {
	requestFlags
	model, adapter, version string
	maxTokens               int
	prompt                  string
}

func (*Ask) isCommand() {}

func (a *Ask) defineFlags(fs *flag.FlagSet) {
	a.requestFlags.defineFlags(fs)
	fs.StringVar(&a.model, "model", "", "`model` (required)")
	fs.StringVar(&a.adapter, "adapter", "", "`adapter` of the model")
	fs.StringVar(&a.version, "version", "", "`version` of the model; by default that of the deployment in force")
	fs.IntVar(&a.maxTokens, "max-tokens", 64, "`number` of tokens to generate at most")
}

func (a *Ask) operands(args []string) { a.prompt = args[0] }

// requestFlags holds the flags that the commands for online requests have in common.
type requestFlags struct {
	tenant, class, key string
	nonIdempotent      bool
}

func (f *requestFlags) defineFlags(fs *flag.FlagSet) {
	fs.StringVar(&f.tenant, "tenant", "", "`tenant` that sends the request (required)")
	fs.StringVar(&f.class, "class", "online", "`class` under which the request is measured: online or batch")
	fs.StringVar(&f.key, "key", "", "idempotency `key`; a resend with the same key gets the response of the first request")
	fs.BoolVar(&f.nonIdempotent, "non-idempotent", false, "the request must not run more than once")
}

func (s *session) ask(ctx context.Context, a *Ask) error {
	payload, err := s.askPayload(a)
	if err != nil {
		return err
	}
	// The timeout also covers reading the stream, so it is set here and not by invoke.
	ctx, cancel := context.WithTimeout(ctx, (s.timeout + responseGrace).Std())
	defer cancel()
	v, err := s.inference().Ask()(ctx, payload)
	if err != nil {
		return s.exchange.classifyError(err)
	}
	resp, ok := v.(*inference.AskResponseData)
	if !ok {
		return NoResponse{errors.Newf("unexpected response type %T", v)}
	}
	defer func() { _ = resp.Body.Close() }()
	return s.printStream(resp.Body, resp.Result.RequestID)
}

// askPayload checks the flags and builds the request.
func (s *session) askPayload(a *Ask) (*inference.Ask2, error) {
	if a.tenant == "" {
		return nil, usageErrorf("-tenant", "is missing; should name the tenant")
	}
	if a.model == "" {
		return nil, usageErrorf("-model", "is missing; should name the model")
	}
	prompt, err := s.text(a.prompt)
	if err != nil {
		return nil, err
	}
	return &inference.Ask2{
		Tenant: a.tenant, Class: optional(a.class), DeadlineMs: s.deadlineMs(),
		IdempotencyKey: optional(a.key), NonIdempotent: a.nonIdempotent,
		Model: a.model, Adapter: optional(a.adapter), Version: optional(a.version),
		Prompt: prompt, MaxTokens: int32(a.maxTokens),
	}, nil
}

// printStream prints the text as it arrives. With -json it prints one object, and only if the
// response is complete.
func (s *session) printStream(body io.Reader, id string) error {
	if !s.json {
		_, err := readStream(body, id, func(text string) error {
			_, err := io.WriteString(s.Out, text)
			return err
		})
		writef(s.Out, "\n")
		return err
	}
	var complete strings.Builder
	n, err := readStream(body, id, func(text string) error {
		_, err := complete.WriteString(text)
		return err
	})
	if err != nil {
		return err
	}
	return s.printJSON(struct {
		ID     string `json:"id"`
		Text   string `json:"text"`
		Tokens int32  `json:"tokens"`
	}{id, complete.String(), int32(n)})
}

// text returns the operand itself, or the contents of standard input if the operand is "-".
func (s *session) text(operand string) (string, error) {
	if operand != "-" {
		return operand, nil
	}
	data, err := io.ReadAll(s.In)
	if err != nil {
		return "", usageErrorf("", "cannot read standard input: %v", err)
	}
	return string(data), nil
}

// optional returns nil for an empty string, which leaves the optional field out of the request.
func optional(s string) *string {
	if s == "" {
		return nil
	}
	return &s
}
