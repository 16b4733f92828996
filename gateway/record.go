package gateway

import cs "github.com/crocusstile/crocusstile"

// Mark tells the append that wrote a record.
type Mark struct {
	Writer cs.Incarnation
	Number uint64
}

// JobRecord is one record of the job log as it was read.
type JobRecord struct {
	Offset cs.Offset
	Mark   Mark
	// Change is nil for a record that cannot be read or that completes nothing yet.
	Change JobChange
}

// JobChange is a change of the job log; a sealed type.
type JobChange interface{ isJobChange() }

// The changes.
type (
	// JobOpened accepts a job.
	JobOpened struct{ Spec JobSpec }
	// JobListed lists the result of the item at Index of the submission. The first one of an item in the
	// log counts, and the order of those in the log is the order in which callers get them.
	JobListed struct {
		Job   cs.JobID
		Index int
		// Mark tells the append that lists it: an item may be listed by several.
		Mark   Mark
		Result Result
	}
	// JobProgressed tells how far an item has come, when the VM that ran it hands it over.
	JobProgressed struct {
		Job cs.JobID
		// Item stands at Index of the submission.
		Item     cs.ItemID
		Index    int
		Progress Progress
	}
	// JobEnded ends a job.
	JobEnded struct{ Job cs.JobID }
	// JobDropped removes a job; Spec, Listed and Progressed tell the records that go.
	JobDropped struct {
		Job    cs.JobID
		Spec   JobSpec
		Listed []ResultKey
		// Progressed lists the items whose progress is in the log.
		Progressed []int
	}
)

// ResultKey tells a record of a result from others of its job.
type ResultKey struct {
	Index int
	Mark  Mark
}

func (JobOpened) isJobChange()     {}
func (JobListed) isJobChange()     {}
func (JobProgressed) isJobChange() {}
func (JobEnded) isJobChange()      {}
func (JobDropped) isJobChange()    {}
