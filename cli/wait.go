package cli

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gen/jobs"
)

// maxFailedPolls is the number of readings of a job's state that may fail in a row: with the
// default poll of 1s it outlasts the 10s lease after which a lost owner's job is taken over.
const maxFailedPolls = 60

// waitJob shows the progress of a job until it has ended.
func (s *session) waitJob(ctx context.Context, job *jobs.Job, poll cs.Span) error {
	ticker := time.NewTicker(max(poll, cs.Millisecond).Std())
	defer ticker.Stop()
	failed := 0
	for !ended(job) {
		note(s.Err, "\r%-78s", progress(job))
		select {
		case <-ctx.Done():
			return Lost{errors.Newf("stopped waiting; job %s goes on", job.ID)}
		case <-ticker.C:
		}
		latest, err := s.readJob(ctx, job.Tenant, job.ID)
		switch {
		case err == nil:
			job, failed = latest, 0
		case !transient(err):
			return err
		default:
			if failed++; failed >= maxFailedPolls {
				return Lost{errors.Wrapf(err, "stopped waiting; job %s goes on", job.ID)}
			}
		}
	}
	note(s.Err, "\r%-78s\n", progress(job))
	if err := s.printJob(job); err != nil {
		return err
	}
	if job.Done < job.Count {
		return Incomplete{Failed: job.Failed, Cancelled: job.Cancelled, Unknown: job.Unknown}
	}
	return nil
}

// transient tells whether a reading that failed may succeed later.
func transient(err error) bool {
	var f Failure
	if !errors.As(err, &f) {
		return false
	}
	switch f := f.(type) {
	case NotSent, Lost:
		return true
	case Refused:
		switch f.Name {
		case nameUnavailable, nameOverloaded, nameExpired, nameLeaving:
			return true
		}
	default:
	}
	return false
}
