package cli

import (
	"context"
	"flag"
	"fmt"

	"github.com/crocusstile/crocusstile/gen/jobs"
)

const (
	// resultsPerPage is the number of results requested at once.
	resultsPerPage = 500
	// maxOutputRunes limits how much of an output the table shows.
	maxOutputRunes = 80
)

// JobResults prints the results of the ended items of a job.
type JobResults struct {
	jobRef
	after int
}

func (*JobResults) isCommand() {}

func (c *JobResults) defineFlags(fs *flag.FlagSet) {
	c.jobRef.defineFlags(fs)
	fs.IntVar(&c.after, "after", 0, "`index` of the first item to print")
}

func (s *session) jobResults(ctx context.Context, c *JobResults) error {
	if err := c.resolveID(); err != nil {
		return err
	}
	if s.json {
		_, err := s.forEachPage(ctx, c, s.printResults)
		return err
	}
	return s.printTable("ITEM\tSTATE\tATTEMPTS\tOUTPUT", func(row row) error {
		state, err := s.forEachPage(ctx, c, func(results []*jobs.ItemResult) error {
			for _, r := range results {
				row("%d\t%s\t%d\t%s", r.Index, r.State, r.Attempts, outputCell(r))
			}
			return nil
		})
		if err == nil {
			writef(s.Err, "the job is %s\n", state)
		}
		return err
	})
}

// forEachPage requests the results page by page, passes each page to handle and returns the state
// of the job.
func (s *session) forEachPage(ctx context.Context, c *JobResults, handle func([]*jobs.ItemResult) error) (string, error) {
	after := int32(c.after)
	for {
		page, err := invoke[*jobs.ResultsResult](ctx, s, s.jobs().Results(), &jobs.ResultsPayload{
			Tenant: c.tenant, ID: c.id, After: after, Limit: resultsPerPage,
		})
		if err != nil {
			return "", err
		}
		if err := handle(page.Results); err != nil {
			return "", err
		}
		if len(page.Results) == 0 || page.Next <= after {
			return page.State, nil
		}
		after = page.Next
	}
}

// printResults prints one JSON object per result and line.
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

// outputCell returns the output or error of an item as one quoted line, truncated for the table.
func outputCell(r *jobs.ItemResult) string {
	text := ""
	switch {
	case r.Error != nil && *r.Error != "":
		text = "error: " + *r.Error
	case r.Output != nil:
		text = *r.Output
	}
	if runes := []rune(text); len(runes) > maxOutputRunes {
		text = string(runes[:maxOutputRunes]) + "..."
	}
	return fmt.Sprintf("%q", text)
}
