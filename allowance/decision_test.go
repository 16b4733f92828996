package allowance_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// Guards against a VM that goes on refusing requests by the decision of an owner after the limit has been raised.
func TestRaisedLimitEndsRefusals(t *testing.T) {
	c := qt.New(t)
	b := newBench(testConfig())
	limit := func(version cs.CatalogVersion, rate cs.PerSecond) {
		b.t.Catalog = cs.NewCatalog(version, nil, nil, cs.CallerLimits{}).WithWorkspaces([]cs.Workspace{
			{ID: "w", Rate: rate, Burst: 1, Keys: []cs.KeyDigest{cs.DigestKey("w")}},
		})
	}
	limit(2, 0.01)
	_, _, messages := count(b.tick(1, b.arrive(1, "w")))
	c.Assert(messages, qt.HasLen, 1)
	denied := reply(7, messages[0].Requests[0].ID, 0).(gateway.AllowanceReceived)
	denied.Message.Replies[0].Next, denied.Message.Replies[0].Retry = 100*cs.Second, 100*cs.Second
	_, refusals, _ := count(b.tick(1, denied))
	c.Assert(refusals, qt.Equals, 1)
	limit(3, 1000)
	asked, refused := 0, 0
	for id := range gateway.ForwardID(50) { // 5 s
		_, refusals, messages := count(b.tick(100, b.arrive(10+id, "w")))
		refused += refusals
		asked += len(messages)
		for _, m := range messages {
			b.tick(1, reply(7, m.Requests[0].ID, m.Requests[0].Permits))
		}
	}
	c.Check(asked > 0, qt.IsTrue)
	c.Check(refused <= 10, qt.IsTrue, qt.Commentf("%d of 50 requests refused", refused))
}

// Guards against requests for permits that are never sent, since a message with long names of workspaces exceeds the limit of datagrams.
func TestRequestsWithLongNamesFitIntoDatagrams(t *testing.T) {
	c := qt.New(t)
	config := testConfig()
	config.PartitionCount = 1
	b := newBench(config)
	var workspaces []cs.Workspace
	var events []gateway.Event
	for i := range 200 {
		name := fmt.Sprintf("%03d", i) + strings.Repeat("w", 500)
		workspaces = append(workspaces, cs.Workspace{ID: cs.WorkspaceID(name), Rate: 10, Keys: []cs.KeyDigest{cs.DigestKey(name)}})
		events = append(events, b.arrive(gateway.ForwardID(i+1), cs.WorkspaceID(name)))
	}
	b.t.Catalog = cs.NewCatalog(1, nil, nil, cs.CallerLimits{}).WithWorkspaces(workspaces)
	_, _, messages := count(b.tick(1, events...))
	requests := 0
	for _, m := range messages {
		size := 0
		for _, r := range m.Requests {
			size += len(r.Workspace)
		}
		c.Check(size < 15<<10, qt.IsTrue, qt.Commentf("%d bytes of names", size))
		requests += len(m.Requests)
	}
	c.Check(requests, qt.Equals, 200)
}
