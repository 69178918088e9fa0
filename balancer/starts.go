package balancer

import (
	"maps"
	"time"

	"primrosehook/registrar"
)

const (
	// startMemory is for how long instances say of a server that started again which start their
	// figures are of, and startDoubt for how long figures that don't say so are taken to be of the
	// earlier start. All instances know of a start within a heartbeat and a read of the registry.
	startMemory = 30 * time.Second
	startDoubt  = 10 * time.Second
)

// Starts tells apart the starts of servers that have started again of late, as hashes of the
// incarnation by server ID. Figures are exchanged by server ID, and those of an earlier start say
// nothing of the present one.
type Starts map[string]uint64

// start is a start of a server under an ID that another one had before.
type start struct {
	hash uint64
	at   time.Time
}

// StartTable is the present starts of the servers that have started again. The zero value is empty.
// It is not safe for concurrent use.
type StartTable struct{ again map[string]start }

// Record records that a server has started again.
func (t *StartTable) Record(now time.Time, s registrar.Server) {
	if t.again == nil {
		t.again = map[string]start{}
	}
	maps.DeleteFunc(t.again, func(_ string, x start) bool { return now.Sub(x.at) >= startMemory })
	t.again[s.ID] = start{Hash(s.Incarnation), now}
}

// Recent returns the starts within startMemory.
func (t *StartTable) Recent(now time.Time) Starts {
	var list Starts
	for id, x := range t.again {
		if now.Sub(x.at) < startMemory {
			if list == nil {
				list = Starts{}
			}
			list[id] = x.hash
		}
	}
	return list
}

// Accepts reports whether figures of a server are of its present start, by the starts that came with
// them.
func (t *StartTable) Accepts(now time.Time, id, incarnation string, with Starts) bool {
	if hash, ok := with[id]; ok {
		return hash == Hash(incarnation)
	}
	x, ok := t.again[id]
	return !ok || now.Sub(x.at) >= startDoubt
}

// StartedAgain reports whether a registration is of a later start than the one before: another
// incarnation, or where registrations don't tell when a server started, a sequence that begins anew.
func StartedAgain(before, s registrar.Server) bool {
	return before.Incarnation != s.Incarnation || s.StartedAt.IsZero() && s.Heartbeat < before.Heartbeat
}

// filterStarts returns the figures, by server ID, that are of the present starts of the servers.
func filterStarts[T any](c *Core, now time.Time, figures map[string]T, with Starts) map[string]T {
	if len(with) == 0 && len(c.starts.again) == 0 {
		return figures
	}
	kept := maps.Clone(figures)
	maps.DeleteFunc(kept, func(id string, _ T) bool {
		s, ok := c.servers[id]
		return ok && !c.starts.Accepts(now, id, s.Incarnation, with)
	})
	return kept
}

// Starts returns the servers that have started again of late.
func (f *Fleet) Starts() Starts {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	var all Starts
	for _, c := range f.cores {
		for id, hash := range c.starts.Recent(now) {
			if all == nil {
				all = Starts{}
			}
			all[id] = hash
		}
	}
	return all
}

// core returns the core of the service. It reports false if the server has left, or has started again
// since it was chosen: what the request shows is not true of it any more. f.mu must be held.
func (a *Assignment) core() (*Core, bool) {
	c, ok := a.fleet.cores[a.service]
	if !ok {
		return nil, false
	}
	s, ok := c.servers[a.ID]
	return c, ok && s.lastByte == a.lastByte
}
