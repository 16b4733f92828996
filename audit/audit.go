// Package audit checks the invariants of the design page against the observations of callers and
// operators, the runs in the journals of runners, and the content of the log. It shares no decision code
// with the system under test.
package audit

import (
	"fmt"

	cs "github.com/crocusstile/crocusstile"
)

// Time limits from the requirements.
const (
	// LeavingLimit is the time after which a leaving runner must get no new requests.
	LeavingLimit = 3 * cs.Second
	// TicketLimit is the time within which an accepted ticket must be in force on all VMs.
	TicketLimit = 13 * cs.Second
	// CancelLimit is the time within which all runs of a cancelled job must have ended.
	CancelLimit = 5 * cs.Second
)

// Observation is a fact that a caller or operator of the system under test has recorded.
type Observation interface{ isObservation() }

// The kinds of observations. Sent is when the request was sent, At when the observation was made.
type (
	// Responded is a response that a caller received as complete. Got is its text, Want the expected one.
	Responded struct {
		Sent, At  cs.Instant
		Hash      cs.ContentHash
		Got, Want string
	}
	// Refused is a refusal that a caller received. Ran is what the refusal says about the execution of
	// the request.
	Refused struct {
		Sent, At cs.Instant
		Hash     cs.ContentHash
		Ran      cs.Ran
		Text     string
	}
	// NoResponse is a request whose connection ended without a complete response or a refusal.
	NoResponse struct {
		Sent, At cs.Instant
		Hash     cs.ContentHash
		// VMUnavailable means that the VM could not respond: it was killed or cut off from the network.
		VMUnavailable bool
		Text          string
	}
	// Accepted is a job whose submission was acknowledged.
	Accepted struct {
		At     cs.Instant
		Job    cs.JobID
		Hashes []cs.ContentHash // content hashes of the items, in order
		// Want holds the expected outputs of the items; an empty one is not compared.
		Want []string
	}
	// ResultsRead is a read of all results of a job by a caller. State is the job state in the response.
	ResultsRead struct {
		At      cs.Instant
		Job     cs.JobID
		State   cs.JobState
		Results []cs.ItemResult
	}
	// Cancelled is a job cancellation that was acknowledged.
	Cancelled struct {
		At  cs.Instant
		Job cs.JobID
	}
	// TicketAccepted is a ticket whose submission was acknowledged.
	TicketAccepted struct {
		At     cs.Instant
		Scope  cs.Scope
		Number cs.TicketNumber
	}
	// InForce is the number of the ticket that a VM reported as in force for a scope. Reachable means
	// that the VM could read the log or a peer during the whole TicketLimit before.
	InForce struct {
		At        cs.Instant
		VM        string // id and incarnation
		Scope     cs.Scope
		Number    cs.TicketNumber
		Reachable bool
	}
	// Leaving is a runner whose state was published as leaving.
	Leaving struct {
		At     cs.Instant
		Runner cs.RunnerID
	}
)

func (Responded) isObservation()      {}
func (Refused) isObservation()        {}
func (NoResponse) isObservation()     {}
func (Accepted) isObservation()       {}
func (ResultsRead) isObservation()    {}
func (Cancelled) isObservation()      {}
func (TicketAccepted) isObservation() {}
func (InForce) isObservation()        {}
func (Leaving) isObservation()        {}

// RunStart is the start of a run on a runner.
type RunStart struct {
	At     cs.Instant
	Runner cs.RunnerID
	ID     cs.RequestID
	Hash   cs.ContentHash
	// NonIdempotent means that the content must not be executed twice.
	NonIdempotent bool
}

// Evidence is the input of Check.
type Evidence struct {
	Observations []Observation
	RunStarts    []RunStart
	// Streams holds all batches ever appended to each stream, in order of their offsets.
	Streams map[cs.StreamID][]cs.LoggedBatch
	// Unfinished allows accepted jobs that have not ended, for a test run that was stopped early.
	Unfinished bool
}

