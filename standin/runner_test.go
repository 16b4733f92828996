package standin_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/standin"
)

// newRunner returns a runner with short steps and the model tutor/v1 loaded.
func newRunner(change func(*standin.RunnerConfig)) *standin.Runner {
	c := standin.RunnerConfig{
		Slots: 2, StepBase: 1, StepPerRequest: 1, LoadTime: 20, CacheEventLag: 20,
		Loaded: []cs.LoadedModel{{Model: "tutor", Version: "v1"}},
	}
	c.Faults.LoadLag = 1
	if change != nil {
		change(&c)
	}
	return standin.NewRunner(c)
}

// runIDs returns the request ids of the journal entries with an event.
func runIDs(entries []standin.JournalEntry, e standin.JournalEvent) []string {
	var ids []string
	for _, entry := range entries {
		if entry.Event == e {
			ids = append(ids, string(entry.ID))
		}
	}
	return ids
}

// TestRunnerStreamsExpectedText guards against responses that differ from ExpectedText, and against
// missing journal entries.
func TestRunnerStreamsExpectedText(t *testing.T) {
	url := serve(t, newRunner(nil))
	g := newGeneration("a", "what is a \"valve\"?", 5)
	s := generate(t, url, g)
	qt.Assert(t, s.header.Get("Content-Type"), qt.Equals, "text/event-stream")
	qt.Assert(t, s.text, qt.Equals, g.expected())
	qt.Assert(t, s.ids, qt.DeepEquals, map[string]bool{"a": true})
	qt.Assert(t, s.done, qt.IsTrue)
	qt.Assert(t, s.tokens, qt.Equals, 5)
	qt.Assert(t, s.load, qt.Equals, cs.Load{Slots: 2})
	entries := decodeLines[standin.JournalEntry](t, send(t, "GET", url+"/standin/journal", nil))
	qt.Assert(t, entries, qt.HasLen, 2)
	qt.Assert(t, entries[1].Event, qt.Equals, standin.JournalEnd)
	qt.Assert(t, entries[1].Hash, qt.Equals,
		cs.HashTarget(cs.Generation{Model: "tutor", Version: "v1", Prompt: g.Prompt}))
}

// TestRunnerResumes guards against tokens that are repeated or missing after a resume, and against a
// resume from a wrong text.
func TestRunnerResumes(t *testing.T) {
	url := serve(t, newRunner(nil))
	g := newGeneration("a", "resume me", 6)
	g.ResumeTokens = 4
	g.ResumeText = standin.ExpectedText("tutor", "", "v1", "resume me", 4)
	s := generate(t, url, g)
	qt.Assert(t, g.ResumeText+s.text, qt.Equals, g.expected())
	qt.Assert(t, s.tokens, qt.Equals, 6)
	g.ResumeText = "something else"
	qt.Assert(t, generate(t, url, g).status, qt.Equals, 400)
}

// TestRunnerServesInOrder guards against waiting requests that start out of order, and against a stalled
// runner that generates tokens.
func TestRunnerServesInOrder(t *testing.T) {
	r := newRunner(nil)
	url := serve(t, r)
	r.SetFaults(func(f *standin.RunnerFaults) { f.Stall = true })
	var clients sync.WaitGroup
	for i := range 6 {
		clients.Go(func() { generate(t, url, newGeneration(fmt.Sprint(i), "prompt", 3)) })
		eventually(t, "the request is in the load report", func() bool { return requestCount(t, url) == i+1 })
	}
	qt.Assert(t, runIDs(r.Journal(), standin.JournalStart), qt.DeepEquals, []string{"0", "1"})
	qt.Assert(t, runIDs(r.Journal(), standin.JournalEnd), qt.HasLen, 0)
	r.SetFaults(func(f *standin.RunnerFaults) { f.Stall = false })
	clients.Wait()
	qt.Assert(t, runIDs(r.Journal(), standin.JournalStart), qt.DeepEquals, strings.Split("012345", ""))
}

// requestCount returns the number of running and waiting requests in the load report.
func requestCount(t testing.TB, url string) int {
	var load cs.Load
	send(t, "GET", url+"/v1/load", nil).decode(t, &load)
	return int(load.Running + load.Waiting)
}

