package cli

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gen/jobs"
)

// maxFailedPolls is the number of consecutive failed polls of the state of a job after which
// waiting ends. With the default interval of 1 s, waiting outlasts the 10 s lease after which
// another VM takes over the job of a lost owner.
const maxFailedPolls = 60

// waitJob shows the progress of a job until it has ended, and then prints the job.
func (s *session) waitJob(ctx context.Context, job *jobs.Job, pollInterval cs.Span) error {
	ticker := time.NewTicker(max(pollInterval, cs.Millisecond).Std())
	defer ticker.Stop()
	failedPolls := 0
	for !jobEnded(job) {
		// The line is padded, so that it overwrites all of a longer one before it.
		writef(s.Err, "\r%-78s", progressLine(job))
		select {
		case <-ctx.Done():
			return NoResponse{errors.Newf("stopped waiting; job %s continues", job.ID)}
		case <-ticker.C:
		}
		latest, err := s.fetchJob(ctx, job.Tenant, job.ID)
		switch {
		case err == nil:
			job, failedPolls = latest, 0
		case !isTransient(err):
			return err
		default:
			if failedPolls++; failedPolls >= maxFailedPolls {
				return NoResponse{errors.Wrapf(err, "stopped waiting; job %s continues", job.ID)}
			}
		}
	}
	writef(s.Err, "\r%-78s\n", progressLine(job))
	if err := s.printJob(job); err != nil {
		return err
	}
	if job.Done < job.Count {
		return JobIncomplete{Failed: job.Failed, Cancelled: job.Cancelled, Unknown: job.Unknown}
	}
	return nil
}

// isTransient reports whether a failed poll may succeed later.
func isTransient(err error) bool {
	var f Failure
	if !errors.As(err, &f) {
		return false
	}
	switch f := f.(type) {
	case ConnectError, NoResponse:
		return true
	case ErrorResponse:
		switch f.Name {
		case refusalUnavailable, refusalOverloaded, refusalExpired, refusalLeaving:
			return true
		}
	default:
	}
	return false
}