// Violation is a violated invariant.
type Violation struct {
	// Invariant is the number of the invariant in the list on the design page.
	Invariant int
	Text      string
}

// String returns the number of the invariant and how it was violated.
func (v Violation) String() string { return fmt.Sprintf("invariant %d: %s", v.Invariant, v.Text) }

// Check returns all violations of invariants that the evidence shows.
func Check(e Evidence) []Violation {
	c := &checker{Evidence: e}
	c.replay()
	c.countRunStarts()
	for _, o := range e.Observations {
		c.checkObservation(o)
	}
	c.checkItems()
	c.checkRunStarts()
	c.checkTickets()
	return c.violations
}

// checker is the state of one call of Check.
type checker struct {
	Evidence
	violations []Violation
	jobs       map[cs.JobID]*replayedJob
	startCount map[cs.ContentHash]int
	accepted   []Accepted
	inForce    []InForce
	tickets    []TicketAccepted
}

// report records a violation of an invariant.
func (c *checker) report(invariant int, format string, args ...any) {
	c.violations = append(c.violations, Violation{invariant, fmt.Sprintf(format, args...)})
}

// countRunStarts counts the starts of each content.
func (c *checker) countRunStarts() {
	c.startCount = map[cs.ContentHash]int{}
	for _, s := range c.RunStarts {
		c.startCount[s.Hash]++
	}
}

// checkObservation checks one observation against the rest of the evidence, or keeps it for the checks
// that follow.
func (c *checker) checkObservation(o Observation) {
	switch o := o.(type) {
	case Responded:
		if o.Got != o.Want {
			c.report(4, "response to request %x: got %.60q, want %.60q", o.Hash, o.Got, o.Want)
		}
	case Refused:
		c.checkNotRun(o)
	case NoResponse:
		if !o.VMUnavailable {
			c.report(8, "request %x ended without a response or refusal: %s", o.Hash, o.Text)
		}
	case Accepted:
		c.accepted = append(c.accepted, o)
	case ResultsRead:
		c.checkResultsRead(o)
	case Cancelled:
		c.checkCancellation(o)
	case TicketAccepted:
		c.tickets = append(c.tickets, o)
	case InForce:
		c.inForce = append(c.inForce, o)
	case Leaving:
		c.checkLeaving(o)
	}
}

// checkNotRun reports runs that only a request refused as not run can have caused: those that started
// before any other request with the same content was sent.
func (c *checker) checkNotRun(o Refused) {
	if o.Ran != cs.RanNotRun {
		return
	}
	otherSent, ok := c.firstOtherRequest(o.Hash)
	for _, s := range c.RunStarts {
		if s.Hash == o.Hash && (!ok || s.At < otherSent) {
			c.report(5, "request %x was refused as not run (%s) but ran on %s", o.Hash, o.Text, s.Runner)
		}
	}
}

// firstOtherRequest returns when the first request with the content was sent, without those refused as not
// run. The items of jobs count as sent at time 0, since Accepted does not hold when the job was sent.
func (c *checker) firstOtherRequest(content cs.ContentHash) (first cs.Instant, ok bool) {
	consider := func(hash cs.ContentHash, sent cs.Instant) {
		if hash == content && (!ok || sent < first) {
			first, ok = sent, true
		}
	}
	for _, o := range c.Observations {
		switch o := o.(type) {
		case Responded:
			consider(o.Hash, o.Sent)
		case Refused:
			if o.Ran != cs.RanNotRun {
				consider(o.Hash, o.Sent)
			}
		case NoResponse:
			consider(o.Hash, o.Sent)
		case Accepted:
			for _, hash := range o.Hashes {
				consider(hash, 0)
			}
		default:
		}
	}
	return first, ok
}

