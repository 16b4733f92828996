package api

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gen/jobs"
)

// defaultDue is the time from receipt until a job is due that does not specify it.
const defaultDue = 12 * cs.Hour

// batchJobs implements the goa service for batch jobs.
type batchJobs struct{ *Server }

// Submit submits a job and returns once it is durable in the job log.
func (b batchJobs) Submit(ctx context.Context, p *jobs.SubmitPayload) (*jobs.Job, error) {
	if len(p.Items) > b.cfg.MaxItems {
		return nil, jobsError(cs.Invalid("items", "%d items are more than the limit of %d", len(p.Items), b.cfg.MaxItems))
	}
	items, content, err := toItems(p.Items)
	if err != nil {
		return nil, jobsError(err)
	}
	now, due := b.cfg.Clock.Now(), defaultDue
	if p.DueMs != nil {
		due = cs.Span(*p.DueMs)
	}
	if due > maxDue {
		return nil, jobsError(cs.Invalid("dueMs", "must be at most %d", maxDue))
	}
	job := cs.Job{
		ID:     cs.NewJobID(cs.TenantID(p.Tenant), cs.IdempotencyKey(p.Key)),
		Tenant: cs.TenantID(p.Tenant), Key: cs.IdempotencyKey(p.Key), Content: content,
		Count: cs.ItemIndex(len(items)), Due: now.Add(due), Opened: now,
	}
	return b.queryJob(ctx, job.ID, cs.SubmitJob{Job: job, Items: items})
}

// Status returns the state of a job and the number of its items in each state.
func (b batchJobs) Status(ctx context.Context, p *jobs.StatusPayload) (*jobs.Job, error) {
	return b.queryJob(ctx, cs.JobID(p.ID), cs.GetJob{Job: cs.JobID(p.ID), Tenant: cs.TenantID(p.Tenant)})
}

// Cancel cancels a job and returns its state.
func (b batchJobs) Cancel(ctx context.Context, p *jobs.CancelPayload) (*jobs.Job, error) {
	return b.queryJob(ctx, cs.JobID(p.ID), cs.StopJob{Job: cs.JobID(p.ID), Tenant: cs.TenantID(p.Tenant)})
}

// queryJob sends a query about a job to the VM that owns its shard.
func (b batchJobs) queryJob(ctx context.Context, id cs.JobID, q cs.ShardQuery) (*jobs.Job, error) {
	reply, err := b.cfg.Relay.Query(ctx, cs.ShardOf(string(id), b.cfg.Shards), q, queryTimeout)
	if err != nil {
		return nil, jobsError(err)
	}
	j, ok := reply.(cs.JobReply)
	if !ok {
		return nil, jobsError(fmt.Errorf("the owner of the shard answered with %T", reply))
	}
	return toJob(j.Status, j.Deduplicated), nil
}

// Results returns one page of the results of ended items.
func (b batchJobs) Results(ctx context.Context, p *jobs.ResultsPayload) (*jobs.ResultsResult, error) {
	q := cs.GetResults{
		Job: cs.JobID(p.ID), Tenant: cs.TenantID(p.Tenant), From: cs.ItemIndex(p.After), Limit: int(p.Limit),
	}
	reply, err := b.cfg.Relay.Query(ctx, cs.ShardOf(p.ID, b.cfg.Shards), q, queryTimeout)
	if err != nil {
		return nil, jobsError(err)
	}
	r, ok := reply.(cs.ResultsReply)
	if !ok {
		return nil, jobsError(fmt.Errorf("the owner of the shard answered with %T", reply))
	}
	res := &jobs.ResultsResult{Results: []*jobs.ItemResult{}, Next: int32(r.Next), State: r.State.String()}
	for _, result := range r.Results {
		res.Results = append(res.Results, toResult(result))
	}
	return res, nil
}

// List returns the jobs in the shards that this VM owns.
func (b batchJobs) List(context.Context) ([]*jobs.Job, error) {
	list := []*jobs.Job{}
	for _, s := range b.cfg.View().Jobs {
		list = append(list, toJob(s, false))
	}
	return list, nil
}

func toJob(s cs.JobStatus, joined bool) *jobs.Job {
	return &jobs.Job{
		ID: string(s.Job.ID), Tenant: string(s.Job.Tenant), Key: string(s.Job.Key), State: s.State.String(),
		DueMs: int64(s.Job.Due), Count: int32(s.Job.Count), Waiting: int32(s.Waiting), Running: int32(s.Running),
		Done: int32(s.Done), Failed: int32(s.Failed), Cancelled: int32(s.Cancelled),
		Unknown: int32(s.Unknown), Undurable: int32(s.Undurable), Joined: joined,
	}
}

func toResult(result cs.ItemResult) *jobs.ItemResult {
	r := &jobs.ItemResult{Index: int32(result.Index), State: result.State.String(), Attempts: int32(result.Attempts)}
	if result.Output != "" {
		r.Output = &result.Output
	}
	if result.Error != "" {
		r.Error = &result.Error
	}
	return r
}

// toItems validates and converts the items of a job, and returns them with the hash of their content.
func toItems(in []*jobs.Item) ([]cs.Item, cs.ContentHash, error) {
	items := make([]cs.Item, len(in))
	var hash xxhash.Digest
	hash.Reset()
	for i, item := range in {
		if item == nil {
			return nil, 0, cs.Invalid(fmt.Sprintf("items[%d]", i), "must be an object")
		}
		target, field, problem := toTarget(item)
		if problem != "" {
			return nil, 0, cs.Invalid(fmt.Sprintf("items[%d].%s", i, field), "%s", problem)
		}
		items[i] = cs.Item{Target: target, NonIdempotent: item.NonIdempotent}
		_, _ = fmt.Fprintf(&hash, "%d %t %d\n", cs.HashTarget(target), item.NonIdempotent, item.MaxTokens)
	}
	return items, cs.ContentHash(hash.Sum64()), nil
}

// toTarget converts the target of an item, or returns the invalid field and the problem with it.
func toTarget(item *jobs.Item) (target cs.Target, field, problem string) {
	if item.Service != nil {
		switch {
		case *item.Service == "":
			return nil, "service", "must not be empty"
		case item.Model != nil || item.Prompt != nil:
			return nil, "service", "an item has either a service or a model"
		case deref(item.Method) == "":
			return nil, "method", "names the method of the service"
		}
		body, err := json.Marshal(item.Body)
		if err != nil {
			return nil, "body", err.Error()
		}
		return cs.ServiceCall{Service: cs.ServiceID(*item.Service), Method: *item.Method, Body: body}, "", ""
	}
	switch {
	case deref(item.Model) == "":
		return nil, "model", "an item names a model or a service"
	case deref(item.Prompt) == "":
		return nil, "prompt", "must not be empty"
	}
	return cs.Generation{
		Model: cs.ModelID(*item.Model), Adapter: cs.AdapterID(deref(item.Adapter)), Version: cs.VersionID(deref(item.Version)),
		Prompt: *item.Prompt, MaxTokens: cs.Tokens(item.MaxTokens),
	}, "", ""
}
