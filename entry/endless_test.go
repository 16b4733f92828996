package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/crocusstile/crocusstile/standin"
)

// A runner that responds without end must cost its requests and items one attempt: they must go on at other runners
// and be answered in full.
func TestEndlessRunnerCostsOneAttempt(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nRequest-Id: " + standin.RequestID + "\r\nResponse-Signature: s\r\nContent-Type: text/event-stream\r\n\r\n"
	for name, respond := range map[string]func(int) string{
		"no response": standin.Repeat("", strings.Repeat("x", 4<<10)),
		"head":        standin.Repeat("HTTP/1.1 200 OK\r\nA: ", strings.Repeat("x", 4<<10)),
		"error":       standin.Repeat("HTTP/1.1 500 X\r\nRequest-Id: "+standin.RequestID+"\r\n\r\n", strings.Repeat("x", 4<<10)),
		"blank lines": standin.Repeat(head, strings.Repeat("\n", 4<<10)),
	} {
		t.Run(name, func(t *testing.T) {
			s := newCluster(t)
			faulty, err := standin.NewEndlessRunner(respond, 0)
			s.Assert(err, qt.IsNil)
			defer faulty.Close()
			s.store.Put("keyed.servers", "i-faulty", fmt.Appendf(nil,
				`{"service":"llm","address":%q,"zone":"a","slots":8,"state":"ready","born":1}`, faulty.Address()))
			m := s.start("vm-1")
			s.eventually(func() bool { return strings.Contains(m.logs.String(), `"runner":"i-faulty"`) })
			for i := 0; i < 30 || faulty.MostBytes() == 0; i++ {
				code, body, _ := s.call(m, "POST", "/ask/x", fmt.Sprintf("s%d", i), "prompt")
				s.Assert(code, qt.Equals, http.StatusOK)
				s.Assert(body, qt.Equals, events(6))
			}
			var items []string
			for i := range 8 {
				items = append(items, fmt.Sprintf(`{"id":"i%d","path":"/mark/1","body":"","tokens":10}`, i))
			}
			code, _, _ := s.call(m, "POST", "/mark/x", "job1", `{"items":[`+strings.Join(items, ",")+`]}`)
			s.Assert(code, qt.Equals, http.StatusAccepted)
			var results string
			s.eventually(func() bool {
				_, results, _ = s.call(m, "GET", "/lots/job1?after=0", "", "")
				return strings.Contains(results, `"next":8`)
			})
			s.Check(strings.Count(results, `"completed"`), qt.Equals, 8)
			s.eventually(func() bool { return faulty.OpenConns() == 0 })
		})
	}
}
