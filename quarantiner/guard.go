package quarantiner

import (
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Guard is a Quarantiner that is safe for concurrent use and takes the time
// from its own clock.
type Guard struct {
	clock       clockwork.Clock
	mu          sync.Mutex
	quarantiner *Quarantiner
	losses      *Losses
}

// NewGuard returns a guard around a new Quarantiner.
func NewGuard(clock clockwork.Clock, options Options) *Guard {
	return &Guard{clock: clock, quarantiner: New(options), losses: NewLosses()}
}

// Held returns the time left of a digest's quarantine, zero if it is not in one.
func (g *Guard) Held(digest uint64) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quarantiner.Held(g.clock.Now(), digest)
}

// Crashed records that a request with this digest was running on an engine
// when it was lost. beside is the number of requests of this instance that ran
// on the engine, this one included.
func (g *Guard) Crashed(digest uint64, engine string, beside int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quarantiner.Crash(g.clock.Now(), digest, engine, beside)
}

// Broke records that the connection of a request to an incarnation of an
// engine broke.
func (g *Guard) Broke(digest uint64, incarnation string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.losses.Broke(g.clock.Now(), digest, incarnation)
}

// Lost records that an incarnation of an engine crashed, and marks the requests
// whose connections broke shortly before.
func (g *Guard) Lost(incarnation string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	digests := g.losses.Lost(now, incarnation)
	for _, digest := range digests {
		g.quarantiner.Crash(now, digest, incarnation, len(digests))
	}
}

// Finished clears a digest whose request completed normally.
func (g *Guard) Finished(digest uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quarantiner.Finish(g.clock.Now(), digest)
}

// Export returns all suspects, to be merged by other instances.
func (g *Guard) Export() []Suspect {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quarantiner.Export()
}

// Shown is one suspect as shown to operators.
type Shown struct {
	Digest string `json:"digest"`
	// Held is the time left of the quarantine, as text, rounded to seconds.
	Held  string `json:"held"`
	Marks []Mark `json:"marks"`
}

// Status returns all suspects for operators.
func (g *Guard) Status() any {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	shown := []Shown{}
	for _, s := range g.quarantiner.Export() {
		held := g.quarantiner.Held(now, s.Digest).Round(time.Second).String()
		shown = append(shown, Shown{Digest: strconv.FormatUint(s.Digest, 16), Held: held, Marks: s.Marks})
	}
	return shown
}

// Merge adds the suspects that another instance exported.
func (g *Guard) Merge(suspects []Suspect) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quarantiner.Merge(suspects, g.clock.Now())
}
