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
	clock clockwork.Clock
	// changed receives a value when there are new marks to report.
	changed     chan struct{}
	mu          sync.Mutex
	quarantiner *Quarantiner
	breaks      *ConnectionBreaks
	completions *Completions
	// replaced are the incarnations of engines that others have replaced, and when.
	replaced map[string]time.Time
}

// NewGuard returns a guard around a new Quarantiner.
func NewGuard(clock clockwork.Clock, options Options) *Guard {
	return &Guard{clock: clock, changed: make(chan struct{}, 1), quarantiner: New(options), breaks: NewConnectionBreaks(), completions: NewCompletions(), replaced: map[string]time.Time{}}
}

// Changed receives a value when there are new marks to report.
func (g *Guard) Changed() <-chan struct{} { return g.changed }

// Remaining returns the time left of a request's quarantine, zero if it is not in one.
func (g *Guard) Remaining(id Identity) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	remaining := g.quarantiner.Remaining(now, id.Digest)
	if remaining == 0 && g.blamesResource(now, id.Resource) {
		return g.quarantiner.ResourceRemaining(now, id.Resource)
	}
	return remaining
}

// blamesResource reports whether what requests for a resource have crashed counts against
// others for it: not if one of them has completed of late. g.mu must be held.
func (g *Guard) blamesResource(now time.Time, resource uint64) bool {
	return resource != 0 && !g.completions.Recent(now, resource)
}

// Crashes returns how many lost engines count against a request or its resource.
func (g *Guard) Crashes(id Identity) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	crashes := g.quarantiner.Crashes(id.Digest)
	if g.blamesResource(g.clock.Now(), id.Resource) {
		crashes = max(crashes, g.quarantiner.ResourceCrashes(id.Resource))
	}
	return crashes
}

// Completed reports whether a request like this one has completed of late.
func (g *Guard) Completed(id Identity) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.completions.Recent(g.clock.Now(), id.Digest)
}

// Key returns what stands for a request and those that are suspected together with it: its
// resource, or its digest if others for the resource complete.
func (g *Guard) Key(id Identity) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.blamesResource(g.clock.Now(), id.Resource) {
		return id.Resource
	}
	return id.Digest
}

// EngineCrashed records that a request with this digest was running on an engine
// when it was lost. concurrent is the number of requests of this instance that
// ran on the engine, this one included.
func (g *Guard) EngineCrashed(digest uint64, engine string, concurrent int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quarantiner.Crash(g.clock.Now(), digest, engine, concurrent)
}

// ConnectionBroke records that the connection of a request to an incarnation of
// an engine broke.
func (g *Guard) ConnectionBroke(id Identity, incarnation string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.breaks.Record(now, id, incarnation)
	if at, ok := g.replaced[incarnation]; ok && now.Sub(at) <= replacedWindow {
		g.markLost(now, incarnation, replacedWindow)
	}
}

// EngineLost records that an incarnation of an engine crashed, and marks the
// requests whose connections broke shortly before, at the time of the break: a
// request may have completed elsewhere since then. It returns their digests.
// Requests that others like it complete are not marked: several engines that have
// them in progress may be lost together.
func (g *Guard) EngineLost(incarnation string) []uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.markLost(g.clock.Now(), incarnation, breakWindow)
}

// EngineReplaced is EngineLost for an incarnation of an engine that another one has
// replaced, with breaks up to replacedWindow before or after that: no probe may have
// confirmed the loss.
func (g *Guard) EngineReplaced(incarnation string) []uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	if len(g.replaced) >= maxReplaced {
		clear(g.replaced)
	}
	g.replaced[incarnation] = now
	return g.markLost(now, incarnation, replacedWindow)
}

// markLost marks the requests whose connections to a lost engine broke within a time, and
// returns their digests. g.mu must be held.
func (g *Guard) markLost(now time.Time, incarnation string, within time.Duration) []uint64 {
	lost := g.breaks.EngineLost(now, incarnation, within)
	var digests []uint64
	for _, b := range lost {
		if g.completions.Recent(now, b.Digest) {
			continue
		}
		digests = append(digests, b.Digest)
		g.quarantiner.CrashOf(b.At, b.Identity, incarnation, len(lost))
	}
	if len(digests) > 0 {
		select {
		case g.changed <- struct{}{}:
		default:
		}
	}
	return digests
}

// RequestCompleted clears the digest of a request that completed normally.
func (g *Guard) RequestCompleted(id Identity) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.completions.Record(now, id.Digest)
	if id.Resource != 0 {
		g.completions.Record(now, id.Resource)
	}
	g.quarantiner.Finish(now, id.Digest)
}

// Export returns all suspects, to be merged by other instances.
func (g *Guard) Export() []Suspect {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quarantiner.Export()
}

// ExportRecent returns the suspects that have changed within a time, and those with
// enough marks for a quarantine.
func (g *Guard) ExportRecent(within time.Duration) []Suspect {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quarantiner.ExportSince(g.clock.Now().Add(-within))
}

// SuspectStatus is one suspect as shown to operators.
type SuspectStatus struct {
	Digest string `json:"digest"`
	// Remaining is the time left of the quarantine, as text, rounded to seconds.
	Remaining string `json:"held"`
	Marks     []Mark `json:"marks"`
}

// Status returns all suspects for operators.
func (g *Guard) Status() any {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	shown := []SuspectStatus{}
	for _, s := range g.quarantiner.Export() {
		remaining := g.quarantiner.Remaining(now, s.Digest).Round(time.Second).String()
		shown = append(shown, SuspectStatus{Digest: strconv.FormatUint(s.Digest, 16), Remaining: remaining, Marks: s.Marks})
	}
	return shown
}

// Merge adds the suspects that another instance exported.
func (g *Guard) Merge(suspects []Suspect) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quarantiner.Merge(suspects, g.clock.Now())
}
