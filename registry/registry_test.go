package registry_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/engine"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/registry"
	"github.com/crocusstile/crocusstile/standin"
)

// waitTimeout limits the wait for an expected event.
const waitTimeout = 10 * time.Second

// eventRecorder takes the place of the control loop and records the events posted to it.
type eventRecorder struct {
	mu         sync.Mutex
	events     []fleet.Event
	closed     bool
	afterClose int
	changed    chan struct{}
}

func newEventRecorder() *eventRecorder { return &eventRecorder{changed: make(chan struct{})} }

func (r *eventRecorder) post(ctx context.Context, e fleet.Event) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		r.afterClose++
	}
	r.events = append(r.events, e)
	close(r.changed)
	r.changed = make(chan struct{})
	return ctx.Err()
}

// waitFor waits until the recorded events fulfil a condition and returns them.
func (r *eventRecorder) waitFor(t *testing.T, what string, condition func([]fleet.Event) bool) []fleet.Event {
	t.Helper()
	for timeout := time.After(waitTimeout); ; {
		r.mu.Lock()
		events, changed := r.events, r.changed
		r.mu.Unlock()
		if condition(events) {
			return events
		}
		select {
		case <-changed:
		case <-timeout:
			t.Fatalf("timed out waiting for %s; got %#v", what, events)
		}
	}
}

// waitForEvent waits for an event of type E and returns the first one.
func waitForEvent[E fleet.Event](t *testing.T, b *eventRecorder) (found E) {
	t.Helper()
	b.waitFor(t, fmt.Sprintf("%T", found), func(events []fleet.Event) bool {
		for _, e := range events {
			if x, ok := e.(E); ok {
				found = x
				return true
			}
		}
		return false
	})
	return found
}

// offsets returns the offsets of all batches in LogRead events, in the order of the events.
func offsets(events []fleet.Event) []cs.Offset {
	var all []cs.Offset
	for _, e := range events {
		if r, ok := e.(fleet.LogRead); ok {
			for _, b := range r.Batches {
				all = append(all, b.Offset)
			}
		}
	}
	return all
}

// startLog starts a stand-in for the log and returns it with a client and the client's events.
func startLog(t *testing.T, f standin.LogFaults) (*standin.Log, *registry.Log, *eventRecorder) {
	s := standin.NewLog(standin.LogConfig{Faults: f})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- standin.Serve(ctx, ln, s) }()
	t.Cleanup(func() {
		cancel()
		qt.Check(t, <-ended, qt.IsNil)
	})
	l, b := newLogClient(t, cs.Address(ln.Addr().String()))
	return s, l, b
}

func newLogClient(t *testing.T, addr cs.Address) (*registry.Log, *eventRecorder) {
	b := newEventRecorder()
	l := registry.NewLog(registry.LogConfig{Address: addr, AppendTimeout: cs.SpanOf(waitTimeout), Post: b.post})
	t.Cleanup(l.Close)
	return l, b
}

func serve(t *testing.T, h http.HandlerFunc) cs.Address {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return cs.Address(s.Listener.Addr().String())
}

// appendBatch appends a batch and waits for its acknowledgement.
func appendBatch(t *testing.T, l *registry.Log, b *eventRecorder, seq cs.Seq) {
	t.Helper()
	l.Append("work-000", cs.LogBatch{Writer: 1, Seq: seq})
	b.waitFor(t, "Appended", func(events []fleet.Event) bool {
		return slices.Contains(events, fleet.Event(fleet.Appended{Stream: "work-000", Seq: seq}))
	})
}

// After an outage of the log, a tail must resume at its last offset without losing or repeating records.
func TestTailResumesAfterOutage(t *testing.T) {
	s, l, b := startLog(t, standin.LogFaults{AppendRate: 1e6})
	for seq := range cs.Seq(3) {
		appendBatch(t, l, b, seq+1)
	}
	l.Subscribe("work-000", 1)
	b.waitFor(t, "records 1 and 2", func(e []fleet.Event) bool { return len(offsets(e)) == 2 })
	s.SetFaults(func(f *standin.LogFaults) { f.Outage = true })
	failed := waitForEvent[fleet.LogReadFailed](t, b)
	qt.Check(t, failed.Stream, qt.Equals, cs.StreamID("work-000"))
	s.SetFaults(func(f *standin.LogFaults) { f.Outage = false })
	appendBatch(t, l, b, 4)
	appendBatch(t, l, b, 5)
	events := b.waitFor(t, "records 3 and 4", func(e []fleet.Event) bool { return len(offsets(e)) >= 4 })
	qt.Check(t, offsets(events), qt.DeepEquals, []cs.Offset{1, 2, 3, 4})
}

