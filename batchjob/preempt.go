package batchjob

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// PreemptRuns stops runs of items on runners that have more requests than slots. The excess is taken from the
// VMs with items there in the order of their ids: each VM subtracts the runs of those before it, so that
// together they stop no more runs than necessary.
func PreemptRuns(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	for id, r := range t.Runners.All() {
		excess := r.Load() - r.Spec.Slots
		if r.Batch == 0 || excess <= 0 {
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

// batchRunsOn returns the number of batch runs that a peer last reported on a runner.
func batchRunsOn(p *gateway.Peer, id cs.RunnerID) cs.Slots {
	for _, l := range p.Loads {
		if l.Runner == id {
			return l.Batch
		}
	}
	return 0
}

// stopLeastUrgent stops the least urgent of this VM's runs on a runner.
func stopLeastUrgent(t *gateway.Tables, id cs.RunnerID, now cs.Instant, out *gateway.Actions) {
	var (
		leastUrgent *gateway.Job
		index       int
		lowest      urgency
	)
	for _, j := range t.Jobs.All() {
		for i := range j.ItemWork {
			w := &j.ItemWork[i]
			if w.Phase != gateway.ItemRunning || w.Runner != id {
				continue
			}
			if u := urgencyOf(t, j, w, now); leastUrgent == nil || u.compareTo(lowest) > 0 {
				leastUrgent, index, lowest = j, i, u
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
