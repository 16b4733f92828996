package cli

import (
	"context"
	"flag"
	"fmt"
	"time"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gen/jobs"
)

// JobStatus shows the state and the item counts of a job.
type JobStatus struct{ jobRef }

// JobCancel cancels the items of a job that have not ended.
type JobCancel struct{ jobRef }

// JobList lists the jobs whose shards the VM owns.
type JobList struct{}

func (*JobStatus) isCommand()              {}
func (*JobCancel) isCommand()              {}
func (*JobList) isCommand()                {}
func (*JobList) defineFlags(*flag.FlagSet) {}
func (*JobList) operands([]string)         {}

// jobRef identifies a job by its id, or by its tenant and idempotency key.
type jobRef struct {
	tenant, key string
	id          string
}

func (r *jobRef) defineFlags(fs *flag.FlagSet) {
	fs.StringVar(&r.tenant, "tenant", "", "`tenant` of the job (required)")
	fs.StringVar(&r.key, "key", "", "idempotency `key` of the job, instead of its id")
}

func (r *jobRef) operands(args []string) {
	if len(args) > 0 {
		r.id = args[0]
	}
}

// resolveID checks the flags and computes the id from tenant and key if only the key is given.
func (r *jobRef) resolveID() error {
	switch {
	case r.tenant == "":
		return usageErrorf("-tenant", "is missing; should name the tenant of the job")
	case (r.id == "") == (r.key == ""):
		return usageErrorf("JOB", "should be either the job's id or -key")
	case r.id == "":
		r.id = string(cs.NewJobID(cs.TenantID(r.tenant), cs.IdempotencyKey(r.key)))
	}
	return nil
}

func (s *session) jobStatus(ctx context.Context, c *JobStatus) error {
	if err := c.resolveID(); err != nil {
		return err
	}
	job, err := s.fetchJob(ctx, c.tenant, c.id)
	if err != nil {
		return err
	}
	return s.printJob(job)
}

// fetchJob requests the state of a job.
func (s *session) fetchJob(ctx context.Context, tenant, id string) (*jobs.Job, error) {
	return invoke[*jobs.Job](ctx, s, s.jobs().Status(), &jobs.StatusPayload{Tenant: tenant, ID: id})
}

func (s *session) jobCancel(ctx context.Context, c *JobCancel) error {
	if err := c.resolveID(); err != nil {
		return err
	}
	job, err := invoke[*jobs.Job](ctx, s, s.jobs().Cancel(), &jobs.CancelPayload{Tenant: c.tenant, ID: c.id})
	if err != nil {
		return err
	}
	return s.printJob(job)
}

func (s *session) jobList(ctx context.Context) error {
	list, err := invoke[[]*jobs.Job](ctx, s, s.jobs().List(), nil)
	if err != nil {
		return err
	}
	if s.json {
		return s.printBody()
	}
	header := "JOB\tTENANT\tKEY\tSTATE\tDUE\tITEMS\tDONE\tFAILED\tCANCELLED\tUNKNOWN"
	return s.printTable(header, func(row row) error {
		for _, j := range list {
			row("%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d", j.ID, j.Tenant, j.Key, j.State, formatTime(j.DueMs),
				j.Count, j.Done, j.Failed, j.Cancelled, j.Unknown)
		}
		return nil
	})
}

// printJob prints a job, one field per line.
func (s *session) printJob(j *jobs.Job) error {
	if s.json {
		return s.printBody()
	}
	return s.printTable("JOB\t"+j.ID, func(row row) error {
		row("TENANT\t%s", j.Tenant)
		row("KEY\t%s", j.Key)
		row("STATE\t%s%s", j.State, joinedSuffix(j))
		row("DUE\t%s", formatTime(j.DueMs))
		row("ITEMS\t%d", j.Count)
		row("WAITING\t%d", j.Waiting)
		row("RUNNING\t%d", j.Running)
		row("DONE\t%d", j.Done)
		row("FAILED\t%d", j.Failed)
		row("CANCELLED\t%d", j.Cancelled)
		row("UNKNOWN\t%d", j.Unknown)
		row("NOT YET DURABLE\t%d", j.Undurable)
		return nil
	})
}

// joinedSuffix marks a job that an earlier submission with the same key had started.
func joinedSuffix(j *jobs.Job) string {
	if j.Joined {
		return " (submitted before)"
	}
	return ""
}

// formatTime formats a Unix time in milliseconds as RFC 3339 in UTC; 0 means that no time is set.
func formatTime(ms int64) string {
	if ms == 0 {
		return "-"
	}
	return time.UnixMilli(ms).UTC().Format(time.RFC3339)
}

// jobEnded reports whether no item of the job is waiting or running.
func jobEnded(j *jobs.Job) bool {
	return j.State == cs.JobFinished.String() || j.State == cs.JobCancelled.String()
}

// progressLine describes the progress of a job in one line.
func progressLine(j *jobs.Job) string {
	return fmt.Sprintf("%s: %d of %d items ended, %d running, %d failed, %d unknown",
		j.State, j.Done+j.Failed+j.Cancelled+j.Unknown, j.Count, j.Running, j.Failed, j.Unknown)
}
