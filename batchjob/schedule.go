package batchjob

import (
	"cmp"
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/gateway"
)

// Limits on starting items on runners.
const (
	// deniedTime is how long no slot is requested of a runner that has denied one.
	deniedTime = 120 * cs.Millisecond
	// roundInterval is the time between two rounds of starts. It lets peers learn of the starts of one
	// round before the next, so that VMs do not fill the same slots.
	roundInterval = 30 * cs.Millisecond
	// onlineTokenTime is how long online requests that need a runner that names a limit come before items,
	// from when its limit allows a request.
	onlineTokenTime = 300 * cs.Millisecond
	// maxStartsPerRound bounds the starts of one round: prefills that begin together delay each other and
	// the other streams of the runner.
	maxStartsPerRound = 4
	// itemIdleTimeout is how long a run may go without an event, beside the time to read the item's prompt. Items start only
	// where a slot is free, and an engine sends its events tens of milliseconds apart; the platform's callers abandon a
	// stream after the same pause.
	itemIdleTimeout = 2 * cs.Second
	// minPromptTokensPerMs is the speed at which a sound runner reads a prompt at least, beside other requests.
	minPromptTokensPerMs = 10
	// maxReadTime bounds the time for the prompt, since the size of an item is what its caller says.
	maxReadTime = 20 * cs.Second
	// defaultCompletionTarget applies to jobs whose route is no longer in the catalog or has no completion
	// target. It only affects the order in which items are started and preempted.
	defaultCompletionTarget = 20 * cs.Second
	// takeoverDelay is the pause between gaining a partition and starting items of its older jobs that
	// were not handed over. The previous owner may learn of its loss only at its next renewal, two
	// thirds of a second later, and saves the progress of its items then.
	takeoverDelay = 900 * cs.Millisecond
	// maxHandOverAge is how long before a partition is gained an item may have been handed over for its
	// progress to count as that of the previous owner's last run.
	maxHandOverAge = cs.Second
	// membershipTimeout is the age of the last confirmed membership renewal above which this VM starts no
	// items: another VM may own its partitions by then.
	membershipTimeout = 2 * cs.Second
	// maxLogAge is the age of this VM's view of the job log above which it starts no items: their jobs may have been
	// ended. An item may reach a runner until 3 s after the end of its job was acknowledged.
	maxLogAge = 2 * cs.Second
)

// dueTime returns when a job's results are due: its acceptance plus the completion target of its route.
func dueTime(t *gateway.Tables, j *gateway.Job) cs.Instant {
	target := defaultCompletionTarget
	if t.Catalog != nil {
		if r := t.Catalog.Route(j.Spec.Route); r != nil && r.Completion > 0 {
			target = r.Completion
		}
	}
	return j.Spec.Accepted.Add(target)
}

// candidate is a waiting item that may be started now.
type candidate struct {
	key     gateway.ItemKey
	urgency urgency
}

// Schedule starts waiting items of owned jobs, the most urgent first, on runners with free slots.
func Schedule(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	if t.Catalog == nil || t.Drain.Phase != fleet.DrainNone {
		return
	}
	if now.Sub(t.Partitions.RenewedAt) > membershipTimeout && !t.StoreUnavailable() {
		return // another VM may own the partitions by now
	}
	if log := t.Feeds[gateway.FeedJobs]; log.AsOf != 0 && log.Age(now) > maxLogAge && !t.StoreUnavailable() {
		return // jobs that this VM takes for open may have been ended
	}
	next := t.Partitions.StartedAt.Add(roundInterval)
	if now < next && len(t.Slots.BatchGrants) == 0 {
		out.WakeAt(next)
		return
	}
	waiting := waitingItems(t, now, out)
	sortByUrgency(t, waiting, now)
	t.Partitions.BatchDemand = batchDemand(waiting)
	waiting = useGrants(t, waiting, now, out)
	if len(waiting) == 0 || now < next {
		return
	}
	t.Partitions.StartedAt = now
	out.WakeAt(now.Add(roundInterval))
	quota := min(startQuota(t, now), len(waiting)-t.Slots.BatchRequests.Len())
	for _, c := range waiting {
		if quota <= 0 {
			break
		}
		if startOrRequest(t, c.key, now, out) {
			quota--
		}
	}
}

// lateItemsPerDemandUnit is the number of items bound to miss their due time that count as much in the
// division of free slots as one item that can still meet it.
const lateItemsPerDemandUnit = 5

// batchDemand returns the weight of this VM's waiting items in the division of free slots among VMs.
func batchDemand(waiting []candidate) int {
	onTime, late := 0, 0
	for _, c := range waiting {
		if c.urgency.late {
			late++
		} else {
			onTime++
		}
	}
	return onTime + (late+lateItemsPerDemandUnit-1)/lateItemsPerDemandUnit
}

