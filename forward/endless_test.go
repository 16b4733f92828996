package forward_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/forward"
	"github.com/crocusstile/crocusstile/gateway"
	"github.com/crocusstile/crocusstile/platform"
	"github.com/crocusstile/crocusstile/standin"
)

// maxBytesPerRequest is the share of a request in the memory of a small VM: 120 MB for four dozen requests at
// once, as bytes that were received count towards the memory of the VM.
const maxBytesPerRequest = 120 << 20 / 48

// busyMachineMargin is the time beyond a limit that a busy machine may take.
const busyMachineMargin = 5 * time.Second

const (
	okHead     = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: s\r\n"
	streamHead = okHead + "Content-Type: text/event-stream\r\n\r\n"
)

// endlessCase is a response of a faulty runner without end, and the timeouts of the attempt there.
type endlessCase struct {
	respond                      func(n int) string
	pause                        time.Duration
	firstByteTimeout, eventPause cs.Span
}

// serveAfterEndless serves a request that is first sent to a runner that responds without end, and then to one
// that works. It returns the outcome of the first attempt.
func serveAfterEndless(t *testing.T, test endlessCase, caller *recordingCaller) gateway.OutcomeInterrupted {
	c := qt.New(t)
	faulty, err := standin.NewEndlessRunner(test.respond, test.pause)
	c.Assert(err, qt.IsNil)
	defer faulty.Close()
	working := httptest.NewServer(standin.NewEndpoint("b", 3, 0))
	defer working.Close()
	runners := platform.NewRunners(platform.RunnersConfig{})
	defer runners.Close()
	var ended gateway.OutcomeInterrupted
	started := time.Now()
	var took time.Duration
	end := serveSession(t.Context(), runners, caller, func(e gateway.Event) gateway.Action {
		switch e := e.(type) {
		case gateway.ForwardArrived:
			return gateway.Dispatch{
				ID: e.Forward.ID, Attempt: 1, Runner: "a", Address: cs.Address(faulty.Address()),
				FirstByteTimeout: test.firstByteTimeout, EventTimeout: test.eventPause,
			}
		case gateway.ForwardEnded:
			if interrupted, ok := e.Outcome.(gateway.OutcomeInterrupted); ok && e.Attempt == 1 {
				ended, took = interrupted, time.Since(started)
				return gateway.Dispatch{
					ID: e.ID, Attempt: 2, Runner: "b", Address: cs.Address(working.Listener.Addr().String()),
					LastEvent: interrupted.LastEvent,
				}
			}
			return gateway.Refuse{ID: e.ID, Refusal: cs.Refusal{Reason: cs.ReasonBroken, Ran: cs.RanUnknown}}
		default:
		}
		return nil
	})
	c.Check(end, qt.Equals, forward.EndAnswered{})
	limit := test.firstByteTimeout + test.eventPause
	if limit == 0 {
		limit = sessionTimeout
	}
	c.Check(took < limit.Std()+busyMachineMargin, qt.IsTrue, qt.Commentf("the first attempt took %v", took))
	for until := time.Now().Add(busyMachineMargin); faulty.OpenConns() > 0; time.Sleep(5 * time.Millisecond) {
		c.Assert(time.Now().Before(until), qt.IsTrue, qt.Commentf("the connection stays open"))
	}
	c.Check(faulty.MostBytes() < maxBytesPerRequest, qt.IsTrue, qt.Commentf("%d bytes", faulty.MostBytes()))
	return ended
}

// A response that is no stream is held in memory until it is complete. If it does not end, it must not fill the
// memory of the VM, and the request must go on at another runner.
func TestEndlessBodyIsCutOff(t *testing.T) {
	filler := strings.Repeat("x", 4<<10)
	for name, respond := range map[string]func(int) string{
		"until the connection closes": standin.Repeat(okHead+"\r\n", filler),
		"with a length":               standin.Repeat(okHead+"Content-Length: 1000000000000\r\n\r\n", filler),
		"in chunks":                   standin.Repeat(okHead+"Transfer-Encoding: chunked\r\n\r\n", "1000\r\n"+filler+"\r\n"),
		"error":                       standin.Repeat("HTTP/1.1 500 X\r\nRequest-Id: r1\r\n\r\n", filler),
	} {
		t.Run(name, func(t *testing.T) {
			caller := &recordingCaller{}
			serveAfterEndless(t, endlessCase{respond: respond}, caller)
			qt.Check(t, caller.body.String(), qt.Equals, workingResponse)
		})
	}
}

// workingResponse is the response of the runner that works.
const workingResponse = "id: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\nid: 3\ndata: event 3\n\n"

// A stream in which no new event comes must end after a bounded number of bytes and within the time limits of the
// request, and go on at another runner after its last event.
func TestEndlessStreamIsCutOff(t *testing.T) {
	filler := strings.Repeat("x", 4<<10)
	event := "id: 1\ndata: event 1\n\n"
	for name, respond := range map[string]func(int) string{
		"line":            standin.Repeat(streamHead+event+"data: ", filler),
		"lines":           standin.Repeat(streamHead+event, "data: "+filler+"\n"),
		"comment lines":   standin.Repeat(streamHead+event, ": "+filler+"\n"),
		"blank lines":     standin.Repeat(streamHead+event, strings.Repeat("\n", 4<<10)),
		"repeated events": standin.Repeat(streamHead, strings.Repeat(event, 100)),
	} {
		t.Run(name, func(t *testing.T) {
			caller := &recordingCaller{}
			ended := serveAfterEndless(t, endlessCase{respond: respond}, caller)
			qt.Check(t, ended.LastEvent, qt.Equals, cs.EventID(1))
			qt.Check(t, caller.body.String(), qt.Equals, workingResponse)
		})
	}
}

// Events that the caller has already must not keep a stream at a runner beyond the time limit between two events:
// a resumable stream must go on elsewhere while it is still on time.
func TestRepeatedEventsDoNotRestartIdleTimer(t *testing.T) {
	event := "id: 1\ndata: event 1\n\n"
	for name, part := range map[string]string{"repeated event": event, "comment": ": x\n\n"} {
		t.Run(name, func(t *testing.T) {
			caller := &recordingCaller{}
			respond := func(n int) string {
				if n == 0 {
					return streamHead + event
				}
				return part
			}
			ended := serveAfterEndless(t, endlessCase{
				respond: respond, pause: 5 * time.Millisecond, firstByteTimeout: sessionTimeout, eventPause: 50,
			}, caller)
			qt.Check(t, ended.TimedOut, qt.IsTrue)
			qt.Check(t, strings.ReplaceAll(caller.body.String(), ": x\n\n", ""), qt.Equals, workingResponse)
		})
	}
}
