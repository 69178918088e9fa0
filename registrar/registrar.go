// Package registrar folds the registrations of servers into a view of which
// servers there are. It does no I/O.
//
// A registration that lapses while the registry cannot be read says little: the
// server may live and only have failed to renew it. Such a server stays in the
// view until the registry has been readable again for the grace period.
package registrar

import (
	"reflect"
	"time"
)

// Holding is a model that a server holds, with its adapters.
type Holding struct {
	Model    string
	Version  int64
	Adapters []string
}

// Server is one registration.
type Server struct {
	ID      string
	Service string
	// Address is IP:PORT.
	Address string
	Zone    string
	Slots   int
	// Draining servers take no new requests.
	Draining bool
	// Remaining is how long a server that is taken away at short notice has
	// left from the registration's arrival; zero if it was given no limit.
	Remaining time.Duration
	// Beat counts the registrations of this life.
	Beat     int64
	Holdings []Holding
	// Copies are the models whose weights the server keeps in host memory or
	// on disk.
	InMemory, OnDisk []string
	// Born is when this life began; zero if unknown.
	Born time.Time
	// Life tells lives of the same ID apart.
	Life string
	// Seen is when the registration was last read, also if it said nothing new.
	Seen time.Time
}

// Settings are the times of the policy.
type Settings struct {
	// Away is how long reads must have failed for lapses to be doubted.
	Away time.Duration
	// Grace is how long after the registry's return a lapsed server stays.
	Grace time.Duration
}

// DefaultSettings returns the settings for a registry whose entries are back
// within two seconds of its return.
func DefaultSettings() Settings {
	return Settings{Away: 1500 * time.Millisecond, Grace: 2 * time.Second}
}

// leftKept bounds the lives that are remembered after their end.
const leftKept = 4096

type entry struct {
	server Server
	offset int64
	// lapsed is when the registration was found missing; zero if it stands.
	lapsed time.Time
}

// Core is the fold. It is not safe for concurrent use.
type Core struct {
	settings Settings
	entries  map[string]*entry
	// gone holds the offsets of removals, so that a stale page does not bring
	// a server back.
	gone map[string]int64
	// left holds the last registration of lives that have ended.
	left     map[string]int64
	last     time.Time
	returned time.Time
	changes  uint64
}

// NewCore returns an empty view.
func NewCore(settings Settings) *Core {
	return &Core{settings: settings, entries: map[string]*entry{}, gone: map[string]int64{}, left: map[string]int64{}}
}

// Read notes that the registry was read, before the records read are given.
func (c *Core) Read(now time.Time) {
	if !c.last.IsZero() && now.Sub(c.last) > c.settings.Away {
		c.returned = now
	}
	c.last = now
}

// Put takes over the registration that stands at an offset, and reports
// whether it says anything new. One that was overtaken by a later registration
// of the same life says nothing.
func (c *Core) Put(now time.Time, offset int64, s Server) bool {
	if c.stale(s.ID, offset) {
		return false
	}
	old, ok := c.entries[s.ID]
	if ok && old.server.Life == s.Life && s.Beat < old.server.Beat {
		old.offset = offset
		return false
	}
	if beat, left := c.left[s.Life]; left && s.Beat <= beat {
		// A registration from before the server left, written late.
		return false
	}
	delete(c.left, s.Life)
	delete(c.gone, s.ID)
	s.Seen = now
	c.entries[s.ID] = &entry{server: s, offset: offset}
	if ok && old.lapsed.IsZero() {
		beat := old.server
		beat.Beat, beat.Seen = s.Beat, now
		if reflect.DeepEqual(beat, s) {
			return false
		}
	}
	c.changes++
	return true
}

// Remove takes the removal at an offset, and reports whether it is news.
func (c *Core) Remove(now time.Time, id string, offset int64) bool {
	if c.stale(id, offset) {
		return false
	}
	c.gone[id] = offset
	c.lapse(now, id)
	return true
}

// Retain drops the servers that a complete reading of the registry, up to the
// offset end, did not show.
func (c *Core) Retain(now time.Time, shown map[string]bool, end int64) {
	for id, e := range c.entries {
		if !shown[id] && e.offset < end {
			c.lapse(now, id)
		}
	}
}

// Servers returns the servers in the view, without those whose doubt ended.
func (c *Core) Servers(now time.Time) []Server {
	list := make([]Server, 0, len(c.entries))
	for id, e := range c.entries {
		if !e.lapsed.IsZero() && now.Sub(c.returned) > c.settings.Grace {
			delete(c.entries, id)
			c.changes++
			continue
		}
		list = append(list, e.server)
	}
	return list
}

// Doubted reports whether a lapsed server is still in the view.
func (c *Core) Doubted() bool {
	for _, e := range c.entries {
		if !e.lapsed.IsZero() {
			return true
		}
	}
	return false
}

// Changes grows with each change of the view.
func (c *Core) Changes() uint64 { return c.changes }

func (c *Core) stale(id string, offset int64) bool {
	if e, ok := c.entries[id]; ok && offset < e.offset {
		return true
	}
	return offset < c.gone[id]
}

func (c *Core) lapse(now time.Time, id string) {
	e, ok := c.entries[id]
	if !ok {
		return
	}
	c.changes++
	if len(c.left) >= leftKept {
		clear(c.left)
	}
	c.left[e.server.Life] = e.server.Beat
	if now.Sub(c.returned) <= c.settings.Grace && !c.returned.IsZero() {
		if e.lapsed.IsZero() {
			e.lapsed = now
		}
		return
	}
	delete(c.entries, id)
}
