package bulk

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// batch collects the changes of one append. Each proposal is checked against the state of the log at
// which the append is made, with the changes before it.
type appendBuilder struct {
	t             *gateway.Tables
	now           cs.Instant
	out           *gateway.Actions
	mark          gateway.Mark
	changes       []gateway.JobChange
	proposals     []gateway.Proposal
	estimatedSize cs.Bytes
	// opened lists the jobs in this append.
	openedJobs []gateway.JobSpec
}

func (b *appendBuilder) appendChange(p gateway.Proposal, c gateway.JobChange) {
	b.changes = append(b.changes, c)
	b.proposals = append(b.proposals, p)
	b.estimatedSize += estimateSize(b.t, p)
}

// add checks a proposal and takes its change, or answers at once.
func (b *appendBuilder) addProposal(p gateway.Proposal) {
	switch p := p.(type) {
	case gateway.ProposeJob:
		b.addJob(p)
	case gateway.ProposeEnd:
		b.addEnd(p)
	case gateway.ProposeResult:
		j := b.t.Jobs.Get(p.Key.Job)
		if j == nil || j.Ended || j.Work[p.Key.Index].Phase == gateway.ItemListed || b.hasResult(p.Key) {
			return
		}
		b.appendChange(p, gateway.JobListed{
			Job: p.Key.Job, Index: p.Key.Index, Mark: b.mark, Result: p.Result,
		})
	case gateway.ProposeProgress:
		b.addProgress(p)
	case gateway.ProposeDrop:
		if j := b.t.Jobs.Get(p.Job); j != nil {
			b.appendChange(p, gateway.JobDropped{Job: p.Job, Spec: j.Spec, Listed: slices.Clone(j.Listed), Progressed: itemsWithProgress(j)})
		}
	}
}

// lists reports whether an append has a result of an item already: one that was proposed before the job was
// read anew, and again after.
func (b *appendBuilder) hasResult(k gateway.ItemKey) bool {
	return slices.ContainsFunc(b.changes, func(c gateway.JobChange) bool {
		listed, ok := c.(gateway.JobListed)
		return ok && listed.Job == k.Job && listed.Index == k.Index
	})
}

// addProgress tells how far an item has come, if the log does not know that yet.
func (b *appendBuilder) addProgress(p gateway.ProposeProgress) {
	j := b.t.Jobs.Get(p.Key.Job)
	if j == nil || !j.Open() {
		return
	}
	w := &j.Work[p.Key.Index]
	if w.Phase != gateway.ItemWaiting || w.LastEvent <= w.Published {
		return
	}
	b.appendChange(p, gateway.JobProgressed{
		Job: p.Key.Job, Item: j.Spec.Items[p.Key.Index].ID, Index: p.Key.Index,
		Progress: gateway.Progress{Text: slices.Clone(w.Text), LastEvent: w.LastEvent},
	})
}

// progressed returns the items of a job whose progress is in the log.
func itemsWithProgress(j *gateway.Job) []int {
	var items []int
	for i := range j.Work {
		if j.Work[i].Published > 0 {
			items = append(items, i)
		}
	}
	return items
}

func (b *appendBuilder) addJob(p gateway.ProposeJob) {
	if b.t.Jobs.Get(p.Spec.ID) != nil {
		acceptJob(p, 0, 0, b.now, b.out)
		return
	}
	sameID := func(s gateway.JobSpec) bool { return s.ID == p.Spec.ID }
	if slices.ContainsFunc(b.openedJobs, sameID) {
		b.proposals = append(b.proposals, p) // answered with the one before it
		return
	}
	if waitingTokens, tokenLimit := b.waitingTokens(p.Spec.Route), b.tokenLimit(p.Spec.Route); tokenLimit > 0 && waitingTokens+jobTokens(p.Spec) > tokenLimit {
		refuseJob(p.Query, p.Spec.ID, b.now.Sub(p.Since), cs.Refusal{
			Reason: cs.ReasonOverloaded, Message: "the job does not fit the tokens that may wait on its route",
		}, b.out)
		return
	}
	b.openedJobs = append(b.openedJobs, p.Spec)
	b.appendChange(p, gateway.JobOpened{Spec: p.Spec})
}

func (b *appendBuilder) addEnd(p gateway.ProposeEnd) {
	j := b.t.Jobs.Get(p.Job)
	if j == nil {
		refuseJob(p.Query, p.Job, b.now.Sub(p.Since), *unknownJobRefusal(), b.out)
		return
	}
	if j.Ended {
		confirmJobEnd(p, b.now, b.out)
		return
	}
	b.appendChange(p, gateway.JobEnded{Job: p.Job})
}

// orderedJobs is the number of jobs like a new one for which its route must have room so that other VMs may
// accept jobs at the same moment: the quota is exceeded only if so many come within a moment.
const conditionalMarginJobs = 8

// knownAge is the age of the last read of the job log beyond which this VM does not know how much of a quota
// is taken.
const maxQuotaReadAge = cs.Second

// ordered reports whether a change may take effect only if nobody has appended since this VM last read: a
// job that comes close to its route's quota.
func (b *appendBuilder) conditional(p gateway.Proposal) bool {
	job, ok := p.(gateway.ProposeJob)
	if !ok {
		return false
	}
	tokenLimit := b.tokenLimit(job.Spec.Route)
	if tokenLimit == 0 {
		return false
	}
	return b.t.Feeds[gateway.FeedJobs].Age(b.now) > maxQuotaReadAge || b.waitingTokens(job.Spec.Route)+conditionalMarginJobs*jobTokens(job.Spec) > tokenLimit
}

// limit returns the tokens that may wait on a route; 0 means no limit.
func (b *appendBuilder) tokenLimit(name cs.RouteName) cs.Tokens {
	if b.t.Catalog == nil {
		return 0
	}
	if r := b.t.Catalog.Route(name); r != nil {
		return r.MaxWaiting
	}
	return 0
}

// waiting returns the tokens of accepted items of a route that are neither listed nor ended.
func (b *appendBuilder) waitingTokens(name cs.RouteName) cs.Tokens {
	var sum cs.Tokens
	for _, j := range b.t.Jobs.All() {
		if j.Spec.Route != name || j.Ended {
			continue
		}
		for i := range j.Work {
			if j.Work[i].Phase != gateway.ItemListed {
				sum += j.Spec.Items[i].Tokens
			}
		}
	}
	for _, s := range b.openedJobs {
		if s.Route == name {
			sum += jobTokens(s)
		}
	}
	return sum
}

func jobTokens(s gateway.JobSpec) cs.Tokens {
	var sum cs.Tokens
	for _, item := range s.Items {
		sum += item.Tokens
	}
	return sum
}
