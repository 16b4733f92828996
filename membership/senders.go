package membership

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// AssignSenders assigns the batch sender of each runner: the highest-ranked VM of the runner's data
// centre by rendezvous hashing, among those that are live and not leaving.
func AssignSenders(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	m := &t.Membership
	if !m.AssignSenders.Begin(now, out) {
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
		if sender := highestRanked(string(id), candidates[r.DataCentre]); sender != r.Sender {
			r.Sender, r.SenderSince = sender, now
		}
	}
	m.SendersStale = m.SendersStale[:0]
}

// highestRanked returns the candidate with the highest rendezvous weight for a key, and among
// equals the one with the lowest ID. It returns "" if there are no candidates.
func highestRanked(key string, candidates []cs.VMID) cs.VMID {
	var (
		best   cs.VMID
		weight uint64
	)
	for _, id := range candidates {
		w := cs.RendezvousWeight(key, string(id))
		if best == "" || w > weight || w == weight && id < best {
			best, weight = id, w
		}
	}
	return best
}