// If a response of the log is truncated or has a gap, a tail must read again from the same offset, or the
// missing records would be lost.
func TestTailRereadsAfterGap(t *testing.T) {
	record := func(o int) string { return fmt.Sprintf(`{"offset":%d,"timeMs":1,"payload":""}`, o) }
	for name, faulty := range map[string]string{
		"missing offset": `{"first":0,"next":8,"records":[` + record(5) + `,` + record(7) + `]}`,
		"truncated":      `{"first":0,"next":7,"records":[` + record(5),
		"earlier offset": `{"first":0,"next":5,"records":[` + record(4) + `]}`,
	} {
		t.Run(name, func(t *testing.T) {
			requestedOffsets := make(chan string, 2)
			var responses atomic.Int32
			addr := serve(t, func(w http.ResponseWriter, r *http.Request) {
				if responses.Add(1) > 2 {
					<-r.Context().Done()
					return
				}
				requestedOffsets <- r.URL.Query().Get("from")
				_, _ = io.WriteString(w, faulty)
			})
			l, b := newLogClient(t, addr)
			l.Subscribe("work-000", 5)
			waitForEvent[fleet.LogReadFailed](t, b)
			qt.Check(t, []string{<-requestedOffsets, <-requestedOffsets}, qt.DeepEquals, []string{"5", "5"})
			l.Close()
		})
	}
}

// If retention has deleted the records at the requested offset, LogRead must report the first available
// offset, so that the deleted records are not mistaken for ones that were read.
func TestTailOfDeletedRecords(t *testing.T) {
	l, b := newLogClient(t, serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("from") != "2" {
			<-r.Context().Done()
			return
		}
		_, _ = io.WriteString(w, `{"first":9,"next":9,"records":[]}`)
	}))
	l.Subscribe("work-000", 2)
	read := waitForEvent[fleet.LogRead](t, b)
	qt.Check(t, read.First, qt.Equals, cs.Offset(9))
	qt.Check(t, read.Next, qt.Equals, cs.Offset(9))
}

// A log that responds at once without records must not make a tail poll without a pause.
func TestTailPausesAfterEmptyRead(t *testing.T) {
	requestTimes := make(chan time.Time)
	l, _ := newLogClient(t, serve(t, func(w http.ResponseWriter, r *http.Request) {
		select {
		case requestTimes <- time.Now():
			_, _ = io.WriteString(w, `{"first":0,"next":0,"records":[]}`)
		case <-r.Context().Done():
		}
	}))
	l.Subscribe("work-000", 0)
	first := <-requestTimes
	<-requestTimes
	third := <-requestTimes
	qt.Check(t, third.Sub(first) > 150*time.Millisecond, qt.IsTrue, qt.Commentf("%v", third.Sub(first)))
}

// An append may have taken effect although its acknowledgement was lost, so it must not be reported as
// not appended.
func TestAppendWithLostAcknowledgement(t *testing.T) {
	_, l, b := startLog(t, standin.LogFaults{DropResponseNext: 1})
	l.Append("work-000", cs.LogBatch{Writer: 1, Seq: 1})
	qt.Check(t, waitForEvent[fleet.AppendFailed](t, b).NotAppended, qt.IsFalse)
	l.Subscribe("work-000", 0)
	b.waitFor(t, "the record", func(e []fleet.Event) bool { return len(offsets(e)) == 1 })
}

// An append refused by the log must be reported as not appended, so that the caller can be told that its
// request was not run.
func TestRefusedAppend(t *testing.T) {
	for name, f := range map[string]standin.LogFaults{"429": {AppendRate: 1e-6}, "503": {Outage: true}} {
		t.Run(name, func(t *testing.T) {
			_, l, b := startLog(t, f)
			if !f.Outage {
				appendBatch(t, l, b, 1) // uses up the burst of the rate limit
			}
			l.Append("work-000", cs.LogBatch{Writer: 1, Seq: 2})
			failed := waitForEvent[fleet.AppendFailed](t, b)
			qt.Check(t, failed.NotAppended, qt.IsTrue)
			qt.Check(t, failed.Error, qt.Contains, name)
		})
	}
}

