package fleet

import cs "github.com/crocusstile/crocusstile"

// Suspect is the row of a request content that was in flight on a crashed runner.
type Suspect struct {
	// Crashes counts the runners that crashed with it in flight, as far as this VM knows.
	Crashes int
	// CrashedAt is when the last of them became known.
	CrashedAt cs.Instant
	// Runners are those runners.
	Runners []cs.RunnerID
	// Convicted means that it is quarantined until Until; otherwise the row is dropped then.
	Convicted bool
	Until     cs.Instant
}
