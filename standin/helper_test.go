package standin_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/standin"
)

// serve runs a stand-in until the test ends and returns its URL.
func serve(t testing.TB, s standin.StandIn) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- standin.Serve(ctx, ln, s) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil && err != standin.ErrCrashed {
			t.Errorf("Serve returned %v", err)
		}
	})
	return "http://" + ln.Addr().String()
}

// response is a complete response, or the part received before err.
type response struct {
	status int
	header http.Header
	body   string
	err    error
}

func (r response) decode(t testing.TB, v any) {
	qt.Assert(t, r.err, qt.IsNil)
	qt.Assert(t, json.Unmarshal([]byte(r.body), v), qt.IsNil, qt.Commentf("body %q", r.body))
}

// send sends a request whose body is v if v is a string, else the JSON of v. header holds names and values
// in turn.
func send(t testing.TB, method, url string, v any, header ...string) response {
	return sendWithContext(context.Background(), t, method, url, v, header...)
}

// sendWithContext is send with a context; it gives up after 5 s.
func sendWithContext(ctx context.Context, t testing.TB, method, url string, v any, header ...string) response {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	body, ok := v.(string)
	if !ok && v != nil {
		data, err := json.Marshal(v)
		qt.Assert(t, err, qt.IsNil)
		body = string(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}

// decodeLines decodes a body of JSON lines.
func decodeLines[T any](t testing.TB, resp response) []T {
	qt.Assert(t, resp.err, qt.IsNil)
	var values []T
	for scanner := bufio.NewScanner(bytes.NewReader([]byte(resp.body))); scanner.Scan(); {
		var v T
		qt.Assert(t, json.Unmarshal(scanner.Bytes(), &v), qt.IsNil)
		values = append(values, v)
	}
	return values
}

// eventually waits until a condition holds and fails the test after 5 s.
func eventually(t testing.TB, description string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition not reached within 5 s: %s", description)
		}
	}
}

// setFaults changes fault settings over HTTP.
func setFaults(t testing.TB, url, body string) {
	t.Helper()
	qt.Assert(t, send(t, "POST", url+"/standin/faults", body).status, qt.Equals, 200)
}

// generation is the JSON body of a request to a runner.
type generation struct {
	ID           string `json:"id"`
	Model        string `json:"model"`
	Adapter      string `json:"adapter"`
	Version      string `json:"version"`
	Prompt       string `json:"prompt"`
	MaxTokens    int    `json:"maxTokens"`
	ResumeText   string `json:"resumeText"`
	ResumeTokens int    `json:"resumeTokens"`
}

// newGeneration returns a request for tokens of the model tutor/v1.
func newGeneration(id, prompt string, tokens int) generation {
	return generation{ID: id, Model: "tutor", Version: "v1", Prompt: prompt, MaxTokens: tokens}
}

// expected returns the complete text of the response to a request.
func (g generation) expected() string {
	return standin.ExpectedText(g.Model, g.Adapter, g.Version, g.Prompt, g.MaxTokens)
}

// stream is the received part of a stream of tokens.
type stream struct {
	response
	ids    map[string]bool // request ids of the events
	last   int             // number of the last token
	text   string
	done   bool // the end marker was received; tokens and load are from it
	tokens int
	load   cs.Load
}

// generate sends a request to a runner and reads the stream to its end.
func generate(t testing.TB, url string, g generation) stream {
	return parseStream(t, send(t, "POST", url+"/v1/generate", g))
}

// parseStream decodes the events of a response.
func parseStream(t testing.TB, resp response) stream {
	s := stream{response: resp, ids: map[string]bool{}}
	for event := range strings.SplitSeq(resp.body, "\n\n") {
		data, ok := strings.CutPrefix(event, "data: ")
		if !ok {
			continue
		}
		var payload struct {
			ID     string
			N      int
			Text   string
			Done   bool
			Tokens int
			Load   cs.Load
		}
		qt.Assert(t, json.Unmarshal([]byte(data), &payload), qt.IsNil)
		s.ids[payload.ID] = true
		if payload.Done {
			s.done, s.tokens, s.load = true, payload.Tokens, payload.Load
			continue
		}
		s.last = payload.N
		s.text += payload.Text
	}
	return s
}
