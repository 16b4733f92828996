package crocusstile

import (
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Instant is a point in time in milliseconds since the Unix epoch.
type Instant int64

// BootInstant is a point in time in milliseconds on a clock that, unlike that of an Instant, counts the time for which the
// machine was suspended.
type BootInstant int64

// Add returns the instant i + s.
func (i BootInstant) Add(s Span) BootInstant { return i + BootInstant(s) }

// Sub returns the duration i - j.
func (i BootInstant) Sub(j BootInstant) Span { return Span(i - j) }

// Span is a duration in milliseconds.
type Span int64

// Common durations.
const (
	Millisecond Span = 1
	Second           = 1000 * Millisecond
	Minute           = 60 * Second
	Hour             = 60 * Minute
)

// Add returns the instant i + s.
func (i Instant) Add(s Span) Instant { return i + Instant(s) }

// Sub returns the duration i - j.
func (i Instant) Sub(j Instant) Span { return Span(i - j) }

// Std converts the span to a time.Duration.
func (s Span) Std() time.Duration { return time.Duration(s) * time.Millisecond }

// SpanOf converts d to whole milliseconds, rounded towards zero.
func SpanOf(d time.Duration) Span { return Span(d / time.Millisecond) }

// String formats the span like a time.Duration, such as "1.5s".
func (s Span) String() string { return s.Std().String() }

// MarshalText formats the span like a time.Duration.
func (s Span) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText parses the format of time.ParseDuration.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Newf("%q is not a duration such as \"250ms\" or \"3s\"", text)
	}
	*s = SpanOf(d)
	return nil
}

// Clock is a source of the current time; a manual clock changes only when it is advanced.
type Clock struct {
	start  time.Time
	manual *atomic.Int64
	// suspendedAtStart is the difference of the machine's boot-time and monotonic clocks when the clock was created.
	suspendedAtStart time.Duration
}

// NewClock returns a clock that follows the machine's monotonic clock, so that adjustments of the
// wall clock do not affect it.
func NewClock() *Clock { return &Clock{start: time.Now(), suspendedAtStart: suspended()} }

// NewManualClock returns a clock for tests and simulations that is set to the given instant.
func NewManualClock(at Instant) *Clock {
	c := &Clock{manual: new(atomic.Int64)}
	c.manual.Store(int64(at))
	return c
}

// Now returns the current time.
func (c *Clock) Now() Instant {
	if c.manual != nil {
		return Instant(c.manual.Load())
	}
	return Instant(c.start.UnixMilli() + time.Since(c.start).Milliseconds())
}

// Suspended returns the time for which the machine has been suspended since the clock was created. The monotonic clock, and so
// Now, does not count it.
func (c *Clock) Suspended() Span {
	if c.manual != nil {
		return 0
	}
	return SpanOf(suspended() - c.suspendedAtStart)
}

// BootTime returns the current time on the clock that counts the time for which the machine was suspended.
func (c *Clock) BootTime() BootInstant { return BootInstant(c.Now().Add(c.Suspended())) }

// suspended returns the difference of the machine's boot-time and monotonic clocks: the time for which it was suspended since its
// start.
func suspended() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0 // Linux has both clocks
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}

// Advance moves a manual clock forward by s; it has no effect on a real clock.
func (c *Clock) Advance(s Span) {
	if c.manual != nil {
		c.manual.Add(int64(s))
	}
}
