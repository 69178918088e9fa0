package reserver

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// sampleInterval is the least time between two log lines on the same matter.
const sampleInterval = time.Second

// Sampler bounds log lines on events that clients can cause at will: one a second, with the
// number of events since the last one.
type Sampler struct {
	mu     sync.Mutex
	last   time.Time
	events int
}

// Sample counts an event. It reports whether to log now, and how many events to report.
func (s *Sampler) Sample(clock clockwork.Clock) (events int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events++
	now := clock.Now()
	if now.Sub(s.last) < sampleInterval {
		return 0, false
	}
	events, s.events, s.last = s.events, 0, now
	return events, true
}
