package cli_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/cli"
	"github.com/crocusstile/crocusstile/gateway"
	"github.com/crocusstile/crocusstile/platform"
)

// Guards against an answer of an entry VM that the command does not print, and against a size that does not reach the VM.
func TestWhere(t *testing.T) {
	c := qt.New(t)
	route := cs.Route{Name: "ask", Host: "tutor.example", Prefix: "/v1/", Kind: cs.RouteStreaming}
	view := func() gateway.View {
		return gateway.View{Catalog: cs.NewCatalog(1, []cs.Route{route}, nil, cs.CallerLimits{})}
	}
	var asked gateway.Forward
	ask := func(_ context.Context, event func(gateway.QueryID) gateway.Event) (gateway.Action, error) {
		asked = event(1).(gateway.PlacementRequested).Forward
		return gateway.AnswerPlacement{Query: 1, Service: "s", ByCost: true, Candidates: []gateway.PlacementCandidate{
			{Runner: "r1", DataCentre: "a", Load: 3, Slots: 8, Cost: 1.25, Pace: 0.8, Read: 240}, {Runner: "r2", Excluded: "it is full"},
		}}, nil
	}
	mux := http.NewServeMux()
	mux.Handle(platform.WherePath, platform.Where(cs.NewManualClock(1_000_000), view, ask))
	server := httptest.NewServer(mux)
	defer server.Close()
	where := func(path string) (string, int) {
		var out bytes.Buffer
		status := cli.Run(context.Background(), []string{
			"where", "-addr", strings.TrimPrefix(server.URL, "http://"), "-tokens", "540,400", "-hint", "120", "-prefix", "9c2e41:300,e1:240", "tutor.example", path,
		}, cli.Terminal{Out: &out, Err: &out, Getenv: func(string) string { return "" }})
		return out.String(), int(status)
	}
	out, status := where("/v1/ask")
	c.Check(status, qt.Equals, 0, qt.Commentf("%s", out))
	c.Check(asked.Route.Name, qt.Equals, cs.RouteName("ask"))
	c.Check(asked.Size, qt.DeepEquals, cs.RequestSize{Prompt: 540, Maximum: 400, Hint: 120, Parts: []cs.Tokens{300}})
	c.Check(out, qt.Contains, "route ask, service s, placed by cost")
	c.Check(out, qt.Contains, "r1")
	c.Check(out, qt.Contains, "it is full")
	out, status = where("/v2/ask")
	c.Check(status, qt.Equals, 1)
	c.Check(out, qt.Contains, "no route")
}
