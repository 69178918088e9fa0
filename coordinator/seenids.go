package coordinator

import (
	"time"

	"primrosehook/registrar"
)

const (
	// maxRegistryGap is the longest pause between updates of the registry that hides no start of a
	// server: one that starts again is away for longer.
	maxRegistryGap = 1500 * time.Millisecond
	// idMemory is how long the ID of a server is remembered, and has to be watched for before an
	// unknown one counts as new: orders to a former process can be executed for lateOrderWindow after
	// a lease term.
	idMemory = lateOrderWindow + 2*leaseTerm
)

// seenID is an ID under which a server is or was registered.
type seenID struct {
	incarnation string
	// sole is set if the ID had no other incarnation within idMemory.
	sole bool
	// since and at are when the incarnation was first and last seen.
	since, at time.Time
}

// seenIDs tells servers with a new ID from those that have started again. The zero value knows
// none. It is not safe for concurrent use.
type seenIDs struct {
	byID                   map[string]seenID
	watchedFrom, updatedAt time.Time
}

// update takes the registered servers.
func (i *seenIDs) update(now time.Time, servers []registrar.Server) {
	if i.byID == nil || now.Sub(i.updatedAt) > maxRegistryGap {
		i.watchedFrom = now
	}
	if i.byID == nil {
		i.byID = map[string]seenID{}
	}
	i.updatedAt = now
	for _, s := range servers {
		old, ok := i.byID[s.ID]
		x := seenID{incarnation: s.Incarnation, sole: !ok && now.Sub(i.watchedFrom) >= idMemory, since: now, at: now}
		if ok && old.incarnation == s.Incarnation {
			x.sole, x.since = old.sole, old.since
		}
		i.byID[s.ID] = x
	}
	for id, x := range i.byID {
		if now.Sub(x.at) >= idMemory {
			delete(i.byID, id)
		}
	}
}

// formerProcessUntil returns until when an order to a former process of a server can be executed at
// the latest, by when the present one was first seen; zero if its ID is new. A lease holder knew of
// the present one maxRegistryLag later.
func (c *clusterState) formerProcessUntil(now time.Time, s registrar.Server) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	x, ok := c.seen.byID[s.ID]
	switch {
	case !ok || x.incarnation != s.Incarnation:
		return now.Add(maxRegistryLag + orderTimeout + lateOrderWindow)
	case x.sole:
		return time.Time{}
	}
	return x.since.Add(maxRegistryLag + orderTimeout + lateOrderWindow)
}