// TestRunnerCancels guards against runs that continue after a cancellation or after their client has
// disconnected.
func TestRunnerCancels(t *testing.T) {
	r := newRunner(nil)
	url := serve(t, r)
	ctx, disconnect := context.WithCancel(context.Background())
	defer disconnect()
	ended := make(chan stream, 2)
	go func() { ended <- generate(t, url, newGeneration("cancelled", "long", 100_000)) }()
	go func() {
		ended <- parseStream(t, sendWithContext(ctx, t, "POST", url+"/v1/generate", newGeneration("gone", "long", 100_000)))
	}()
	eventually(t, "both requests run", func() bool { return requestCount(t, url) == 2 })
	resp := send(t, "POST", url+"/v1/cancel", `{"id":"cancelled"}`)
	qt.Assert(t, strings.TrimSpace(resp.body), qt.Equals, `{"cancelled":1}`)
	s := <-ended
	qt.Assert(t, s.done, qt.IsFalse)
	disconnect()
	qt.Assert(t, (<-ended).done, qt.IsFalse)
	eventually(t, "both runs have ended", func() bool { return requestCount(t, url) == 0 })
	qt.Assert(t, runIDs(r.Journal(), standin.JournalCancel), qt.DeepEquals, []string{"cancelled", "gone"})
}

// TestRunnerLoadLags guards against load reports newer than the lag, unlike those of real engines.
func TestRunnerLoadLags(t *testing.T) {
	clock := cs.NewManualClock(10_000)
	r := newRunner(func(c *standin.RunnerConfig) { c.Clock, c.Faults.LoadLag = clock, 300 })
	url := serve(t, r)
	qt.Assert(t, r.Leave(context.Background()), qt.IsTrue)
	leaving := func() bool {
		var report struct{ Leaving bool }
		send(t, "GET", url+"/v1/load", nil).decode(t, &report)
		return report.Leaving
	}
	clock.Advance(299)
	qt.Assert(t, leaving(), qt.IsFalse)
	clock.Advance(1)
	qt.Assert(t, leaving(), qt.IsTrue)
}

// TestRunnerLeaving guards against a leaving runner that accepts new requests or stops running ones.
func TestRunnerLeaving(t *testing.T) {
	url := serve(t, newRunner(nil))
	old := make(chan stream, 1)
	go func() { old <- generate(t, url, newGeneration("old", "p", 20)) }()
	eventually(t, "the request runs", func() bool { return requestCount(t, url) == 1 })
	qt.Assert(t, send(t, "POST", url+"/standin/leaving", nil).status, qt.Equals, 204)
	s := generate(t, url, newGeneration("new", "p", 1))
	qt.Assert(t, s.status, qt.Equals, 503)
	qt.Assert(t, s.header.Get("X-Not-Run"), qt.Equals, "true")
	qt.Assert(t, (<-old).done, qt.IsTrue)
}

// TestRunnerCrashes guards against a crash after which other requests are still served, and against a
// crash that is missing from the copy of the journal.
func TestRunnerCrashes(t *testing.T) {
	crashed := make(chan struct{})
	var mirror bytes.Buffer
	r := newRunner(func(c *standin.RunnerConfig) {
		c.Crash = func() { close(crashed) }
		c.Journal = &mirror
	})
	url := serve(t, r)
	other := make(chan stream, 1)
	go func() { other <- generate(t, url, newGeneration("other", "p", 100_000)) }()
	eventually(t, "the request runs", func() bool { return requestCount(t, url) == 1 })
	qt.Assert(t, generate(t, url, newGeneration("bad", "a CRASH b", 5)).err, qt.IsNotNil)
	<-crashed
	qt.Assert(t, (<-other).err, qt.IsNotNil)
	qt.Assert(t, generate(t, url, newGeneration("late", "p", 5)).err, qt.IsNotNil)
	qt.Assert(t, runIDs(r.Journal(), standin.JournalCrash), qt.DeepEquals, []string{"bad"})
	qt.Assert(t, mirror.String(), qt.Contains, `"event":"crash"`)
}

