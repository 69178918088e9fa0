// Package registrar builds the set of known servers from their registrations. It
// does no I/O.
//
// If a registration expires while the registry is unavailable, the server may
// still be running and only have failed to renew it. Such a server is kept until
// the registry has been available again for the grace period.
package registrar

import (
	"reflect"
	"time"
)

// LoadedModel is a model that a server has loaded, with its adapters.
type LoadedModel struct {
	Model    string
	Version  int64
	Adapters []string
}

// Server is the registration of a server.
type Server struct {
	ID      string
	Service string
	// Address is IP:PORT.
	Address string
	Zone    string
	// Build identifies the software that the server runs. Servers of one service may
	// run several builds, whose answers to the same request differ.
	Build string
	Slots int
	// Draining servers take no new requests.
	Draining bool
	// Remaining is the time until a server that is reclaimed at short notice is
	// shut down, counted from the registration's arrival; zero if there is no
	// limit.
	Remaining time.Duration
	// Heartbeat is the heartbeat sequence number within this incarnation.
	Heartbeat int64
	Loaded    []LoadedModel
	// InMemory and OnDisk are the models whose weights the server keeps in host
	// memory or on disk.
	InMemory, OnDisk []string
	// StartedAt is when this incarnation started; zero if unknown.
	StartedAt time.Time
	// Incarnation identifies the incarnation among those of the same ID.
	Incarnation string
	// ReadAt is when the registration was last read, whether or not it had
	// changed.
	ReadAt time.Time
}

// Settings are the times that decide how expired registrations are treated.
type Settings struct {
	// MinOutage is the time without a read of the registry after which
	// registrations that are missing may have expired because of the outage.
	MinOutage time.Duration
	// Grace is how long after the end of an outage a server with an expired
	// registration is kept.
	Grace time.Duration
}

// DefaultSettings returns settings for a registry whose entries are renewed
// within two seconds of the end of an outage.
func DefaultSettings() Settings {
	return Settings{MinOutage: 1500 * time.Millisecond, Grace: 2 * time.Second}
}

// maxEnded bounds the ended incarnations that are remembered.
const maxEnded = 4096

type entry struct {
	server Server
	offset int64
	// expiredAt is when the registration was found missing; zero if it is
	// present.
	expiredAt time.Time
}

// Core is the set of known servers. It is not safe for concurrent use.
type Core struct {
	settings Settings
	entries  map[string]*entry
	// removed holds the offsets of removals by ID, so that an outdated page
	// does not restore a server.
	removed map[string]int64
	// ended holds the last heartbeat sequence number of ended incarnations.
	ended    map[string]int64
	lastRead time.Time
	// recoveredAt is when the registry was first read again after the latest
	// outage; zero if there was none.
	recoveredAt time.Time
	changes     uint64
}

// NewCore returns a Core without servers.
func NewCore(settings Settings) *Core {
	return &Core{settings: settings, entries: map[string]*entry{}, removed: map[string]int64{}, ended: map[string]int64{}}
}

// Read records that the registry was read at now. It must be called before the
// records read are applied.
func (c *Core) Read(now time.Time) {
	if !c.lastRead.IsZero() && now.Sub(c.lastRead) > c.settings.MinOutage {
		c.recoveredAt = now
	}
	c.lastRead = now
}

// Put applies the registration at an offset and reports whether it changes
// anything beyond the heartbeat. A registration that is older than the last one
// of the same incarnation is ignored.
func (c *Core) Put(now time.Time, offset int64, s Server) bool {
	if c.stale(s.ID, offset) {
		return false
	}
	old, ok := c.entries[s.ID]
	if ok && old.server.Incarnation == s.Incarnation && s.Heartbeat < old.server.Heartbeat && !beginsAnew(s, old.server.Heartbeat) {
		old.offset = offset
		return false
	}
	if last, ended := c.ended[s.Incarnation]; ended && s.Heartbeat <= last && !beginsAnew(s, last) {
		// The registration dates from before the server left and was written late.
		return false
	}
	delete(c.ended, s.Incarnation)
	delete(c.removed, s.ID)
	s.ReadAt = now
	c.entries[s.ID] = &entry{server: s, offset: offset}
	if ok && old.expiredAt.IsZero() {
		renewed := old.server
		renewed.Heartbeat, renewed.ReadAt = s.Heartbeat, now
		if reflect.DeepEqual(renewed, s) {
			return false
		}
	}
	c.changes++
	return true
}

// maxLateHeartbeats is how many heartbeats a registration that is written late may be behind.
const maxLateHeartbeats = 3

// beginsAnew reports whether the sequence of a server, whose registration does not tell when it
// started, shows that it has started again since a heartbeat.
func beginsAnew(s Server, last int64) bool {
	return s.StartedAt.IsZero() && last-s.Heartbeat > maxLateHeartbeats
}

// Remove applies the removal at an offset, and reports whether it is new.
func (c *Core) Remove(now time.Time, id string, offset int64) bool {
	if c.stale(id, offset) {
		return false
	}
	c.removed[id] = offset
	c.expire(now, id)
	return true
}

// Retain expires the servers that a complete read of the registry, up to the
// offset end, did not list.
func (c *Core) Retain(now time.Time, listed map[string]bool, end int64) {
	for id, e := range c.entries {
		if !listed[id] && e.offset < end {
			c.expire(now, id)
		}
	}
}

// Servers returns the known servers. It first drops expired servers whose grace
// period has ended.
func (c *Core) Servers(now time.Time) []Server {
	list := make([]Server, 0, len(c.entries))
	for id, e := range c.entries {
		if !e.expiredAt.IsZero() && now.Sub(c.recoveredAt) > c.settings.Grace {
			delete(c.entries, id)
			c.changes++
			continue
		}
		list = append(list, e.server)
	}
	return list
}

// HasExpired reports whether a server with an expired registration is still known.
func (c *Core) HasExpired() bool {
	for _, e := range c.entries {
		if !e.expiredAt.IsZero() {
			return true
		}
	}
	return false
}

// Changes grows with each change to the known servers.
func (c *Core) Changes() uint64 { return c.changes }

// stale reports whether a record at an offset is older than the last one that was
// applied for the server.
func (c *Core) stale(id string, offset int64) bool {
	if e, ok := c.entries[id]; ok && offset < e.offset {
		return true
	}
	return offset < c.removed[id]
}

// expire drops a server whose registration is missing. During the grace period
// after an outage it only marks the registration as expired.
func (c *Core) expire(now time.Time, id string) {
	e, ok := c.entries[id]
	if !ok {
		return
	}
	c.changes++
	if len(c.ended) >= maxEnded {
		clear(c.ended)
	}
	c.ended[e.server.Incarnation] = e.server.Heartbeat
	if now.Sub(c.recoveredAt) <= c.settings.Grace && !c.recoveredAt.IsZero() {
		if e.expiredAt.IsZero() {
			e.expiredAt = now
		}
		return
	}
	delete(c.entries, id)
}
