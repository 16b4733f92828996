package standin

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Answer is the complete response to a streaming request, as a caller reads it.
type Answer struct {
	// Text is the generated text of all events together.
	Text string
	// First is when the first event arrived.
	First time.Time
	// Failure is the error from the event that ended the stream instead of the end marker, or nil.
	Failure json.RawMessage
}

// ReadAnswer reads server-sent events until the end marker or an event with an error. If the stream ends
// before either, the response is incomplete and the returned error gives the cause.
func ReadAnswer(r io.Reader) (Answer, error) {
	var (
		a    Answer
		text strings.Builder
	)
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if a.First.IsZero() {
			a.First = time.Now()
		}
		var event struct {
			Text  string          `json:"text"`
			Done  bool            `json:"done"`
			Error json.RawMessage `json:"error"`
		}
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return a, err
		}
		text.WriteString(event.Text)
		if event.Done || event.Error != nil {
			a.Text, a.Failure = text.String(), event.Error
			return a, nil
		}
	}
	if err := lines.Err(); err != nil {
		return a, errors.Wrap(err, "stream broke off")
	}
	return a, errors.Wrap(io.ErrUnexpectedEOF, "stream broke off")
}
