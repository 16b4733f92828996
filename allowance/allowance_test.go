package allowance_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// bench is one VM with its systems.
type bench struct {
	t   *gateway.Tables
	now cs.Instant
}

// newBench returns a VM in front of a runner, and a peer that reports to own all partitions.
func newBench(c gateway.Config) *bench {
	t := gateway.New(c, cs.VM{ID: "a", Address: "a:1", Incarnation: 7}, simStart, 1)
	t.Catalog = cs.NewCatalog(1, nil, nil, cs.CallerLimits{}).WithWorkspaces([]cs.Workspace{
		{ID: "w", Rate: 10, Burst: 20, Keys: []cs.KeyDigest{cs.DigestKey("w")}}, {ID: "free", Keys: []cs.KeyDigest{cs.DigestKey("free")}},
	})
	t.Runners.Insert("r", gateway.Runner{Spec: cs.Runner{ID: "r", Service: "s", Slots: 1000}})
	all := gateway.PartitionSet{}.With(0).With(1).With(2)
	t.Peers.Insert("b", gateway.Peer{VM: cs.VM{ID: "b", Address: "b:1", Incarnation: 1}, LastReportAt: simStart, Partitions: all})
	return &bench{t: t, now: simStart}
}

// tick runs the systems after some time and returns their actions.
func (b *bench) tick(d cs.Span, events ...gateway.Event) []gateway.Action {
	b.now = b.now.Add(d)
	b.t.Peers.Get("b").LastReportAt = b.now
	b.t.Events = events
	var out gateway.Actions
	for _, system := range systems {
		system(b.t, b.now, &out)
	}
	return out.List
}

// arrive returns the arrival of a request. One without a workspace has a public route.
func (b *bench) arrive(id gateway.ForwardID, w cs.WorkspaceID) gateway.Event {
	return gateway.ForwardArrived{Forward: gateway.Forward{
		ID: id, Key: cs.DigestKey(string(w)), Arrived: b.now, Deadline: b.now.Add(3 * cs.Second),
		Route: cs.Route{Name: "t", Kind: cs.RouteIdempotent, MaxAttempts: 3, Public: w == "", Shares: []cs.ServiceShare{{Service: "s", Weight: 1}}},
	}}
}

// count returns the sends, refusals and messages among actions.
func count(actions []gateway.Action) (sends, refusals int, messages []gateway.AllowanceMessage) {
	for _, a := range actions {
		switch a := a.(type) {
		case gateway.Dispatch:
			sends++
		case gateway.Refuse:
			refusals++
		case gateway.SendAllowance:
			messages = append(messages, a.Message)
		default:
		}
	}
	return sends, refusals, messages
}

// reply returns a message of the peer that grants permits.
func reply(incarnation cs.Incarnation, id gateway.AllowanceRequestID, granted gateway.Permits) gateway.Event {
	return gateway.AllowanceReceived{Address: "b:1", Message: gateway.AllowanceMessage{
		From: "b", Incarnation: 1, For: incarnation, Replies: []gateway.AllowanceReply{{ID: id, Granted: granted}},
	}}
}

// Guards against a change for deployments without limits, and for workspaces without one.
func TestUnlimitedRequestsAreSentAtOnce(t *testing.T) {
	c := qt.New(t)
	for _, b := range []*bench{newBench(gateway.Config{PartitionCount: 3, GroupTimeout: cs.Second}), newBench(testConfig())} {
		w := cs.WorkspaceID("w")
		if b.t.Config.Quota.Window > 0 {
			w = "free"
		}
		assigned := gateway.PartitionsAssigned{Partitions: []int{0, 1, 2}, SentAt: cs.BootInstant(simStart)}
		sends, refusals, messages := count(b.tick(1, assigned, b.arrive(1, w), b.arrive(2, "")))
		c.Check(sends, qt.Equals, 2)
		c.Check(refusals, qt.Equals, 0)
		c.Check(messages, qt.HasLen, 0)
		c.Check(b.t.Allowance.Uses.Len()+b.t.Allowance.Buckets.Len(), qt.Equals, 0)
		c.Check(len(b.t.LimitPartitions(b.now)) > 0, qt.Equals, b.t.Config.Quota.Window > 0)
	}
}

