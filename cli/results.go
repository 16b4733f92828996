package cli

import (
	"context"
	"flag"
	"fmt"

	"github.com/crocusstile/crocusstile/gen/jobs"
)

const (
	// pageItems is the number of results that one request asks for.
	pageItems = 500
	// shownRunes bounds the part of an output that a table shows.
	shownRunes = 80
)

// JobResults prints the results of a job.
type JobResults struct {
	jobRef
	after int
}

func (*JobResults) isCommand() {}

func (c *JobResults) declare(fs *flag.FlagSet) {
	c.jobRef.declare(fs)
	fs.IntVar(&c.after, "after", 0, "`index` of the item to begin with")
}

func (s *session) jobResults(ctx context.Context, c *JobResults) error {
	if err := c.resolve(); err != nil {
		return err
	}
	if s.json {
		_, err := s.eachPage(ctx, c, s.printResults)
		return err
	}
	return s.printTable("ITEM\tSTATE\tATTEMPTS\tOUTPUT", func(row row) error {
		state, err := s.eachPage(ctx, c, func(results []*jobs.ItemResult) error {
			for _, r := range results {
				row("%d\t%s\t%d\t%s", r.Index, r.State, r.Attempts, shown(r))
			}
			return nil
		})
		if err == nil {
			note(s.Err, "the job is %s\n", state)
		}
		return err
	})
}

// eachPage reads the results page by page and returns the job's state.
func (s *session) eachPage(ctx context.Context, c *JobResults, use func([]*jobs.ItemResult) error) (string, error) {
	after := int32(c.after)
	for {
		page, err := invoke[*jobs.ResultsResult](ctx, s, s.jobs().Results(), &jobs.ResultsPayload{
			Tenant: c.tenant, ID: c.id, After: after, Limit: pageItems,
		})
		if err != nil {
			return "", err
		}
		if err := use(page.Results); err != nil {
			return "", err
		}
		if len(page.Results) == 0 || page.Next <= after {
			return page.State, nil
		}
		after = page.Next
	}
}

// printResults prints one JSON object a line.
func (s *session) printResults(results []*jobs.ItemResult) error {
	for _, r := range results {
		if err := s.printJSON(struct {
			Index    int32   `json:"index"`
			State    string  `json:"state"`
			Output   *string `json:"output,omitempty"`
			Error    *string `json:"error,omitempty"`
			Attempts int32   `json:"attempts"`
		}(*r)); err != nil {
			return err
		}
	}
	return nil
}

// shown returns the output or error of an item on one line, cut to fit a table.
func shown(r *jobs.ItemResult) string {
	text := ""
	switch {
	case r.Error != nil && *r.Error != "":
		text = "error: " + *r.Error
	case r.Output != nil:
		text = *r.Output
	}
	if runes := []rune(text); len(runes) > shownRunes {
		text = string(runes[:shownRunes]) + "..."
	}
	return fmt.Sprintf("%q", text)
}
