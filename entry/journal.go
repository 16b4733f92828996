package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
	"github.com/crocusstile/crocusstile/meter"
)

// Rate limits of the log, in lines per second and lines per burst. At the deployment sizes of the users a VM
// handles about four requests and one batch item a second, with three lines each; the limits allow ten times
// that load.
const (
	linesPerSecond       = 150
	linesAtOnce          = 300
	urgentLinesPerSecond = 100
	urgentLinesAtOnce    = 400
)

// droppedPeriod is the interval of the log line that reports how many lines were dropped.
const droppedPeriod = 2 * cs.Second

// noteLogger logs the control loop's notes within a rate limit, and counts all of them in the metrics.
type journal struct {
	log            zerolog.Logger
	meter          *meter.Meter
	normal, urgent *rate.Limiter
	dropped        atomic.Int64
}

func newJournal(log zerolog.Logger, m *meter.Meter) *journal {
	return &journal{
		log: log, meter: m,
		normal: rate.NewLimiter(linesPerSecond, linesAtOnce),
		urgent: rate.NewLimiter(urgentLinesPerSecond, urgentLinesAtOnce),
	}
}

// logNote counts a note and logs it if the rate limit allows.
func (j *journal) note(n gateway.Note) {
	j.meter.CountNote(n)
	limiter := j.normal
	if n.Urgent() {
		limiter = j.urgent
	}
	if !limiter.Allow() {
		j.dropped.Add(1)
		return
	}
	e := j.log.Info()
	for _, f := range []struct{ name, value string }{
		{"request", string(n.Request)},
		{"job", string(n.Job)},
		{"item", string(n.Item)},
		{"runner", string(n.Runner)},
		{"peer", string(n.Peer)},
		{"feed", n.Feed},
		{"route", string(n.Route)},
		{"outcome", n.Outcome},
		{"reason", n.Reason},
	} {
		if f.value != "" {
			e = e.Str(f.name, f.value)
		}
	}
	for _, f := range []struct {
		name  string
		value int64
	}{
		{"attempt", int64(n.Attempt)},
		{"catalog", int64(n.Version)},
		{"load", int64(n.Load)},
		{"count", int64(n.Count)},
		{"ageMs", int64(n.Age)},
		{"tookMs", int64(n.Took)},
	} {
		if f.value != 0 {
			e = e.Int64(f.name, f.value)
		}
	}
	e.Msg(n.Kind.String())
}

// recordFirstByte records the time to the first byte of a response.
func (j *journal) began(route cs.RouteName, s cs.Span) {
	j.meter.Time(meter.FirstToken, cs.TenantID(route), cs.Online, s)
}

// recordResponse records the time to the end of a response.
func (j *journal) ended(route cs.RouteName, s cs.Span) {
	j.meter.Time(meter.Request, cs.TenantID(route), cs.Online, s)
}

// recordAppend records the time of an append to the job log.
func (j *journal) appended(s cs.Span) { j.meter.TimeAlone(meter.Append, s) }

// reportDropped logs the number of dropped lines every droppedPeriod until ctx ends.
func (j *journal) run(ctx context.Context) error {
	t := time.NewTicker(droppedPeriod.Std())
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			if n := j.dropped.Swap(0); n > 0 {
				j.log.Warn().Int64("count", n).Msg("log lines left out")
			}
		}
	}
}
