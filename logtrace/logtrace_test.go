package logtrace_test

import (
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/crocusstile/crocusstile/logtrace"
)

func readLines(c *qt.C, name string) []logtrace.Line {
	f, err := os.Open("testdata/" + name)
	c.Assert(err, qt.IsNil)
	defer func() { _ = f.Close() }()
	lines, _, err := logtrace.Read(f)
	c.Assert(err, qt.IsNil)
	return lines
}

// Guards against a reader that stops at lines that are truncated, come from other programs or have text
// before the JSON object.
func TestUnparsableLinesAreSkipped(t *testing.T) {
	c := qt.New(t)
	lines, skipped, err := logtrace.Read(strings.NewReader("garbage\n" +
		`{"vm":"a","request":"r1","time":"2026-01-01T00:00:00.100Z","message":"requestSent"}` + "\n" +
		`  41.2 front-a {"vm":"a","request":"r1","time":"2026-01-01T00:00:00.200Z","message":"requestAnswered"}` + "\n" +
		`{"vm":"a","request":"r1","ti`))
	c.Assert(err, qt.IsNil)
	c.Assert(skipped, qt.Equals, 2)
	c.Assert(lines, qt.HasLen, 2)
	c.Assert(logtrace.Find(lines, "r1").Cause.Event, qt.Equals, "requestAnswered")
}

// Guards against a missing or wrong cause for the kinds of failure in docs/OPERATIONS.md. The lines may be of
// several VMs and in any order.
func TestFindCause(t *testing.T) {
	for _, test := range []struct{ file, id, event, reason string }{
		{"refused.log", "e4c1b02d91aa7f30", "requestRefused", "no runner of the service can be reached"},
		{"limited.log", "7a01c3b52d6e88f1", "requestLimited", "the workspace has reached its limit of requests"},
		{"broken.log", "007b61a84d3c7e9d", "requestRetried", "unexpected EOF"},
		{"givenup.log", "df24b4e468444dcc", "itemReturned", "error of the runner"},
		{"rejected.log", "11aa22bb33cc44dd", "requestRejected", "no route for h.example/none/1"},
	} {
		t.Run(test.file, func(t *testing.T) {
			c := qt.New(t)
			trace := logtrace.Find(readLines(c, test.file), test.id)
			c.Assert(trace.Cause, qt.IsNotNil)
			c.Assert(trace.Cause.Event, qt.Equals, test.event)
			c.Assert(trace.Cause.Reason, qt.Equals, test.reason)
			for i := range trace.Lines[1:] {
				c.Assert(trace.Lines[i+1].Time.Before(trace.Lines[i].Time), qt.IsFalse)
			}
			var out strings.Builder
			c.Assert(trace.Write(&out), qt.IsNil)
			c.Assert(out.String(), qt.Contains, "cause: ")
		})
	}
}

// Guards against a trace that omits the state changes of the runner of a request, or includes those of other
// runners.
func TestRelatedStateChanges(t *testing.T) {
	c := qt.New(t)
	trace := logtrace.Find(readLines(c, "broken.log"), "007b61a84d3c7e9d")
	c.Assert(trace.Around, qt.HasLen, 1)
	c.Assert(trace.Around[0].Event, qt.Equals, "runnerAvoided")
}

// Guards against an unexplained trace for a request that was in flight when its VM was killed and that no
// line ends. The trace must say that the VM stopped, shown by its next start or by the end of its log.
func TestRequestInFlightOnKilledVM(t *testing.T) {
	at := func(s string) time.Time {
		v, err := time.Parse("15:04:05", s)
		qt.Assert(t, err, qt.IsNil)
		return v
	}
	sent := logtrace.Line{Time: at("10:00:01"), VM: "vm-1", Event: "requestSent", Request: "r1", Runner: "i-1"}
	other := logtrace.Line{Time: at("10:00:20"), VM: "vm-2", Event: "requestSent", Request: "r2"}
	started := logtrace.Line{Time: at("10:00:03"), VM: "vm-1", Event: "started"}
	later := logtrace.Line{Time: at("10:00:09"), VM: "vm-1", Event: "requestSent", Request: "r3"}
	for name, test := range map[string]struct {
		lines []logtrace.Line
		want  string
	}{
		"started again": {[]logtrace.Line{sent, other, started, later}, "vm-1 stopped while it was in flight and restarted at 10:00:03.000"},
		"log ends":      {[]logtrace.Line{sent, other}, "vm-1 stopped while it was in flight; its log ends at 10:00:01.000"},
		"log goes on":   {[]logtrace.Line{sent, other, later}, "not found in the logs"},
	} {
		t.Run(name, func(t *testing.T) {
			var out strings.Builder
			qt.Assert(t, logtrace.Find(test.lines, "r1").Write(&out), qt.IsNil)
			qt.Assert(t, out.String(), qt.Contains, "cause: "+test.want)
		})
	}
}
