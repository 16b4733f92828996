package gateway

import (
	"github.com/cockroachdb/errors"

	cs "github.com/crocusstile/crocusstile"
)

// JobLogState is what applying the job log up to an offset makes of it. A VM hands it to a peer that has started or lost its
// history, which then reads only the changes made since.
type JobLogState struct {
	// End is the offset from which to read the changes.
	End cs.Offset
	// Age is the age of the state, which is not sent as an instant since the clocks of VMs differ.
	Age  cs.Span
	Jobs []JobState
	// Unreadable holds the offsets of the specifications that could not be decoded.
	Unreadable map[cs.JobID]cs.Offset
}

// JobState is a job in a JobLogState; its fields are those of Job.
type JobState struct {
	Spec       JobSpec         `cbor:"s"`
	Opened     cs.Offset       `cbor:"o"`
	Results    []Result        `cbor:"r,omitempty"`
	ResultKeys []ResultKey     `cbor:"k,omitempty"`
	Ended      bool            `cbor:"e,omitempty"`
	Saved      []SavedProgress `cbor:"p,omitempty"`
}

// SavedProgress is the partial output of an item whose progress is in the job log.
type SavedProgress struct {
	Index int `cbor:"n"`
	// SavedEvent is the last event in the log. Progress may be that of a later run, or be empty if the item has a result or
	// its result waits to be appended.
	SavedEvent cs.EventID `cbor:"s"`
	Progress   Progress   `cbor:"p"`
}

// Validate returns an error unless applying a job log can have made the state.
func (s *JobLogState) Validate() error {
	if s.End < 0 || s.Age < 0 {
		return errors.Newf("state of the job log at offset %d with an age of %d ms", s.End, s.Age)
	}
	known := make(map[cs.JobID]bool, len(s.Jobs))
	for i := range s.Jobs {
		j := &s.Jobs[i]
		if known[j.Spec.ID] {
			return errors.Newf("job %s is listed twice", j.Spec.ID)
		}
		known[j.Spec.ID] = true
		if j.Opened < 0 || j.Opened >= s.End {
			return errors.Newf("job %s was opened at offset %d, outside of the log", j.Spec.ID, j.Opened)
		}
		if err := j.validate(); err != nil {
			return errors.Wrapf(err, "job %s", j.Spec.ID)
		}
	}
	return nil
}

// validate returns an error unless the results and the progress are those of items of the job.
func (j *JobState) validate() error {
	if j.Spec.ID == "" || len(j.Spec.Items) == 0 {
		return errors.New("no ID or no items")
	}
	unlisted := make(map[cs.ItemID]bool, len(j.Spec.Items))
	for _, item := range j.Spec.Items {
		unlisted[item.ID] = true
	}
	for _, r := range j.Results {
		if !unlisted[r.Item] {
			return errors.Newf("result of %q, which is no item or has one", r.Item)
		}
		delete(unlisted, r.Item)
	}
	for _, k := range j.ResultKeys {
		if k.Index < 0 || k.Index >= len(j.Spec.Items) {
			return errors.Newf("key of a result at position %d", k.Index)
		}
	}
	for _, p := range j.Saved {
		if p.Index < 0 || p.Index >= len(j.Spec.Items) || p.SavedEvent <= 0 || p.Progress.LastEvent < 0 {
			return errors.Newf("progress of the item at position %d up to event %d", p.Index, p.SavedEvent)
		}
	}
	return nil
}
