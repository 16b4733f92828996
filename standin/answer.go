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
		answer Answer
		text   strings.Builder
	)
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if answer.First.IsZero() {
			answer.First = time.Now()
		}
		var event struct {
			Text  string          `json:"text"`
			Done  bool            `json:"done"`
			Error json.RawMessage `json:"error"`
		}
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return answer, err
		}
		text.WriteString(event.Text)
		if event.Done || event.Error != nil {
			answer.Text, answer.Failure = text.String(), event.Error
			return answer, nil
		}
	}
	if err := scanner.Err(); err != nil {
		return answer, errors.Wrap(err, "read the event stream")
	}
	return answer, errors.Wrap(io.ErrUnexpectedEOF, "event stream ended without an end marker")
}
