package audit

import (
	cs "github.com/crocusstile/crocusstile"
)

// replayedJob is the state of a job, reconstructed from the log.
type replayedJob struct {
	sealed    bool
	cancelled bool
	ended     map[cs.ItemIndex]cs.ItemResult
	loggedAt  map[cs.ItemIndex]cs.Instant
	started   map[cs.ItemIndex]int
}

// replay reads the work streams by the rule of the design page: a batch is valid if its fencing token is
// the offset of the newest claim, its writer made that claim, and its sequence number follows that of the
// last valid batch. A claim is valid if it names the newest claim before it.
func (c *checker) replay() {
	c.jobs = map[cs.JobID]*replayedJob{}
	for stream, batches := range c.Streams {
		if stream == cs.TicketStream {
			c.replayTickets(batches)
			continue
		}
		claim, writer, seq := cs.NoOffset, cs.Incarnation(0), cs.Seq(0)
		for _, b := range batches {
			if newClaim, ok := claimOf(b.Batch); ok {
				if newClaim.Previous == claim {
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

// claimOf returns the claim in a batch, if there is one.
func claimOf(b cs.LogBatch) (cs.Claim, bool) {
	for _, r := range b.Records {
		if claim, ok := r.(cs.Claim); ok {
			return claim, true
		}
	}
	return cs.Claim{}, false
}

// jobRow returns the row of a job and inserts it if missing.
func (c *checker) jobRow(id cs.JobID) *replayedJob {
	j := c.jobs[id]
	if j == nil {
		j = &replayedJob{ended: map[cs.ItemIndex]cs.ItemResult{}, loggedAt: map[cs.ItemIndex]cs.Instant{}, started: map[cs.ItemIndex]int{}}
		c.jobs[id] = j
	}
	return j
}

// apply updates the state of a job from a record.
func (c *checker) apply(r cs.Record, loggedAt cs.Instant) {
	switch r := r.(type) {
	case cs.JobSealed:
		c.jobRow(r.Job).sealed = true
	case cs.JobStopped:
		c.jobRow(r.Job).cancelled = true
	case cs.ItemStarted:
		j := c.jobRow(r.Item.Job)
		if j.started[r.Item.Index]++; j.started[r.Item.Index] > 1 {
			c.report(6, "job %s: the start of non-idempotent item %d is in the log more than once", r.Item.Job, r.Item.Index)
		}
	case cs.ItemEnded:
		j := c.jobRow(r.Job)
		if _, ok := j.ended[r.Result.Index]; !ok && !j.cancelled {
			j.ended[r.Result.Index], j.loggedAt[r.Result.Index] = r.Result, loggedAt
		}
	case cs.JobSnapshot:
		c.applySnapshot(r, loggedAt)
	default:
	}
}

// applySnapshot checks that a snapshot agrees with the item results recorded before it, and adds the results
// that are not recorded yet, except those of cancelled items.
func (c *checker) applySnapshot(r cs.JobSnapshot, loggedAt cs.Instant) {
	j := c.jobRow(r.Job.ID)
	j.sealed = j.sealed || r.State != cs.JobOpening
	for _, result := range r.Results {
		recorded, ok := j.ended[result.Index]
		switch {
		case ok && (!result.State.Ended() || result.State != recorded.State || result.Output != recorded.Output):
			c.report(1, "job %s: a snapshot changes item %d from state %s to %s or changes its output", r.Job.ID, result.Index, recorded.State, result.State)
		case !ok && result.State.Ended() && result.State != cs.ItemCancelled:
			j.ended[result.Index], j.loggedAt[result.Index] = result, loggedAt
		}
	}
}

// replayTickets checks that each accepted ticket is the first one in the log with its number.
func (c *checker) replayTickets(batches []cs.LoggedBatch) {
	scopes := map[cs.TicketNumber]cs.Scope{}
	for _, b := range batches {
		for _, r := range b.Batch.Records {
			if t, ok := r.(cs.TicketRecorded); ok {
				if _, known := scopes[t.Ticket.Number]; !known {
					scopes[t.Ticket.Number] = t.Ticket.State.Scope()
				}
			}
		}
	}
	for _, o := range c.Observations {
		if t, ok := o.(TicketAccepted); ok && scopes[t.Number] != t.Scope {
			c.report(9, "ticket %d for scope %s was accepted, but the log has this number for scope %q", t.Number, t.Scope, scopes[t.Number])
		}
	}
}
