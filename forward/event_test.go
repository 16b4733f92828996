package forward_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/crocusstile/crocusstile/forward"
)

// Guards against results that lack the empty lines at which the data of an event begins (review/8).
func TestEventDataKeepsEmptyLines(t *testing.T) {
	for name, test := range map[string]struct{ event, want string }{
		"no data field":              {"id: 1\n\n", ""},
		"one empty line":             {"id: 1\ndata:\n\n", ""},
		"one line":                   {"id: 1\ndata: a\n\n", "a"},
		"line feed only":             {"id: 1\ndata:\ndata:\n\n", "\n"},
		"line feeds only":            {"id: 1\ndata: \ndata: \ndata: \n\n", "\n\n"},
		"begins with a line feed":    {"id: 1\ndata: \ndata: a\n\n", "\na"},
		"begins with two line feeds": {"id: 1\ndata:\ndata:\ndata: a\n\n", "\n\na"},
		"ends with a line feed":      {"id: 1\ndata: a\ndata:\n\n", "a\n"},
		"empty line in the middle":   {"id: 1\ndata: a\ndata:\ndata: b\n\n", "a\n\nb"},
		"fields without a colon":     {"id: 1\ndata\ndata\n\n", "\n"},
		"CRLF":                       {"id: 1\r\ndata:\r\ndata: a\r\n\r\n", "\na"},
		"data before the id":         {"data:\ndata: a\nid: 1\n\n", "\na"},
		"other fields between":       {"id: 1\ndata:\n: comment\nevent: token\ndata: a\n\n", "\na"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			e, err := forward.NewEventReader(strings.NewReader(test.event), 0).Read()
			c.Assert(err, qt.IsNil)
			c.Check(string(e.Data), qt.Equals, test.want)
			c.Check(string(e.Raw), qt.Equals, test.event)
		})
	}
}
