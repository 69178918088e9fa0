package coordinator

import (
	"slices"
	"time"
)

// ColdLoad is one load from the weight store.
type ColdLoad struct {
	sentAt  time.Time
	pending bool
}

// Sent records that the order to load is sent now, perhaps not for the first
// time.
func (c *ColdLoad) Sent(now time.Time) { c.sentAt, c.pending = now, false }

// Finish records that the order will not be sent again. A load whose order was
// never sent no longer counts.
func (c *ColdLoad) Finish() { c.pending = false }

// ColdLoadCounter counts the loads from the weight store in a sliding window. A
// load counts from when it is planned, since its order is sent some time later,
// until the window after its order was last sent has passed. It is not safe for
// concurrent use.
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
	l := &ColdLoad{pending: true}
	c.loads = append(c.loads, l)
	return l
}

// Count returns the number of loads that count now.
func (c *ColdLoadCounter) Count(now time.Time) int {
	c.loads = slices.DeleteFunc(c.loads, func(l *ColdLoad) bool { return !l.pending && now.Sub(l.sentAt) > c.window })
	return len(c.loads)
}