// Guards against a grant that counts twice since its datagram is doubled, and against one for an earlier process of the VM.
func TestReplyCountsOnce(t *testing.T) {
	c := qt.New(t)
	b := newBench(testConfig())
	_, _, messages := count(b.tick(1, b.arrive(1, "w")))
	c.Assert(messages, qt.HasLen, 1)
	id := messages[0].Requests[0].ID
	sends, _, _ := count(b.tick(2, reply(6, id, 1)))
	c.Check(sends, qt.Equals, 0)
	sends, _, _ = count(b.tick(2, reply(7, id, 9), reply(7, id, 1)))
	c.Check(sends, qt.Equals, 1)
	sends, _, messages = count(b.tick(2, b.arrive(2, "w"), reply(7, id, 1)))
	c.Check(sends, qt.Equals, 0)
	c.Check(messages, qt.HasLen, 1)
}

// Guards against allowance that is lost when a request ends without being sent, and against a permit that one request uses and
// another one gets.
func TestPermitOfUnsentRequestIsUsedByAnother(t *testing.T) {
	c := qt.New(t)
	b := newBench(testConfig())
	b.t.Runners.Get("r").EjectedUntil = simStart.Add(50)
	_, _, messages := count(b.tick(1, b.arrive(1, "w")))
	b.tick(2, reply(7, messages[0].Requests[0].ID, 1))
	b.tick(2, gateway.CallerDisconnected{ID: 1})
	sends, _, messages := count(b.tick(50, b.arrive(2, "w")))
	c.Check(sends, qt.Equals, 1)
	c.Check(messages, qt.HasLen, 0)
	b.tick(2, gateway.ForwardEnded{ID: 2, Attempt: 1, Outcome: gateway.OutcomeAnswered{Status: 200}})
	sends, _, messages = count(b.tick(2, b.arrive(3, "w")))
	c.Check(sends, qt.Equals, 0)
	c.Check(messages, qt.HasLen, 1)
}

// Guards against requests that wait for an owner that does not decide, and against one that is asked more often than every 25 ms.
func TestRequestIsRefusedWithoutDecision(t *testing.T) {
	for name, event := range map[string]func(gateway.AllowanceRequestID) []gateway.Event{
		"no reply": func(gateway.AllowanceRequestID) []gateway.Event { return nil },
		"not the owner": func(id gateway.AllowanceRequestID) []gateway.Event {
			m := gateway.AllowanceMessage{From: "b", Incarnation: 1, For: 7, Replies: []gateway.AllowanceReply{{ID: id, NotOwner: true}}}
			return []gateway.Event{gateway.AllowanceReceived{Address: "b:1", Message: m}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b := newBench(testConfig())
			events := []gateway.Event{b.arrive(1, "w")}
			asked, waited := 0, cs.Span(0)
			for {
				actions := b.tick(5, events...)
				_, refusals, messages := count(actions)
				events = nil
				for _, m := range messages {
					asked++
					events = append(events, event(m.Requests[0].ID)...)
				}
				if refusals > 0 {
					for _, a := range actions {
						if a, ok := a.(gateway.Refuse); ok {
							c.Check(a.Refusal.Reason, qt.Equals, cs.ReasonUnavailable)
							c.Check(a.RetryAfter > 0, qt.IsTrue)
						}
					}
					break
				}
				waited += 5
				c.Assert(waited < cs.Second, qt.IsTrue)
			}
			c.Check(waited, qt.Equals, 300*cs.Millisecond)
			c.Check(asked >= 10 && asked <= 12, qt.IsTrue, qt.Commentf("asked %d times", asked))
		})
	}
}

// Guards against an owner that decides although another VM may own its limits: after the session timeout as of the sending of its
// renewal, also in a suspension, and after it has left the group, also if an earlier renewal is answered late.
func TestOwnershipEnds(t *testing.T) {
	c := qt.New(t)
	assigned := func(sentAt cs.Instant) gateway.Event {
		return gateway.PartitionsAssigned{Partitions: []int{0, 1, 2}, SentAt: cs.BootInstant(sentAt)}
	}
	b := newBench(testConfig())
	b.tick(500, assigned(simStart))
	c.Check(b.t.OwnsLimit(0, b.now), qt.IsTrue)
	c.Check(b.t.OwnsLimit(0, simStart.Add(1799)), qt.IsTrue)
	c.Check(b.t.OwnsLimit(0, simStart.Add(1800)), qt.IsFalse)
	b.t.Suspended = 1300
	c.Check(b.t.OwnsLimit(0, b.now), qt.IsFalse)
	b.t.Suspended = 0
	b.t.JobLog.Role = gateway.JobLogReader
	b.tick(1)
	c.Check(b.t.OwnsLimit(0, b.now), qt.IsFalse)
	left := b.now
	b.t.JobLog.Role = gateway.JobLogFollower
	b.tick(5, assigned(left))
	c.Check(b.t.OwnsLimit(0, b.now), qt.IsFalse)
	b.tick(5, assigned(left.Add(1)))
	c.Check(b.t.OwnsLimit(0, b.now), qt.IsTrue)
}

