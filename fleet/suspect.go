package fleet

import cs "github.com/crocusstile/crocusstile"

// Suspect is the row of the content of an online request that was in flight on a runner when that crashed.
type Suspect struct {
	// Crashes counts the known crashes of runners with the content in flight.
	Crashes int
	// CrashedAt is when the last crash became known.
	CrashedAt cs.Instant
	// Runners are the runners that crashed, the last one at the end.
	Runners []cs.RunnerID
	// Quarantined tells whether the content is quarantined until Until. If not, Until is when the row
	// is deleted unless another crash follows.
	Quarantined bool
	Until       cs.Instant
}
