package cli

import (
	"context"
	"encoding/json"
	"flag"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/crocusstile/crocusstile/platform"
)

// maxWhereRows limits the runners that the text output of where lists.
const maxWhereRows = 20

// Where asks an entry VM where a request or an item would go now, and why. It sends nothing to a runner.
type Where struct {
	host, path           string
	tokens, hint, prefix string
}

func (*Where) isCommand() {}

func (c *Where) defineFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.tokens, "tokens", "", "`prompt,maximum` tokens, as in Token-Count")
	fs.StringVar(&c.hint, "hint", "", "expected output `tokens`, as in Length-Hint")
	fs.StringVar(&c.prefix, "prefix", "", "`parts` of the prompt, as in Prompt-Prefix")
}

func (c *Where) operands(args []string) { c.host, c.path = args[0], args[1] }

func (s *session) where(ctx context.Context, c *Where) error {
	ctx, cancel := context.WithTimeout(ctx, s.timeout.Std())
	defer cancel()
	target := url.URL{Scheme: "http", Host: s.addr, Path: platform.WherePath, RawQuery: url.Values{"host": {c.host}, "path": {c.path}}.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return errors.Wrap(err, "where")
	}
	req.Header.Set("Token-Count", c.tokens)
	req.Header.Set("Length-Hint", c.hint)
	req.Header.Set("Prompt-Prefix", c.prefix)
	resp, err := s.exchange.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "where")
	}
	defer func() { _ = resp.Body.Close() }() // a failure to close does not change the answer
	if resp.StatusCode != http.StatusOK {
		message, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes)) // what was read is printed
		return errors.Newf("status %d: %s", resp.StatusCode, strings.TrimSpace(string(message)))
	}
	var answer platform.PlacementAnswer
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return errors.Wrap(err, "where")
	}
	if s.json {
		return s.printJSON(answer)
	}
	return s.printWhere(answer)
}

// printWhere prints the runners in the order in which they would be chosen.
func (s *session) printWhere(a platform.PlacementAnswer) error {
	by := "number of requests"
	if a.ByCost {
		by = "cost"
	}
	writef(s.Out, "route %s, service %s, placed by %s\n", a.Route, a.Service, by)
	return s.printTable("RUNNER\tDATA CENTRE\tLOAD\tSLOTS\tCOST\tPACE\tEXCESS\tTOKENS TO READ\tEXCLUDED", func(row row) error {
		for _, c := range a.Candidates[:min(len(a.Candidates), maxWhereRows)] {
			row("%s\t%s\t%d\t%d\t%.2f\t%.2f\t%.2f\t%d\t%s", c.Runner, c.DataCentre, c.Load, c.Slots, c.Cost, c.Pace, c.Excess, c.TokensToRead, c.Excluded)
		}
		return nil
	})
}
