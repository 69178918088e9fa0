package balancer

import (
	"maps"
	"time"
)

// leavingLifetime is how long it is remembered that an incarnation of a server leaves:
// its registration may expire and come back while the registry's store is away.
const leavingLifetime = 10 * time.Minute

// SetRateLimited records that a server may get the next request at a time.
func (c *Core) SetRateLimited(id string, until time.Time) {
	if s, ok := c.servers[id]; ok {
		s.limitedUntil = until
	}
}

// pausedUntil returns when a server may get the next request, by its rate limit and its
// refusals.
func (c *Core) pausedUntil(s *server) time.Time {
	if until := c.resting[s.Incarnation]; until.After(s.limitedUntil) {
		return until
	}
	return s.limitedUntil
}

// PauseEnd returns when the first of the replicas of a model that may get no request now
// may get one, the zero time if there is none.
func (c *Core) PauseEnd(now time.Time, key string) time.Time {
	var first time.Time
	for _, s := range c.sorted {
		until := c.pausedUntil(s)
		if s.Draining || key != "" && !s.loaded[key] || !now.Before(until) {
			continue
		}
		if first.IsZero() || until.Before(first) {
			first = until
		}
	}
	return first
}

// SetResting records that an incarnation of a server wants no request of this instance
// until a time. That is remembered while its registration expires and comes back.
func (c *Core) SetResting(now time.Time, incarnation string, until time.Time) {
	maps.DeleteFunc(c.resting, func(_ string, until time.Time) bool { return !now.Before(until) })
	if until.After(c.resting[incarnation]) {
		c.resting[incarnation] = until
	}
}

// RestEnd returns until when an incarnation of a server wants no request of this instance.
func (c *Core) RestEnd(incarnation string) time.Time { return c.resting[incarnation] }

// MarkLeaving records that an incarnation of a server has said that it leaves. It gets
// no request any more, whatever its registration says.
func (c *Core) MarkLeaving(now time.Time, id, incarnation string) {
	maps.DeleteFunc(c.leaving, func(_ string, at time.Time) bool { return now.Sub(at) >= leavingLifetime })
	c.leaving[incarnation] = now
	if s, ok := c.servers[id]; ok && s.Incarnation == incarnation {
		s.Draining = true
	}
}

func (c *Core) isLeaving(incarnation string) bool {
	_, ok := c.leaving[incarnation]
	return ok
}

// Unavailable returns the incarnations of the servers that refuse connections or have
// said that they leave.
func (c *Core) Unavailable(now time.Time) []string {
	var list []string
	for _, s := range c.sorted {
		if now.Before(s.unreachableUntil) || c.isLeaving(s.Incarnation) {
			list = append(list, s.Incarnation)
		}
	}
	return list
}

// Pause is what a server has said to an instance: that it leaves, or for how long it wants no
// requests.
type Pause struct {
	// Incarnation and Address are those of the server.
	Incarnation string        `msgpack:"s"`
	Address     string        `msgpack:"a"`
	Leaving     bool          `msgpack:"l"`
	Rest        time.Duration `msgpack:"r"`
}

// ApplyPause records what a server has said in an answer that another instance got, through
// this one.
func (f *Fleet) ApplyPause(p Pause) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	for _, c := range f.cores {
		for _, s := range c.sorted {
			if s.Incarnation != p.Incarnation {
				continue
			}
			if p.Leaving {
				c.MarkLeaving(now, s.ID, p.Incarnation)
			}
			if p.Rest > 0 {
				c.SetResting(now, p.Incarnation, now.Add(p.Rest))
			}
		}
	}
}

// MarkLeaving records that the server has said that it leaves.
func (a *Assignment) MarkLeaving() {
	f := a.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if c, ok := f.cores[a.service]; ok {
		c.MarkLeaving(f.clock.Now(), a.ID, a.Incarnation)
	}
}

// MarkResting records that the server wants no request of this instance for a time.
func (a *Assignment) MarkResting(d time.Duration) {
	f := a.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	f.core(a.service).SetResting(now, a.Incarnation, now.Add(d))
}

// Paused reports whether the server wants no request of this instance now: it rests, leaves
// or drains.
func (a *Assignment) Paused() bool {
	f := a.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.core(a.service)
	s, ok := c.servers[a.ID]
	return f.clock.Now().Before(c.RestEnd(a.Incarnation)) || c.isLeaving(a.Incarnation) || ok && s.Incarnation == a.Incarnation && s.Draining
}

// RestTime returns for how long the server wants no request of this instance.
func (a *Assignment) RestTime() time.Duration {
	f := a.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(f.core(a.service).RestEnd(a.Incarnation).Sub(f.clock.Now()), 0)
}
