package batchjob_test

import (
	"context"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/batchjob"
	"github.com/crocusstile/crocusstile/forward"
	"github.com/crocusstile/crocusstile/gateway"
)

// Guards against items that are sent without the workspace of their job, and against the withdrawal of keys that ends a job: the
// catalog of the VM has no key of the workspace.
func TestItemsAreSentForWorkspaceOfJob(t *testing.T) {
	c := qt.New(t)
	v, log := newVM("a", 0, 1, 2, 3), &jobLog{}
	v.Catalog = v.Catalog.WithWorkspaces(nil)
	for id, workspace := range map[cs.JobID]cs.WorkspaceID{"j": "w", "k": ""} {
		spec := newJob(id, 2)
		spec.Workspace = workspace
		submit(v, log, spec, gateway.QueryID(len(id)+len(workspace)), startTime)
	}
	for now := startTime; now < startTime.Add(3*cs.Second); now = now.Add(50) {
		v.inbox = append(v.inbox, gateway.PartitionsAssigned{Partitions: []int{0, 1, 2, 3}})
		v.readLog(log, now)
		v.tick(now)
	}
	c.Assert(v.started, qt.HasLen, 4)
	for _, run := range v.started {
		want := gateway.RunnerAccess{RequiresKeys: true}
		if run.Key.Job == "j" {
			want.Workspace = "w"
		}
		c.Check(run.Access, qt.Equals, want)
	}
}

// recordedRunner keeps the request that it gets.
type recordedRunner struct{ got forward.RunnerRequest }

func (r *recordedRunner) Dispatch(_ context.Context, request forward.RunnerRequest, _ forward.Destination) (*forward.RunnerResponse, error) {
	r.got = request
	return nil, &forward.NotRunError{}
}

// Guards against a run whose workspace does not reach the client of runners, which replaces the headers of the item.
func TestRunCarriesWorkspace(t *testing.T) {
	c := qt.New(t)
	runner, ended := &recordedRunner{}, make(chan gateway.Event, 1)
	traffic := batchjob.NewTraffic(runner, func(_ context.Context, e gateway.Event) error {
		ended <- e
		return nil
	})
	access := gateway.RunnerAccess{RequiresKeys: true, Workspace: "w"}
	traffic.Run(t.Context(), gateway.RunItem{Access: access, Item: gateway.Item{Header: map[string]string{"tenant": "forged"}}})
	<-ended
	c.Assert(runner.got.Access, qt.Equals, access)
	c.Assert(runner.got.Header, qt.DeepEquals, http.Header{"Tenant": {"forged"}}) // in the form in which the client removes it
}
