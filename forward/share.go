package forward

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fairness"
	"github.com/crocusstile/crocusstile/gateway"
)

const (
	// workWeight is the weight of a new sample in the moving average of the work of a route's requests.
	workWeight = 0.05
	// dividedRoomRatio is the part of the recent room that is divided into fair shares. A VM knows only what it has sent itself: a
	// workspace counts as within its share if it would be with a fifth less room.
	dividedRoomRatio = 0.9
	// minShareRefusals is the number of refusals after which a workspace counts as refused for its share, so that a few requests that
	// happen to come together write no log lines, and shareRefusalEnd the time without another one after which that ends.
	minShareRefusals = 3
	shareRefusalEnd  = 5 * cs.Second
	// shareSettleInterval and levelInterval are the intervals of work that visits all accounts of a service: at full size a VM has
	// thousands.
	shareSettleInterval = cs.Second
	levelInterval       = 100 * cs.Millisecond
	// minSpreadRetryAfter is the shortest retry delay for an overload, and maxRetryAfterRatio the longest one as a share of the time limit
	// of the route: callers wait no longer.
	minSpreadRetryAfter = cs.Second
	maxRetryAfterRatio  = 1.0 / 3
	// maxExcess bounds the factor by which a workspace counts as beyond its fair share.
	maxExcess = 10.0
	// sharePauseTime is how long the requests of a workspace beyond its fair share wait after no runner had a slot for one of them.
	sharePauseTime = 200 * cs.Millisecond
)

// expectedWork returns the work that a request is expected to cause, in milliseconds of a slot.
func expectedWork(t *gateway.Tables, f *gateway.Forward) fairness.Work {
	if mean := t.WorkMeans.Get(gateway.WorkKey{Service: f.Service, Route: f.Route.Name}); mean != nil {
		return fairness.Work(*mean)
	}
	return initialServiceTimeMs
}

// observeWork adds the time of an answered request at its runner to the mean of its route and service.
func observeWork(t *gateway.Tables, f *gateway.Forward, now cs.Instant) {
	if !t.DividesRoom() {
		return
	}
	key := gateway.WorkKey{Service: f.Service, Route: f.Route.Name}
	mean := t.WorkMeans.Get(key)
	if mean == nil {
		mean = t.WorkMeans.Insert(key, initialServiceTimeMs)
	}
	*mean += workWeight * (float64(now.Sub(f.SentAt)) - *mean)
}

// shareOf returns the account of a request's workspace, and inserts it if there is none.
func shareOf(t *gateway.Tables, f *gateway.Forward) *gateway.WorkspaceShare {
	key := gateway.ShareKey{Service: f.Service, Workspace: f.Workspace}
	if share := t.Shares.Get(key); share != nil {
		return share
	}
	return t.Shares.Insert(key, gateway.WorkspaceShare{})
}

// offerWork adds a request that has arrived to the account of its workspace.
func offerWork(t *gateway.Tables, f *gateway.Forward, now cs.Instant) {
	if t.DividesRoom() {
		shareOf(t, f).Offered.Add(expectedWork(t, f), now)
	}
}

// sendWork charges the account of a request's workspace for sending it. Sending it again costs nothing unless a runner may have run it.
func sendWork(t *gateway.Tables, f *gateway.Forward, now cs.Instant) {
	if t.DividesRoom() && (f.Attempt == 0 || f.MayHaveRun) {
		demandOf(t, f.Service).Queue.Send(&shareOf(t, f).Account, expectedWork(t, f), now)
	}
}

// resetWaiting clears the number of waiting requests of the workspaces that have some.
func resetWaiting(t *gateway.Tables) {
	if !t.DividesRoom() {
		return
	}
	for _, f := range t.Forwards.All() {
		if f.Phase == gateway.ForwardWaiting {
			share := shareOf(t, f)
			share.Waiting, share.Demand = 0, 0
		}
	}
}