// checkItems checks that each accepted job is in the log and that its items have ended with the expected
// outputs.
func (c *checker) checkItems() {
	for _, a := range c.accepted {
		j := c.jobs[a.Job]
		if j == nil || !j.sealed {
			c.report(1, "job %s was accepted but is not in the log", a.Job)
			continue
		}
		for i, want := range a.Want {
			r, ended := j.ended[cs.ItemIndex(i)]
			switch {
			case !ended && !j.cancelled && !c.Unfinished:
				c.report(1, "job %s: item %d has not ended", a.Job, i)
			case ended && r.State == cs.ItemDone && want != "" && r.Output != want:
				c.report(1, "job %s: item %d: output %.60q, want %.60q", a.Job, i, r.Output, want)
			}
		}
	}
}

// checkResultsRead compares the results that a caller read with the log.
func (c *checker) checkResultsRead(o ResultsRead) {
	j := c.jobs[o.Job]
	if j == nil {
		c.report(1, "results of job %s were read but the job is not in the log", o.Job)
		return
	}
	seen := map[cs.ItemIndex]bool{}
	for _, r := range o.Results {
		if seen[r.Index] {
			c.report(1, "job %s: item %d occurs twice in the results read", o.Job, r.Index)
		}
		seen[r.Index] = true
		logged, ok := j.ended[r.Index]
		if ok && (logged.State != r.State || logged.Output != r.Output) {
			c.report(1, "job %s: item %d was read with state %s, but the log has state %s or another output", o.Job, r.Index, r.State, logged.State)
		}
	}
	for i := range j.ended {
		if j.loggedAt[i] < o.At && !seen[i] && o.State == cs.JobFinished {
			c.report(1, "job %s: item %d had ended but was missing from the results read", o.Job, i)
		}
	}
}

// checkCancellation reports runs of a job that started more than CancelLimit after its cancellation.
func (c *checker) checkCancellation(o Cancelled) {
	hashes := map[cs.ContentHash]bool{}
	for _, observation := range c.Observations {
		if a, ok := observation.(Accepted); ok && a.Job == o.Job {
			for _, h := range a.Hashes {
				hashes[h] = true
			}
		}
	}
	for _, s := range c.RunStarts {
		if hashes[s.Hash] && s.At > o.At.Add(CancelLimit) {
			c.report(2, "job %s was cancelled but started content %x on runner %s %s later", o.Job, s.Hash, s.Runner, s.At.Sub(o.At))
		}
	}
}

// checkLeaving reports runs that started on a runner more than LeavingLimit after it was leaving.
func (c *checker) checkLeaving(o Leaving) {
	for _, s := range c.RunStarts {
		if s.Runner == o.Runner && s.At > o.At.Add(LeavingLimit) {
			c.report(7, "runner %s started request %s %s after it was leaving", s.Runner, s.ID, s.At.Sub(o.At))
		}
	}
}

// checkRunStarts reports non-idempotent content that was executed more than once.
func (c *checker) checkRunStarts() {
	seen := map[cs.ContentHash]bool{}
	for _, s := range c.RunStarts {
		if s.NonIdempotent && c.startCount[s.Hash] > 1 && !seen[s.Hash] {
			seen[s.Hash] = true
			c.report(6, "non-idempotent content %x was executed %d times", s.Hash, c.startCount[s.Hash])
		}
	}
}

// checkTickets reports VMs whose ticket number for a scope decreased, or that did not have an accepted
// ticket in force within TicketLimit.
func (c *checker) checkTickets() {
	type key struct {
		vm    string
		scope cs.Scope
	}
	highest := map[key]cs.TicketNumber{}
	for _, o := range c.inForce {
		k := key{o.VM, o.Scope}
		if o.Number < highest[k] {
			c.report(9, "VM %s reverted from ticket %d to %d for scope %s", o.VM, highest[k], o.Number, o.Scope)
		}
		highest[k] = max(highest[k], o.Number)
		for _, t := range c.tickets {
			if t.Scope == o.Scope && o.Reachable && o.Number < t.Number && o.At > t.At.Add(TicketLimit) {
				c.report(9, "VM %s still has ticket %d in force for scope %s %s after ticket %d was accepted", o.VM, o.Number, o.Scope, o.At.Sub(t.At), t.Number)
			}
		}
	}
}
