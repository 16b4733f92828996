package standin

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// StreamResponse is the complete response to a streaming request, as a caller reads it.
type StreamResponse struct {
	// Text is the generated text of all events together.
	Text string
	// FirstEventAt is when the first event arrived.
	FirstEventAt time.Time
	// Failure is the error from the event that ended the stream instead of the end marker, or nil.
	Failure json.RawMessage
}

// ReadStream reads server-sent events until the end marker or an event with an error. If the stream ends
// before either, the response is incomplete and the returned error gives the cause.
func ReadStream(r io.Reader) (StreamResponse, error) {
	var (
		response StreamResponse
		text     strings.Builder
	)
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if response.FirstEventAt.IsZero() {
			response.FirstEventAt = time.Now()
		}
		var event struct {
			Text  string          `json:"text"`
			Done  bool            `json:"done"`
			Error json.RawMessage `json:"error"`
		}
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return response, err
		}
		text.WriteString(event.Text)
		if event.Done || event.Error != nil {
			response.Text, response.Failure = text.String(), event.Error
			return response, nil
		}
	}
	if err := scanner.Err(); err != nil {
		return response, errors.Wrap(err, "read the event stream")
	}
	return response, errors.Wrap(io.ErrUnexpectedEOF, "event stream ended without an end marker")
}
