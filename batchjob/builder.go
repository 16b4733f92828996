package batchjob

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// appendBuilder collects the changes of one append. Each proposal is checked against the log as this VM
// has applied it and the changes already collected.
type appendBuilder struct {
	t             *gateway.Tables
	now           cs.Instant
	out           *gateway.Actions
	appendID      gateway.AppendID
	changes       []gateway.JobChange
	proposals     []gateway.Proposal
	estimatedSize cs.Bytes
	// isConditional means that the append is conditional on the end of the log.
	isConditional bool
	// openedJobs holds the jobs that this append accepts.
	openedJobs []gateway.JobSpec
}

// appendChange adds a change and the proposal that it came from.
func (b *appendBuilder) appendChange(p gateway.Proposal, c gateway.JobChange) {
	b.changes = append(b.changes, c)
	b.proposals = append(b.proposals, p)
	b.estimatedSize += estimateSize(b.t, p)
}

// send sends the append, unless it is empty, and reports whether it did. The proposals come from a group that was set aside, or
// from the queue if that is nil.
func (b *appendBuilder) send(group *gateway.AsideGroup) bool {
	if len(b.changes) == 0 {
		return false
	}
	l := &b.t.JobLog
	l.Number++
	a := gateway.AppendJobs{
		AppendID: b.appendID, ExpectedEnd: cs.NoOffset, Epoch: l.Epoch, Seq: l.Seq,
		Changes: b.changes, Format: jobLogFormat(b.t), Timeout: timeoutAfter(l.Failures),
	}
	if b.isConditional {
		a.ExpectedEnd = l.End
	}
	if group != nil && (group.Pause > 0 || group.Fenced) {
		a.Timeout = appendTimeout // others, which the store accepts, wait meanwhile
	}
	l.InFlight, l.InFlightAside, l.Proposals, l.Phase, l.SentAt = &a, group, b.proposals, gateway.AppendSent, b.now
	b.out.Add(a)
	return true
}

// addProposal checks a proposal and adds its change. A proposal that needs no change or is refused is
// answered at once. It returns false for a proposal that cannot be decided yet.
func (b *appendBuilder) addProposal(p gateway.Proposal) bool {
	switch p := p.(type) {
	case gateway.ProposeJob:
		return b.addJob(p)
	case gateway.ProposeEnd:
		return b.addEnd(p)
	case gateway.ProposeResult:
		j := b.t.Jobs.Get(p.Key.Job)
		if j == nil || j.Ended || j.ItemWork[p.Key.Index].Phase == gateway.ItemListed || b.hasResult(p.Key) {
			return true
		}
		b.appendChange(p, gateway.JobResultAppended{
			Job: p.Key.Job, Index: p.Key.Index, AppendID: b.appendID, Result: p.Result,
		})
	case gateway.ProposeProgress:
		b.addProgress(p)
	case gateway.ProposeRemoval:
		if j := b.t.Jobs.Get(p.Job); j != nil {
			b.appendChange(p, gateway.JobRemoved{Job: p.Job, Spec: j.Spec, ResultKeys: slices.Clone(j.ResultKeys), Progressed: itemsWithProgress(j)})
		}
	}
	return true
}

// hasResult reports whether the append already holds a result of an item. The same item is proposed twice
// if a snapshot of the log removes and later restores its job in between.
func (b *appendBuilder) hasResult(k gateway.ItemKey) bool {
	return slices.ContainsFunc(b.changes, func(c gateway.JobChange) bool {
		appended, ok := c.(gateway.JobResultAppended)
		return ok && appended.Job == k.Job && appended.Index == k.Index
	})
}

// addProgress adds the output of an item so far, unless the log already has it.
func (b *appendBuilder) addProgress(p gateway.ProposeProgress) {
	j := b.t.Jobs.Get(p.Key.Job)
	if j == nil || !j.Open() {
		return
	}
	w := &j.ItemWork[p.Key.Index]
	if w.Phase != gateway.ItemWaiting || w.LastEvent <= w.SavedEvent {
		return
	}
	b.appendChange(p, gateway.ProgressSaved{
		Job: p.Key.Job, Item: j.Spec.Items[p.Key.Index].ID, Index: p.Key.Index,
		Progress: gateway.Progress{Text: slices.Clone(w.Text), LastEvent: w.LastEvent},
	})
}

// itemsWithProgress returns the indexes of the items of a job whose progress is in the log.
func itemsWithProgress(j *gateway.Job) []int {
	var items []int
	for i := range j.ItemWork {
		if j.ItemWork[i].SavedEvent > 0 {
			items = append(items, i)
		}
	}
	return items
}

