package quarantiner

import (
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Guard is a Quarantiner for concurrent use that reads the time itself.
type Guard struct {
	clock  clockwork.Clock
	mu     sync.Mutex
	core   *Quarantiner
	losses *Losses
}

// NewGuard returns a guard around a fresh quarantiner.
func NewGuard(clock clockwork.Clock, options Options) *Guard {
	return &Guard{clock: clock, core: New(options), losses: NewLosses()}
}

// Held reports how long yet a digest is in quarantine, zero if it is not.
func (g *Guard) Held(digest uint64) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Held(g.clock.Now(), digest)
}

// Crashed marks a digest that was present when an engine was lost.
func (g *Guard) Crashed(digest uint64, engine string, beside int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.Crash(g.clock.Now(), digest, engine, beside)
}

// Broke notes that the connection of a request to an engine's life broke.
func (g *Guard) Broke(digest uint64, life string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.losses.Broke(g.clock.Now(), digest, life)
}

// Lost notes that an engine's life has ended by a crash, and marks the requests
// whose connections broke with it.
func (g *Guard) Lost(life string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	list := g.losses.Lost(now, life)
	for _, digest := range list {
		g.core.Crash(now, digest, life, len(list))
	}
}

// Finished clears a digest whose request came to a clean end.
func (g *Guard) Finished(digest uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.Finish(g.clock.Now(), digest)
}

// Export returns all suspects, for the other instances.
func (g *Guard) Export() []Suspect {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Export()
}

// Shown is one suspect as operators see it.
type Shown struct {
	Digest string `json:"digest"`
	// Held is for how long yet the digest is in quarantine.
	Held  string `json:"held"`
	Marks []Mark `json:"marks"`
}

// Status returns all suspects for operators.
func (g *Guard) Status() any {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	shown := []Shown{}
	for _, s := range g.core.Export() {
		held := g.core.Held(now, s.Digest).Round(time.Second).String()
		shown = append(shown, Shown{Digest: strconv.FormatUint(s.Digest, 16), Held: held, Marks: s.Marks})
	}
	return shown
}

// Merge takes over what another instance exported.
func (g *Guard) Merge(suspects []Suspect) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.Merge(suspects, g.clock.Now())
}
