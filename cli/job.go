package cli

import (
	"context"
	"flag"
	"fmt"
	"time"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gen/jobs"
)

// JobStatus shows a job.
type JobStatus struct{ jobRef }

// JobCancel cancels a job.
type JobCancel struct{ jobRef }

// JobList lists the jobs whose shards the VM owns.
type JobList struct{}

func (*JobStatus) isCommand()          {}
func (*JobCancel) isCommand()          {}
func (*JobList) isCommand()            {}
func (*JobList) declare(*flag.FlagSet) {}
func (*JobList) operands([]string)     {}

// jobRef names a job by its id, or by its tenant and key.
type jobRef struct {
	tenant, key string
	id          string
}

func (r *jobRef) declare(fs *flag.FlagSet) {
	fs.StringVar(&r.tenant, "tenant", "", "`tenant` of the job (required)")
	fs.StringVar(&r.key, "key", "", "`key` of the job, in place of its id")
}

func (r *jobRef) operands(args []string) {
	if len(args) > 0 {
		r.id = args[0]
	}
}

// resolve fills in the id.
func (r *jobRef) resolve() error {
	switch {
	case r.tenant == "":
		return misuse("-tenant", "is missing; should name the tenant of the job")
	case (r.id == "") == (r.key == ""):
		return misuse("JOB", "should be either the job's id or -key")
	case r.id == "":
		r.id = string(cs.NewJobID(cs.TenantID(r.tenant), cs.IdempotencyKey(r.key)))
	}
	return nil
}

func (s *session) jobStatus(ctx context.Context, c *JobStatus) error {
	if err := c.resolve(); err != nil {
		return err
	}
	job, err := s.readJob(ctx, c.tenant, c.id)
	if err != nil {
		return err
	}
	return s.printJob(job)
}

// readJob asks for the state of a job.
func (s *session) readJob(ctx context.Context, tenant, id string) (*jobs.Job, error) {
	return invoke[*jobs.Job](ctx, s, s.jobs().Status(), &jobs.StatusPayload{Tenant: tenant, ID: id})
}

func (s *session) jobCancel(ctx context.Context, c *JobCancel) error {
	if err := c.resolve(); err != nil {
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
			row("%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d", j.ID, j.Tenant, j.Key, j.State, instant(j.DueMs),
				j.Count, j.Done, j.Failed, j.Cancelled, j.Unknown)
		}
		return nil
	})
}

// printJob prints a job, one field a line.
func (s *session) printJob(j *jobs.Job) error {
	if s.json {
		return s.printBody()
	}
	return s.printTable("JOB\t"+j.ID, func(row row) error {
		row("TENANT\t%s", j.Tenant)
		row("KEY\t%s", j.Key)
		row("STATE\t%s%s", j.State, joined(j))
		row("DUE\t%s", instant(j.DueMs))
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

func joined(j *jobs.Job) string {
	if j.Joined {
		return " (submitted before)"
	}
	return ""
}

// instant formats a Unix time in milliseconds in UTC; 0 stands for none.
func instant(ms int64) string {
	if ms == 0 {
		return "-"
	}
	return time.UnixMilli(ms).UTC().Format(time.RFC3339)
}

// ended tells whether no item of the job waits or runs.
func ended(j *jobs.Job) bool {
	return j.State == cs.JobFinished.String() || j.State == cs.JobCancelled.String()
}

// progress describes in one line how far a job is.
func progress(j *jobs.Job) string {
	return fmt.Sprintf("%s: %d of %d items ended, %d running, %d failed, %d unknown",
		j.State, j.Done+j.Failed+j.Cancelled+j.Unknown, j.Count, j.Running, j.Failed, j.Unknown)
}