// addJob adds the acceptance of a job. A job that is in the log already is confirmed, so that callers may
// submit it again; one that exceeds the waiting tokens of its route, or of its workspace there, is refused. It returns false while the
// log must be read before the job can be refused.
func (b *appendBuilder) addJob(p gateway.ProposeJob) bool {
	if b.t.Jobs.Get(p.Spec.ID) != nil {
		acceptJob(p, appendStats{}, b.now, b.out)
		return true
	}
	sameID := func(s gateway.JobSpec) bool { return s.ID == p.Spec.ID }
	if slices.ContainsFunc(b.openedJobs, sameID) {
		b.proposals = append(b.proposals, p) // answered together with the first submission
		return true
	}
	if waitingTokens, tokenLimit := b.waitingTokens(p.Spec), b.tokenLimit(p.Spec.Route); tokenLimit > 0 && waitingTokens+jobTokens(p.Spec) > tokenLimit {
		refusal := refuseAsOf(b.t, p.Since, quotaRefusal(), b.now, b.out)
		if refusal != nil {
			refuseJob(p.Query, p.Spec.ID, b.now.Sub(p.Since), *refusal, b.out)
		}
		return refusal != nil
	}
	b.openedJobs = append(b.openedJobs, p.Spec)
	b.appendChange(p, gateway.JobOpened{Spec: p.Spec})
	return true
}

// quotaRefusal says that a job exceeds the quota of its route.
func quotaRefusal() *cs.Refusal {
	return &cs.Refusal{Reason: cs.ReasonOverloaded, Message: "the job does not fit the tokens that may wait on its route"}
}

// addEnd adds the end of a job, or answers it if the job does not exist or has ended. It returns false while the
// log must be read to tell whether the job exists.
func (b *appendBuilder) addEnd(p gateway.ProposeEnd) bool {
	j := b.t.Jobs.Get(p.Job)
	switch {
	case j == nil:
		refusal := refuseUnknownJob(b.t, p.Job, p.Since, b.now, b.out)
		if refusal == nil {
			return false
		}
		refuseJob(p.Query, p.Job, b.now.Sub(p.Since), *refusal, b.out)
	case j.Ended:
		confirmJobEnd(p, b.now, b.out)
	default:
		b.appendChange(p, gateway.JobEnded{Job: p.Job})
	}
	return true
}

// conditionalMarginJobs is the number of jobs of the size of a new one that must fit into its route's
// quota for the job to be accepted without a conditional append. VMs then accept jobs concurrently, and
// the quota is exceeded only if they accept that many jobs before they read each other's.
const conditionalMarginJobs = 8

// maxQuotaReadAge is the age of this VM's view of the job log above which its view of a quota counts as out
// of date, so that jobs are accepted by conditional appends only.
const maxQuotaReadAge = cs.Second

// conditional reports whether a proposal needs a conditional append, which takes effect only if the log
// still ends where this VM last read it. That is so for a job that comes close to its route's quota, or
// to a limited route while the last read is too old to tell how much of the quota is taken.
func (b *appendBuilder) conditional(p gateway.Proposal) bool {
	job, ok := p.(gateway.ProposeJob)
	if !ok {
		return false
	}
	tokenLimit := b.tokenLimit(job.Spec.Route)
	if tokenLimit == 0 {
		return false
	}
	return b.t.Feeds[gateway.FeedJobs].Age(b.now) > maxQuotaReadAge || b.waitingTokens(job.Spec)+conditionalMarginJobs*jobTokens(job.Spec) > tokenLimit
}

// tokenLimit returns the number of tokens that may wait on a route; 0 means no limit.
func (b *appendBuilder) tokenLimit(name cs.RouteName) cs.Tokens {
	if b.t.Catalog == nil {
		return 0
	}
	if r := b.t.Catalog.Route(name); r != nil {
		return r.MaxWaiting
	}
	return 0
}

// waitingTokens returns the tokens of the accepted items that count against the same limit as a job, have no result yet and belong to
// jobs that have not ended.
func (b *appendBuilder) waitingTokens(job gateway.JobSpec) cs.Tokens {
	var sum cs.Tokens
	for _, j := range b.t.Jobs.All() {
		if j.Ended || !b.shareLimit(&j.Spec, &job) {
			continue
		}
		for i := range j.ItemWork {
			if j.ItemWork[i].Phase != gateway.ItemListed {
				sum += j.Spec.Items[i].Tokens
			}
		}
	}
	for i := range b.openedJobs {
		if b.shareLimit(&b.openedJobs[i], &job) {
			sum += jobTokens(b.openedJobs[i])
		}
	}
	return sum
}

// shareLimit reports whether two jobs count against the same limit: that of their route or, in a catalog with workspaces, that of their
// workspace on the route.
func (b *appendBuilder) shareLimit(x, y *gateway.JobSpec) bool {
	return x.Route == y.Route && (x.Workspace == y.Workspace || !b.t.HasWorkspaces())
}

// jobTokens returns the tokens of all items of a job.
func jobTokens(s gateway.JobSpec) cs.Tokens {
	var sum cs.Tokens
	for _, item := range s.Items {
		sum += item.Tokens
	}
	return sum
}
