package budget

import (
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
)

// readerConn is the connection of a reader that has acknowledged some bytes.
type readerConn struct{ acknowledged cs.Bytes }

func (*readerConn) Stop(Phase)               {}
func (r *readerConn) Acknowledged() cs.Bytes { return r.acknowledged }

// Guards against a reader that makes progress all the time and is ended when a share is short, since its progress is only noted once a
// second.
func TestReaderWithProgressIsNotStoppedForRoom(t *testing.T) {
	r := newRuleTest(t)
	reader := &readerConn{}
	h := r.open("10.0.0.1", PhaseServing)
	h.Connection = reader
	r.Assert(r.take(h, Responses, 3<<20), qt.IsTrue)
	h.BeginWrite(r.now)
	for range 9 {
		r.now = r.now.Add(100 * cs.Millisecond)
		reader.acknowledged += 100 << 10
	}
	asking := r.open("10.0.0.2", PhaseServing)
	asking.Connection = &readerConn{}
	r.Check(r.take(asking, Responses, 2<<20), qt.IsFalse)
	r.checkStopped()
}