// startQuota returns how many items this VM may start in a round: the free slots in proportion to its
// share of the slot demand of all VMs, and one for each runner whose limit allows this VM a request. A
// fractional remainder is rounded up at random with that probability, so that VMs that see the same few
// slots do not all take them.
func startQuota(t *gateway.Tables, now cs.Instant) int {
	free, ownSlots, totalDemand := 0, 0, t.Partitions.BatchDemand
	for _, r := range t.Runners.All() {
		if r.Limit.Named {
			ownSlots += batchSlots(t, r, now)
		} else {
			free += batchSlots(t, r, now)
		}
	}
	for _, p := range t.Peers.All() {
		totalDemand += p.BatchDemand
	}
	exactQuota := float64(free) * float64(t.Partitions.BatchDemand) / float64(totalDemand)
	n := int(exactQuota)
	if t.Rand.Float64() < exactQuota-float64(n) {
		n++
	}
	return min(n+ownSlots, maxStartsPerRound)
}

// batchSlots returns the number of free slots of a runner that batch items may take.
func batchSlots(t *gateway.Tables, r *gateway.Runner, now cs.Instant) int {
	if !r.Usable(now) || r.OnProbation(now) || now.Sub(r.DeniedAt) < deniedTime || !runsBatchItems(t, r.Spec.Service) {
		return 0
	}
	isReachable := t.Reach(r.Spec.DataCentre, now) == gateway.ReachGood
	if !isReachable && !t.IsProbeDue(r.Spec.DataCentre, now) {
		return 0
	}
	reserved := min(gateway.ReservedOnlineSlots, r.Spec.Slots-1)
	if t.HasAllocator(r, now) && t.Costs.Service(r.Spec.Service) == nil {
		reserved = 0 // the allocator preempts an item when an online request needs its slot
	}
	free := max(int(r.Spec.Slots-reserved-r.Load()), 0)
	if !r.Limit.Named && isReachable {
		return free
	}
	if !r.Limit.Named {
		return min(free, 1)
	}
	if !r.WithinLimit(now) || hasOnlineNeed(t, r.Spec.Service, now) && now.Sub(r.NextWithinLimit()) < onlineTokenTime {
		return 0
	}
	return min(free, 1)
}

// hasOnlineNeed reports whether online requests need the runners of a service that name a limit: some wait,
// or no other runner has a free slot.
func hasOnlineNeed(t *gateway.Tables, id cs.ServiceID, now cs.Instant) bool {
	if demand := t.Demands.Get(id); demand != nil && demand.Own+demand.Peers > 0 {
		return true
	}
	for _, r := range t.Runners.All() {
		if r.Spec.Service == id && !r.Limit.Named && r.Usable(now) && r.OnlineLoad() < r.Spec.Slots {
			return false
		}
	}
	return true
}

// runsBatchItems reports whether a service runs batch items: its runners are engines, or the catalog has no
// runner group for it.
func runsBatchItems(t *gateway.Tables, id cs.ServiceID) bool {
	g, ok := t.Catalog.Groups[id]
	return !ok || g.Kind == cs.KindEngine
}

// waitingItems returns the items of owned jobs that may be started now, and gives up those whose route is
// gone or whose retention time has passed.
func waitingItems(t *gateway.Tables, now cs.Instant, out *gateway.Actions) []candidate {
	var waiting []candidate
	for id, j := range t.Jobs.All() {
		if !j.Open() || !owns(t, id) || j.Opened >= t.JobLog.End {
			continue // a job beyond the end may have results among the records that have not been read
		}
		route := t.Catalog.Route(j.Spec.Route)
		if route == nil && t.Feeds[gateway.FeedCatalog].AsOf < j.FirstReadAt {
			continue // the route may have been added in a version of the catalog that this VM has not read
		}
		for i := range j.ItemWork {
			w := &j.ItemWork[i]
			if w.Phase != gateway.ItemWaiting {
				continue
			}
			k := gateway.ItemKey{Job: id, Index: i}
			if route == nil || route.Retention > 0 && now.Sub(j.FirstReadAt) > route.Retention {
				proposeResult(t, j, k, gateway.Result{Item: j.Spec.Items[i].ID})
				continue
			}
			if earliest := max(w.NotBefore, earliestTakeover(t, j, w)); now < earliest {
				out.WakeAt(earliest)
				continue
			}
			if part, ok := t.QuarantinedPart(j.Spec.Items[i].Parts); ok && !t.MayProbe(part, now) {
				if t.ClaimProbe(part, now) {
					out.WakeAt(t.ProbeSettledAt(now))
				}
				continue // the item is held until the part is released
			}
			waiting = append(waiting, candidate{key: k, urgency: urgencyOf(t, j, w, now)})
		}
	}
	return waiting
}

// earliestTakeover returns when an item of a partition gained from another VM may be started here, or 0
// if there is no need to wait for the progress of its previous owner.
func earliestTakeover(t *gateway.Tables, j *gateway.Job, w *gateway.ItemWork) cs.Instant {
	gained := t.Partitions.Owned[PartitionOf(t, j.Spec.ID)]
	if j.FirstReadAt >= gained || w.HandedOverAt.Add(maxHandOverAge) >= gained {
		return 0
	}
	return gained.Add(takeoverDelay)
}

