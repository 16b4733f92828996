package stage

import (
	"slices"
	"time"
)

// The spans of the rule LOST about items that are not listed when finish_s is over.
const (
	calmSpan     = 5 * time.Second
	finishedSpan = 3 * time.Second
	failedSpan   = 20 * time.Second
)

// itemRun is a run of a request or an item at a runner; its end is zero while it goes on.
type itemRun struct {
	id         string
	begin, end time.Time
	whole      bool
}

// beginRun notes the begin of a run and returns the function that notes its end.
func (s *Stage) beginRun(id string) func(whole bool) {
	run := &itemRun{id: id, begin: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, run)
	return func(whole bool) {
		s.mu.Lock()
		defer s.mu.Unlock()
		run.end, run.whole = time.Now(), whole
	}
}

// HasBegun reports whether a runner has begun to run a request.
func (s *Stage) HasBegun(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.runs, func(r *itemRun) bool { return r.id == id })
}

// Lost returns those of the items that are not listed now that the rule counts as lost. It excuses more than the rule does: any run
// of an unlisted item in the last 5 s, also one that its sender ended at once.
func (s *Stage) Lost(unlisted []string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	during := func(r *itemRun, span time.Duration) bool { return r.end.IsZero() || now.Sub(r.end) <= span }
	busy := 0
	for _, r := range s.runs {
		if during(r, calmSpan) {
			busy++
		}
		if r.whole && now.Sub(r.end) <= finishedSpan {
			return nil // an item was finished
		}
		if during(r, calmSpan) && slices.Contains(unlisted, r.id) {
			return nil // a runner had an unlisted item
		}
	}
	if 2*busy >= s.runners*slots {
		return nil // the runners were half full
	}
	return slices.DeleteFunc(slices.Clone(unlisted), func(id string) bool {
		return slices.ContainsFunc(s.runs, func(r *itemRun) bool { return r.id == id && !r.whole && during(r, failedSpan) })
	})
}

// Unlisted returns the items of a job of n items that are not among its results.
func Unlisted(job string, n int, listed Listed) []string {
	var out []string
	for _, item := range Items(job, n, 10, 1) {
		if !slices.ContainsFunc(listed.Results, func(r Result) bool { return r.ID == item.ID }) {
			out = append(out, item.ID)
		}
	}
	return out
}