// Close must end all goroutines even if the platform does not respond, including those started
// concurrently with Close.
func TestCloseEndsGoroutines(t *testing.T) {
	addr := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	})
	client := engine.New(engine.Config{Clock: cs.NewClock(), DialTimeout: cs.Minute, MaxResponse: 1 << 10})
	t.Cleanup(client.Close)
	for range 50 {
		b := newEventRecorder()
		l := registry.NewLog(registry.LogConfig{Address: addr, AppendTimeout: cs.Minute, Post: b.post})
		p := registry.NewPoller(registry.PollerConfig{Client: client, Poll: 1, Timeout: cs.Minute, Post: b.post})
		var callers sync.WaitGroup
		callers.Go(func() { l.Subscribe("work-000", 0) })
		callers.Go(func() { l.Append("work-000", cs.LogBatch{Seq: 1}) })
		callers.Go(func() { p.PollLoad(fleet.PollLoad{Runner: "r", Address: addr}) })
		callers.Go(func() { p.OrderRunner(fleet.OrderRunner{Runner: "r", Address: addr}) })
		closed := make(chan struct{})
		go func() {
			l.Close()
			p.Close()
			b.mu.Lock()
			b.closed = true
			b.mu.Unlock()
			close(closed)
		}()
		select {
		case <-closed:
		case <-time.After(waitTimeout):
			t.Fatal("Close did not return in time")
		}
		callers.Wait()
		qt.Assert(t, b.afterClose, qt.Equals, 0)
	}
}

// A response that is not a list must be a failure; treated as an empty list, it would remove all runners.
func TestResponseWithoutListIsFailure(t *testing.T) {
	responses := make(chan string, 3)
	responses <- `{"error":"warming up"}`
	responses <- `{"vms":[{"id":"r","kind":"runner"`
	responses <- `{"vms":[{"id":"r","kind":"runner","state":"leaving","slots":4},{"id":"v","kind":"entry"},{"id":"x","kind":"other"}]}`
	addr := serve(t, func(w http.ResponseWriter, r *http.Request) {
		select {
		case a := <-responses:
			_, _ = io.WriteString(w, a)
		case <-r.Context().Done():
		}
	})
	b := newEventRecorder()
	list := registry.NewList(registry.ListConfig{Address: addr, Poll: cs.Millisecond, Post: b.post})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- list.Run(ctx) }()
	read := waitForEvent[fleet.ListRead](t, b)
	cancel()
	qt.Check(t, <-ended, qt.ErrorIs, context.Canceled)
	events := b.waitFor(t, "three responses", func(e []fleet.Event) bool { return len(e) >= 3 })
	for _, e := range events[:2] {
		qt.Check(t, fmt.Sprintf("%T", e), qt.Equals, "fleet.ListReadFailed")
	}
	qt.Check(t, read, qt.DeepEquals, fleet.ListRead{
		VMs:     []cs.VM{{ID: "v"}},
		Runners: []cs.Runner{{ID: "r", Kind: cs.KindEngine, Slots: 4, Leaving: true}},
	})
}

// Guards against VMs that follow the list no longer, or end, after another writer has left one registration there that is deeply
// nested or has a number or a port out of range.
func TestMalformedRegistrationIsLeftOutOfList(t *testing.T) {
	const valid = `{"id":"r","kind":"runner","address":"10.0.0.1:80","slots":4,"more":[{"a":"]"},1e999]}`
	for name, malformed := range map[string]string{
		"nested":               strings.Repeat("[", 60_000) + strings.Repeat("]", 60_000),
		"nested field":         `{"id":"x","kind":"runner","more":` + strings.Repeat(`{"a":`, 60_000) + "1" + strings.Repeat("}", 60_000) + "}",
		"number of 400 digits": `{"id":"x","kind":"runner","slots":1` + strings.Repeat("0", 400) + "}",
		"exponent":             `{"id":"x","kind":"runner","slots":1e999}`,
		"slots of 32 bits":     `{"id":"x","kind":"runner","slots":2147483647}`,
		"negative slots":       `{"id":"x","kind":"runner","slots":-1}`,
		"incarnation":          `{"id":"x","kind":"entry","incarnation":18446744073709551616}`,
		"port 0":               `{"id":"x","kind":"entry","address":"10.0.0.1:0"}`,
		"port out of range":    `{"id":"x","kind":"runner","address":"10.0.0.1:65536"}`,
		"field of other type":  `{"id":7,"kind":"runner"}`,
		"no registration":      `"x"`,
	} {
		t.Run(name, func(t *testing.T) {
			addr := serve(t, func(w http.ResponseWriter, _ *http.Request) {
				_, _ = fmt.Fprintf(w, `{"version":[1,{"vms":2}], "vms" : [ %s , %s,%s ], "next":null}`, malformed, valid, malformed)
			})
			b := newEventRecorder()
			list := registry.NewList(registry.ListConfig{Address: addr, Poll: cs.Millisecond, Post: b.post})
			go func() { _ = list.Run(t.Context()) }()
			events := b.waitFor(t, "two reads", func(e []fleet.Event) bool { return len(e) >= 2 })
			for _, e := range events[:2] {
				qt.Check(t, e, qt.DeepEquals, fleet.Event(fleet.ListRead{
					Runners: []cs.Runner{{ID: "r", Kind: cs.KindEngine, Address: "10.0.0.1:80", Slots: 4}},
				}))
			}
		})
	}
}

