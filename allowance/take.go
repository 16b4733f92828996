package allowance

import (
	"cmp"
	"math"
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

const (
	// askInterval is the time after which permits are requested again if there is no owner or no reply.
	askInterval = 25 * cs.Millisecond
	// maxOwnerWait is how long a request waits for an owner that decides on it, and ownerWaitRatio the share of its route's target
	// after which it is refused sooner: the caller has time to try again, and an owner that is lost is replaced only after seconds.
	maxOwnerWait   = 300 * cs.Millisecond
	ownerWaitRatio = 0.25
	// silentOwnerRetryAfter is the retry delay given to callers when the owner does not reply: another VM may reach it at once.
	// missingOwnerRetryAfter is the one without an owner: a new one is there after the session timeout of the group, 2 s.
	silentOwnerRetryAfter  = 400 * cs.Millisecond
	missingOwnerRetryAfter = 1500 * cs.Millisecond
	// demandPeriod is the period of the moving average of the requests of a workspace.
	demandPeriod = 500 * cs.Millisecond
	// reserveRatio is the number of permits that are requested ahead, as a share of the requests expected in the lifetime of a
	// permit. Of so few, less than a hundredth ends unused.
	reserveRatio = 0.25
	// maxReserve bounds the permits that are requested ahead.
	maxReserve = 32
	// maxDecisionAge is the time after which the owner of a limit is asked again although it expected to have no permit yet: at a low
	// rate it may expect none for minutes, and the limit may have been raised since.
	maxDecisionAge = cs.Second
	// maxMessageBytes bounds the requests in a message, so that it stays below the limit of datagrams between VMs (16 KB), and
	// requestBytes is what a request takes beside the ID of its workspace.
	maxMessageBytes = 8 << 10
	requestBytes    = 24
	// limitEndDelay is the time without a refusal after which a workspace is no longer taken to be limited.
	limitEndDelay = 2 * cs.Second
)

// Take gives permits to the requests of limited workspaces that wait to be sent, requests more from the owners of the limits, and
// refuses requests over a limit.
func Take(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	if t.Config.Quota.Window == 0 {
		return
	}
	expireRequests(t, now)
	for _, e := range t.Events {
		if e, ok := e.(gateway.AllowanceReceived); ok && e.Message.For == t.Self.Incarnation {
			for _, reply := range e.Message.Replies {
				applyReply(t, reply, now, out)
			}
		}
	}
	waiting := waitingByWorkspace(t, now)
	if len(waiting) == 0 {
		return
	}
	outstanding := outstandingPermits(t, now)
	asks := make(map[cs.VMID][]gateway.AllowanceRequest)
	for _, group := range waiting {
		serveGroup(t, group, outstanding[group.workspace.ID], asks, now, out)
	}
	send(t, asks, out)
}

// waitingGroup is the requests of a workspace that need a permit, the oldest first.
type waitingGroup struct {
	workspace *cs.Workspace
	requests  []gateway.ForwardID
}

// waitingByWorkspace returns the requests that need a permit, in a fixed order.
func waitingByWorkspace(t *gateway.Tables, now cs.Instant) []waitingGroup {
	var groups []waitingGroup
	index := make(map[cs.WorkspaceID]int)
	for id, f := range t.Forwards.All() {
		if f.Phase != gateway.ForwardWaiting || f.Attempt > 0 {
			continue
		}
		w := t.LimitOf(f.Workspace)
		if w == nil || t.HasPermit(f, now) || f.PermitUntil != 0 && !f.WantsPermit {
			continue // a request whose permit has ended waits for a runner before it takes another one
		}
		i, known := index[w.ID]
		if !known {
			i = len(groups)
			index[w.ID] = i
			groups = append(groups, waitingGroup{workspace: w})
		}
		groups[i].requests = append(groups[i].requests, id)
	}
	for i := range groups {
		slices.Sort(groups[i].requests)
	}
	slices.SortFunc(groups, func(a, b waitingGroup) int { return cmp.Compare(a.workspace.ID, b.workspace.ID) })
	return groups
}

// outstandingPermits returns the permits that were requested for each workspace a short time ago.
func outstandingPermits(t *gateway.Tables, now cs.Instant) map[cs.WorkspaceID]gateway.Permits {
	sums := make(map[cs.WorkspaceID]gateway.Permits)
	for _, r := range t.Allowance.Requests.All() {
		if t.BootTime(now).Sub(r.At) < askInterval {
			sums[r.Workspace] += r.Permits
		}
	}
	return sums
}

// serveGroup gives permits to the requests of a workspace, and adds a request for more to asks.
func serveGroup(
	t *gateway.Tables, g waitingGroup, outstanding gateway.Permits, asks map[cs.VMID][]gateway.AllowanceRequest, now cs.Instant, out *gateway.Actions,
) {
	use := t.Allowance.Uses.Get(g.workspace.ID)
	if use == nil {
		use = t.Allowance.Uses.Insert(g.workspace.ID, gateway.WorkspaceUse{})
	}
	countDemand(t, use, g.requests, now)
	rest := assign(t, use, g.requests, now)
	if len(rest) == 0 {
		return
	}
	if partition := t.LimitPartition(g.workspace.ID); t.OwnsLimit(partition, now) {
		granted, next, retry := t.TakePermits(t.FilledBucket(g.workspace, now), g.workspace, gateway.Permits(len(rest)), now)
		addLease(t, use, granted, t.BootTime(now))
		if next > 0 {
			refuseUntil(t, use, g.workspace, next, retry, now)
		}
		findOwner(t, partition, "", now, out)
		rest = assign(t, use, rest, now)
	}
	if boot := t.BootTime(now); boot < use.RefuseUntil && boot.Sub(use.DecidedAt) < maxDecisionAge {
		refuseLimited(t, use, g.workspace, rest, now, out)
		return
	}
	rest = refuseWithoutOwner(t, g.workspace, rest, now, out)
	ask(t, use, g.workspace, gateway.Permits(len(rest))-outstanding, asks, now, out)
}

// countDemand updates the moving average of the requests of a workspace.
func countDemand(t *gateway.Tables, use *gateway.WorkspaceUse, ids []gateway.ForwardID, now cs.Instant) {
	boot := t.BootTime(now)
	use.Demand *= math.Exp(-float64(boot.Sub(use.DemandAt)) / float64(demandPeriod))
	use.DemandAt = boot
	for _, id := range ids {
		if f := t.Forwards.Get(id); f.PermitWantedAt == 0 {
			f.PermitWantedAt = now
			use.Demand += 1 / float64(demandPeriod)
		}
	}
}

// assign gives permits to requests, those that end first before others, and returns the requests without one.
func assign(t *gateway.Tables, use *gateway.WorkspaceUse, ids []gateway.ForwardID, now cs.Instant) []gateway.ForwardID {
	boot := t.BootTime(now)
	use.Leases = slices.DeleteFunc(use.Leases, func(l gateway.PermitLease) bool { return l.Permits == 0 || boot >= l.Until })
	for len(ids) > 0 && len(use.Leases) > 0 {
		f, l := t.Forwards.Get(ids[0]), &use.Leases[0]
		f.PermitUntil, f.WantsPermit, f.PermitWantedAt = l.Until, false, 0
		use.Held = append(use.Held, gateway.HeldPermit{Request: ids[0], Until: l.Until})
		if l.Permits--; l.Permits == 0 {
			use.Leases = use.Leases[1:]
		}
		ids = ids[1:]
	}
	return ids
}

// addLease adds permits that were requested at a time.
func addLease(t *gateway.Tables, use *gateway.WorkspaceUse, permits gateway.Permits, requestedAt cs.BootInstant) {
	until := requestedAt.Add(t.Config.Quota.PermitLifetime())
	if permits == 0 {
		return
	}
	use.Leases = append(use.Leases, gateway.PermitLease{Permits: permits, Until: until})
	slices.SortStableFunc(use.Leases, func(a, b gateway.PermitLease) int { return cmp.Compare(a.Until, b.Until) })
}

// ask requests permits for the requests that wait, and some for those to come, from the owner of the limit.
func ask(
	t *gateway.Tables, use *gateway.WorkspaceUse, w *cs.Workspace, missing gateway.Permits, asks map[cs.VMID][]gateway.AllowanceRequest,
	now cs.Instant, out *gateway.Actions,
) {
	out.WakeAt(now.Add(askInterval))
	if now < use.AskAt {
		out.WakeAt(use.AskAt)
		return
	}
	if missing <= 0 {
		return
	}
	owners := t.LimitOwners(t.LimitPartition(w.ID))
	if len(owners) == 0 {
		use.AskAt = now.Add(askInterval)
		return
	}
	owner := owners[use.Unanswered%len(owners)]
	reserve := gateway.Permits(min(use.Demand*float64(t.Config.Quota.PermitLifetime())*reserveRatio, maxReserve))
	permits := min(missing+reserve, gateway.MaxPermits)
	t.Allowance.LastID++
	t.Allowance.Requests.Insert(t.Allowance.LastID, gateway.PermitRequest{Workspace: w.ID, Owner: owner, Permits: permits, At: t.BootTime(now)})
	asks[owner] = append(asks[owner], gateway.AllowanceRequest{ID: t.Allowance.LastID, Workspace: w.ID, Permits: permits})
}

// send sends the requests for permits of a tick.
func send(t *gateway.Tables, asks map[cs.VMID][]gateway.AllowanceRequest, out *gateway.Actions) {
	for vm, requests := range asks {
		p := t.Peers.Get(vm)
		if p == nil {
			continue
		}
		for len(requests) > 0 {
			n := messageLength(requests)
			out.Add(gateway.SendAllowance{
				To: p.VM.Address, Message: gateway.AllowanceMessage{From: t.Self.ID, Incarnation: t.Self.Incarnation, Requests: requests[:n:n]},
			})
			requests = requests[n:]
		}
	}
}

// messageLength returns how many of some requests fit into one message, at least one.
func messageLength(requests []gateway.AllowanceRequest) int {
	size := cs.Bytes(0)
	for i, r := range requests {
		size += cs.Bytes(len(r.Workspace)) + requestBytes
		if i > 0 && size > maxMessageBytes || i == gateway.MaxAllowanceRequests {
			return i
		}
	}
	return len(requests)
}

// applyReply applies the reply of an owner. Each request for permits has one reply that counts.
func applyReply(t *gateway.Tables, reply gateway.AllowanceReply, now cs.Instant, out *gateway.Actions) {
	request := t.Allowance.Requests.Get(reply.ID)
	if request == nil {
		return
	}
	asked := *request
	t.Allowance.Requests.Delete(reply.ID)
	use, w := t.Allowance.Uses.Get(asked.Workspace), t.LimitOf(asked.Workspace)
	if use == nil || w == nil {
		return
	}
	if reply.NotOwner {
		use.Unanswered++
		use.AskAt = max(use.AskAt, now.Add(askInterval-max(t.BootTime(now).Sub(asked.At), 0)))
		return
	}
	use.Unanswered = 0
	findOwner(t, t.LimitPartition(w.ID), asked.Owner, now, out)
	granted := min(reply.Granted, asked.Permits)
	addLease(t, use, granted, asked.At)
	if granted < asked.Permits {
		refuseUntil(t, use, w, reply.Next, reply.Retry, now)
	}
}

// refuseUntil records that the owner has no permit before next, and the time after which the first refused request should come
// back.
func refuseUntil(t *gateway.Tables, use *gateway.WorkspaceUse, w *cs.Workspace, next, retry cs.Span, now cs.Instant) {
	boot := t.BootTime(now)
	use.RefuseUntil, use.DecidedAt, use.RetryAt = boot.Add(next), boot, boot.Add(retry-gateway.RetryStep(w, 1))
}

// expireRequests removes the requests for permits of which a reply would come too late.
func expireRequests(t *gateway.Tables, now cs.Instant) {
	boot, lifetime := t.BootTime(now), t.Config.Quota.PermitLifetime()
	t.Allowance.Requests.DeleteFunc(func(_ gateway.AllowanceRequestID, r *gateway.PermitRequest) bool {
		isLate := boot.Sub(r.At) >= lifetime
		if use := t.Allowance.Uses.Get(r.Workspace); use != nil && isLate {
			use.Unanswered++
		}
		return isLate
	})
}
