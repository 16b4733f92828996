package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// linesJob is the ID of the job, and linesItems the number of its items.
	linesJob   = "7c41e09b52d6a3f8"
	linesItems = 3
	// linesEvents is the number of events of an output.
	linesEvents = 4
	// finishTime is the time in which the job must be complete (finish_s).
	finishTime = 18 * time.Second
)

// lines submits one job to runners whose outputs have paragraphs: the data of each event begins with an empty line. The rule is broken
// if a result is listed as completed with another text than the data of the events.
func lines(r *rig) (bool, error) {
	r.store.Put("keyed.op", "config", []byte(memoryConfig))
	shape := "plain"
	if r.trouble {
		shape = "paragraphs"
	}
	for _, id := range []string{"i-7f3a91c2", "i-2b80d4e7"} {
		if _, err := r.startRunner(id, "-framed", "-events", fmt.Sprint(linesEvents), "-pause", "20ms", "-shape", shape); err != nil {
			return false, err
		}
	}
	v, err := r.startEntry("front-mitte-a-1")
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	if status := submitJob(v.callers, linesJob, jobBody(linesJob, linesItems, 3)); status != http.StatusAccepted {
		return false, fmt.Errorf("the job was answered %d", status)
	}
	r.note("client submits job %s: 202", linesJob)
	var expected []string
	for n := 1; n <= linesEvents; n++ {
		expected = append(expected, eventData(shape, n))
	}
	text := strings.Join(expected, "\n")
	r.note("the data of the %d events, separated by line feeds: %q", linesEvents, text)
	var page struct {
		Results []struct{ ID, State, Text string }
	}
	if err := waitUntil(finishTime, "all results are listed", func() bool {
		status, body := readJob(v.callers, linesJob)
		return status == http.StatusOK && json.Unmarshal([]byte(body), &page) == nil && len(page.Results) == linesItems
	}); err != nil {
		return false, err
	}
	broken := false
	for _, result := range page.Results {
		r.note("result of %s: %s, text %q", result.ID, result.State, result.Text)
		broken = broken || result.State == "completed" && result.Text != text
	}
	return broken, nil
}

// eventData returns the data of an event.
func eventData(shape string, n int) string {
	if shape == "paragraphs" {
		return fmt.Sprintf("\nparagraph %d", n)
	}
	return fmt.Sprintf("event %d", n)
}

// encodeEvent returns an event with its data, of which each line is a data field.
func encodeEvent(n int, data string) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.ReplaceAll(data, "\n", "\ndata: "))
}