// countDemand counts a waiting request in the demand of its workspace.
func countDemand(t *gateway.Tables, f *gateway.Forward) {
	if t.DividesRoom() {
		shareOf(t, f).Demand++
	}
}

// startTags returns the start tags of waiting requests, in which those of each workspace follow each other in the given order.
func startTags(t *gateway.Tables, ids []gateway.ForwardID) map[gateway.ForwardID]fairness.Work {
	tags := make(map[gateway.ForwardID]fairness.Work, len(ids))
	next := make(map[gateway.ShareKey]fairness.Work)
	for _, id := range ids {
		f := t.Forwards.Get(id)
		key := gateway.ShareKey{Service: f.Service, Workspace: f.Workspace}
		tag, ok := next[key]
		if !ok {
			tag = demandOf(t, f.Service).Queue.Start(&shareOf(t, f).Account)
		}
		tags[id], next[key] = tag, tag+expectedWork(t, f)
	}
	return tags
}

// beyondShare reports whether the workspace of a request has had more than its fair share of the room of late.
func beyondShare(t *gateway.Tables, f *gateway.Forward, now cs.Instant) bool {
	return t.DividesRoom() && shareOf(t, f).Sent.At(now) > fairLevel(t, f.Service, now)
}

// farBeyondShare reports whether the workspace of a request has had more than its fair share of the room of late, and more than one request
// in addition: at a VM that gets a few requests a second, a workspace that sends few of them may have sent one by chance.
func farBeyondShare(t *gateway.Tables, f *gateway.Forward, now cs.Instant) bool {
	return t.DividesRoom() && shareOf(t, f).Sent.At(now) > fairLevel(t, f.Service, now)+expectedWork(t, f)
}

// excess returns the recent work of a workspace beyond its fair share as a multiple of that share.
func excess(t *gateway.Tables, f *gateway.Forward, now cs.Instant) float64 {
	return min(float64(shareOf(t, f).Sent.At(now)/max(fairLevel(t, f.Service, now), 1)), maxExcess)
}

// pauseShare lets the requests of a workspace beyond its fair share wait before another one of them requests a slot, so that they do
// not take slots before requests of other workspaces that wait at other VMs.
func pauseShare(t *gateway.Tables, f *gateway.Forward, now cs.Instant) {
	if beyondShare(t, f, now) {
		shareOf(t, f).PausedUntil = now.Add(sharePauseTime)
	}
}

// sharePause returns until when a request may not request a slot since its workspace is beyond its fair share, or 0.
func sharePause(t *gateway.Tables, f *gateway.Forward, now cs.Instant) cs.Instant {
	if !beyondShare(t, f, now) {
		return 0
	}
	share, demand := shareOf(t, f), demandOf(t, f.Service)
	if now >= share.PausedUntil && demand.Own-share.Demand+demand.Peers > 0 { // requests of others within their share wait
		share.PausedUntil = now.Add(cs.Span(excess(t, f, now) * float64(slotRetryDelay)))
	}
	return share.PausedUntil
}

// fairLevel returns the fair share of a workspace in the recent room of a service, at most levelInterval old.
func fairLevel(t *gateway.Tables, id cs.ServiceID, now cs.Instant) fairness.Work {
	demand := demandOf(t, id)
	if demand.LevelAt != 0 && now.Sub(demand.LevelAt) < levelInterval {
		return demand.Level
	}
	var offered []fairness.Work
	for key, share := range t.Shares.All() {
		if key.Service == id {
			offered = append(offered, share.Offered.At(now))
		}
	}
	demand.LevelAt, demand.Level = now, fairness.Level(offered, dividedRoomRatio*demand.Queue.Sent.At(now))
	return demand.Level
}

