package routing

import (
	"fmt"
	"testing"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// BenchmarkDispatch measures one tick that dispatches all queued requests.
func BenchmarkDispatch(b *testing.B) {
	for _, runners := range []int{12, 100, 400} {
		for _, queued := range []int{10, 100, 1000} {
			b.Run(fmt.Sprintf("runners=%d/queued=%d", runners, queued), func(b *testing.B) {
				var out fleet.Actions
				for b.Loop() {
					b.StopTimer()
					tb := newTables(runners)
					tb.Config.MaxQueued = queued
					for i := range queued {
						tb.Events = append(tb.Events, fleet.RequestArrived{Request: newRequest(cs.RequestID(fmt.Sprint(i)))})
					}
					Admit(tb, testStart, &out)
					out.Reset()
					b.StartTimer()
					Dispatch(tb, testStart, &out)
				}
			})
		}
	}
}
