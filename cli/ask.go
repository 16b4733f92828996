package cli

import (
	"context"
	"flag"
	"io"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/crocusstile/crocusstile/gen/inference"
)

// Ask asks a model for a streamed answer.
type Ask struct {
	caller
	model, adapter, version string
	maxTokens               int
	prompt                  string
}

func (*Ask) isCommand() {}

func (a *Ask) declare(fs *flag.FlagSet) {
	a.caller.declare(fs)
	fs.StringVar(&a.model, "model", "", "`model` (required)")
	fs.StringVar(&a.adapter, "adapter", "", "`adapter` of the model")
	fs.StringVar(&a.version, "version", "", "`version` of the model; by default the one in force")
	fs.IntVar(&a.maxTokens, "max-tokens", 64, "`number` of tokens to generate at most")
}

func (a *Ask) operands(args []string) { a.prompt = args[0] }

// caller holds the flags of online requests.
type caller struct {
	tenant, class, key string
	nonIdempotent      bool
}

func (c *caller) declare(fs *flag.FlagSet) {
	fs.StringVar(&c.tenant, "tenant", "", "`tenant` that asks (required)")
	fs.StringVar(&c.class, "class", "online", "`class` under which it is measured: online or batch")
	fs.StringVar(&c.key, "key", "", "idempotency `key`; a resend with the same key joins the first request")
	fs.BoolVar(&c.nonIdempotent, "non-idempotent", false, "it must not run more than once")
}

func (s *session) ask(ctx context.Context, a *Ask) error {
	payload, err := s.askPayload(a)
	if err != nil {
		return err
	}
	// The time limit covers the stream as well, so it is set here and not by invoke.
	ctx, cancel := context.WithTimeout(ctx, (s.timeout + grace).Std())
	defer cancel()
	v, err := s.inference().Ask()(ctx, payload)
	if err != nil {
		return s.exchange.failure(err)
	}
	resp, ok := v.(*inference.AskResponseData)
	if !ok {
		return Lost{errors.Newf("the answer has the type %T", v)}
	}
	defer func() { _ = resp.Body.Close() }()
	return s.printStream(resp.Body, resp.Result.RequestID)
}

func (s *session) askPayload(a *Ask) (*inference.Ask2, error) {
	if a.tenant == "" {
		return nil, misuse("-tenant", "is missing; should name the tenant")
	}
	if a.model == "" {
		return nil, misuse("-model", "is missing; should name the model")
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

// printStream prints the text as it comes; with -json, one object once it is whole.
func (s *session) printStream(body io.Reader, id string) error {
	if !s.json {
		_, err := readAnswer(body, id, func(text string) error {
			_, err := io.WriteString(s.Out, text)
			return err
		})
		note(s.Out, "\n")
		return err
	}
	var whole strings.Builder
	n, err := readAnswer(body, id, func(text string) error {
		_, err := whole.WriteString(text)
		return err
	})
	if err != nil {
		return err
	}
	return s.printJSON(struct {
		ID     string `json:"id"`
		Text   string `json:"text"`
		Tokens int32  `json:"tokens"`
	}{id, whole.String(), int32(n)})
}

// text returns an operand, or standard input if the operand is "-".
func (s *session) text(operand string) (string, error) {
	if operand != "-" {
		return operand, nil
	}
	data, err := io.ReadAll(s.In)
	if err != nil {
		return "", misuse("", "cannot read standard input: %v", err)
	}
	return string(data), nil
}

// optional returns nil for an empty string, as optional fields of requests have it.
func optional(s string) *string {
	if s == "" {
		return nil
	}
	return &s
}
