// Package audit checks what must always hold over what callers saw, what runners ran and what the
// log holds. It shares no decision code with the system that it checks.
package audit

import (
	"fmt"

	cs "github.com/crocusstile/crocusstile"
)

// Bounds from the requirements.
const (
	// LeavingLimit is the time after which a leaving runner gets no new work.
	LeavingLimit = 3 * cs.Second
	// TicketLimit is the time in which an accepted ticket is in force everywhere.
	TicketLimit = 13 * cs.Second
	// CancelLimit is the time in which the runs of a cancelled job have ended everywhere.
	CancelLimit = 5 * cs.Second
)

// Observation is something that a caller or operator saw.
type Observation interface{ isObservation() }

// The observations.
type (
	// Answered is an answer that a caller took for whole. Sent is when the request was sent.
	Answered struct {
		Sent, At  cs.Instant
		Hash      cs.ContentHash
		Got, Want string
	}
	// Refused is a refusal that a caller got.
	Refused struct {
		Sent, At cs.Instant
		Hash     cs.ContentHash
		Ran      cs.Ran
		Text     string
	}
	// CutOff is a request that ended without an answer or a refusal.
	CutOff struct {
		Sent, At cs.Instant
		Hash     cs.ContentHash
		// Excused means that the VM was killed or cut off, so that nobody could answer.
		Excused bool
		Text    string
	}
	// Accepted is a job that was acknowledged.
	Accepted struct {
		At     cs.Instant
		Job    cs.JobID
		Hashes []cs.ContentHash // of its items, in order
		// Want are the outputs of the items; an empty one is not compared.
		Want []string
	}
	// ResultsRead are all results of a job as a caller read them.
	ResultsRead struct {
		At      cs.Instant
		Job     cs.JobID
		State   cs.JobState
		Results []cs.ItemResult
	}
	// Cancelled is a cancellation that was acknowledged.
	Cancelled struct {
		At  cs.Instant
		Job cs.JobID
	}
	// TicketAccepted is a ticket that was acknowledged.
	TicketAccepted struct {
		At     cs.Instant
		Scope  cs.Scope
		Number cs.TicketNumber
	}
	// InForce is what a VM said to be in force for a scope. Reachable means that the VM could read
	// the log or a peer for the whole of TicketLimit before.
	InForce struct {
		At        cs.Instant
		VM        string // id and incarnation
		Scope     cs.Scope
		Number    cs.TicketNumber
		Reachable bool
	}
	// Leaving is a runner that was shown as leaving.
	Leaving struct {
		At     cs.Instant
		Runner cs.RunnerID
	}
)

func (Answered) isObservation()       {}
func (Refused) isObservation()        {}
func (CutOff) isObservation()         {}
func (Accepted) isObservation()       {}
func (ResultsRead) isObservation()    {}
func (Cancelled) isObservation()      {}
func (TicketAccepted) isObservation() {}
func (InForce) isObservation()        {}
func (Leaving) isObservation()        {}

// Start is a run that a runner began.
type Start struct {
	At     cs.Instant
	Runner cs.RunnerID
	ID     cs.RequestID
	Hash   cs.ContentHash
	// NonIdempotent means that the content must not run twice.
	NonIdempotent bool
}

// Evidence is all that the checks read.
type Evidence struct {
	Observations []Observation
	Starts       []Start
	// Streams holds all batches ever appended, by stream, in the order of their offsets.
	Streams map[cs.StreamID][]cs.LoggedBatch
	// Unfinished allows accepted jobs that have not ended, as when the run was cut short.
	Unfinished bool
}

// Violation is a promise that was broken.
type Violation struct {
	// Promise is its number in the list of invariants of the design page.
	Promise int
	Text    string
}

// String returns the promise and what broke it.
func (v Violation) String() string { return fmt.Sprintf("invariant %d: %s", v.Promise, v.Text) }

// Check returns all violations.
func Check(e Evidence) []Violation {
	c := &checker{Evidence: e}
	c.replay()
	c.countStarts()
	for _, o := range e.Observations {
		c.checkObservation(o)
	}
	c.checkItems()
	c.checkStarts()
	c.checkTickets()
	return c.violations
}

// checker is the state of one check.
type checker struct {
	Evidence
	violations []Violation
	jobs       map[cs.JobID]*replayedJob
	startCount map[cs.ContentHash]int
	accepted   []Accepted
	inForce    []InForce
	tickets    []TicketAccepted
}

func (c *checker) report(invariant int, format string, args ...any) {
	c.violations = append(c.violations, Violation{invariant, fmt.Sprintf(format, args...)})
}

// index counts the starts of each content.
func (c *checker) countStarts() {
	c.startCount = map[cs.ContentHash]int{}
	for _, s := range c.Starts {
		c.startCount[s.Hash]++
	}
}

