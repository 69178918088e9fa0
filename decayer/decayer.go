// Package decayer counts events with an exponential decay, which needs no
// timer.
package decayer

import (
	"math"
	"time"
)

// Counter is a count that loses half of itself in each half-life.
type Counter struct {
	count float64
	at    time.Time
}

// Add adds a count.
func (c *Counter) Add(now time.Time, half time.Duration, count float64) {
	c.count = c.Value(now, half) + count
	c.at = now
}

// Value returns what is left of the count.
func (c *Counter) Value(now time.Time, half time.Duration) float64 {
	if c.count == 0 {
		return 0
	}
	age := max(now.Sub(c.at), 0)
	return c.count * math.Exp2(-age.Seconds()/half.Seconds())
}

// Rate returns the events a second. A steady rate r holds the count at
// r * half / ln 2.
func (c *Counter) Rate(now time.Time, half time.Duration) float64 {
	return c.Value(now, half) * math.Ln2 / half.Seconds()
}
