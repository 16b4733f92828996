package entry

import (
	"context"
	"strconv"
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
	linesPerBurst        = 300
	urgentLinesPerSecond = 100
	urgentLinesPerBurst  = 400
)

// maxFieldBytes is the size at which a field of a log line is cut. Errors quote bytes that others sent.
const maxFieldBytes = 512

// droppedPeriod is the interval of the log line that reports how many lines were dropped.
const droppedPeriod = 2 * cs.Second

// noteLogger logs the control loop's notes within a rate limit, and counts all of them in the metrics.
type noteLogger struct {
	log                      zerolog.Logger
	meter                    *meter.Meter
	normalLimit, urgentLimit *rate.Limiter
	dropped                  atomic.Int64
}

func newNoteLogger(log zerolog.Logger, m *meter.Meter) *noteLogger {
	return &noteLogger{
		log: log, meter: m,
		normalLimit: rate.NewLimiter(linesPerSecond, linesPerBurst),
		urgentLimit: rate.NewLimiter(urgentLinesPerSecond, urgentLinesPerBurst),
	}
}

// logNote counts a note and logs it if the rate limit allows.
func (l *noteLogger) logNote(n gateway.Note) {
	l.meter.CountNote(n)
	limiter := l.normalLimit
	if n.Urgent() {
		limiter = l.urgentLimit
	}
	if !limiter.Allow() {
		l.dropped.Add(1)
		return
	}
	event := l.log.Info()
	for _, field := range []struct{ name, value string }{
		{"request", string(n.Request)},
		{"workspace", string(n.Workspace)},
		{"job", string(n.Job)},
		{"item", string(n.Item)},
		{"runner", string(n.Runner)},
		{"dataCentre", string(n.DataCentre)},
		{"peer", string(n.Peer)},
		{"feed", n.Feed},
		{"route", string(n.Route)},
		{"outcome", n.Outcome},
		{"reason", n.Reason},
	} {
		if field.value != "" {
			event = event.Str(field.name, field.value[:min(len(field.value), maxFieldBytes)])
		}
	}
	if n.Content != 0 {
		event = event.Str("content", strconv.FormatUint(uint64(n.Content), 16))
	}
	if len(n.Parts) > 0 {
		event = event.Strs("parts", formatParts(n.Parts))
	}
	for _, field := range []struct {
		name  string
		value int64
	}{
		{"attempt", int64(n.Attempt)},
		{"catalog", int64(n.Version)},
		{"offset", int64(n.Offset)},
		{"load", int64(n.Load)},
		{"count", int64(n.Count)},
		{"ageMs", int64(n.Age)},
		{"tookMs", int64(n.Duration)},
	} {
		if field.value != 0 {
			event = event.Int64(field.name, field.value)
		}
	}
	if n.Rate != 0 {
		event = event.Float64("perSecond", float64(n.Rate))
	}
	event.Msg(n.Kind.String())
}

// formatParts formats the parts of a prompt as hexadecimal numbers, as callers write them.
func formatParts(parts []cs.PromptPart) []string {
	formatted := make([]string, len(parts))
	for i, p := range parts {
		formatted[i] = strconv.FormatUint(uint64(p), 16)
	}
	return formatted
}

// recordFirstByte records the time to the first byte of a response. The route takes the place of the tenant
// in the labels, since requests of the platform have no tenant.
func (l *noteLogger) recordFirstByte(route cs.RouteName, s cs.Span) {
	l.meter.Time(meter.FirstToken, cs.TenantID(route), cs.Online, s)
}

// recordResponse records the time to the end of a response, labelled like recordFirstByte.
func (l *noteLogger) recordResponse(route cs.RouteName, s cs.Span) {
	l.meter.Time(meter.Request, cs.TenantID(route), cs.Online, s)
}

// recordAppend records the time of an append to the job log.
func (l *noteLogger) recordAppend(s cs.Span) { l.meter.TimeUnlabelled(meter.Append, s) }

// run logs the number of dropped lines every droppedPeriod until ctx ends.
func (l *noteLogger) run(ctx context.Context) error {
	t := time.NewTicker(droppedPeriod.Std())
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			if n := l.dropped.Swap(0); n > 0 {
				l.log.Warn().Int64("count", n).Msg("log lines left out")
			}
		}
	}
}
