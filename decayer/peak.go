package decayer

import (
	"slices"
	"time"
)

// Peak is the largest of the values that were added within a window. The zero value
// has none.
type Peak struct {
	// values are those that no later one exceeds, the oldest and largest first.
	values []peakValue
}

type peakValue struct {
	at    time.Time
	value int
}

// Add adds a value and returns the largest one of the window.
func (p *Peak) Add(now time.Time, window time.Duration, value int) int {
	p.values = slices.DeleteFunc(p.values, func(v peakValue) bool { return v.value <= value || now.Sub(v.at) > window })
	p.values = append(p.values, peakValue{now, value})
	return p.values[0].value
}