// overloadRefusal returns the refusal of a request for overload, and records whether it was refused because its workspace is beyond its
// fair share.
func overloadRefusal(t *gateway.Tables, f *gateway.Forward, now cs.Instant, out *gateway.Actions) cs.Refusal {
	refusal := cs.Refusal{Reason: cs.ReasonOverloaded, Ran: ranSoFar(f), Message: "the wait for a runner is too long"}
	if farBeyondShare(t, f, now) {
		refusal.Message = "the workspace has had its share of the runners"
		recordShareRefusal(t, f, now, out)
	}
	return refusal
}

// recordShareRefusal records that a request is refused because its workspace is beyond its fair share.
func recordShareRefusal(t *gateway.Tables, f *gateway.Forward, now cs.Instant, out *gateway.Actions) {
	share := shareOf(t, f)
	share.RefusedAt = now
	share.Refused++
	if share.RefusingSince == 0 && share.Refused >= minShareRefusals {
		share.RefusingSince = now
		out.Note(gateway.Note{Kind: gateway.NoteShareExceeded, Workspace: f.Workspace, Route: f.Route.Name, Count: share.Refused})
	}
}

// settleShares ends the refusals of workspaces of which no request was refused for some time, and removes the accounts without recent
// requests.
func settleShares(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	if t.Shares.Len() == 0 || now.Sub(t.SharesSettledAt) < shareSettleInterval {
		return
	}
	t.SharesSettledAt = now
	t.Shares.DeleteFunc(func(key gateway.ShareKey, share *gateway.WorkspaceShare) bool {
		if end := share.RefusedAt.Add(shareRefusalEnd); share.Refused > 0 && now < end {
			out.WakeAt(end)
			return false
		}
		if share.RefusingSince != 0 {
			out.Note(gateway.Note{
				Kind: gateway.NoteShareRestored, Workspace: key.Workspace, Count: share.Refused, Duration: share.RefusedAt.Sub(share.RefusingSince),
			})
		}
		share.Refused, share.RefusingSince = 0, 0
		return !t.DividesRoom() || demandOf(t, key.Service).Queue.IsIdle(&share.Account, now)
	})
}

// exceedsRowShare reports whether a request that has arrived would take too many of the rows for waiting requests. The limit for one
// workspace is the number of rows that are free, so that one that floods this VM takes half of them, two take a third each, and others
// find a row. A request that was refused before counts only against the number of all rows.
func exceedsRowShare(t *gateway.Tables, f *gateway.Forward) bool {
	free := maxWaitingRequests - t.Forwards.Len()
	if free > maxWaitingRequests/2 || wasRefusedBefore(f) {
		return false
	}
	rows := 0
	for _, other := range t.Forwards.All() {
		if other.Workspace == f.Workspace {
			rows++
		}
	}
	return rows >= free
}

// wasRefusedBefore reports whether a request arrived with so little of its time limit left that its caller may have been refused before.
func wasRefusedBefore(f *gateway.Forward) bool {
	return f.Route.Timeout > 0 && float64(f.Deadline.Sub(f.Arrived)) < minTimeLeftRatio*float64(f.Route.Timeout)
}

// spreadRetryAfter returns the retry delay for a request that is refused for overload. The requests come back in the order in which they
// are refused, as fast as this VM has sent requests of late. Those for which that is too late for their callers come back at random times.
func spreadRetryAfter(t *gateway.Tables, now cs.Instant, f *gateway.Forward) cs.Span {
	demand := demandOf(t, f.Service)
	earliest, latest := now.Add(minSpreadRetryAfter), now.Add(max(cs.Span(maxRetryAfterRatio*float64(f.Route.Timeout)), overloadedRetryAfter))
	at := latest + 1
	if rate := demand.Queue.Sent.PerMs(now); rate > 0 {
		at = max(earliest, demand.ReturnAt.Add(cs.Span(float64(expectedWork(t, f))/float64(rate))))
	}
	if at > latest {
		at = earliest.Add(cs.Span(t.Rand.IntN(int(latest.Sub(earliest)) + 1)))
	}
	demand.ReturnAt = max(demand.ReturnAt, at)
	return at.Sub(now)
}
