// Package decayer counts events with an exponential decay that is computed on
// access, without a timer.
package decayer

import (
	"math"
	"time"
)

// Counter is a count that halves in each half-life. The zero value is an empty
// count. All calls on a counter are expected to give the same half-life.
type Counter struct {
	count float64
	at    time.Time
}

// Add adds to the count.
func (c *Counter) Add(now time.Time, halfLife time.Duration, count float64) {
	c.count = c.Value(now, halfLife) + count
	c.at = now
}

// Value returns the decayed count.
func (c *Counter) Value(now time.Time, halfLife time.Duration) float64 {
	if c.count == 0 {
		return 0
	}
	age := max(now.Sub(c.at), 0)
	return c.count * math.Exp2(-age.Seconds()/halfLife.Seconds())
}

// Rate returns the estimated events per second. A steady rate r holds the count
// at r * halfLife / ln 2.
func (c *Counter) Rate(now time.Time, halfLife time.Duration) float64 {
	return c.Value(now, halfLife) * math.Ln2 / halfLife.Seconds()
}
