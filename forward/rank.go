package forward

import (
	"cmp"
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// latestSendRatio is the share of a route's target after which a request that has not been sent is
// assumed to miss the target. The rest of the target is needed for queueing and prefill on a full
// runner.
const latestSendRatio = 0.4

// canMeetTarget reports whether a request can still meet its target. A stream that has begun always
// counts as such, because its lateness depends on the pause until it resumes.
func canMeetTarget(f *gateway.Forward, now cs.Instant) bool {
	return f.LastEvent > 0 || f.Route.Target == 0 || now.Sub(f.Arrived) <= cs.Span(latestSendRatio*float64(f.Route.Target))
}

// sortByRank sorts requests by the priority of their workspace or, without one, of their route. Within a priority, requests that can
// still meet their target come first, then older requests before newer ones.
func sortByRank(t *gateway.Tables, ids []gateway.ForwardID, now cs.Instant) {
	slices.SortFunc(ids, func(a, b gateway.ForwardID) int {
		x, y := t.Forwards.Get(a), t.Forwards.Get(b)
		return cmp.Or(
			cmp.Compare(x.Priority, y.Priority), compareBool(canMeetTarget(y, now), canMeetTarget(x, now)),
			cmp.Compare(x.Arrived, y.Arrived), cmp.Compare(a, b),
		)
	})
}

// compareBool compares two booleans; false sorts before true.
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
