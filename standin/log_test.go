package standin_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/standin"
)

// appendTo appends a record with the payload to a stream.
func appendTo(t testing.TB, url, stream, payload string) response {
	return send(t, "POST", url+"/v1/streams/"+stream+"/records", payload)
}

// readPage reads records of the stream "s".
func readPage(t testing.TB, url, query string) standin.LogPage {
	var p standin.LogPage
	send(t, "GET", url+"/v1/streams/s/records?"+query, nil).decode(t, &p)
	return p
}

// TestLogOffsets guards against gaps in the offsets of a stream, records read from another stream, and
// payloads above the size limit that are accepted.
func TestLogOffsets(t *testing.T) {
	url := serve(t, standin.NewLog(standin.LogConfig{}))
	qt.Assert(t, strings.TrimSpace(appendTo(t, url, "s", "zero").body), qt.Equals, `{"offset":0}`)
	qt.Assert(t, strings.TrimSpace(appendTo(t, url, "other", "x").body), qt.Equals, `{"offset":0}`)
	qt.Assert(t, strings.TrimSpace(appendTo(t, url, "s", "\x00one").body), qt.Equals, `{"offset":1}`)
	p := readPage(t, url, "from=1&max=10")
	qt.Assert(t, p.Next, qt.Equals, cs.Offset(2))
	qt.Assert(t, p.Records, qt.HasLen, 1)
	qt.Assert(t, string(p.Records[0].Payload), qt.Equals, "\x00one")
	qt.Assert(t, readPage(t, url, "from=0&max=1").Next, qt.Equals, cs.Offset(1))
	qt.Assert(t, readPage(t, url, "from=2").Records, qt.HasLen, 0)
	qt.Assert(t, appendTo(t, url, "s", strings.Repeat("x", 1<<20+1)).status, qt.Equals, 413)
}

// TestLogLongPoll guards against long polls that miss an append to their stream.
func TestLogLongPoll(t *testing.T) {
	url := serve(t, standin.NewLog(standin.LogConfig{}))
	pages := make(chan standin.LogPage, 1)
	go func() { pages <- readPage(t, url, "from=0&waitMs=5000") }()
	appendTo(t, url, "other", "x")
	appendTo(t, url, "s", "x")
	qt.Assert(t, (<-pages).Records, qt.HasLen, 1)
	qt.Assert(t, readPage(t, url, "from=1&waitMs=20").Records, qt.HasLen, 0)
}

// TestLogRateLimit guards against appends above the rate limit that are accepted, and against refused
// appends that take effect.
func TestLogRateLimit(t *testing.T) {
	url := serve(t, standin.NewLog(standin.LogConfig{Faults: standin.LogFaults{AppendRate: 1}}))
	refused := 0
	for range 10 {
		if appendTo(t, url, "s", "x").status == 429 {
			refused++
		}
	}
	qt.Assert(t, refused > 0, qt.IsTrue)
	qt.Assert(t, readPage(t, url, "from=0").Records, qt.HasLen, 10-refused)
}

// TestLogRetention guards against records that stay readable beyond the retention time, or that are
// missing from the journal.
func TestLogRetention(t *testing.T) {
	clock := cs.NewManualClock(1000)
	url := serve(t, standin.NewLog(standin.LogConfig{Clock: clock, Faults: standin.LogFaults{Retention: 100}}))
	appendTo(t, url, "s", "old")
	clock.Advance(60)
	appendTo(t, url, "s", "new")
	clock.Advance(60)
	p := readPage(t, url, "from=0")
	qt.Assert(t, p.First, qt.Equals, cs.Offset(1))
	qt.Assert(t, p.Records, qt.HasLen, 1)
	history := decodeLines[standin.LogRecord](t, send(t, "GET", url+"/standin/journal/s", nil))
	qt.Assert(t, history, qt.HasLen, 2)
	qt.Assert(t, string(history[0].Payload), qt.Equals, "old")
}

// TestLogFaults guards against faults without effect on the client, and against lost responses to appends
// that did not take effect.
func TestLogFaults(t *testing.T) {
	l := standin.NewLog(standin.LogConfig{})
	url := serve(t, l)
	setFaults(t, url, `{"outage":true}`)
	qt.Assert(t, appendTo(t, url, "s", "x").status, qt.Equals, 503)
	qt.Assert(t, send(t, "GET", url+"/v1/streams/s/records", nil).status, qt.Equals, 503)
	setFaults(t, url, `{"outage":false,"loseNext":1}`)
	qt.Assert(t, appendTo(t, url, "s", "lost").err, qt.IsNotNil)
	qt.Assert(t, appendTo(t, url, "s", "kept").status, qt.Equals, 200)
	l.SetFaults(func(f *standin.LogFaults) { f.DropResponseRate = 1 })
	qt.Assert(t, appendTo(t, url, "s", "lost").err, qt.IsNotNil)
	qt.Assert(t, readPage(t, url, "from=0").Records, qt.HasLen, 3)
	setFaults(t, url, `{"loseRate":0,"delay":"30ms"}`)
	clock := cs.NewClock()
	start := clock.Now()
	qt.Assert(t, appendTo(t, url, "s", "slow").status, qt.Equals, 200)
	qt.Assert(t, clock.Now().Sub(start) >= 29, qt.IsTrue)
}
