package relay

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	cs "github.com/crocusstile/crocusstile"
)

const (
	// writeTimeout bounds a write to a caller. The response is abandoned if it is exceeded.
	writeTimeout = 30 * cs.Second
	// deadlineRenewal is the least time between two settings of the write deadline, because setting it
	// costs more than a small write.
	deadlineRenewal = cs.Second
)

// lineEnd ends each line of a server-sent event, and the event itself when the line is blank.
const lineEnd = '\n'

// eventWriter writes server-sent events to a caller with a write deadline.
type eventWriter struct {
	w          io.Writer
	controller *http.ResponseController // nil if w is not an http.ResponseWriter
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

// writeEvents writes events, each ended by a blank line. It does not flush if more events follow at
// once.
func (c *eventWriter) writeEvents(p []byte, more bool) error {
	c.renewDeadline()
	written, err := c.w.Write(p)
	c.written += int64(written)
	if err != nil || more || c.controller == nil {
		return err
	}
	return c.controller.Flush()
}

// renewDeadline sets the write deadline. It runs before each write, not only before a flush, because
// a write that exceeds the buffer goes to the connection at once.
func (c *eventWriter) renewDeadline() {
	now := time.Now()
	if c.controller == nil || now.Before(c.renewAt) {
		return
	}
	c.renewAt = now.Add(deadlineRenewal.Std())
	_ = c.controller.SetWriteDeadline(now.Add(writeTimeout.Std())) // not all writers support deadlines
}

// writeEnd writes the event that marks the end of a complete response.
func (c *eventWriter) writeEnd(id cs.RequestID, n cs.Tokens) error {
	return c.json(struct {
		ID     cs.RequestID `json:"id"`
		Done   bool         `json:"done"`
		Tokens cs.Tokens    `json:"tokens"`
	}{id, true, n})
}

// streamError is the error in the last event of an incomplete response.
type streamError struct {
	Name    string `json:"name"`
	Message string `json:"message"`
	Ran     cs.Ran `json:"ran"`
}

// writeError writes the event that ends an incomplete response with the reason.
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
