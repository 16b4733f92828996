package batchjob_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// follower is a VM with the offset from which its feed reads the job log.
type follower struct {
	*vm
	// next is cs.NoOffset while a snapshot is to be read.
	next cs.Offset
}

// read posts at most n records from an offset on, and that the feed reads on after them.
func (f *follower) read(l *jobLog, from cs.Offset, n int, sent cs.Instant) cs.Offset {
	end := min(from+cs.Offset(n), cs.Offset(len(l.records)))
	if end > from {
		f.inbox = append(f.inbox, gateway.JobsRead{From: from, End: end, Records: l.records[from:end]})
	}
	done := gateway.FeedRead{Feed: gateway.FeedJobs, Loaded: end == cs.Offset(len(l.records)), Next: end}
	if done.Loaded {
		done.AsOf = sent
	}
	f.inbox = append(f.inbox, done)
	return end
}

// readSnapshot posts a snapshot whose first page was read at offset end.
func (f *follower) readSnapshot(l *jobLog, end cs.Offset, sent cs.Instant) {
	f.inbox = append(f.inbox, gateway.JobsRead{Snapshot: true, From: cs.NoOffset, End: end, Records: l.records},
		gateway.FeedRead{Feed: gateway.FeedJobs, Loaded: true, AsOf: sent, Next: end})
	f.next = end
}

// run ticks and executes the requests to read the log again.
func (f *follower) run(now cs.Instant) {
	f.rereads = nil
	f.tick(now)
	f.appends = nil
	for _, r := range f.rereads {
		f.next = r.From
	}
}

// Guards against a VM that misses records of the job log for good and lists results at other positions than other VMs: a state
// handed over by a peer and the records after it that arrive in one tick, a read that goes on elsewhere, a snapshot or a state that is older than what was
// applied, and a history that has expired, in all orders.
func TestAppliedJobLogHasNoHoles(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		const jobs, items = 3, 6
		l, now := &jobLog{}, startTime
		vms := make([]*follower, 3)
		for i := range vms {
			vms[i] = &follower{vm: newVM(cs.VMID(fmt.Sprintf("v%d", i)))} // owns no partition, and so runs no item
			vms[i].inbox = nil
			vms[i].next = cs.NoOffset
		}
		listed := make(map[cs.JobID][]cs.ItemID)
		appendRecord := func() {
			job := cs.JobID(fmt.Sprintf("j%d", rapid.IntRange(0, jobs-1).Draw(r, "job")))
			a := gateway.AppendID{Writer: 77, Number: uint64(len(l.records) + 1)}
			change := gateway.JobChange(gateway.JobOpened{Spec: newJob(job, items)})
			if list, ok := listed[job]; ok {
				index := rapid.IntRange(0, items-1).Draw(r, "item")
				id := newJob(job, items).Items[index].ID
				change = gateway.JobResultAppended{Job: job, Index: index, AppendID: a, Result: gateway.Result{Item: id, Done: true}}
				isListed := false
				for _, other := range list {
					isListed = isListed || other == id
				}
				if !isListed {
					listed[job] = append(list, id)
				}
			} else {
				listed[job] = nil
			}
			l.records = append(l.records, gateway.JobRecord{Offset: cs.Offset(len(l.records)), AppendID: a, Change: change})
		}
		for range rapid.IntRange(5, 60).Draw(r, "steps") {
			f := vms[rapid.IntRange(0, len(vms)-1).Draw(r, "vm")]
			switch rapid.IntRange(0, 8).Draw(r, "step") {
			case 0, 1, 2:
				appendRecord()
			case 3, 4:
				if f.next == cs.NoOffset {
					f.readSnapshot(l, cs.Offset(rapid.IntRange(0, len(l.records)).Draw(r, "end of the first page")), now)
				} else {
					f.next = f.read(l, f.next, rapid.IntRange(0, 4).Draw(r, "records"), now)
				}
			case 5: // a peer hands over its state
				other := vms[rapid.IntRange(0, len(vms)-1).Draw(r, "peer")]
				other.states = nil
				other.inbox = append(other.inbox, gateway.JobStateRequested{Query: 1})
				other.run(now)
				if state := other.states[0].State; state != nil && f != other {
					f.inbox = append(f.inbox, gateway.JobStateRead{Peer: other.Self.ID, AsOf: now.Add(-state.Age), State: *state})
					f.next = state.End
				}
			case 6:
				f.next = cs.NoOffset // the history has expired
			case 7: // a read that began elsewhere arrives late
				f.read(l, cs.Offset(rapid.IntRange(0, len(l.records)).Draw(r, "from")), 2, now.Add(-cs.Second))
			case 8:
				f.run(now)
			}
			now = now.Add(10)
		}
		for _, f := range vms {
			for range 4 { // a read that is repeated may bring a gap to light, and the next one closes it
				f.run(now)
				if f.next == cs.NoOffset {
					f.readSnapshot(l, cs.Offset(len(l.records)), now)
				} else {
					f.next = f.read(l, f.next, len(l.records), now)
				}
				now = now.Add(10)
			}
			f.run(now)
			for job, want := range listed {
				j := f.Jobs.Get(job)
				if j == nil {
					r.Fatalf("%s lacks %s", f.Self.ID, job)
				}
				got := fmt.Sprint(resultIDs(j))
				if got != fmt.Sprint(want) {
					r.Fatalf("%s lists %v of %s, the log has %v", f.Self.ID, got, job, want)
				}
			}
			if f.Feeds[gateway.FeedJobs].AsOf < now.Add(-10) {
				r.Fatalf("%s has not read the log to its end", f.Self.ID)
			}
		}
	})
}

