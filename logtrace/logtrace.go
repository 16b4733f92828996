// Package logtrace reads the logs of entry VMs and reconstructs what happened to one request, job or item.
package logtrace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/crocusstile/crocusstile/gateway"
)

// maxLineBytes bounds the length of a log line; entry VMs write no longer ones.
const maxLineBytes = 1 << 20

// contextWindow is how long before the first and after the last line of an id the state changes of its
// runners and VMs are included.
const contextWindow = 2 * time.Second

// Line is one JSON log line of an entry VM; fields that the line does not have are zero.
type Line struct {
	Time    time.Time `json:"time"`
	VM      string    `json:"vm"`
	Event   string    `json:"message"`
	Request string    `json:"request"`
	Job     string    `json:"job"`
	Item    string    `json:"item"`
	Content string    `json:"content"`
	Parts   []string  `json:"parts"`
	Runner  string    `json:"runner"`
	Feed    string    `json:"feed"`
	Route   string    `json:"route"`
	Outcome string    `json:"outcome"`
	Reason  string    `json:"reason"`
	Attempt int       `json:"attempt"`
	Catalog int64     `json:"catalog"`
	Load    int       `json:"load"`
	Count   int       `json:"count"`
	AgeMs   int64     `json:"ageMs"`
	TookMs  int64     `json:"tookMs"`
	// PerSecond is the limit that a runner names.
	PerSecond float64 `json:"perSecond"`
}

// Read returns the lines of a log. Text before the JSON object of a line is ignored. Lines that are
// truncated or were written by another program are skipped and counted.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	in := bufio.NewScanner(r)
	in.Buffer(nil, maxLineBytes)
	for in.Scan() {
		text := in.Bytes()
		start := bytes.IndexByte(text, '{')
		var l Line
		if start < 0 || json.Unmarshal(text[start:], &l) != nil || l.Event == "" {
			skipped++
			continue
		}
		lines = append(lines, l)
	}
	return lines, skipped, in.Err()
}

// Trace holds the log lines that concern one id and what decided its outcome.
type Trace struct {
	// Lines are the lines that contain the id, ordered by time.
	Lines []Line
	// Around are state changes of the runners and VMs in Lines at about the same time, such as ejected
	// runners, lost feeds of the store and drains.
	Around []Line
	// Cause is the line that decided the outcome, or nil if there is none.
	Cause *Line
	// Ended is set if the VM stopped while the id was in flight: to the line of its next start, or to its
	// last line if it did not start again.
	Ended *Line
}

// eventStarted is the message of the first line that a VM logs.
const eventStarted = "started"

// Find returns the trace of a request, job or item. The lines may be in any order and of several VMs.
func Find(lines []Line, id string) Trace {
	var trace Trace
	runners, vms := make(map[string]bool), make(map[string]bool)
	for _, l := range lines {
		if l.Request != id && l.Job != id && l.Item != id {
			continue
		}
		trace.Lines = append(trace.Lines, l)
		vms[l.VM] = true
		if l.Runner != "" {
			runners[l.Runner] = true
		}
	}
	sortLines(trace.Lines)
	if len(trace.Lines) == 0 {
		return trace
	}
	windowStart, windowEnd := trace.Lines[0].Time.Add(-contextWindow), trace.Lines[len(trace.Lines)-1].Time.Add(contextWindow)
	for _, l := range lines {
		if l.Time.Before(windowStart) || l.Time.After(windowEnd) || l.Request != "" || l.Job != "" {
			continue
		}
		if runners[l.Runner] || vms[l.VM] && l.Runner == "" && vmStateEvents[l.Event] {
			trace.Around = append(trace.Around, l)
		}
	}
	sortLines(trace.Around)
	trace.Cause = findCause(trace.Lines)
	if trace.Cause == nil {
		trace.Ended = findVMEnd(lines, trace.Lines[len(trace.Lines)-1])
	}
	return trace
}

// findVMEnd returns the line that shows that the VM of the line last stopped after it, or nil. That is the
// next start of the VM, or its newest line if the logs of other VMs continue for longer than contextWindow.
func findVMEnd(lines []Line, last Line) *Line {
	newest, otherLogsContinue := last, false
	var restart *Line
	for i := range lines {
		l := &lines[i]
		if l.VM != last.VM {
			otherLogsContinue = otherLogsContinue || l.Time.After(last.Time.Add(contextWindow))
			continue
		}
		if l.Event == eventStarted && l.Time.After(last.Time) && (restart == nil || l.Time.Before(restart.Time)) {
			restart = l
		}
		if l.Time.After(newest.Time) {
			newest = *l
		}
	}
	switch {
	case restart != nil:
		return restart
	case otherLogsContinue && !newest.Time.After(last.Time.Add(contextWindow)):
		return &newest
	default:
		return nil
	}
}

