package batchjob

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// Limits of proposals that the store refuses. They are set aside as the group in which they were refused, so that others go on.
// While the store accepts those, or a fence, a group that is refused is halved, until the proposal at fault is alone and is sent ever
// more rarely. A store that refuses everything leaves the groups as they are.
const (
	// refusalsBeforeAside is the number of refusals in a row after which an append is set aside: a busy store refuses a few.
	refusalsBeforeAside = 2
	// refusalsBeforeSplit is the number of refusals after which a group is halved although no other proposal has been accepted
	// meanwhile: there may be none.
	refusalsBeforeSplit = 3
	// asideStep is the pause after which a single proposal is sent again for the first time, and maxAsidePause what it grows to.
	asideStep     = 250 * cs.Millisecond
	maxAsidePause = 10 * cs.Second
)

// setInFlightAside clears an append that had no effect and sets its proposals aside. It was fenced if there was no response to it.
func setInFlightAside(t *gateway.Tables, now cs.Instant, fenced bool, out *gateway.Actions) {
	l := &t.JobLog
	proposals, group := takeInFlight(l)
	l.OthersNext = true
	if len(proposals) == 0 {
		return
	}
	g := gateway.AsideGroup{}
	if group != nil {
		g = *group
	}
	atFault := fenced || g.Refusals > 0 && l.Effective != g.Effective
	g.Proposals, g.Refusals, g.Fenced, g.Effective, g.RetryAt = proposals, g.Refusals+1, fenced, l.Effective, now
	note := gateway.Note{Kind: gateway.NoteAppendSetAside, Outcome: "kept", Count: len(proposals), Attempt: cs.Attempt(g.Refusals)}
	switch {
	case len(proposals) > 1 && (atFault || g.Refusals > refusalsBeforeSplit):
		note.Outcome = "halved"
		halveAside(l, proposals, fenced, now)
	case atFault && g.Refusals > 1:
		g.Pause = min(max(2*g.Pause, asideStep), maxAsidePause)
		g.RetryAt, note.Duration = now.Add(g.Pause), g.Pause
		l.Aside = append(l.Aside, g)
	default:
		l.Aside = append(l.Aside, g)
	}
	out.Note(note)
}

// halveAside sets the halves of refused proposals aside.
func halveAside(l *gateway.JobLog, proposals []gateway.Proposal, fenced bool, now cs.Instant) {
	half := len(proposals) / 2
	for _, part := range [][]gateway.Proposal{proposals[:half:half], proposals[half:]} {
		l.Aside = append(l.Aside, gateway.AsideGroup{Proposals: part, Refusals: 1, Fenced: fenced, Effective: l.Effective, RetryAt: now})
	}
}

// dropOrSplitInFlight clears an append that the store never accepts: a change that was alone is dropped, others are sent in halves.
func dropOrSplitInFlight(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	l := &t.JobLog
	proposals, _ := takeInFlight(l)
	l.RetryAt, l.OthersNext = now, true
	note := gateway.Note{Kind: gateway.NoteAppendSetAside, Outcome: "halved", Count: len(proposals)}
	switch len(proposals) {
	case 0:
	case 1:
		note.Outcome = "dropped"
		dropInvalid(t, proposals[0], now, out)
	default:
		halveAside(l, proposals, false, now)
	}
	out.Note(note)
}

// dropInvalid ends a proposal whose change the store never accepts. Its caller is told that nothing has taken effect.
func dropInvalid(t *gateway.Tables, p gateway.Proposal, now cs.Instant, out *gateway.Actions) {
	switch p := p.(type) {
	case gateway.ProposeJob:
		refuseJob(p.Query, p.Spec.ID, now.Sub(p.Since), tooLargeRefusal(), out)
	case gateway.ProposeEnd:
		refuseJob(p.Query, p.Job, now.Sub(p.Since), storeUnavailableRefusal(cs.RanNotRun), out)
	case gateway.ProposeResult:
		if j := t.Jobs.Get(p.Key.Job); j != nil && j.ItemWork[p.Key.Index].Phase == gateway.ItemProposed {
			w := &j.ItemWork[p.Key.Index]
			w.Phase, w.NotBefore, w.Progress = gateway.ItemWaiting, now.Add(errorRetryDelay), gateway.Progress{}
		}
	case gateway.ProposeProgress, gateway.ProposeRemoval:
	}
}

// takeDueAside removes the first group that may be sent now and returns it, or nil.
func takeDueAside(t *gateway.Tables, now cs.Instant, out *gateway.Actions) *gateway.AsideGroup {
	l := &t.JobLog
	for i := range l.Aside {
		if l.Aside[i].RetryAt > now {
			out.WakeAt(l.Aside[i].RetryAt)
			continue
		}
		g := l.Aside[i]
		l.Aside = slices.Delete(l.Aside, i, i+1)
		return &g
	}
	return nil
}

// deleteWaiting removes the proposals that wait to be sent, set aside or not, for which del returns true.
func deleteWaiting(t *gateway.Tables, del func(gateway.Proposal) bool) {
	t.Proposals = slices.DeleteFunc(t.Proposals, del)
	deleteAside(&t.JobLog, func(_ *gateway.AsideGroup, p gateway.Proposal) bool { return del(p) })
}

// deleteAside removes the refused proposals for which del returns true, and the groups that are empty then.
func deleteAside(l *gateway.JobLog, del func(*gateway.AsideGroup, gateway.Proposal) bool) {
	for i := range l.Aside {
		g := &l.Aside[i]
		g.Proposals = slices.DeleteFunc(g.Proposals, func(p gateway.Proposal) bool { return del(g, p) })
	}
	l.Aside = slices.DeleteFunc(l.Aside, func(g gateway.AsideGroup) bool { return len(g.Proposals) == 0 })
}
