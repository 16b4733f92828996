package batchjob_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
)

// Guards against cutting runs of large items again and again, so that they never end: a sound runner sends no event while it reads a
// long prompt, beside others, and reads it once more when it has run out of memory.
func TestLargeItemHasTimeToBeRead(t *testing.T) {
	for name, test := range map[string]struct {
		tokens   cs.Tokens
		min, max cs.Span
	}{
		// The engines of the users read some 60 prompt tokens a millisecond, have memory for 147,261 and run 8 requests at once.
		"as large as the memory of a runner": {147_261, 147_261 / 60 * 4, 30 * cs.Second},
		"usual":                              {550, 2 * cs.Second, 2200},
		"unknown size":                       {0, 2 * cs.Second, 2200},
		"size that no runner has":            {1<<31 - 1, 2 * cs.Second, 30 * cs.Second},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			l := &jobLog{}
			v := newVM("a", 0, 1, 2, 3)
			unlimited := route
			unlimited.MaxWaiting = 0
			v.Catalog = cs.NewCatalog(1, []cs.Route{unlimited}, nil, cs.CallerLimits{})
			s := newJob("j", 1)
			s.Items[0].Tokens = test.tokens
			submit(v, l, s, 1, startTime)
			c.Assert(v.started, qt.HasLen, 1)
			timeout := v.started[0].EventTimeout
			c.Check(timeout >= test.min && timeout <= test.max, qt.IsTrue, qt.Commentf("%d ms", timeout))
		})
	}
}