func sortLines(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// vmStateEvents are the events that describe the state of a VM itself.
var vmStateEvents = eventNames(
	gateway.NoteFeedLost, gateway.NoteFeedRegained, gateway.NoteKeysRefused, gateway.NoteKeysAccepted, gateway.NoteDrainChanged, gateway.NoteCatalogInForce,
	gateway.NotePartsChanged, gateway.NoteLimitOwnerMissing, gateway.NoteLimitOwnerFound,
)

// terminalEvents are the events that end a request, job or item.
var terminalEvents = eventNames(
	gateway.NoteRequestAnswered, gateway.NoteRequestRefused, gateway.NoteRequestLimited, gateway.NoteRequestRejected, gateway.NoteRequestAbandoned,
	gateway.NoteJobRefused, gateway.NoteJobEnded, gateway.NoteItemListed, gateway.NoteItemGivenUp,
)

// failedAttemptEvents are the events that give the reason why an attempt failed.
var failedAttemptEvents = eventNames(gateway.NoteRequestRetried, gateway.NoteItemReturned)

func eventNames(kinds ...gateway.NoteKind) map[string]bool {
	m := make(map[string]bool, len(kinds))
	for _, k := range kinds {
		m[k.String()] = true
	}
	return m
}

// findCause returns the line that decided the outcome, or nil if there is none. That is the terminal event if
// it is a success, says that nothing was run (it then gives the reason itself) or follows no failed attempt;
// otherwise it is the last failed attempt.
func findCause(lines []Line) *Line {
	var end, failed *Line
	for i := range lines {
		switch l := &lines[i]; {
		case terminalEvents[l.Event]:
			end = l
		case failedAttemptEvents[l.Event]:
			failed = l
		}
	}
	switch {
	case end == nil:
		return failed
	case failed != nil && end.Outcome != "notRun" && end.Event != gateway.NoteRequestAnswered.String() &&
		end.Event != gateway.NoteItemListed.String():
		return failed
	default:
		return end
	}
}

// Write prints the lines of a trace, ordered by time, and its cause. State changes are marked with "~".
func (t Trace) Write(w io.Writer) error {
	all := slices.Concat(t.Lines, t.Around)
	sortLines(all)
	for _, l := range all {
		mark := "  "
		if l.Request == "" && l.Job == "" {
			mark = "~ "
		}
		if _, err := fmt.Fprintln(w, mark+l.String()); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintln(w, "cause: "+t.explanation())
	return err
}

// explanation describes what decided the outcome.
func (t Trace) explanation() string {
	switch {
	case t.Cause != nil:
		return t.Cause.String()
	case t.Ended == nil:
		return "not found in the logs"
	case t.Ended.Event == eventStarted:
		return t.Ended.VM + " stopped while it was in flight and restarted at " + t.Ended.Time.UTC().Format(timeLayout)
	default:
		return t.Ended.VM + " stopped while it was in flight; its log ends at " + t.Ended.Time.UTC().Format(timeLayout)
	}
}

// timeLayout is the layout of the time of day in printed lines.
const timeLayout = "15:04:05.000"

// String formats the line for people: time, VM and event, followed by the fields that are set.
func (l Line) String() string {
	parts := []string{l.Time.UTC().Format(timeLayout), l.VM, l.Event}
	for _, f := range []struct{ name, value string }{
		{"request", l.Request},
		{"job", l.Job},
		{"item", l.Item},
		{"content", l.Content},
		{"parts", strings.Join(l.Parts, ",")},
		{"runner", l.Runner},
		{"feed", l.Feed},
		{"route", l.Route},
		{"outcome", l.Outcome},
		{"reason", l.Reason},
	} {
		if f.value != "" {
			parts = append(parts, f.name+"="+quoteIfNeeded(f.value))
		}
	}
	for _, f := range []struct {
		name  string
		value int64
	}{
		{"attempt", int64(l.Attempt)},
		{"catalog", l.Catalog},
		{"load", int64(l.Load)},
		{"count", int64(l.Count)},
		{"ageMs", l.AgeMs},
		{"tookMs", l.TookMs},
	} {
		if f.value != 0 {
			parts = append(parts, fmt.Sprintf("%s=%d", f.name, f.value))
		}
	}
	if l.PerSecond != 0 {
		parts = append(parts, fmt.Sprintf("perSecond=%g", l.PerSecond))
	}
	return strings.Join(parts, " ")
}

func quoteIfNeeded(s string) string {
	if strings.ContainsAny(s, " \"") {
		return fmt.Sprintf("%q", s)
	}
	return s
}
