package coordinator

import (
	"slices"
	"time"
)

// ColdLoad is one load from the weight store.
type ColdLoad struct {
	planned bool
	// beginsBy is when the load has begun at the latest, zero if it has not and will not.
	beginsBy time.Time
}

// BeginsBy records that the load has begun, or else never will, at a time.
func (c *ColdLoad) BeginsBy(t time.Time) { c.beginsBy = t }

// Finish records that the load will not be ordered again.
func (c *ColdLoad) Finish() { c.planned = false }

// ColdLoadCounter counts the loads from the weight store that may begin within one sliding
// window. A load counts from when it is planned, since its order is sent some time later, until
// the window after it has begun at the latest has passed. It is not safe for concurrent use.
type ColdLoadCounter struct {
	window time.Duration
	loads  []*ColdLoad
}

// NewColdLoadCounter returns a counter with the given window.
func NewColdLoadCounter(window time.Duration) *ColdLoadCounter {
	return &ColdLoadCounter{window: window}
}

// Plan adds a load.
func (c *ColdLoadCounter) Plan() *ColdLoad {
	l := &ColdLoad{planned: true}
	c.loads = append(c.loads, l)
	return l
}

// Add adds a load of another holder that has begun at a time at the latest.
func (c *ColdLoadCounter) Add(beginsBy time.Time) {
	c.loads = append(c.loads, &ColdLoad{beginsBy: beginsBy})
}

// Count returns the number of loads that count now.
func (c *ColdLoadCounter) Count(now time.Time) int {
	c.loads = slices.DeleteFunc(c.loads, func(l *ColdLoad) bool { return !l.planned && now.Sub(l.beginsBy) > c.window })
	return len(c.loads)
}
