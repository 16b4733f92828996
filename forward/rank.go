package forward

import (
	"cmp"
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// freshShare is the share of a route's target after which a request that was not sent is no longer taken
// for one that can be in time: the rest is needed for the queue and the prefill of a full runner.
const freshShare = 0.4

// fresh reports whether a request can still be in time. A stream that has begun counts as such, since
// the pause until it goes on decides.
func fresh(f *gateway.Forward, now cs.Instant) bool {
	return f.LastEvent > 0 || f.Route.Target == 0 || now.Sub(f.Arrived) <= cs.Span(freshShare*float64(f.Route.Target))
}

// sortByRank orders requests by the priority of their route; of one priority those that can still be in
// time come first, and the older before the newer.
func sortByRank(t *gateway.Tables, ids []gateway.ForwardID, now cs.Instant) {
	slices.SortFunc(ids, func(a, b gateway.ForwardID) int {
		x, y := t.Forwards.Get(a), t.Forwards.Get(b)
		return cmp.Or(
			cmp.Compare(x.Route.Priority, y.Route.Priority), compareBool(fresh(y, now), fresh(x, now)),
			cmp.Compare(x.Arrived, y.Arrived), cmp.Compare(a, b),
		)
	})
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
