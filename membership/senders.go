package membership

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// Senders chooses the batch sender of each runner: the first VM of its data centre by rendezvous
// hashing that is live and not leaving.
func Senders(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	m := &t.Membership
	if !m.Senders.Begin(now, out) {
		return
	}
	candidates := make(map[cs.DataCentreID][]cs.VMID, len(m.SendersStale))
	for id, v := range t.VMs.All() {
		if v.Live && !v.Leaving && slices.Contains(m.SendersStale, v.DataCentre) {
			candidates[v.DataCentre] = append(candidates[v.DataCentre], id)
		}
	}
	for id, r := range t.Runners.All() {
		if !slices.Contains(m.SendersStale, r.DataCentre) {
			continue
		}
		if sender := first(string(id), candidates[r.DataCentre]); sender != r.Sender {
			r.Sender, r.SenderSince = sender, now
		}
	}
	m.SendersStale = m.SendersStale[:0]
}

// first returns the candidate that is ranked first for a key; of equal weights the lower id is
// first. It returns "" if there is no candidate.
func first(key string, candidates []cs.VMID) cs.VMID {
	var (
		best   cs.VMID
		weight uint64
	)
	for _, id := range candidates {
		w := cs.Rendezvous(key, string(id))
		if best == "" || w > weight || w == weight && id < best {
			best, weight = id, w
		}
	}
	return best
}
