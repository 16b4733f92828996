package cli

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	cs "github.com/crocusstile/crocusstile"
)

// eventBytes bounds one event of a stream.
const eventBytes = 1 << 20

// event is one server-sent event of an answer.
type event struct {
	ID     string       `json:"id"`
	N      cs.Tokens    `json:"n"`
	Text   string       `json:"text"`
	Done   bool         `json:"done"`
	Tokens cs.Tokens    `json:"tokens"`
	Error  *streamError `json:"error"`
}

// streamError reports a stream that broke off.
type streamError struct {
	Name    string `json:"name"`
	Message string `json:"message"`
	Ran     string `json:"ran"`
}

// readAnswer passes the text of a stream on and checks that it is the whole answer to the request:
// each event bears the request's id, their numbers follow each other from 1, and the end marker
// stands last. It returns the number of tokens; its error is a Failure unless pass failed.
func readAnswer(body io.Reader, id string, pass func(text string) error) (cs.Tokens, error) {
	var n cs.Tokens
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, eventBytes)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data:"))
		if !ok {
			continue
		}
		var e event
		if err := json.Unmarshal(data, &e); err != nil {
			return n, NotWhole{"an event is not JSON: " + err.Error()}
		}
		if err := e.check(id, n); err != nil {
			return n, err
		}
		if e.Done {
			return n, nil
		}
		n = e.N
		if err := pass(e.Text); err != nil {
			return n, err
		}
	}
	if err := lines.Err(); err != nil {
		return n, Lost{errors.Wrap(err, "the stream broke off")}
	}
	return n, Lost{errors.New("the stream ended without the end marker")}
}

// check tells whether the event may follow event n of the request's answer.
func (e event) check(id string, n cs.Tokens) error {
	switch {
	case e.ID != id:
		return NotWhole{"an event of request " + e.ID + " came in the answer to " + id}
	case e.Error != nil:
		return Refused{Name: e.Error.Name, Message: e.Error.Message, Ran: ranOf(e.Error.Ran)}
	case e.Done && e.Tokens > n:
		return NotWhole{"events are missing before the end marker"}
	case !e.Done && e.N != n+1:
		return NotWhole{"events are missing or repeated in the stream"}
	}
	return nil
}
