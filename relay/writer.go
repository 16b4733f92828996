package relay

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	cs "github.com/crocusstile/crocusstile"
)

// writeLimit bounds one write to a caller; one that takes nothing for so long is given up.
const writeLimit = 30 * cs.Second

// lineEnd ends a server-sent event.
var lineEnd = []byte("\n")

// callerWriter writes server-sent events to a caller.
type callerWriter struct {
	w       io.Writer
	control *http.ResponseController // nil if w is no http.ResponseWriter
	n       int64
}

func newCallerWriter(w io.Writer) *callerWriter {
	c := &callerWriter{w: w}
	if rw, ok := w.(http.ResponseWriter); ok {
		c.control = http.NewResponseController(rw)
	}
	return c
}

// event writes an event, which ends with a line end; with more the flush is put off.
func (c *callerWriter) event(event []byte, more bool) error {
	if err := c.write(event); err != nil {
		return err
	}
	if err := c.write(lineEnd); err != nil || more {
		return err
	}
	return c.flush()
}

func (c *callerWriter) write(p []byte) error {
	n, err := c.w.Write(p)
	c.n += int64(n)
	return err
}

func (c *callerWriter) flush() error {
	if c.control == nil {
		return nil
	}
	_ = c.control.SetWriteDeadline(time.Now().Add(writeLimit.Std())) // not all writers have deadlines
	return c.control.Flush()
}

// end writes the end marker.
func (c *callerWriter) end(id cs.RequestID, n cs.Tokens) error {
	return c.json(struct {
		ID     cs.RequestID `json:"id"`
		Done   bool         `json:"done"`
		Tokens cs.Tokens    `json:"tokens"`
	}{id, true, n})
}

// streamError is the error of a stream that broke off.
type streamError struct {
	Name    string `json:"name"`
	Message string `json:"message"`
	Ran     cs.Ran `json:"ran"`
}

// fail writes why an answer broke off.
func (c *callerWriter) fail(id cs.RequestID, r *cs.Refusal) error {
	return c.json(struct {
		ID    cs.RequestID `json:"id"`
		Error streamError  `json:"error"`
	}{id, streamError{Name: r.Reason.String(), Message: r.Message, Ran: r.Ran}})
}

func (c *callerWriter) json(v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if err := c.write(append(append([]byte("data: "), body...), '\n')); err != nil {
		return err
	}
	return c.event(nil, false)
}
