package bulk

import (
	"cmp"
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/gateway"
)

// How items are given to runners.
const (
	// headroom is the number of slots of a runner that batch leaves free for online requests.
	reservedOnlineSlots = 1
	// startGap is the time between two rounds of starts: peers must have heard of the first before
	// the second, so that VMs do not fill the same slots.
	roundInterval = 30 * cs.Millisecond
	// maxStarts bounds the starts of one round: prefills that begin together delay each other and the
	// streams of the runner.
	maxStartsPerRound = 4
	// itemSilence is how long the runner of an item may be silent. Items start where a slot is free, and
	// an engine's events follow each other within tens of milliseconds; the platform's callers give
	// a stream up after the same pause.
	itemIdleTimeout = 2 * cs.Second
	// defaultDue orders jobs whose route the catalog no longer names.
	defaultCompletionTarget = 20 * cs.Second
	// adoptWait is the pause before items of a job that is not new are started after a partition was
	// gained, unless they were handed over: the VM that had it may learn of the loss at its next
	// renewal, two thirds of a second later, and tells then how far they have come.
	takeoverDelay = 900 * cs.Millisecond
	// handOverAge is how long before a partition was gained its items may have been handed over.
	maxHandOverAge = cs.Second
	// groupTimeout is the age of the membership beyond which this VM starts no items: another VM may
	// own its partitions by then.
	membershipTimeout = 2 * cs.Second
)

// due returns when a job's results are due.
func dueTime(t *gateway.Tables, j *gateway.Job) cs.Instant {
	target := defaultCompletionTarget
	if t.Catalog != nil {
		if r := t.Catalog.Route(j.Spec.Route); r != nil && r.Completion > 0 {
			target = r.Completion
		}
	}
	return j.Spec.Accepted.Add(target)
}

// candidate is an item that may be started.
type candidate struct {
	key     gateway.ItemKey
	urgency urgency
}

// Schedule starts waiting items, the most urgent first, on runners with free slots.
func Schedule(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	if t.Catalog == nil || t.Drain.Phase != fleet.DrainNone {
		return
	}
	if now.Sub(t.Parts.RenewedAt) > membershipTimeout && !t.StoreAway() {
		return // another VM may own the items by now
	}
	if next := t.Parts.StartedAt.Add(roundInterval); now < next {
		out.WakeAt(next)
		return
	}
	waiting := waitingItems(t, now, out)
	slices.SortFunc(waiting, func(a, b candidate) int {
		return cmp.Or(a.urgency.compareTo(b.urgency), cmp.Compare(a.key.Job, b.key.Job), cmp.Compare(a.key.Index, b.key.Index))
	})
	t.Parts.Waiting = slotDemand(waiting)
	if len(waiting) == 0 {
		return
	}
	t.Parts.StartedAt = now
	out.WakeAt(now.Add(roundInterval))
	quota := startQuota(t, now)
	for _, c := range waiting {
		if quota == 0 {
			break
		}
		if startItem(t, c.key, now, out) {
			quota--
		}
	}
}

// lateClaim is the number of items that will be late whose claim to free slots equals that of one that
// can be in time.
const lateItemsPerSlotDemand = 5

// claim returns the weight of the waiting items of this VM in the division of free slots.
func slotDemand(waiting []candidate) int {
	onTime, late := 0, 0
	for _, c := range waiting {
		if c.urgency.late {
			late++
		} else {
			onTime++
		}
	}
	return onTime + (late+lateItemsPerSlotDemand-1)/lateItemsPerSlotDemand
}

// share returns how many items this VM may start in a round: its part of the free slots by what waits
// here and at peers. A fraction is drawn by chance, so that VMs that see the same few slots do not all
// take them.
func startQuota(t *gateway.Tables, now cs.Instant) int {
	free, totalDemand := 0, t.Parts.Waiting
	for _, r := range t.Runners.All() {
		free += batchSlots(t, r, now)
	}
	for _, p := range t.Peers.All() {
		totalDemand += p.Waiting
	}
	fraction := float64(free) * float64(t.Parts.Waiting) / float64(totalDemand)
	n := int(fraction)
	if t.Rand.Float64() < fraction-float64(n) {
		n++
	}
	return min(n, maxStartsPerRound)
}

