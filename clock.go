package crocusstile

import (
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Instant is a point in time in milliseconds since the Unix epoch.
type Instant int64

// Span is a length of time in milliseconds.
type Span int64

// Common spans.
const (
	Millisecond Span = 1
	Second           = 1000 * Millisecond
	Minute           = 60 * Second
	Hour             = 60 * Minute
)

// Add returns the instant s after i.
func (i Instant) Add(s Span) Instant { return i + Instant(s) }

// Sub returns the span from j to i.
func (i Instant) Sub(j Instant) Span { return Span(i - j) }

// Std returns the span as a time.Duration.
func (s Span) Std() time.Duration { return time.Duration(s) * time.Millisecond }

// SpanOf returns d as a span, rounded towards zero.
func SpanOf(d time.Duration) Span { return Span(d / time.Millisecond) }

// String returns the span in the notation of time.Duration, such as "1.5s".
func (s Span) String() string { return s.Std().String() }

// MarshalText writes the span in the notation of time.Duration.
func (s Span) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads the notation of time.Duration.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Newf("%q is not a duration such as \"250ms\" or \"3s\"", text)
	}
	*s = SpanOf(d)
	return nil
}

// Clock tells the time; a manual clock stands still until it is advanced.
type Clock struct {
	start  time.Time
	manual *atomic.Int64
}

// NewClock returns a clock that follows the machine's monotonic time, so that a step of the wall
// clock does not move it.
func NewClock() *Clock { return &Clock{start: time.Now()} }

// NewManualClock returns a clock that stands at the given instant.
func NewManualClock(at Instant) *Clock {
	c := &Clock{manual: new(atomic.Int64)}
	c.manual.Store(int64(at))
	return c
}

// Now returns the present instant.
func (c *Clock) Now() Instant {
	if c.manual != nil {
		return Instant(c.manual.Load())
	}
	return Instant(c.start.UnixMilli() + time.Since(c.start).Milliseconds())
}

// Advance moves a manual clock forward; it does nothing to a real one.
func (c *Clock) Advance(s Span) {
	if c.manual != nil {
		c.manual.Add(int64(s))
	}
}