// A response that is no list, or not all of it, must be a failure, wherever it ends.
func TestIncompleteListIsFailure(t *testing.T) {
	const whole = `{"more":{"a":[1]},"vms":[{"id":"r","kind":"runner"},{"id":"v","kind":"entry"}],"next":1}`
	responses := []string{`[]`, `null`, `{"vms":null}`, `{"vms":{"id":"r"}}`, `{"vms":[]`, `{"vms":[}]}`, `{"a":{"vms":[]}}`}
	for n := range len(whole) {
		responses = append(responses, whole[:n])
	}
	var next atomic.Int64
	addr := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, responses[int(next.Add(1)-1)%len(responses)])
	})
	b := newEventRecorder()
	list := registry.NewList(registry.ListConfig{Address: addr, Poll: 1, Post: b.post})
	go func() { _ = list.Run(t.Context()) }()
	events := b.waitFor(t, "all responses", func(e []fleet.Event) bool { return len(e) >= len(responses) })
	for i, e := range events[:len(responses)] {
		qt.Check(t, fmt.Sprintf("%T", e), qt.Equals, "fleet.ListReadFailed", qt.Commentf(responses[i]))
	}
}

// An unchanged list must be transferred only once, and a changed list must not be missed.
func TestUnchangedListIsNotTransferred(t *testing.T) {
	var (
		version   atomic.Int64
		fullReads atomic.Int64
	)
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		tag := fmt.Sprintf("%q", fmt.Sprint(version.Load()))
		if r.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		fullReads.Add(1)
		w.Header().Set("ETag", tag)
		_, _ = fmt.Fprintf(w, `{"vms":[{"id":"vm-%s","kind":"entry"}]}`, tag[1:len(tag)-1])
	})
	b := newEventRecorder()
	l := registry.NewList(registry.ListConfig{Address: address, Poll: 1, Post: b.post})
	go func() { _ = l.Run(t.Context()) }()
	hasReads := func(id cs.VMID, times int) func([]fleet.Event) bool {
		return func(events []fleet.Event) bool {
			n := 0
			for _, e := range events {
				if read, ok := e.(fleet.ListRead); ok && len(read.VMs) == 1 && read.VMs[0].ID == id {
					n++
				}
			}
			return n >= times
		}
	}
	b.waitFor(t, "three reads of the list", hasReads("vm-0", 3))
	qt.Check(t, fullReads.Load(), qt.Equals, int64(1))
	version.Add(1)
	b.waitFor(t, "the changed list", hasReads("vm-1", 3))
	qt.Check(t, fullReads.Load(), qt.Equals, int64(2))
}

// Guards against new work for a runner later than 3 s after the list says that it is leaving because one read of the list was
// sent on a connection that has stopped responding, while the list responds at once on any other. VMs of other data centres
// learn it only from the list.
func TestRunnerThatLeavesIsListedDespiteSilentConnection(t *testing.T) {
	const bound = 3 * time.Second
	var reads atomic.Int64
	left := make(chan time.Time, 1)
	addr := serve(t, func(w http.ResponseWriter, r *http.Request) {
		switch reads.Add(1) {
		case 1:
			_, _ = io.WriteString(w, `{"vms":[{"id":"r","kind":"runner","state":"active","slots":4}]}`)
			left <- time.Now()
		case 2:
			<-r.Context().Done()
		default:
			_, _ = io.WriteString(w, `{"vms":[{"id":"r","kind":"runner","state":"leaving","slots":4}]}`)
		}
	})
	b := newEventRecorder()
	list := registry.NewList(registry.ListConfig{Address: addr, Poll: cs.Second, Post: b.post})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- list.Run(ctx) }()
	acknowledged := <-left
	b.waitFor(t, "the runner that leaves", func(events []fleet.Event) bool {
		for _, e := range events {
			if read, ok := e.(fleet.ListRead); ok && read.Runners[0].Leaving {
				return true
			}
		}
		return false
	})
	took := time.Since(acknowledged)
	cancel()
	qt.Check(t, <-ended, qt.ErrorIs, context.Canceled)
	qt.Check(t, took < bound, qt.IsTrue, qt.Commentf("took %s", took))
}
