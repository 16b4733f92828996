package batchjob

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// PreemptRuns stops the runs of items that allocators tell this VM to stop, and runs on runners without an allocator that have
// more requests than slots. That excess is taken from the VMs with items there in the order of their ids: each VM subtracts the
// runs of those before it, so that together they stop no more runs than necessary.
func PreemptRuns(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	for _, e := range t.Events {
		if e, ok := e.(gateway.SlotsReceived); ok {
			stopRuns(t, e.Message.Preemptions, now, out)
		}
	}
	stopRuns(t, t.Slots.OwnPreemptions, now, out)
	t.Slots.OwnPreemptions = nil
	for id, r := range t.Runners.All() {
		excess := r.Load() - r.Spec.Slots
		if r.Batch == 0 || excess <= 0 || t.HasAllocator(r, now) {
			continue
		}
		for peer, p := range t.Peers.All() {
			if peer < t.Self.ID {
				excess -= batchRunsOn(p, id)
			}
		}
		for range min(excess, r.Batch) {
			stopLeastUrgent(t, id, now, out)
		}
	}
}

// stopRuns stops the runs that an allocator has named.
func stopRuns(t *gateway.Tables, preemptions []gateway.SlotPreemption, now cs.Instant, out *gateway.Actions) {
	for _, p := range preemptions {
		if r := t.Runners.Get(p.Runner); r != nil {
			for range min(p.Runs, r.Batch) {
				stopLeastUrgent(t, p.Runner, now, out)
			}
		}
	}
}

// batchRunsOn returns the number of batch runs that a peer last reported on a runner.
func batchRunsOn(p *gateway.Peer, id cs.RunnerID) cs.Slots {
	for _, l := range p.Loads {
		if l.Runner == id {
			return l.Batch
		}
	}
	return 0
}

// almostDoneTime is the remaining time of a run that is only stopped if there is no other.
const almostDoneTime = 500 * cs.Millisecond

// stopLeastUrgent stops the least urgent of this VM's runs on a runner, one that ends soon last.
func stopLeastUrgent(t *gateway.Tables, id cs.RunnerID, now cs.Instant, out *gateway.Actions) {
	var (
		leastUrgent *gateway.Job
		index       int
		lowest      urgency
		almostDone  bool
	)
	for _, j := range t.Jobs.All() {
		for i := range j.ItemWork {
			w := &j.ItemWork[i]
			if w.Phase != gateway.ItemRunning || w.Runner != id {
				continue
			}
			u, done := urgencyOf(t, j, w, now), runsOutSoon(t, w, now)
			if leastUrgent == nil || almostDone && !done || almostDone == done && u.compareTo(lowest) > 0 {
				leastUrgent, index, lowest, almostDone = j, i, u, done
			}
		}
	}
	if leastUrgent == nil {
		return
	}
	w := &leastUrgent.ItemWork[index]
	w.NotBefore = now.Add(notRunRetryDelay)
	stopRun(t, leastUrgent, index, out)
	out.Note(gateway.Note{
		Kind: gateway.NoteItemStopped, Job: leastUrgent.Spec.ID, Item: leastUrgent.Spec.Items[index].ID, Runner: id,
		Attempt: w.Attempt, Duration: now.Sub(w.Started),
	})
}

// runsOutSoon reports whether a run is expected to end within almostDoneTime.
func runsOutSoon(t *gateway.Tables, w *gateway.ItemWork, now cs.Instant) bool {
	return w.Started.Add(remainingTime(t, w)).Sub(now) < almostDoneTime
}
