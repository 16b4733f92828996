package job

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// held takes back the items that were granted to a sender over an earlier link and that it does not
// run: the grant or the outcome was lost with that link.
func held(t *fleet.Tables, from cs.VMID, m cs.ItemsHeld, now cs.Instant, out *fleet.Actions) {
	vm := t.VMs.Get(from)
	if vm == nil {
		return
	}
	keys := make(map[cs.ItemKey]bool, len(m.Items))
	for _, k := range m.Items {
		keys[k] = true
	}
	for _, s := range t.Shards.All() {
		if !acts(s) {
			continue
		}
		for _, id := range s.Active {
			if j := t.Jobs.Get(id); j != nil {
				takeLost(t, s, j, from, vm.LinkedAt, keys, now, out)
			}
		}
	}
}

func takeLost(t *fleet.Tables, s *fleet.Shard, j *fleet.Job, from cs.VMID, since cs.Instant, keys map[cs.ItemKey]bool, now cs.Instant, out *fleet.Actions) {
	for _, r := range j.Running {
		it, key := &j.Items[r.Index], cs.ItemKey{Job: j.ID, Index: r.Index}
		if it.State != cs.ItemRunning || it.Grants != r.Grant || it.Sender != from || keys[key] || it.Granted > since {
			continue
		}
		o := outcome{t: t, s: s, j: j, it: it, key: key, now: now, out: out}
		o.takeBack(true)
	}
}
