package allowance

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// refuseLimited refuses requests over the limit of their workspace. The times at which they are told to come back follow each
// other at the rate of the workspace.
func refuseLimited(t *gateway.Tables, use *gateway.WorkspaceUse, w *cs.Workspace, ids []gateway.ForwardID, now cs.Instant, out *gateway.Actions) {
	boot := t.BootTime(now)
	for _, id := range ids {
		retry := gateway.RetryTime(&use.RetryAt, boot, use.RefuseUntil.Sub(boot), t.Config.Quota.Window, w, 1)
		f := t.Forwards.Get(id)
		refusal := cs.Refusal{Reason: cs.ReasonRateLimited, Message: "the workspace has reached its limit of requests"}
		out.Add(gateway.Refuse{ID: id, Refusal: refusal, RetryAfter: retry.Sub(boot)})
		out.Note(gateway.Note{
			Kind: gateway.NoteRequestLimited, Request: f.Request, Workspace: w.ID, Route: f.Route.Name, Version: f.Version,
			Duration: now.Sub(f.Arrived), Outcome: cs.RanNotRun.String(), Reason: refusal.Message,
		})
		t.Forwards.Delete(id)
	}
	if len(ids) == 0 {
		return
	}
	if use.LimitedSince == 0 {
		use.LimitedSince, use.Refused = now, 0
		out.Note(gateway.Note{Kind: gateway.NoteWorkspaceLimited, Workspace: w.ID, Rate: w.Rate, Version: t.Catalog.Version})
	}
	use.LastRefusedAt = now
	use.Refused += len(ids)
}

// refuseWithoutOwner refuses the requests that have waited long enough for an owner of their limit, and returns the others.
func refuseWithoutOwner(t *gateway.Tables, w *cs.Workspace, ids []gateway.ForwardID, now cs.Instant, out *gateway.Actions) []gateway.ForwardID {
	var rest []gateway.ForwardID
	for _, id := range ids {
		f := t.Forwards.Get(id)
		if due := f.PermitWantedAt.Add(ownerWait(f)); now < due {
			out.WakeAt(due)
			rest = append(rest, id)
			continue
		}
		partition := t.LimitPartition(w.ID)
		if _, known := t.Allowance.WithoutOwner[partition]; !known {
			t.Allowance.WithoutOwner[partition] = now
			out.Note(gateway.Note{Kind: gateway.NoteLimitOwnerMissing, Workspace: w.ID, Count: partition, Reason: missingReason(t, partition)})
		}
		refusal := cs.Refusal{Reason: cs.ReasonUnavailable, Message: "no VM decides on the limit of the workspace"}
		out.Add(gateway.Refuse{ID: id, Refusal: refusal, RetryAfter: ownerRetryAfter(t, partition)})
		out.Note(gateway.Note{
			Kind: gateway.NoteRequestRefused, Request: f.Request, Workspace: w.ID, Route: f.Route.Name, Version: f.Version,
			Duration: now.Sub(f.Arrived), Outcome: cs.RanNotRun.String(), Reason: refusal.Message,
		})
		t.Forwards.Delete(id)
	}
	return rest
}

// ownerWait returns how long a request waits for an owner that decides on it.
func ownerWait(f *gateway.Forward) cs.Span {
	if f.Route.Target <= 0 {
		return maxOwnerWait
	}
	return min(maxOwnerWait, cs.Span(ownerWaitRatio*float64(f.Route.Target)))
}

// ownerRetryAfter returns the retry delay to give to callers while nobody decides on the limits of a partition.
func ownerRetryAfter(t *gateway.Tables, partition int) cs.Span {
	if len(t.LimitOwners(partition)) == 0 {
		return missingOwnerRetryAfter
	}
	return silentOwnerRetryAfter
}

// missingReason returns why there is no decision on the limits of a partition.
func missingReason(t *gateway.Tables, partition int) string {
	if len(t.LimitOwners(partition)) == 0 {
		return "no VM reports to own the limit"
	}
	return "the owner does not reply"
}

// findOwner records that a VM decides on the limits of a partition; an empty ID stands for this VM.
func findOwner(t *gateway.Tables, partition int, owner cs.VMID, now cs.Instant, out *gateway.Actions) {
	since, missing := t.Allowance.WithoutOwner[partition]
	if !missing {
		return
	}
	delete(t.Allowance.WithoutOwner, partition)
	out.Note(gateway.Note{Kind: gateway.NoteLimitOwnerFound, Peer: owner, Count: partition, Duration: now.Sub(since)})
}