// room returns the slots of a runner that batch may take.
func batchSlots(t *gateway.Tables, r *gateway.Runner, now cs.Instant) int {
	if !r.Usable(now) || r.Doubted(now) || t.Reach(r.Spec.DataCentre, now) != gateway.ReachGood || !runsBatchItems(t, r.Spec.Service) {
		return 0
	}
	return max(int(r.Spec.Slots-reservedOnlineSlots-r.Load()), 0)
}

// batchService reports whether a service runs items of some batch route.
func runsBatchItems(t *gateway.Tables, id cs.ServiceID) bool {
	g, ok := t.Catalog.Groups[id]
	return !ok || g.Kind == cs.KindEngine
}

// candidates returns the items of this VM that wait for a runner, and gives up those that are past
// their route's retention.
func waitingItems(t *gateway.Tables, now cs.Instant, out *gateway.Actions) []candidate {
	var waiting []candidate
	for id, j := range t.Jobs.All() {
		if !j.Open() || !owns(t, id) {
			continue
		}
		route := t.Catalog.Route(j.Spec.Route)
		for i := range j.Work {
			w := &j.Work[i]
			if w.Phase != gateway.ItemWaiting {
				continue
			}
			k := gateway.ItemKey{Job: id, Index: i}
			if route == nil || route.Retention > 0 && now.Sub(j.Seen) > route.Retention {
				proposeResult(t, j, k, gateway.Result{Item: j.Spec.Items[i].ID})
				continue
			}
			if earliest := max(w.NotBefore, earliestTakeover(t, j, w)); now < earliest {
				out.WakeAt(earliest)
				continue
			}
			if !crashLimitReached(t, k) {
				waiting = append(waiting, candidate{key: k, urgency: urgencyOf(t, j, w, now)})
			}
		}
	}
	return waiting
}

// adoption returns when an item of another VM may be started here.
func earliestTakeover(t *gateway.Tables, j *gateway.Job, w *gateway.Work) cs.Instant {
	gained := t.Parts.Owned[partitionOf(t, j.Spec.ID)]
	if j.Seen >= gained || w.HandedAt.Add(maxHandOverAge) >= gained {
		return 0
	}
	return gained.Add(takeoverDelay)
}

// start runs an item on a runner with room and returns whether there was one.
func startItem(t *gateway.Tables, k gateway.ItemKey, now cs.Instant, out *gateway.Actions) bool {
	j := t.Jobs.Get(k.Job)
	r := pickRunner(t, t.Catalog.Route(j.Spec.Route), now)
	if r == nil {
		return false
	}
	load := r.Load()
	r.Batch++
	w := &j.Work[k.Index]
	w.Phase, w.Runner, w.Started = gateway.ItemRunning, r.Spec.ID, now
	w.Attempt++
	item := j.Spec.Items[k.Index]
	out.Add(gateway.RunItem{
		Key: k, Attempt: w.Attempt, Runner: r.Spec.ID, Address: r.Spec.Address, Host: j.Spec.Host, Item: item, LastEvent: w.LastEvent,
		Silence: itemIdleTimeout,
	})
	out.Note(gateway.Note{
		Kind: gateway.NoteItemStarted, Job: k.Job, Item: item.ID, Runner: r.Spec.ID, Attempt: w.Attempt, Load: load,
		Count: int(w.LastEvent), Age: now.Sub(t.Parts.RenewedAt),
	})
	return true
}

// pickRoom draws one of the runners of a route's services, by the slots that they have for batch, or
// returns nil.
func pickRunner(t *gateway.Tables, route *cs.Route, now cs.Instant) *gateway.Runner {
	var picked *gateway.Runner
	sum := 0
	for _, r := range t.Runners.All() {
		if !routeUsesService(route, r.Spec.Service) {
			continue
		}
		slots := batchSlots(t, r, now)
		sum += slots
		if slots > 0 && t.Rand.IntN(sum) < slots {
			picked = r
		}
	}
	return picked
}

func routeUsesService(route *cs.Route, service cs.ServiceID) bool {
	return slices.ContainsFunc(route.Shares, func(s cs.ServiceShare) bool { return s.Service == service && s.Weight > 0 })
}
