package fleet

import cs "github.com/crocusstile/crocusstile"

// Claim is a VM's claim of a shard.
type Claim struct {
	VM cs.VMID
	// Fence is the offset of the claim in the shard's work stream.
	Fence cs.Offset
}

// NewestClaim returns the newest claim of a shard known here, from this VM's reading of the work stream
// and from the heartbeats of the others. VM is empty if no claim is known, or if the newest one was
// released. A claim remains the newest while its VM is dead, since an older one is not in force again.
func (t *Tables) NewestClaim(shard cs.ShardID) Claim {
	newest := Claim{Fence: cs.NoOffset}
	if s := t.Shards.Get(shard); s != nil {
		newest.Fence = s.Claim
		if !s.Released {
			newest.VM = s.VM
		}
	}
	for id, vm := range t.VMs.All() {
		if id == t.Self.ID {
			continue
		}
		for _, o := range vm.LastHeartbeat.Owned {
			if o.Shard == shard && o.Fence > newest.Fence {
				newest = Claim{VM: id, Fence: o.Fence}
			}
		}
	}
	return newest
}
