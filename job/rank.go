package job

import (
	"strconv"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// dataCentre is a data centre with the VMs in it that may own shards.
type dataCentre struct {
	dc  cs.DataCentreID
	vms []cs.VMID
}

// candidates returns the live VMs that are not leaving and can read the log, by data centre.
//
// If no VM can read the log, all live ones are returned, so that an outage of the log does not
// change the ranking.
func candidates(t *fleet.Tables, now cs.Instant) []dataCentre {
	var reading, all []dataCentre
	add := func(vm cs.VM, age cs.Span) {
		all = addVM(all, vm)
		if age <= t.Config.Lease {
			reading = addVM(reading, vm)
		}
	}
	if t.Drain.Phase == fleet.DrainNone {
		add(t.Self, t.Log.Age(max(now, t.Log.ReadAt)))
	}
	for id, vm := range t.VMs.All() {
		if id == t.Self.ID || !vm.Live || vm.Leaving || vm.LastHeartbeat.Leaving {
			continue
		}
		add(vm.VM, vm.LastHeartbeat.LogAge)
	}
	if len(reading) > 0 {
		return reading
	}
	return all
}

func addVM(centres []dataCentre, vm cs.VM) []dataCentre {
	for i := range centres {
		if centres[i].dc == vm.DataCentre {
			centres[i].vms = append(centres[i].vms, vm.ID)
			return centres
		}
	}
	return append(centres, dataCentre{vm.DataCentre, []cs.VMID{vm.ID}})
}

// rankKey returns the key with which the candidates for a shard are hashed.
func rankKey(shard cs.ShardID) string { return "shard/" + strconv.Itoa(int(shard)) }

// ranked returns the first and second VM of the shard's home data centre, or "" where there is
// none.
func ranked(shard cs.ShardID, centres []dataCentre) (first, second cs.VMID) {
	home := homeOf(shard, centres)
	if home == nil {
		return "", ""
	}
	key := rankKey(shard)
	var best, next uint64
	for _, vm := range home.vms {
		switch w := cs.RendezvousWeight(key, string(vm)); {
		case first == "" || w > best:
			second, next = first, best
			first, best = vm, w
		case second == "" || w > next:
			second, next = vm, w
		}
	}
	return first, second
}

// homeOf returns the data centre that is ranked first for the shard, or nil if there is none.
func homeOf(shard cs.ShardID, centres []dataCentre) *dataCentre {
	key := rankKey(shard)
	var (
		home *dataCentre
		best uint64
	)
	for i := range centres {
		if w := cs.RendezvousWeight(key, "dc/"+string(centres[i].dc)); home == nil || w > best {
			home, best = &centres[i], w
		}
	}
	return home
}

// ownerOf returns the VM that holds the newest claim of the shard known here, or "" if it is dead or
// none is known.
func ownerOf(t *fleet.Tables, shard cs.ShardID) cs.VMID {
	owner := t.NewestClaim(shard).VM
	if !isLive(t, owner) {
		return ""
	}
	return owner
}

// nextHop returns the VM itself if a link to it is open, or else a linked VM of its data centre,
// which has links to all VMs there; it returns "" if there is none.
func nextHop(t *fleet.Tables, id cs.VMID) cs.VMID {
	vm := t.VMs.Get(id)
	if vm == nil {
		return ""
	}
	if vm.Linked {
		return id
	}
	var (
		relay cs.VMID
		best  uint64
	)
	for other, row := range t.VMs.All() {
		if !row.Linked || !row.Live || row.DataCentre != vm.DataCentre || row.DataCentre == t.Self.DataCentre {
			continue
		}
		if w := cs.RendezvousWeight(string(id), string(other)); relay == "" || w > best {
			relay, best = other, w
		}
	}
	return relay
}

func isLive(t *fleet.Tables, id cs.VMID) bool {
	if id == t.Self.ID {
		return true
	}
	vm := t.VMs.Get(id)
	return vm != nil && vm.Live
}

// lostSince reports whether a VM is now another process than inc, is dead, or was dead at some time
// after since, so that messages to it may have been lost.
func lostSince(t *fleet.Tables, id cs.VMID, inc cs.Incarnation, since cs.Instant) bool {
	if id == t.Self.ID {
		return inc != t.Self.Incarnation
	}
	vm := t.VMs.Get(id)
	return vm == nil || !vm.Live || vm.Incarnation != inc || vm.LiveSince > since
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
