package job

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// maxLanes bounds the number of different targets of a job, since lanes are searched linearly.
const maxLanes = 64

func itemOf(t *fleet.Tables, k cs.ItemKey) (*fleet.Job, *fleet.Item) {
	j := t.Jobs.Get(k.Job)
	if j == nil || k.Index < 0 || int(k.Index) >= len(j.Items) || !j.Items[k.Index].Known {
		return j, nil
	}
	return j, &j.Items[k.Index]
}

// setState moves an item to another state and updates the job's counts.
func setState(j *fleet.Job, it *fleet.Item, to cs.ItemState) {
	j.Counts[it.State]--
	j.Counts[to]++
	if it.State.Ended() {
		j.Ended--
	}
	if to.Ended() {
		j.Ended++
	}
	it.State = to
}

func setUndurable(j *fleet.Job, it *fleet.Item, undurable bool) {
	if it.Undurable != undurable {
		it.Undurable = undurable
		if undurable {
			j.Undurable++
		} else {
			j.Undurable--
		}
	}
}

// applyEnd ends an item as recorded in the log and drops what only a run needs.
func applyEnd(j *fleet.Job, it *fleet.Item, to cs.ItemState) {
	setUndurable(j, it, false)
	setState(j, it, to)
	it.Target, it.Partial, it.Sender = nil, "", ""
}

// endItem ends an item in memory and queues the record that makes the end durable.
func endItem(s *fleet.Shard, j *fleet.Job, k cs.ItemKey, it *fleet.Item, res cs.ItemResult) {
	res.Index = k.Index
	it.Output, it.Error, it.Attempts = res.Output, res.Error, res.Attempts
	setState(j, it, res.State)
	setUndurable(j, it, true)
	it.Partial, it.Sender = "", ""
	s.Pending = append(s.Pending, cs.ItemEnded{Job: k.Job, Result: res})
}

// revertItem undoes what an owner did with an item ahead of the log.
func revertItem(j *fleet.Job, it *fleet.Item) {
	it.Starting = false
	if it.State.Ended() && !it.Undurable || it.State == cs.ItemWaiting {
		return
	}
	if it.Undurable {
		it.Output, it.Error, it.Attempts = "", "", 0
	}
	setUndurable(j, it, false)
	setState(j, it, cs.ItemWaiting)
	it.Sender = ""
}

// laneID identifies a lane within a job.
type laneID struct {
	service       cs.ServiceID
	model         cs.ModelID
	version       cs.VersionID
	nonIdempotent bool
}

func laneOfItem(it cs.Item) laneID {
	id := laneID{nonIdempotent: it.NonIdempotent}
	switch target := it.Target.(type) {
	case cs.Generation:
		id.model, id.version = target.Model, target.Version
	case cs.ServiceCall:
		id.service = target.Service
	}
	return id
}

// laneOf returns the job's lane for an item, and creates it if there is none.
func laneOf(j *fleet.Job, it *fleet.Item) *fleet.Lane {
	id := laneOfItem(it.Item)
	for i := range j.Lanes {
		l := &j.Lanes[i]
		if id == (laneID{l.Service, l.Model, l.Version, l.NonIdempotent}) {
			return l
		}
	}
	j.Lanes = append(j.Lanes, fleet.Lane{
		Service: id.service, Model: id.model, Version: id.version, NonIdempotent: id.nonIdempotent,
	})
	return &j.Lanes[len(j.Lanes)-1]
}

// enqueue makes an open job's waiting items available for grants.
func enqueue(s *fleet.Shard, j *fleet.Job, now cs.Instant) {
	if j.State != cs.JobOpen || j.KnownItems != j.Count {
		return
	}
	j.Lanes, j.Delayed = nil, nil
	for i := range j.Items {
		it := &j.Items[i]
		if it.State != cs.ItemWaiting || it.Started {
			continue
		}
		l := laneOf(j, it)
		l.Queue = append(l.Queue, cs.ItemIndex(i))
	}
	s.Active = append(s.Active, j.ID)
	scheduleNotify(s, now)
}

// scheduleNotify has the batch senders notified in this tick if the last sweep found no waiting
// items.
func scheduleNotify(s *fleet.Shard, now cs.Instant) {
	if !s.Notified {
		s.NotifyAt, s.SweepAt = now, min(s.SweepAt, now)
	}
}

// requeueItem makes a running item wait again: at the front of its lane, or, if notBefore is in the
// future, delayed until then.
func requeueItem(s *fleet.Shard, j *fleet.Job, k cs.ItemKey, it *fleet.Item, notBefore, now cs.Instant) {
	setState(j, it, cs.ItemWaiting)
	it.Sender = ""
	it.NotBefore = notBefore
	if notBefore > now {
		j.Delayed = append(j.Delayed, k.Index)
		return
	}
	l := laneOf(j, it)
	l.Returned = append(l.Returned, k.Index)
	scheduleNotify(s, now)
}