// resultIDs returns the items of a job in the order of their results.
func resultIDs(j *gateway.Job) []cs.ItemID {
	var ids []cs.ItemID
	for _, result := range j.Results {
		ids = append(ids, result.Item)
	}
	return ids
}

// Guards against a VM that takes its view of the job log for recent although it lacks records before the end of the read: it would
// report jobs as missing that exist.
func TestReadBeyondAppliedRecordsIsNoView(t *testing.T) {
	c := qt.New(t)
	l := &jobLog{}
	f := &follower{vm: newVM("a")}
	f.readSnapshot(l, 0, startTime)
	f.run(startTime)
	c.Assert(f.Feeds[gateway.FeedJobs].AsOf, qt.Equals, startTime)
	later := startTime.Add(5 * cs.Second)
	f.inbox = append(f.inbox, gateway.FeedRead{Feed: gateway.FeedJobs, Loaded: true, AsOf: later, Next: 3})
	f.run(later)
	c.Assert(f.Feeds[gateway.FeedJobs].AsOf, qt.Equals, startTime)
	c.Assert(f.next, qt.Equals, cs.Offset(0))
}

// Guards against handing over the end of a log of which the first chunks of a specification are needed again: the receiver would
// begin behind them and never know the job.
func TestChunksBeforeGapAreReadAgain(t *testing.T) {
	c := qt.New(t)
	l := &jobLog{}
	f := &follower{vm: newVM("a")}
	f.readSnapshot(l, 0, startTime)
	chunk := gateway.JobRecord{Offset: 0, Partial: true}
	f.inbox = append(f.inbox, gateway.JobsRead{From: 0, End: 1, Records: []gateway.JobRecord{chunk}})
	f.inbox = append(f.inbox, gateway.JobsRead{From: 5, End: 6, Records: []gateway.JobRecord{{Offset: 5}}}, gateway.JobStateRequested{Query: 1})
	f.run(startTime)
	c.Assert(f.next, qt.Equals, cs.Offset(0))
	c.Assert(f.states[0].State.End, qt.Equals, cs.Offset(0))
	opened := gateway.JobRecord{Offset: 1, Change: gateway.JobOpened{Spec: newJob("j", 1)}}
	f.inbox = append(f.inbox, gateway.JobsRead{From: 0, End: 2, Records: []gateway.JobRecord{chunk, opened}}, gateway.JobStateRequested{Query: 2})
	f.run(startTime)
	c.Assert(f.Jobs.Get("j"), qt.IsNotNil)
	c.Assert(f.states[1].State.End, qt.Equals, cs.Offset(2))
}