// Guards against a bucket that is full although another VM may have granted permits meanwhile.
func TestBucketStartsAgainAfterLapse(t *testing.T) {
	c := qt.New(t)
	b := newBench(testConfig())
	w := b.t.Catalog.Workspace("w")
	renew := func(d, age cs.Span) {
		b.tick(d, gateway.PartitionsAssigned{Partitions: []int{0, 1, 2}, SentAt: cs.BootInstant(b.now.Add(d - age))})
	}
	renew(1, 0)
	c.Check(b.t.FilledBucket(w, b.now).Level, qt.Equals, 0.0)
	for range 10 {
		renew(600, 10)
	}
	c.Check(b.t.FilledBucket(w, b.now).Level, qt.Equals, 20.0)
	renew(1990, 10) // the store has processed it before the membership could time out
	c.Check(b.t.FilledBucket(w, b.now).Level, qt.Equals, 20.0)
	renew(1991, 10)
	c.Check(b.t.FilledBucket(w, b.now).Level, qt.Equals, 0.0)
}

// Guards against a number of permits that does not fit, with limits that nobody means.
func TestExtremeLimits(t *testing.T) {
	c := qt.New(t)
	for _, w := range []cs.Workspace{{ID: "w", Rate: 1e-300}, {ID: "w", Rate: 1e300, Burst: 1e300}, {ID: "w", Rate: 1e-3, Burst: 1e19}} {
		b := newBench(testConfig())
		b.t.AssignLimits([]int{0, 1, 2}, cs.BootInstant(b.now), b.now)
		b.now = b.now.Add(cs.Second)
		for range 50 {
			granted, next, retry := b.t.TakePermits(b.t.FilledBucket(&w, b.now), &w, 20, b.now)
			m := gateway.AllowanceMessage{From: "a", Replies: []gateway.AllowanceReply{{ID: 1, Granted: granted, Next: next, Retry: retry}}}
			c.Assert(m.Validate(), qt.IsNil)
			c.Assert(granted <= 20, qt.IsTrue)
		}
	}
}

// Guards against memory for workspaces that send nothing any more.
func TestIdleRowsAreRemoved(t *testing.T) {
	c := qt.New(t)
	b := newBench(testConfig())
	assigned := func() gateway.Event {
		return gateway.PartitionsAssigned{Partitions: []int{0, 1, 2}, SentAt: cs.BootInstant(b.now)}
	}
	b.tick(1, assigned())
	for range 10 {
		b.tick(600, assigned())
	}
	var events []gateway.Event
	for id := range gateway.ForwardID(30) {
		events = append(events, b.arrive(id+1, "w"))
	}
	sends, refusals, _ := count(b.tick(1, events...))
	c.Check(sends, qt.Equals, 20)
	c.Check(refusals, qt.Equals, 10)
	kinds := make(map[gateway.NoteKind]int)
	for range 10 {
		for _, a := range b.tick(600, assigned()) {
			if n, ok := a.(gateway.Note); ok {
				kinds[n.Kind]++
			}
		}
	}
	c.Check(kinds[gateway.NoteWorkspaceUnlimited], qt.Equals, 1)
	c.Check(b.t.Allowance.Uses.Len()+b.t.Allowance.Buckets.Len(), qt.Equals, 0)
}

// Guards against a limit under which nothing runs: without an overshoot, a permit has ended when it is granted.
func TestLimitWithoutOvershootServesRequests(t *testing.T) {
	c := qt.New(t)
	config := testConfig()
	config.Quota.Overshoot = 0
	b := newBench(config)
	b.t.Catalog = cs.NewCatalog(1, nil, nil, cs.CallerLimits{}).WithWorkspaces([]cs.Workspace{
		{ID: "w", Rate: 10, Burst: 20, Keys: []cs.KeyDigest{cs.DigestKey("w")}},
	})
	total, refused := 0, 0
	for i := range 20 { // 2 s
		assigned := gateway.PartitionsAssigned{Partitions: []int{0, 1, 2}, SentAt: b.t.BootTime(b.now)}
		sends, refusals, _ := count(b.tick(100, assigned, b.arrive(gateway.ForwardID(i+1), "w")))
		total, refused = total+sends, refused+refusals
	}
	c.Check(total > 10, qt.IsTrue, qt.Commentf("%d sent, %d refused", total, refused))
}