// TestRunnerOrders guards against a runner that checks fencing tokens but carries out an order with a stale
// one, and against one that does not check them but rejects it.
func TestRunnerOrders(t *testing.T) {
	storeURL := serve(t, standin.NewWeightStore(standin.WeightStoreConfig{Size: 1000}))
	store := cs.Address(strings.TrimPrefix(storeURL, "http://"))
	checkingURL := serve(t, newRunner(func(c *standin.RunnerConfig) { c.ChecksFencingToken, c.WeightStore = true, store }))
	ignoringURL := serve(t, newRunner(nil))
	qt.Assert(t, generate(t, checkingURL, generation{ID: "a", Model: "tutor", Version: "v2", MaxTokens: 1}).status, qt.Equals, 404)
	sendOrder := func(url, body string) int { return send(t, "POST", url+"/v1/orders", body).status }
	for url, staleStatus := range map[string]int{checkingURL: 409, ignoringURL: 200} {
		qt.Assert(t, sendOrder(url, `{"fence":5,"kind":"load","model":"tutor","version":"v2"}`), qt.Equals, 200)
		qt.Assert(t, sendOrder(url, `{"fence":4,"kind":"unload","model":"tutor","version":"v1"}`), qt.Equals, staleStatus)
		received := decodeLines[standin.ReceivedOrder](t, send(t, "GET", url+"/standin/orders", nil))
		qt.Assert(t, received[1].Accepted, qt.Equals, staleStatus == 200)
	}
	eventually(t, "v2 is loaded", func() bool {
		return generate(t, checkingURL, generation{ID: "a", Model: "tutor", Version: "v2", MaxTokens: 1}).done
	})
	qt.Assert(t, generate(t, checkingURL, newGeneration("a", "p", 1)).done, qt.IsTrue)
	qt.Assert(t, generate(t, ignoringURL, newGeneration("a", "p", 1)).status, qt.Equals, 404)
}

// TestRunnerPrefixCache guards against cache events without lag or gaps, and against imported KV cache
// blocks that cannot be exported again.
func TestRunnerPrefixCache(t *testing.T) {
	url := serve(t, newRunner(func(c *standin.RunnerConfig) { c.CacheEventGap, c.Prefixes = 2, 1 }))
	for _, prompt := range []string{"one", "one", "two"} {
		generate(t, url, newGeneration(prompt, prompt, 1))
	}
	type page struct {
		Next   int
		Events []standin.CacheEvent
	}
	var p page
	eventually(t, "the events are published", func() bool {
		send(t, "GET", url+"/v1/cache/events?from=1", nil).decode(t, &p)
		return len(p.Events) == 2
	})
	// Event 2, the insertion of "two", falls into the gap; event 3 is the eviction of "one".
	qt.Assert(t, []cs.Seq{p.Events[0].Seq, p.Events[1].Seq}, qt.DeepEquals, []cs.Seq{1, 3})
	qt.Assert(t, p.Events[1].Prefix, qt.Equals, p.Events[0].Prefix)
	qt.Assert(t, p.Events[1].Stored, qt.IsFalse)
	block := send(t, "GET", url+"/v1/kv/one", nil)
	qt.Assert(t, block.status, qt.Equals, 200)
	qt.Assert(t, send(t, "PUT", url+"/v1/kv/imported", block.body).status, qt.Equals, 204)
	qt.Assert(t, send(t, "GET", url+"/v1/kv/imported", nil).body, qt.Equals, block.body)
	qt.Assert(t, send(t, "GET", url+"/v1/kv/none", nil).status, qt.Equals, 404)
}

// TestRunnerFaults guards against faults without effect on the client.
func TestRunnerFaults(t *testing.T) {
	url := serve(t, newRunner(nil))
	g := newGeneration("a", "p", 3)
	qt.Assert(t, generate(t, url, newGeneration("a", "some POISON", 3)).status, qt.Equals, 422)
	qt.Assert(t, send(t, "POST", url+"/standin/faults", `{"nonsense":1}`).status, qt.Equals, 400)
	setFaults(t, url, `{"refuse":true}`)
	qt.Assert(t, generate(t, url, g).header.Get("X-Not-Run"), qt.Equals, "true")
	setFaults(t, url, `{"refuse":false,"errorNext":1}`)
	qt.Assert(t, generate(t, url, g).status, qt.Equals, 500)
	setFaults(t, url, `{"breakNext":1}`)
	s := generate(t, url, g)
	qt.Assert(t, s.err, qt.IsNotNil)
	qt.Assert(t, s.last, qt.Equals, 1)
	setFaults(t, url, `{"truncateNext":1}`)
	s = generate(t, url, g)
	qt.Assert(t, s.err, qt.IsNil)
	qt.Assert(t, s.done, qt.IsFalse)
	setFaults(t, url, `{"crossNext":1}`)
	s = generate(t, url, g)
	qt.Assert(t, s.ids["a"], qt.IsFalse)
	qt.Assert(t, s.text, qt.Not(qt.Equals), g.expected())
	setFaults(t, url, `{"stepFactor":10}`)
	start := time.Now()
	qt.Assert(t, generate(t, url, g).text, qt.Equals, g.expected())
	qt.Assert(t, time.Since(start) >= 60*time.Millisecond, qt.IsTrue) // three steps of 2 ms, ten times slower
}
