package api

import (
	"context"
	"io"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gen/inference"
)

// newGenerationRequest returns the request for a payload of Ask or Answer; a missing version becomes
// the one in force.
func (s *Server) newGenerationRequest(p *inference.Ask2) (cs.Request, error) {
	g := cs.Generation{
		Model: cs.ModelID(p.Model), Adapter: cs.AdapterID(deref(p.Adapter)),
		Version: cs.VersionID(deref(p.Version)), Prompt: p.Prompt, MaxTokens: cs.Tokens(p.MaxTokens),
	}
	if g.Version == "" {
		g.Version = s.versionInForce(g.Model)
	}
	return s.newRequest(requestAttrs{p.Tenant, p.Class, p.DeadlineMs, p.IdempotencyKey, p.NonIdempotent}, g)
}

// Ask runs a generation and streams the response as server-sent events.
func (s *Server) Ask(ctx context.Context, p *inference.Ask2) (*inference.AskResult, io.ReadCloser, error) {
	req, err := s.newGenerationRequest(p)
	if err != nil {
		return nil, nil, inferenceError(err)
	}
	body, err := s.cfg.Relay.Stream(ctx, req)
	if err != nil {
		return nil, nil, inferenceError(err)
	}
	return &inference.AskResult{ContentType: "text/event-stream", RequestID: string(req.ID)}, body, nil
}

// Answer runs a generation and returns the complete response.
func (s *Server) Answer(ctx context.Context, p *inference.Ask2) (*inference.AnswerResult, error) {
	req, err := s.newGenerationRequest(p)
	if err != nil {
		return nil, inferenceError(err)
	}
	answer, err := s.cfg.Relay.Answer(ctx, req)
	if err != nil {
		return nil, inferenceError(err)
	}
	return &inference.AnswerResult{
		ID: string(req.ID), Text: answer.Text, Tokens: int32(answer.Tokens),
		FirstTokenMs: int64(answer.FirstToken), TookMs: int64(answer.Took),
	}, nil
}
