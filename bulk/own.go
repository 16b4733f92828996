package bulk

import (
	"github.com/cespare/xxhash/v2"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// Own notes which partitions of the batch work belong to this VM.
func Own(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	for _, e := range t.Events {
		assigned, ok := e.(gateway.PartsAssigned)
		if !ok || t.Parts.Left {
			continue // after leaving, it is the answer to a renewal that was sent before
		}
		t.Parts.RenewedAt = now
		owned, changed := updateOwned(t.Parts.Owned, assigned.Parts, now)
		t.Parts.Owned = owned
		if changed {
			out.Note(gateway.Note{Kind: gateway.NotePartsChanged, Count: len(owned)})
			stopUnownedRuns(t, out)
		}
	}
}

// assign returns the partitions owned from now on with the time at which each was gained, and whether
// they are others than before.
func updateOwned(previous map[int]cs.Instant, parts []int, now cs.Instant) (map[int]cs.Instant, bool) {
	owned := make(map[int]cs.Instant, len(parts))
	changed := len(parts) != len(previous)
	for _, p := range parts {
		gainedAt, kept := previous[p]
		if !kept {
			gainedAt, changed = now, true
		}
		owned[p] = gainedAt
	}
	return owned, changed
}

// stopForeign stops the runs of jobs that belong to another VM now.
func stopUnownedRuns(t *gateway.Tables, out *gateway.Actions) {
	for id, j := range t.Jobs.All() {
		if !owns(t, id) {
			stopJobRuns(t, j, out)
		}
	}
}

// partOf returns the partition of a job.
func partitionOf(t *gateway.Tables, id cs.JobID) int {
	return int(xxhash.Sum64String(string(id)) % uint64(max(t.Config.Partitions, 1)))
}

// owns reports whether this VM runs the items of a job.
func owns(t *gateway.Tables, id cs.JobID) bool {
	_, ok := t.Parts.Owned[partitionOf(t, id)]
	return ok
}
