package entry

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
	"github.com/crocusstile/crocusstile/meter"
)

// The usual load in log lines per second: a VM handles four online requests and one item a second, with a
// line each for the dispatch and the response of a request and for the start and the result of an item.
const usualLinesPerSecond = 4*2 + 1*2

// requestNotes returns the notes of a request that is answered at the first attempt.
func requestNotes(n int) []gateway.Note {
	id := cs.RequestID(fmt.Sprintf("9c41d07be2a3%04x", n))
	return []gateway.Note{
		{Kind: gateway.NoteRequestSent, Request: id, Runner: "i-7f3a91c2", Route: "r-9wyvab8", Attempt: 1, Version: 17, Load: 3, Age: 210, Duration: 1},
		{Kind: gateway.NoteRequestAnswered, Request: id, Runner: "i-7f3a91c2", Route: "r-9wyvab8", Attempt: 1, Count: 200, Duration: 480},
	}
}

// At ten times the usual load every line must be written. Beyond the rate limit the dropped lines must be
// counted, and failures must still be logged, since they have a limit of their own.
func TestLogRateLimit(t *testing.T) {
	c := qt.New(t)
	var log bytes.Buffer
	m := meter.New(zerolog.Nop())
	defer func() { _ = m.Close() }()
	l := newNoteLogger(zerolog.New(&log), m)
	for i := range 10 * usualLinesPerSecond {
		l.logNote(requestNotes(i)[0])
	}
	c.Assert(strings.Count(log.String(), "\n"), qt.Equals, 10*usualLinesPerSecond)
	for i := range 20_000 {
		l.logNote(requestNotes(i)[0])
	}
	lines := strings.Count(log.String(), "\n")
	c.Assert(lines < 10*usualLinesPerSecond+linesPerBurst+linesPerSecond, qt.IsTrue, qt.Commentf("%d lines", lines))
	c.Assert(l.dropped.Load() > 19_000, qt.IsTrue)
	log.Reset()
	l.logNote(gateway.Note{Kind: gateway.NoteRequestRefused, Request: "r1", Reason: "no runner"})
	c.Assert(log.String(), qt.Contains, `"requestRefused"`, qt.Commentf("failures have a rate limit of their own"))
}

// Guards against log lines of tens of kilobytes: errors quote what a faulty runner sent in place of a response.
func TestLogLinesAreShort(t *testing.T) {
	c := qt.New(t)
	var log bytes.Buffer
	m := meter.New(zerolog.Nop())
	defer func() { _ = m.Close() }()
	l := newNoteLogger(zerolog.New(&log), m)
	l.logNote(gateway.Note{Kind: gateway.NoteRequestRetried, Request: "r1", Reason: "malformed HTTP response: " + strings.Repeat("\x01", 30<<10)})
	c.Check(log.Len() < 4<<10, qt.IsTrue, qt.Commentf("%d bytes", log.Len()))
	c.Check(log.String(), qt.Contains, "malformed HTTP response")
	c.Check(log.String(), qt.Contains, `"request":"r1"`)
}

// BenchmarkNoteLogger measures the cost of a request's log lines, and of counting alone when lines are
// dropped.
func BenchmarkNoteLogger(b *testing.B) {
	for _, test := range []struct {
		name string
		over bool
	}{{"written", false}, {"dropped", true}} {
		b.Run(test.name, func(b *testing.B) {
			m := meter.New(zerolog.Nop())
			defer func() { _ = m.Close() }()
			out := &byteCounter{}
			l := newNoteLogger(zerolog.New(out), m)
			if !test.over {
				l.normalLimit.SetBurst(1 << 30)
				l.normalLimit.SetLimit(1 << 30)
			} else {
				l.normalLimit.SetBurst(0)
			}
			notes := requestNotes(1)
			b.ReportAllocs()
			for b.Loop() {
				for _, n := range notes {
					l.logNote(n)
				}
			}
			b.ReportMetric(float64(out.bytes)/float64(b.N), "logbytes/op")
		})
	}
}

// byteCounter counts the bytes written to it.
type byteCounter struct{ bytes int }

func (c *byteCounter) Write(p []byte) (int, error) {
	c.bytes += len(p)
	return io.Discard.Write(p)
}
