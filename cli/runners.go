package cli

import (
	"context"
	"flag"
	"slices"
	"strings"

	"github.com/crocusstile/crocusstile/gen/operations"
)

// Runners lists the runners that the VM knows, with their state and load.
type Runners struct{ service string }

func (*Runners) isCommand()        {}
func (*Runners) operands([]string) {}

func (r *Runners) defineFlags(fs *flag.FlagSet) {
	fs.StringVar(&r.service, "service", "", "show only the runners of this `service` (text output only)")
}

func (s *session) runners(ctx context.Context, c *Runners) error {
	runners, err := invoke[[]*operations.Runner](ctx, s, s.operations().Runners(), nil)
	if err != nil {
		return err
	}
	if s.json {
		return s.printBody()
	}
	runners = slices.DeleteFunc(runners, func(r *operations.Runner) bool {
		return c.service != "" && r.Service != c.service
	})
	header := "RUNNER\tSERVICE\tDATA CENTRE\tSTATE\tSLOTS\tRUNNING\tONLINE\tBATCH\tLIMIT\tSENDER\tLOADED"
	return s.printTable(header, func(row row) error {
		for _, r := range runners {
			row("%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%.1f\t%s\t%s", r.ID, r.Service, r.DataCentre, runnerState(r),
				r.Slots, r.Running, r.Online, r.Batch, r.BatchLimit, r.Sender, strings.Join(r.Loaded, " "))
		}
		return nil
	})
}

func runnerState(r *operations.Runner) string {
	switch {
	case r.Leaving:
		return "leaving"
	case r.Down:
		return "down"
	case r.Ejected:
		return "ejected"
	}
	return "live"
}