// observe checks one observation against the rest.
func (c *checker) checkObservation(o Observation) {
	switch o := o.(type) {
	case Answered:
		if o.Got != o.Want {
			c.report(4, "answer to %x: got %.60q, want %.60q", o.Hash, o.Got, o.Want)
		}
	case Refused:
		c.checkNotRun(o)
	case CutOff:
		if !o.Excused {
			c.report(8, "request %x was cut off: %s", o.Hash, o.Text)
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

// checkNotRun looks for runs that only a request refused as not run can explain: those that began
// before any other send of the same content.
func (c *checker) checkNotRun(o Refused) {
	if o.Ran != cs.RanNotRun {
		return
	}
	otherSent, ok := c.firstOtherRequest(o.Hash)
	for _, s := range c.Starts {
		if s.Hash == o.Hash && (!ok || s.At < otherSent) {
			c.report(5, "request %x was refused as not run (%s) and ran on %s", o.Hash, o.Text, s.Runner)
		}
	}
}

// otherSend returns when the first request with the content was sent that was not refused as not run.
func (c *checker) firstOtherRequest(content cs.ContentHash) (first cs.Instant, ok bool) {
	consider := func(hash cs.ContentHash, sent cs.Instant) {
		if hash == content && (!ok || sent < first) {
			first, ok = sent, true
		}
	}
	for _, o := range c.Observations {
		switch o := o.(type) {
		case Answered:
			consider(o.Hash, o.Sent)
		case Refused:
			if o.Ran != cs.RanNotRun {
				consider(o.Hash, o.Sent)
			}
		case CutOff:
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

// checkItems compares accepted jobs with the log.
func (c *checker) checkItems() {
	for _, a := range c.accepted {
		j := c.jobs[a.Job]
		if j == nil || !j.sealed {
			c.report(1, "job %s was accepted and is not in the log", a.Job)
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

// checkRead compares results that a caller read with the log.
func (c *checker) checkResultsRead(o ResultsRead) {
	j := c.jobs[o.Job]
	if j == nil {
		c.report(1, "results of job %s were read and the job is not in the log", o.Job)
		return
	}
	seen := map[cs.ItemIndex]bool{}
	for _, r := range o.Results {
		if seen[r.Index] {
			c.report(1, "job %s: item %d was read twice", o.Job, r.Index)
		}
		seen[r.Index] = true
		logged, ok := j.ended[r.Index]
		if ok && (logged.State != r.State || logged.Output != r.Output) {
			c.report(1, "job %s: item %d was read as %s, the log has %s", o.Job, r.Index, r.State, logged.State)
		}
	}
	for i := range j.ended {
		if j.loggedAt[i] < o.At && !seen[i] && o.State == cs.JobFinished {
			c.report(1, "job %s: item %d ended and was not readable", o.Job, i)
		}
	}
}

// checkCancelled looks for runs of a job that began long after its cancellation.
func (c *checker) checkCancellation(o Cancelled) {
	hashes := map[cs.ContentHash]bool{}
	for _, observation := range c.Observations {
		if a, ok := observation.(Accepted); ok && a.Job == o.Job {
			for _, h := range a.Hashes {
				hashes[h] = true
			}
		}
	}
	for _, s := range c.Starts {
		if hashes[s.Hash] && s.At > o.At.Add(CancelLimit) {
			c.report(2, "job %s was cancelled and ran %x on %s %s later", o.Job, s.Hash, s.Runner, s.At.Sub(o.At))
		}
	}
}

// checkLeaving looks for work that a leaving runner got.
func (c *checker) checkLeaving(o Leaving) {
	for _, s := range c.Starts {
		if s.Runner == o.Runner && s.At > o.At.Add(LeavingLimit) {
			c.report(7, "runner %s got %s %s after it was leaving", s.Runner, s.ID, s.At.Sub(o.At))
		}
	}
}

// checkStarts looks for content that ran twice and must not.
func (c *checker) checkStarts() {
	seen := map[cs.ContentHash]bool{}
	for _, s := range c.Starts {
		if s.NonIdempotent && c.startCount[s.Hash] > 1 && !seen[s.Hash] {
			seen[s.Hash] = true
			c.report(6, "non-idempotent request %x ran %d times", s.Hash, c.startCount[s.Hash])
		}
	}
}

// checkTickets looks for numbers that went back or came late.
func (c *checker) checkTickets() {
	type key struct {
		vm    string
		scope cs.Scope
	}
	highest := map[key]cs.TicketNumber{}
	for _, o := range c.inForce {
		k := key{o.VM, o.Scope}
		if o.Number < highest[k] {
			c.report(9, "VM %s went back from ticket %d to %d for %s", o.VM, highest[k], o.Number, o.Scope)
		}
		highest[k] = max(highest[k], o.Number)
		for _, t := range c.tickets {
			if t.Scope == o.Scope && o.Reachable && o.Number < t.Number && o.At > t.At.Add(TicketLimit) {
				c.report(9, "VM %s has ticket %d for %s %s after %d was accepted", o.VM, o.Number, o.Scope, o.At.Sub(t.At), t.Number)
			}
		}
	}
}
