package crocusstile

import (
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Instant is a point in time in milliseconds since the Unix epoch.
type Instant int64

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
}

// NewClock returns a clock that follows the machine's monotonic clock, so that adjustments of the
// wall clock do not affect it.
func NewClock() *Clock { return &Clock{start: time.Now()} }

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

// Advance moves a manual clock forward by s; it has no effect on a real clock.
func (c *Clock) Advance(s Span) {
	if c.manual != nil {
		c.manual.Add(int64(s))
	}
}
