package relay

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	cs "github.com/crocusstile/crocusstile"
)

const (
	// writeTimeout bounds a write to a caller; one that takes nothing for so long is given up.
	writeTimeout = 30 * cs.Second
	// deadlineRenewal is the time between two renewals of the limit, which cost more than a small write.
	deadlineRenewal = cs.Second
)

// lineEnd ends a server-sent event, as a blank line after it.
const lineEnd = '\n'

// eventWriter writes server-sent events to a caller.
type eventWriter struct {
	w          io.Writer
	controller *http.ResponseController // nil if w is no http.ResponseWriter
	renewAt    time.Time
	written    int64
}

func newEventWriter(w io.Writer) *eventWriter {
	c := &eventWriter{w: w}
	if rw, ok := w.(http.ResponseWriter); ok {
		c.controller = http.NewResponseController(rw)
	}
	return c
}

// writeEvents writes writeEvents, each with its blank line; with more the flush is put off.
func (c *eventWriter) writeEvents(p []byte, more bool) error {
	c.renewDeadline()
	written, err := c.w.Write(p)
	c.written += int64(written)
	if err != nil || more || c.controller == nil {
		return err
	}
	return c.controller.Flush()
}

// renewDeadline sets the time limit before a write, since a write of more than the buffer holds goes to the
// connection without a flush.
func (c *eventWriter) renewDeadline() {
	now := time.Now()
	if c.controller == nil || now.Before(c.renewAt) {
		return
	}
	c.renewAt = now.Add(deadlineRenewal.Std())
	_ = c.controller.SetWriteDeadline(now.Add(writeTimeout.Std())) // not all writers have deadlines
}

// writeEnd writes the writeEnd marker.
func (c *eventWriter) writeEnd(id cs.RequestID, n cs.Tokens) error {
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

// writeError writes why an answer broke off.
func (c *eventWriter) writeError(id cs.RequestID, r *cs.Refusal) error {
	return c.json(struct {
		ID    cs.RequestID `json:"id"`
		Error streamError  `json:"error"`
	}{id, streamError{Name: r.Reason.String(), Message: r.Message, Ran: r.Ran}})
}

func (c *eventWriter) json(v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return c.writeEvents(append(append([]byte("data: "), body...), lineEnd, lineEnd), false)
}
