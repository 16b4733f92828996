package job

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// reclaimUnheld takes back the items that were granted to a sender before its present link opened
// and that it does not hold: the grant or the outcome was lost with the previous link.
func reclaimUnheld(t *fleet.Tables, from cs.VMID, m cs.ItemsHeld, now cs.Instant, out *fleet.Actions) {
	vm := t.VMs.Get(from)
	if vm == nil {
		return
	}
	held := make(map[cs.ItemKey]bool, len(m.Items))
	for _, k := range m.Items {
		held[k] = true
	}
	for _, s := range t.Shards.All() {
		if !isActiveOwner(s) {
			continue
		}
		for _, id := range s.Active {
			if j := t.Jobs.Get(id); j != nil {
				reclaimFrom(t, s, j, from, vm.LinkedAt, held, now, out)
			}
		}
	}
}

func reclaimFrom(t *fleet.Tables, s *fleet.Shard, j *fleet.Job, from cs.VMID, since cs.Instant, held map[cs.ItemKey]bool, now cs.Instant, out *fleet.Actions) {
	for _, r := range j.Running {
		it, key := &j.Items[r.Index], cs.ItemKey{Job: j.ID, Index: r.Index}
		if it.State != cs.ItemRunning || it.Grants != r.Grant || it.Sender != from || held[key] || it.Granted > since {
			continue
		}
		o := runOutcome{t: t, s: s, j: j, it: it, key: key, now: now, out: out}
		o.abandon(true)
	}
}
