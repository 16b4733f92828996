package cli

import (
	"context"
	"flag"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gen/jobs"
)

// JobSubmit submits a job.
type JobSubmit struct {
	tenant, key string
	due         cs.Span
	defaults    itemDefaults
	wait        bool
	poll        cs.Span
	file        string
}

func (*JobSubmit) isCommand() {}

func (c *JobSubmit) declare(fs *flag.FlagSet) {
	fs.StringVar(&c.tenant, "tenant", "", "`tenant` of the job (required)")
	fs.StringVar(&c.key, "key", "",
		"`key` of the job; by default the hash of tenant and items, so that sending the same items again joins the job")
	fs.TextVar(&c.due, "due", cs.Span(0), "`time` from now until the job is due; 0s leaves it to the VM")
	fs.StringVar(&c.defaults.model, "model", "", "`model` of the items that name none")
	fs.IntVar(&c.defaults.maxTokens, "max-tokens", 64, "`number` of tokens of the items that give none")
	fs.BoolVar(&c.wait, "wait", false, "wait until the job has ended and show its progress")
	fs.TextVar(&c.poll, "poll", cs.Second, "`time` between two readings of the job's state")
}

func (c *JobSubmit) operands(args []string) { c.file = args[0] }

func (s *session) jobSubmit(ctx context.Context, c *JobSubmit) error {
	if c.tenant == "" {
		return misuse("-tenant", "is missing; should name the tenant")
	}
	items, err := s.readItems(c.file, c.defaults)
	if err != nil {
		return err
	}
	if c.key == "" {
		if c.key, err = keyOf(c.tenant, items); err != nil {
			return err
		}
	}
	// The key is printed first, so that a job whose acceptance is unknown can be sent again.
	note(s.Err, "job key: %s\n", c.key)
	job, err := invoke[*jobs.Job](ctx, s, s.jobs().Submit(), c.payload(items))
	if err != nil {
		return err
	}
	if c.wait {
		return s.waitJob(ctx, job, c.poll)
	}
	return s.printJob(job)
}

func (c *JobSubmit) payload(items []*jobs.Item) *jobs.SubmitPayload {
	p := &jobs.SubmitPayload{Tenant: c.tenant, Key: c.key, Items: items}
	if c.due > 0 {
		ms := int64(c.due)
		p.DueMs = &ms
	}
	return p
}
