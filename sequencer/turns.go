package sequencer

import "time"

const (
	// turnTimeout is how long a turn lasts of which no end is reported.
	turnTimeout = 3 * time.Second
	// brokenPause is the time from a turn that broke off to the next one: instances learn in
	// it whether the server crashed.
	brokenPause = time.Second
	// maxTurns bounds the keys of which turns are remembered.
	maxTurns = 4096
)

// Turns decides which of the requests with the same key may be sent. It is not safe for
// concurrent use.
type Turns struct {
	// closed is until when no request with a key may be sent.
	closed map[uint64]time.Time
}

// NewTurns returns a Turns without keys.
func NewTurns() *Turns { return &Turns{closed: map[uint64]time.Time{}} }

// Take takes the turn of a key. If it is taken, it returns the longest time until it is not.
func (t *Turns) Take(now time.Time, key uint64) (wait time.Duration, ok bool) {
	if until := t.closed[key]; now.Before(until) {
		return until.Sub(now), false
	}
	if len(t.closed) >= maxTurns {
		for k, until := range t.closed {
			if !now.Before(until) {
				delete(t.closed, k)
			}
		}
	}
	t.closed[key] = now.Add(turnTimeout)
	return 0, true
}

// End ends the turn of a key. broken means that the connection broke under the request, or
// that its server fell silent.
func (t *Turns) End(now time.Time, key uint64, broken bool) {
	if broken {
		t.closed[key] = now.Add(brokenPause)
		return
	}
	delete(t.closed, key)
}
