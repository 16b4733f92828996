package cost

import (
	"math"

	cs "github.com/crocusstile/crocusstile"
)

const (
	// usualFigure is the fourth figure of Server-Load on a machine at its usual speed, and maxFigure the highest that is believed.
	usualFigure = 100.0
	maxFigure   = 1000.0
	// figureHalfLifeMs is the time in which a figure loses half of its meaning: machines are slow in episodes of some hundred
	// milliseconds.
	figureHalfLifeMs = 300.0
	// paceWindow is the number of responses over which the pace of a runner is averaged.
	paceWindow = 24
	// doubtfulSamples is the number of responses that a runner whose times are off by their whole amount needs before its own
	// pace counts as much as the mean of the service.
	doubtfulSamples = 8.0
	// initialError is the relative error that is assumed of a runner without responses.
	initialError = 0.5
	// rememberedParts is the number of prompt parts that are remembered for each runner.
	rememberedParts = 16
)

// Runner is what responses have shown of a runner. The zero value is a runner without responses.
type Runner struct {
	// pace is the time of a unit as a multiple of the mean of the service, and deviation the mean of how far the pace of a
	// response was from that.
	pace, deviation Average
	// figure is the last fourth figure of Server-Load, as a multiple of the usual value, which arrived at figureAt.
	figure   float64
	figureAt cs.Instant
	// parts are the prompt parts that were last sent to the runner, and next the place of the next one.
	parts [rememberedParts]cs.PromptPart
	next  uint8
	// Held is the number of tokens that the online requests of this VM may hold at the runner, and Item that of the largest of the items that this
	// VM runs there.
	Held, Item cs.Tokens
}

// observe adds the pace of a response, as a multiple of the mean of the service.
func (r *Runner) observe(pace float64) {
	r.deviation.Add(math.Abs(pace-r.Pace()), paceWindow)
	r.pace.Add(pace, paceWindow)
}

// Pace returns the expected time of a unit at the runner as a multiple of the mean of the service. The fewer responses there are and
// the more these differ, the closer it is to the mean.
func (r *Runner) Pace() float64 {
	n := float64(r.pace.N)
	if n == 0 {
		return 1
	}
	trust := n / (n + doubtfulSamples*r.deviation.Or(initialError))
	return 1 + trust*(r.pace.Value-1)
}

// ReadFigure records the fourth figure of Server-Load. One below the usual value counts as that: responses only show whether a high one is
// true, and a false low one would draw all requests.
func (r *Runner) ReadFigure(figure float64, now cs.Instant) {
	r.figure, r.figureAt = min(max(figure, usualFigure), maxFigure)/usualFigure, now
}

// excess returns by how much more than usual work now takes on the machine of the runner, as a share, by its last figure alone.
func (r *Runner) excess(now cs.Instant) float64 {
	if r.figure == 0 {
		return 0
	}
	return (r.figure - 1) * math.Exp2(-float64(now.Sub(r.figureAt))/figureHalfLifeMs)
}

// Send records the parts of a prompt that was sent to the runner, which it keeps in its cache.
func (r *Runner) Send(parts []cs.PromptPart) {
	for _, p := range parts {
		if !r.holds(p) {
			r.parts[r.next] = p
			r.next = (r.next + 1) % rememberedParts
		}
	}
}

// holds reports whether a part was sent to the runner not long ago.
func (r *Runner) holds(p cs.PromptPart) bool {
	for _, held := range &r.parts {
		if held == p {
			return true
		}
	}
	return false
}

// TokensToRead returns the expected number of prompt tokens that the runner reads for a request: those after the first part that it
// does not hold.
func (r *Runner) TokensToRead(parts []cs.PromptPart, size cs.RequestSize) cs.Tokens {
	left := size.Prompt
	for i, p := range parts {
		if i >= len(size.Parts) || !r.holds(p) {
			break
		}
		left -= size.Parts[i]
	}
	return max(left, 0)
}
