package forward

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"

	cs "github.com/crocusstile/crocusstile"
)

// maxEventBytes limits the size of one event of a stream.
const maxEventBytes = 64 << 10

// maxBytesBetweenEvents limits the bytes of a stream that bring no new event: blank lines, comments and events that were
// received before.
const maxBytesBetweenEvents = 256 << 10

// eventBufferBytes is the size of the buffer through which a stream is read.
const eventBufferBytes = 2 << 10

// errTruncatedEvent means that a stream ended in the middle of an event.
var errTruncatedEvent = errors.New("stream ended in the middle of an event")

// ErrUnnumberedEvent means that a stream has an event without an id, as no run of a request does.
var ErrUnnumberedEvent = errors.New("event without an id")

// StreamEvent is one server-sent event of a stream.
type StreamEvent struct {
	// Raw is the event as received, with the blank line that ends it. It is valid until the next
	// Read.
	Raw []byte
	// ID is 0 if there are only comments.
	ID cs.EventID
	// Data holds the values of the event's data fields, joined by line feeds.
	Data []byte
	// hasField means that there is a line that is no comment, and hasData that one of them is a data field, which may be empty.
	hasField, hasData bool
}

// EventReader splits a text/event-stream into events.
type EventReader struct {
	in  *bufio.Reader
	raw []byte
	// last is the id of the newest event, and unproductiveBytes the number of bytes read since.
	last              cs.EventID
	unproductiveBytes int
}

// NewEventReader returns an EventReader that reads from r and skips the events up to the one with the ID last,
// which an earlier attempt has received.
func NewEventReader(r io.Reader, last cs.EventID) *EventReader {
	return &EventReader{in: bufio.NewReaderSize(r, eventBufferBytes), last: last}
}

// Read returns the next complete event that has a higher ID than all events before, or comments in place of an event.
// It returns io.EOF at the end of the stream, or an error if the stream fails, ends in the middle of an event, has an
// event without an id or goes on for too long without a new event.
func (r *EventReader) Read() (StreamEvent, error) {
	for {
		e, err := r.readEvent()
		switch {
		case err != nil:
			return StreamEvent{}, err
		case e.ID == 0 && e.hasField:
			return StreamEvent{}, ErrUnnumberedEvent
		case e.ID == 0:
			return e, nil
		case e.ID > r.last:
			r.last, r.unproductiveBytes = e.ID, 0
			return e, nil
		}
	}
}

// readEvent returns the next complete event.
func (r *EventReader) readEvent() (StreamEvent, error) {
	r.raw = r.raw[:0]
	var e StreamEvent
	for {
		start := len(r.raw)
		if err := r.line(); err != nil {
			if errors.Is(err, io.EOF) && len(r.raw) > 0 {
				err = errTruncatedEvent
			}
			return StreamEvent{}, err
		}
		line := bytes.TrimRight(r.raw[start:], "\r\n")
		if len(line) == 0 {
			if start == 0 {
				r.raw = r.raw[:0] // extra blank line between events
				continue
			}
			e.Raw = r.raw
			return e, nil
		}
		if err := e.setField(line); err != nil {
			return StreamEvent{}, err
		}
	}
}

// line appends the next line, including its line ending, to raw.
func (r *EventReader) line() error {
	for {
		part, err := r.in.ReadSlice('\n')
		r.raw = append(r.raw, part...)
		r.unproductiveBytes += len(part)
		if len(r.raw) > maxEventBytes {
			return errors.Newf("event exceeds the limit of %d bytes", maxEventBytes)
		}
		if r.unproductiveBytes > maxBytesBetweenEvents {
			return errors.Newf("no new event in %d bytes of the stream", maxBytesBetweenEvents)
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// setField parses one line of an event and stores its id or data; other fields are ignored.
func (e *StreamEvent) setField(line []byte) error {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	e.hasField = e.hasField || len(name) > 0
	switch string(name) {
	case "id":
		n, err := strconv.ParseInt(string(value), 10, 64)
		if err != nil {
			return errors.Wrap(err, "parse the id field of an event")
		}
		e.ID = cs.EventID(n)
	case "data":
		if e.hasData {
			e.Data = append(e.Data, '\n')
		}
		e.Data, e.hasData = append(e.Data, value...), true
	}
	return nil
}
