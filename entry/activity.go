package entry

import (
	"context"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/meter"
	"github.com/crocusstile/crocusstile/platform"
)

// activityPeriod is the interval of the log line on the process's activity.
const activityPeriod = 10 * cs.Second

// activity is what the process has done since its start.
type activity struct {
	ticks                        int64
	reportsSent, reportsReceived int64
	store                        platform.StoreTraffic
	processorTime                cs.Span
	// appendAge is the time since the append to the job log that is in flight was sent, or 0, and changesAside the number of
	// changes that the store has refused; both are as of the reading.
	appendAge    cs.Span
	changesAside int
}

// logActivity logs every activityPeriod what the process has done since the last time, until ctx ends. It tells which
// part of the work takes the processor time.
func (v *VM) logActivity(ctx context.Context) error {
	t := time.NewTicker(activityPeriod.Std())
	defer t.Stop()
	last := v.readActivity()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			now := v.readActivity()
			logDifference(v.log.Info(), last, now)
			v.meter.SetGauge(meter.AppendAgeSeconds, now.appendAge.Std().Seconds())
			v.meter.SetGauge(meter.ChangesAside, float64(now.changesAside))
			v.measureClients()
			last = now
		}
	}
}

// readActivity reads the counters of the components.
func (v *VM) readActivity() activity {
	a := activity{ticks: v.loop.Ticks(), processorTime: v.processorTime()}
	a.reportsSent, a.reportsReceived = v.gossip.Traffic()
	a.store = v.store.Traffic()
	view := v.loop.View()
	if view.AppendSentAt != 0 {
		a.appendAge = v.clock.Now().Sub(view.AppendSentAt)
	}
	a.changesAside = view.ChangesAside
	return a
}

// logDifference logs the activity between two readings.
func logDifference(e *zerolog.Event, from, to activity) {
	e.Int64("ticks", to.ticks-from.ticks).
		Int64("reportsSent", to.reportsSent-from.reportsSent).
		Int64("reportsReceived", to.reportsReceived-from.reportsReceived).
		EmbedObject(to.store.Sub(from.store)).
		Int64("appendAgeMs", int64(to.appendAge)).
		Int("changesAside", to.changesAside).
		Int64("processorMs", int64(to.processorTime-from.processorTime)).
		Msg("activity")
}

// processorTime returns the processor time that the process has used.
func (v *VM) processorTime() cs.Span {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		v.log.Warn().Err(err).Msg("cannot read the processor time")
		return 0
	}
	used := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	return cs.Span(used.Milliseconds())
}
