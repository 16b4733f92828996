package batchjob_test

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/batchjob"
	"github.com/crocusstile/crocusstile/gateway"
	"github.com/crocusstile/crocusstile/platform"
	"github.com/crocusstile/crocusstile/standin"
)

// cutEvents is the rest of the output of an item whose first event an earlier run has returned, and cutTexts what each
// number of its events adds to the text.
const cutEvents = "id: 2\ndata: b\n\n: comment\n\nid: 3\ndata: c\n\n"

var cutTexts = []string{"", "b", "b\nc"}

// cutResponse is a response to an item that the test cuts at each byte.
type cutResponse struct {
	head, body string
	// closed means that the body ends with its connection.
	closed bool
	// status is that of an error, or 0.
	status int
}

// eventsIn returns the number of whole events in the beginning of the body.
func (r *cutResponse) eventsIn(body string) int {
	n := 0
	for _, end := range []string{"data: b\n\n", "data: c\n\n"} {
		if strings.Contains(body, end) {
			n++
		}
	}
	return n
}

// Guards against an item that is completed, or fails, by a response that its runner broke off, and against output of
// which an event is missing: what was whole is kept, and the item goes on after it. A body that ends with its connection completes
// no item by itself (TestEndWithConnectionIsConfirmed).
func TestCutResponseOfItem(t *testing.T) {
	const interim = "HTTP/1.1 103 Early Hints\r\nRequest-Id: it1\r\n\r\n"
	length := "Content-Length: " + strconv.Itoa(len(cutEvents)) + "\r\n"
	stream := okHead + "Content-Type: text/event-stream\r\n"
	for name, test := range map[string]cutResponse{
		"length":                  {stream + length, cutEvents, false, 0},
		"chunk":                   {stream + "Transfer-Encoding: chunked\r\n", strconv.FormatInt(int64(len(cutEvents)), 16) + "\r\n" + cutEvents + "\r\n0\r\n\r\n", false, 0},
		"close":                   {stream, cutEvents, true, 0},
		"announced close":         {stream + "Connection: close\r\n", cutEvents, true, 0},
		"close, HTTP/1.0":         {strings.Replace(stream, "1.1", "1.0", 1), cutEvents, true, 0},
		"close after interim":     {interim + stream, cutEvents, true, 0},
		"error with length":       {"HTTP/1.1 500 X\r\nRequest-Id: it1\r\n" + length, cutEvents, false, 500},
		"error to close":          {"HTTP/1.1 500 X\r\nRequest-Id: it1\r\n", cutEvents, true, 500},
		"invalid item, to close":  {"HTTP/1.1 422 X\r\nRequest-Id: it1\r\n", cutEvents, true, 422},
		"invalid item, to length": {"HTTP/1.1 422 X\r\nRequest-Id: it1\r\n" + length, cutEvents, false, 422},
	} {
		for ending, end := range map[string]standin.ClosingResponse{
			"closed":                 {},
			"reset":                  {Reset: true, Pause: 5 * time.Millisecond},
			"silent and then closed": {Pause: 5 * time.Millisecond},
		} {
			t.Run(name+", "+ending, func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				response := test.head + "\r\n" + test.body
				runner, err := standin.NewClosingRunner(func(r *http.Request) standin.ClosingResponse {
					n, err := strconv.Atoi(strings.TrimPrefix(r.URL.Path, "/"))
					c.Check(err, qt.IsNil)
					return standin.ClosingResponse{Bytes: response[:n], Pause: end.Pause, Reset: end.Reset}
				})
				c.Assert(err, qt.IsNil)
				defer runner.Close()
				runners := platform.NewRunners(platform.RunnersConfig{})
				defer runners.Close()
				ended := make(chan gateway.ItemRunEnded, len(response)+1)
				traffic := batchjob.NewTraffic(runners, func(_ context.Context, e gateway.Event) error {
					ended <- e.(gateway.ItemRunEnded)
					return nil
				})
				defer traffic.Close()
				for n := range len(response) + 1 {
					traffic.Run(t.Context(), gateway.RunItem{
						Key: gateway.ItemKey{Index: n}, Attempt: 1, Item: gateway.Item{ID: "it1", Target: "/" + strconv.Itoa(n), Body: []byte("x")},
						Address: cs.Address(runner.Address()), LastEvent: 1, NewConnection: true,
					})
					checkCutItem(c, &test, n, <-ended, end.Reset)
				}
			})
		}
	}
}

// checkCutItem checks how the run of an item ended whose response was cut after n bytes.
func checkCutItem(c *qt.C, test *cutResponse, n int, e gateway.ItemRunEnded, reset bool) {
	body := ""
	if head := len(test.head) + len("\r\n"); n > head {
		body = test.body[:n-head]
	}
	comment := qt.Commentf("cut after %d bytes: %q: %#v", n, body, e.Outcome)
	whole := len(body) == len(test.body) && (!test.closed || !reset)
	if test.status != 0 {
		_, isError := e.Outcome.(gateway.ItemError)
		inHead := n < len(test.head)+len("\r\n")
		want := whole || test.closed && !reset && !inHead
		c.Check(isError, qt.Equals, want, comment)
		c.Check(e.Text, qt.HasLen, 0, comment)
		return
	}
	events := test.eventsIn(body)
	_, completed := e.Outcome.(gateway.ItemCompleted)
	if !reset {
		atEvent := events > 0 && strings.HasSuffix(body, "\n\n")
		_, ended := e.Outcome.(gateway.ItemEndedWithConnection)
		inBody := n >= len(test.head)+len("\r\n")
		c.Check(completed, qt.Equals, whole && !test.closed, comment)
		c.Check(ended, qt.Equals, test.closed && (atEvent || inBody && body == ""), comment)
		c.Check(string(e.Text), qt.Equals, cutTexts[events], comment)
		return
	}
	c.Check(completed && !whole, qt.IsFalse, comment)
	c.Check(strings.HasPrefix(cutTexts[events], string(e.Text)), qt.IsTrue, comment)
	if !completed {
		_, interrupted := e.Outcome.(gateway.ItemInterrupted)
		c.Check(interrupted, qt.IsTrue, comment)
	}
}
