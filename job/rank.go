package job

import (
	"strconv"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// candidate is a VM that may own shards.
type candidate struct {
	vm cs.VMID
	dc cs.DataCentreID
}

// candidates returns the live VMs that are not leaving and can read the log.
//
// If no VM can, all live ones are returned, so that an outage of the log moves no role.
func candidates(t *fleet.Tables, now cs.Instant) []candidate {
	var reading, all []candidate
	add := func(vm cs.VM, age cs.Span) {
		c := candidate{vm.ID, vm.DataCentre}
		all = append(all, c)
		if age <= t.Config.Lease {
			reading = append(reading, c)
		}
	}
	if t.Drain.Phase == fleet.DrainNone {
		add(t.Self, t.Log.Age(max(now, t.Log.ReadAt)))
	}
	for id, vm := range t.VMs.All() {
		if id == t.Self.ID || !vm.Live || vm.Leaving || vm.Beat.Leaving {
			continue
		}
		add(vm.VM, vm.Beat.LogAge)
	}
	if len(reading) > 0 {
		return reading
	}
	return all
}

// ranked returns the first and second VM of the shard's home data centre, empty if there are none.
func ranked(shard cs.ShardID, all []candidate) (first, second cs.VMID) {
	key := "shard/" + strconv.Itoa(int(shard))
	home := homeOf(key, all)
	var best, next uint64
	for _, c := range all {
		if c.dc != home {
			continue
		}
		switch w := cs.Rendezvous(key, string(c.vm)); {
		case first == "" || w > best:
			second, next = first, best
			first, best = c.vm, w
		case second == "" || w > next:
			second, next = c.vm, w
		}
	}
	return first, second
}

// homeOf returns the data centre that is ranked first among those that have a candidate.
func homeOf(key string, all []candidate) cs.DataCentreID {
	var (
		home, last cs.DataCentreID
		best       uint64
	)
	for _, c := range all {
		if c.dc == last || c.dc == home {
			continue
		}
		last = c.dc
		if w := cs.Rendezvous(key, "dc/"+string(c.dc)); home == "" || w > best {
			home, best = c.dc, w
		}
	}
	return home
}

// ownerOf returns the live VM that claims the shard under the newest claim known here, or "".
func ownerOf(t *fleet.Tables, shard cs.ShardID) cs.VMID {
	var (
		owner cs.VMID
		fence = cs.NoOffset
	)
	if s := t.Shards.Get(shard); s != nil && !s.Released {
		owner, fence = s.VM, s.Claim
	}
	for id, vm := range t.VMs.All() {
		if !vm.Live || id == t.Self.ID {
			continue
		}
		for _, o := range vm.Beat.Owned {
			if o.Shard == shard && o.Fence > fence {
				owner, fence = id, o.Fence
			}
		}
	}
	if owner == "" || owner != t.Self.ID && !isLive(t, owner) {
		return ""
	}
	return owner
}

func isLive(t *fleet.Tables, id cs.VMID) bool {
	if id == t.Self.ID {
		return true
	}
	vm := t.VMs.Get(id)
	return vm != nil && vm.Live
}

// lostSince reports whether a VM is another process than then, is dead, or was dead meanwhile, so
// that messages to it may have been lost.
func lostSince(t *fleet.Tables, id cs.VMID, inc cs.Incarnation, then cs.Instant) bool {
	if id == t.Self.ID {
		return inc != t.Self.Incarnation
	}
	vm := t.VMs.Get(id)
	return vm == nil || !vm.Live || vm.Incarnation != inc || vm.LiveSince > then
}

// incarnationOf returns a VM's incarnation, or 0 if it is not known.
func incarnationOf(t *fleet.Tables, id cs.VMID) cs.Incarnation {
	if id == t.Self.ID {
		return t.Self.Incarnation
	}
	if vm := t.VMs.Get(id); vm != nil {
		return vm.Incarnation
	}
	return 0
}
