package faker

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Refusals counts the requests that a leaving engine or service refused. Tests
// use it to check that callers stop sending in time.
type Refusals struct {
	Count int       `json:"count"`
	Last  time.Time `json:"last"`
}

// refusals collects Refusals.
type refusals struct {
	mu     sync.Mutex
	clock  clockwork.Clock
	counts Refusals
}

func (r *refusals) add() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Count++
	r.counts.Last = r.clock.Now()
}

func (r *refusals) get() Refusals {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts
}
