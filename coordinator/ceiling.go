package coordinator

import (
	"slices"
	"time"
)

// Cold is one load from the weight store.
type Cold struct {
	begun time.Time
	open  bool
}

// Begin notes that the load is ordered now, perhaps once more.
func (c *Cold) Begin(now time.Time) { c.begun, c.open = now, false }

// End notes that nothing more will be ordered. A load that was never ordered
// does not count any longer.
func (c *Cold) End() { c.open = false }

// Ceiling counts the loads from the weight store in a sliding window. A load
// counts from the plan on, since it begins some time after that, and for the
// window from its last order on. It is not safe for concurrent use.
type Ceiling struct {
	window time.Duration
	colds  []*Cold
}

// NewCeiling returns a count for a window.
func NewCeiling(window time.Duration) *Ceiling { return &Ceiling{window: window} }

// Plan counts one more load.
func (c *Ceiling) Plan() *Cold {
	l := &Cold{open: true}
	c.colds = append(c.colds, l)
	return l
}

// Count returns how many loads count now.
func (c *Ceiling) Count(now time.Time) int {
	c.colds = slices.DeleteFunc(c.colds, func(l *Cold) bool { return !l.open && now.Sub(l.begun) > c.window })
	return len(c.colds)
}
