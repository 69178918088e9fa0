package coordinator

import (
	"slices"
	"time"
)

// ColdLoad is one load from the weight store.
type ColdLoad struct {
	planned bool
	// unanswered is set once the load was ordered, until it is known whether it has begun.
	unanswered bool
	// beginsBy is when the load begins at the latest, zero if it does not.
	beginsBy time.Time
}

// Order records that the load is ordered, and may begin until a time.
func (c *ColdLoad) Order(until time.Time) { c.unanswered, c.beginsBy = true, until }

// BeginsBy records that the load has begun, or else never will, at a time.
func (c *ColdLoad) BeginsBy(t time.Time) { c.unanswered, c.beginsBy = false, t }

// Refuse records that the load was refused.
func (c *ColdLoad) Refuse() { c.BeginsBy(time.Time{}) }

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

// Unanswered returns the number of loads that were ordered and may begin now or later.
func (c *ColdLoadCounter) Unanswered(now time.Time) int {
	n := 0
	for _, l := range c.loads {
		if l.unanswered && now.Before(l.beginsBy) {
			n++
		}
	}
	return n
}
