package sequencer

import (
	"maps"
	"time"
)

const (
	// turnTimeout is how long a turn lasts of which no end is reported.
	turnTimeout = 3 * time.Second
	// retryInterval is the longest time after which to ask again for a turn that is in use.
	retryInterval = 300 * time.Millisecond
	// brokenPause is the time from a turn that broke off to the next one: instances learn in
	// it whether the server crashed.
	brokenPause = time.Second
	// maxTurns bounds the keys of which turns are remembered.
	maxTurns = 4096
)

// Turns decides which of the requests with the same key may be sent. It is not safe for
// concurrent use.
type Turns struct {
	// closed is until when no request with a key may be sent, unless its turn ends before.
	closed map[uint64]turn
}

// turn is a turn that is in use, or the pause after one that broke off.
type turn struct {
	until time.Time
	inUse bool
}

// NewTurns returns a Turns without keys.
func NewTurns() *Turns { return &Turns{closed: map[uint64]turn{}} }

// Take takes the turn of a key. If that can't be had, it returns when to ask again.
func (t *Turns) Take(now time.Time, key uint64) (wait time.Duration, ok bool) {
	if c := t.closed[key]; now.Before(c.until) {
		if c.inUse {
			return min(c.until.Sub(now), retryInterval), false
		}
		return c.until.Sub(now), false
	}
	if len(t.closed) >= maxTurns {
		maps.DeleteFunc(t.closed, func(_ uint64, c turn) bool { return !now.Before(c.until) })
	}
	t.closed[key] = turn{until: now.Add(turnTimeout), inUse: true}
	return 0, true
}

// End ends the turn of a key. broken means that the connection broke under the request, or
// that its server fell silent.
func (t *Turns) End(now time.Time, key uint64, broken bool) {
	if broken {
		t.closed[key] = turn{until: now.Add(brokenPause)}
		return
	}
	delete(t.closed, key)
}
