package gateway

import cs "github.com/crocusstile/crocusstile"

// AppendID identifies the append that wrote a record of the job log. It is stored in the record, so that a VM
// that does not know the outcome of its append can find out whether the append took effect.
type AppendID struct {
	Writer cs.Incarnation
	// Number is the number of the append within the writer's process.
	Number uint64
}

// JobRecord is one record read from the job log, after decoding.
type JobRecord struct {
	Offset   cs.Offset
	AppendID AppendID
	// Change is nil if the record could not be decoded, is a chunk of a job of which other chunks have not
	// been read yet, or removes a key whose removal alone changes nothing.
	Change JobChange
	// Partial means that the record is a chunk of a specification of which other chunks have not been read.
	Partial bool
	// Unreadable is the job whose specification could not be decoded, or empty.
	Unreadable cs.JobID
}

// JobChange is one change of the state that the job log holds; a sealed type.
type JobChange interface{ isJobChange() }

// The changes of the job log.
type (
	// JobOpened adds an accepted job.
	JobOpened struct{ Spec JobSpec }
	// JobResultAppended adds the result of the item at Index of the submission. Several VMs may write a
	// result of the same item; the first one in the log counts. Callers get results in the order of the log.
	JobResultAppended struct {
		Job   cs.JobID
		Index int
		// AppendID is that of the append that wrote the result and distinguishes several results of an item.
		AppendID AppendID
		Result   Result
	}
	// ProgressSaved stores the partial output of an item when the VM that ran it hands it over, so that
	// another VM resumes it there.
	ProgressSaved struct {
		Job cs.JobID
		// Item is the id of the item at Index of the submission.
		Item     cs.ItemID
		Index    int
		Progress Progress
	}
	// JobEnded ends a job at the request of its caller.
	JobEnded struct{ Job cs.JobID }
	// JobRemoved removes all records of a job from the log; Spec, ResultKeys and Progressed determine their
	// keys. In a change read from the log only Job is set.
	JobRemoved struct {
		Job        cs.JobID
		Spec       JobSpec
		ResultKeys []ResultKey
		// Progressed lists the indexes of the items whose partial output is in the log.
		Progressed []int
	}
)

// ResultKey identifies a record of a result among those of its job.
type ResultKey struct {
	Index    int
	AppendID AppendID
}

func (JobOpened) isJobChange()         {}
func (JobResultAppended) isJobChange() {}
func (ProgressSaved) isJobChange()     {}
func (JobEnded) isJobChange()          {}
func (JobRemoved) isJobChange()        {}
