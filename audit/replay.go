package audit

import (
	cs "github.com/crocusstile/crocusstile"
)

// replayedJob is a job as the log tells it.
type replayedJob struct {
	sealed  bool
	stopped bool
	ended   map[cs.ItemIndex]cs.ItemResult
	at      map[cs.ItemIndex]cs.Instant
	started map[cs.ItemIndex]int
}

// replay reads the work streams by the rule of the design page: a batch counts if it bears the
// offset of the newest claim, comes from who made the claim, and follows the last one that counted.
func (c *checker) replay() {
	c.jobs = map[cs.JobID]*replayedJob{}
	for stream, batches := range c.Streams {
		if stream == cs.TicketStream {
			c.replayTickets(batches)
			continue
		}
		claim, writer, seq := cs.NoOffset, cs.Incarnation(0), cs.Seq(0)
		for _, b := range batches {
			if x, ok := claimOf(b.Batch); ok {
				if x.Previous == claim {
					claim, writer, seq = b.Offset, b.Batch.Writer, b.Batch.Seq
				}
				continue
			}
			if b.Batch.Fence != claim || b.Batch.Writer != writer || b.Batch.Seq != seq+1 {
				continue
			}
			seq = b.Batch.Seq
			for _, r := range b.Batch.Records {
				c.apply(r, b.At)
			}
		}
	}
}

func claimOf(b cs.LogBatch) (cs.Claim, bool) {
	for _, r := range b.Records {
		if x, ok := r.(cs.Claim); ok {
			return x, true
		}
	}
	return cs.Claim{}, false
}

// job returns the row of a job.
func (c *checker) job(id cs.JobID) *replayedJob {
	j := c.jobs[id]
	if j == nil {
		j = &replayedJob{ended: map[cs.ItemIndex]cs.ItemResult{}, at: map[cs.ItemIndex]cs.Instant{}, started: map[cs.ItemIndex]int{}}
		c.jobs[id] = j
	}
	return j
}

// apply notes what a record says about a job.
func (c *checker) apply(r cs.Record, at cs.Instant) {
	switch r := r.(type) {
	case cs.JobSealed:
		c.job(r.Job).sealed = true
	case cs.JobStopped:
		c.job(r.Job).stopped = true
	case cs.ItemStarted:
		j := c.job(r.Item.Job)
		if j.started[r.Item.Index]++; j.started[r.Item.Index] > 1 {
			c.report(6, "job %s: the start of non-idempotent item %d is in the log twice", r.Item.Job, r.Item.Index)
		}
	case cs.ItemEnded:
		j := c.job(r.Job)
		if _, ok := j.ended[r.Result.Index]; !ok && !j.stopped {
			j.ended[r.Result.Index], j.at[r.Result.Index] = r.Result, at
		}
	case cs.JobSnapshot:
		c.applySnapshot(r, at)
	default:
	}
}

// applySnapshot checks that a snapshot keeps what was recorded before.
func (c *checker) applySnapshot(r cs.JobSnapshot, at cs.Instant) {
	j := c.job(r.Job.ID)
	j.sealed = j.sealed || r.State != cs.JobOpening
	for _, x := range r.Results {
		before, ok := j.ended[x.Index]
		switch {
		case ok && (!x.State.Ended() || x.State != before.State || x.Output != before.Output):
			c.report(1, "job %s: a snapshot changes item %d from %s to %s", r.Job.ID, x.Index, before.State, x.State)
		case !ok && x.State.Ended() && x.State != cs.ItemCancelled:
			j.ended[x.Index], j.at[x.Index] = x, at
		}
	}
}

// replayTickets checks that no accepted ticket lost against another one with its number.
func (c *checker) replayTickets(batches []cs.LoggedBatch) {
	first := map[cs.TicketNumber]cs.Scope{}
	for _, b := range batches {
		for _, r := range b.Batch.Records {
			if t, ok := r.(cs.TicketRecorded); ok {
				if _, taken := first[t.Ticket.Number]; !taken {
					first[t.Ticket.Number] = t.Ticket.State.Scope()
				}
			}
		}
	}
	for _, o := range c.Observations {
		if t, ok := o.(TicketAccepted); ok && first[t.Number] != t.Scope {
			c.report(9, "ticket %d for %s was accepted and the log has its number for %q", t.Number, t.Scope, first[t.Number])
		}
	}
}
