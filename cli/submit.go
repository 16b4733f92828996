package cli

import (
	"context"
	"flag"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gen/jobs"
)

// JobSubmit submits a batch job and, with -wait, waits until it has ended.
type JobSubmit struct {
	tenant, key  string
	dueIn        cs.Span
	defaults     itemDefaults
	wait         bool
	pollInterval cs.Span
	file         string
}

func (*JobSubmit) isCommand() {}

func (c *JobSubmit) defineFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.tenant, "tenant", "", "`tenant` of the job (required)")
	fs.StringVar(&c.key, "key", "",
		"idempotency `key` of the job; by default a hash of tenant and items, so that sending the same items again joins the job")
	fs.TextVar(&c.dueIn, "due", cs.Span(0), "`time` from now until the job is due; 0s leaves it to the VM")
	fs.StringVar(&c.defaults.model, "model", "", "`model` of items that do not name one")
	fs.IntVar(&c.defaults.maxTokens, "max-tokens", 64, "`number` of tokens to generate at most for items that do not set maxTokens")
	fs.BoolVar(&c.wait, "wait", false, "wait until the job has ended and show its progress")
	fs.TextVar(&c.pollInterval, "poll", cs.Second, "`time` between two polls of the job's state")
}

func (c *JobSubmit) operands(args []string) { c.file = args[0] }

func (s *session) jobSubmit(ctx context.Context, c *JobSubmit) error {
	if c.tenant == "" {
		return usageErrorf("-tenant", "is missing; should name the tenant")
	}
	items, err := s.readItems(c.file, c.defaults)
	if err != nil {
		return err
	}
	if c.key == "" {
		if c.key, err = deriveJobKey(c.tenant, items); err != nil {
			return err
		}
	}
	// The key is printed before the request is sent: if no response comes, the user can submit the
	// job again under this key without starting a second one.
	writef(s.Err, "job key: %s\n", c.key)
	job, err := invoke[*jobs.Job](ctx, s, s.jobs().Submit(), c.payload(items))
	if err != nil {
		return err
	}
	if c.wait {
		return s.waitJob(ctx, job, c.pollInterval)
	}
	return s.printJob(job)
}

func (c *JobSubmit) payload(items []*jobs.Item) *jobs.SubmitPayload {
	p := &jobs.SubmitPayload{Tenant: c.tenant, Key: c.key, Items: items}
	if c.dueIn > 0 {
		ms := int64(c.dueIn)
		p.DueMs = &ms
	}
	return p
}
