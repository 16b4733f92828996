package cli

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	cs "github.com/crocusstile/crocusstile"
)

// maxEventBytes limits the size of one event of a stream.
const maxEventBytes = 1 << 20

// streamEvent is one server-sent event of a streamed response.
type streamEvent struct {
	ID       string       `json:"id"`
	Sequence cs.Tokens    `json:"n"`
	Text     string       `json:"text"`
	Done     bool         `json:"done"`
	Tokens   cs.Tokens    `json:"tokens"`
	Error    *streamError `json:"error"`
}

// streamError is the error event with which the VM ends a stream whose response failed.
type streamError struct {
	Name    string `json:"name"`
	Message string `json:"message"`
	Ran     string `json:"ran"`
}

// readStream passes the text of a stream to emit and checks that it is the complete response to the
// request: each event carries the id of the request, the sequence numbers start at 1 without gaps,
// and the stream ends with the end marker. It returns the number of tokens; its error is a Failure
// unless emit failed.
func readStream(body io.Reader, requestID string, emit func(text string) error) (cs.Tokens, error) {
	var received cs.Tokens
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data:"))
		if !ok {
			continue
		}
		var e streamEvent
		if err := json.Unmarshal(data, &e); err != nil {
			return received, InvalidStream{"an event is not JSON: " + err.Error()}
		}
		if err := e.validate(requestID, received); err != nil {
			return received, err
		}
		if e.Done {
			return received, nil
		}
		received = e.Sequence
		if err := emit(e.Text); err != nil {
			return received, err
		}
	}
	if err := lines.Err(); err != nil {
		return received, NoResponse{errors.Wrap(err, "cannot read the stream")}
	}
	return received, NoResponse{errors.New("the stream ended without the end marker")}
}

// validate checks that the event may follow the event with sequence number received.
func (e streamEvent) validate(requestID string, received cs.Tokens) error {
	switch {
	case e.ID != requestID:
		return InvalidStream{"got an event of request " + e.ID + " in the response to " + requestID}
	case e.Error != nil:
		return ErrorResponse{Name: e.Error.Name, Message: e.Error.Message, Ran: parseRan(e.Error.Ran)}
	case e.Done && e.Tokens > received:
		return InvalidStream{"events are missing before the end marker"}
	case !e.Done && e.Sequence != received+1:
		return InvalidStream{"events are missing or repeated in the stream"}
	}
	return nil
}
