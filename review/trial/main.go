// Command trial shows the order of events that REPORT.md names for results that a VM never learns of: the state of the job log that
// a peer hands over and the first changes after it arrive in one tick of the control loop. It is no case: it runs no processes.
package main

import (
	"fmt"
	"os"

	"github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/batchjob"
	"github.com/crocusstile/crocusstile/gateway"
)

func main() {
	const now = 1_000_000
	t := gateway.New(gateway.Config{PartitionCount: 8}, crocusstile.VM{ID: "vm"}, now, 1)
	spec := gateway.JobSpec{ID: "job", Items: []gateway.Item{{ID: "a"}, {ID: "b"}}}
	result := gateway.JobResultAppended{Job: "job", Index: 0, Result: gateway.Result{Item: "a", Done: true}}
	t.Events = []gateway.Event{
		gateway.JobStateRead{Peer: "peer", AsOf: now, State: gateway.JobLogState{End: 1, Jobs: []gateway.JobState{{Spec: spec, Opened: 0}}}},
		gateway.JobsRead{From: 1, End: 2, Records: []gateway.JobRecord{{Offset: 1, Change: result}}},
		gateway.FeedRead{Feed: gateway.FeedJobs, Loaded: true, AsOf: now},
	}
	var out gateway.Actions
	batchjob.ApplyJobLog(t, now, &out) // the order of entry.Systems
	batchjob.ShareState(t, now, &out)
	listed := len(t.Jobs.Get("job").Results)
	fmt.Printf("the log is read up to offset 2, the VM has applied it up to %d and lists %d of 1 results\n", t.JobLog.End, listed)
	if listed != 1 {
		os.Exit(1)
	}
}