// startItem starts a run of an item on a runner with a free slot and reports whether it may run.
func startItem(t *gateway.Tables, k gateway.ItemKey, r *gateway.Runner, now cs.Instant, out *gateway.Actions) bool {
	j := t.Jobs.Get(k.Job)
	item := j.Spec.Items[k.Index]
	if part, ok := t.QuarantinedPart(item.Parts); ok {
		if !t.MayProbe(part, now) {
			return false // another item was started as the probe
		}
		t.RecordProbe(part, now, out)
	}
	t.RecordSend(r.Spec.DataCentre, now)
	chargeItem(t, j, item, now)
	load := r.Load()
	r.Batch++
	r.TakeToken(now)
	w := &j.ItemWork[k.Index]
	w.Phase, w.Runner, w.Started = gateway.ItemRunning, r.Spec.ID, now
	w.Attempt++
	recordDue(t, j, k.Index, r, now)
	sentBefore := slices.Contains(w.SentTo, r.Spec.ID)
	if !sentBefore {
		w.SentTo = append(w.SentTo, r.Spec.ID)
	}
	out.Add(gateway.RunItem{
		Key: k, Attempt: w.Attempt, Runner: r.Spec.ID, Incarnation: r.Spec.Incarnation, Address: r.Spec.Address, Host: j.Spec.Host, Item: item, LastEvent: w.LastEvent,
		NewConnection: sentBefore, Access: t.RunnerAccess(j.Spec.Workspace), EventTimeout: eventTimeout(item), MaxOutput: remainingOutput(t, w),
	})
	out.Note(gateway.Note{
		Kind: gateway.NoteItemStarted, Job: k.Job, Item: item.ID, Runner: r.Spec.ID, Attempt: w.Attempt, Load: load,
		Count: int(w.LastEvent), Age: now.Sub(t.Partitions.RenewedAt),
	})
	return true
}

// eventTimeout returns how long a run of an item may go without an event. A runner sends none while it reads the prompt, also in the
// middle of the output, if it has run out of memory and reads it again.
func eventTimeout(item gateway.Item) cs.Span {
	return itemIdleTimeout + min(cs.Span(item.Tokens/minPromptTokensPerMs), maxReadTime)
}

// lateDueTime is the time until a late item counts as due, after all that can be in time.
const lateDueTime = cs.Minute

// recordDue records when an item that was started on a runner is due, and its size.
func recordDue(t *gateway.Tables, j *gateway.Job, index int, r *gateway.Runner, now cs.Instant) {
	u := urgencyOf(t, j, &j.ItemWork[index], now)
	if u.late {
		u.dueTime = now.Add(lateDueTime)
	}
	if r.Batch == 1 { // which counts the item
		r.BatchDueAt, r.Cost.Item = 0, 0
	}
	r.Cost.Item = max(r.Cost.Item, j.Spec.Items[index].Tokens)
	r.BatchDueAt = max(r.BatchDueAt, u.dueTime)
}

// remainingOutput returns the size limit of the output of a run that continues the output so far, or 0 if there
// is no limit.
func remainingOutput(t *gateway.Tables, w *gateway.ItemWork) cs.Bytes {
	if t.Config.MaxOutput == 0 {
		return 0
	}
	return max(t.Config.MaxOutput-cs.Bytes(len(w.Text))-1, 1) // a line feed joins the outputs
}

// pickRunner picks a random runner of a route's services, weighted by its free batch slots and its speed, or returns nil if none has
// any with room for the item. It prefers runners that name a limit, since an item occupies a slot for longer than an
// online request and counts as one request as well, and takes one whose registration is missing or whose data centre may be
// unreachable only if there is no other.
func pickRunner(t *gateway.Tables, route *cs.Route, item *gateway.Item, now cs.Instant) *gateway.Runner {
	var picked, pickedLimited, pickedDoubtful *gateway.Runner
	sum, limited, doubtful := 0, 0, 0
	weigh := weighing{t: t, item: item}
	for _, r := range t.Runners.All() {
		slots := batchSlots(t, r, now)
		if slots == 0 || !routeUsesService(route, r.Spec.Service) {
			continue
		}
		if slots = weigh.weight(r, slots, now); slots == 0 {
			continue
		}
		switch {
		case r.MissingSince != 0 || t.Reach(r.Spec.DataCentre, now) != gateway.ReachGood:
			if doubtful += slots; t.Rand.IntN(doubtful) < slots {
				pickedDoubtful = r
			}
		case r.Limit.Named:
			if limited++; t.Rand.IntN(limited) == 0 {
				pickedLimited = r
			}
		default:
			if sum += slots; t.Rand.IntN(sum) < slots {
				picked = r
			}
		}
	}
	return cmp.Or(pickedLimited, picked, pickedDoubtful)
}

func routeUsesService(route *cs.Route, service cs.ServiceID) bool {
	return slices.ContainsFunc(route.Shares, func(s cs.ServiceShare) bool { return s.Service == service && s.Weight > 0 })
}
