package batchjob

import (
	"github.com/cespare/xxhash/v2"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// AssignPartitions records the job partitions that the store's group assigns to this VM, and stops the runs
// of jobs whose partition it has lost.
func AssignPartitions(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	for _, e := range t.Events {
		assigned, ok := e.(gateway.PartitionsAssigned)
		if !ok || t.Partitions.Left {
			continue // after leaving, this is the answer to a renewal sent earlier
		}
		t.Partitions.RenewedAt = now
		owned, changed := updateOwned(t.Partitions.Owned, assigned.Partitions, now)
		t.Partitions.Owned = owned
		if changed {
			out.Note(gateway.Note{Kind: gateway.NotePartsChanged, Count: len(owned)})
			stopUnownedRuns(t, out)
		}
	}
}

// updateOwned returns the partitions owned from now on, each with the time at which it was gained, and
// reports whether they differ from the previous ones.
func updateOwned(previous map[int]cs.Instant, partitions []int, now cs.Instant) (map[int]cs.Instant, bool) {
	owned := make(map[int]cs.Instant, len(partitions))
	changed := len(partitions) != len(previous)
	for _, p := range partitions {
		gainedAt, kept := previous[p]
		if !kept {
			gainedAt, changed = now, true
		}
		owned[p] = gainedAt
	}
	return owned, changed
}

// stopUnownedRuns stops the runs of jobs that this VM does not own.
func stopUnownedRuns(t *gateway.Tables, out *gateway.Actions) {
	for id, j := range t.Jobs.All() {
		if !owns(t, id) {
			stopJobRuns(t, j, out)
		}
	}
}

// PartitionOf returns the partition of a job, by the hash of its id.
func PartitionOf(t *gateway.Tables, id cs.JobID) int {
	return int(xxhash.Sum64String(string(id)) % uint64(max(t.Config.PartitionCount, 1)))
}

// owns reports whether this VM owns a job's partition and therefore runs its items.
func owns(t *gateway.Tables, id cs.JobID) bool {
	_, ok := t.Partitions.Owned[PartitionOf(t, id)]
	return ok
}
