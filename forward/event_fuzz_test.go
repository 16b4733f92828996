package forward_test

import (
	"bytes"
	"errors"
	"io"
	"testing"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/forward"
)

// Guards against bytes of a runner that end a process, an event that is passed on twice or out of order, and a stream that breaks
// off in the middle of an event and looks complete.
func FuzzEventReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\nid: 2\ndata: y\n\n"), int64(0))
	f.Add([]byte("id: 1\ndata: x\n\nid: 2\ndata"), int64(0))
	f.Add([]byte(": comment\n\nid: 3\r\ndata: x\r\n\r\n"), int64(2))
	f.Add([]byte("data: without an id\n\n"), int64(0))
	f.Add([]byte("id: 9223372036854775808\n\n"), int64(1))
	f.Fuzz(func(t *testing.T, stream []byte, last int64) {
		r := forward.NewEventReader(bytes.NewReader(stream), cs.EventID(last))
		previous := cs.EventID(last)
		var raw []byte
		for {
			e, err := r.Read()
			if err != nil {
				if errors.Is(err, io.EOF) && len(stream) > 0 && !bytes.HasSuffix(bytes.TrimRight(stream, "\r"), []byte("\n")) {
					t.Fatalf("a stream that ends in the middle of an event is complete: %q", stream)
				}
				return
			}
			if e.ID != 0 && e.ID <= previous {
				t.Fatalf("event %d after %d", e.ID, previous)
			}
			if e.ID != 0 {
				previous = e.ID
			}
			if raw = append(raw, e.Raw...); len(raw) > len(stream) {
				t.Fatalf("%d bytes of a stream with %d", len(raw), len(stream))
			}
		}
	})
}
