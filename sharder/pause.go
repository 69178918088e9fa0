package sharder

import (
	"time"

	"primrosehook/judge"
)

// pauseTime is how long the requests of a shard are refused at once after one
// timed out at the log, or found the shard full.
const pauseTime = time.Second

// pause is the refusal of a shard's requests, and until when they get it.
type pause struct {
	until   time.Time
	refusal *judge.Refusal
}

// LogUnavailable returns the refusal of requests while the log accepts no entries.
func LogUnavailable() *judge.Refusal {
	return judge.Unavailable(codeLog, "log service takes no entries now", pauseTime)
}

// Pause refuses a shard's requests at once for pauseTime, so that during an
// outage one request per second waits and not each. A refusal of nil ends the
// pause.
func (s *Set[R, M]) Pause(index int, refusal *judge.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if refusal == nil {
		delete(s.paused, index)
		return
	}
	s.paused[index] = pause{s.options.Clock.Now().Add(pauseTime), refusal}
}

// Paused returns the refusal of a shard's requests, or nil if it is not paused.
func (s *Set[R, M]) Paused(index int) *judge.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.paused[index]; ok && s.options.Clock.Now().Before(p.until) {
		return p.refusal
	}
	return nil
}
