package quarantiner

import "time"

const (
	// completionWindow is for how long at least a completion counts.
	completionWindow = 10 * time.Second
	// maxCompletions bounds the completions remembered in each of two windows.
	maxCompletions = 8192
)

// Completions remembers the requests that completed normally of late. It is not
// safe for concurrent use.
type Completions struct {
	// current are the digests since startedAt, previous those of the window before.
	current, previous map[uint64]bool
	startedAt         time.Time
}

// NewCompletions returns an empty Completions.
func NewCompletions() *Completions { return &Completions{current: map[uint64]bool{}} }

// Record records that a request completed.
func (c *Completions) Record(now time.Time, digest uint64) {
	c.rotate(now)
	if len(c.current) < maxCompletions {
		c.current[digest] = true
	}
}

// Recent reports whether a request with this digest completed within
// completionWindow; it may also be up to twice as long ago.
func (c *Completions) Recent(now time.Time, digest uint64) bool {
	c.rotate(now)
	return c.current[digest] || c.previous[digest]
}

// rotate begins a new window when the current one is over.
func (c *Completions) rotate(now time.Time) {
	age := now.Sub(c.startedAt)
	if age < completionWindow {
		return
	}
	c.previous = c.current
	if age >= 2*completionWindow {
		c.previous = nil
	}
	c.current, c.startedAt = map[uint64]bool{}, now
}
