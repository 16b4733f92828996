package relay

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	cs "github.com/crocusstile/crocusstile"
)

const (
	// writeLimit bounds a write to a caller; one that takes nothing for so long is given up.
	writeLimit = 30 * cs.Second
	// renewEvery is the time between two renewals of the limit, which cost more than a small write.
	renewEvery = cs.Second
)

// lineEnd ends a server-sent event, as a blank line after it.
const lineEnd = '\n'

// callerWriter writes server-sent events to a caller.
type callerWriter struct {
	w       io.Writer
	control *http.ResponseController // nil if w is no http.ResponseWriter
	renewAt time.Time
	n       int64
}

func newCallerWriter(w io.Writer) *callerWriter {
	c := &callerWriter{w: w}
	if rw, ok := w.(http.ResponseWriter); ok {
		c.control = http.NewResponseController(rw)
	}
	return c
}

// events writes events, each with its blank line; with more the flush is put off.
func (c *callerWriter) events(p []byte, more bool) error {
	c.renew()
	n, err := c.w.Write(p)
	c.n += int64(n)
	if err != nil || more || c.control == nil {
		return err
	}
	return c.control.Flush()
}

// renew sets the time limit before a write, since a write of more than the buffer holds goes to the
// connection without a flush.
func (c *callerWriter) renew() {
	now := time.Now()
	if c.control == nil || now.Before(c.renewAt) {
		return
	}
	c.renewAt = now.Add(renewEvery.Std())
	_ = c.control.SetWriteDeadline(now.Add(writeLimit.Std())) // not all writers have deadlines
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
	return c.events(append(append([]byte("data: "), body...), lineEnd, lineEnd), false)
}
