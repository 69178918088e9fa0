package coordinator

import (
	"maps"
	"time"

	"primrosehook/balancer"
	"primrosehook/registrar"
)

// recordStarts finds the servers that have started again among the registered ones, and drops what
// members have reported of their earlier starts. c.mu must be held.
func (c *clusterState) recordStarts(now time.Time, servers []registrar.Server) {
	present := make(map[string]registrar.Server, len(servers))
	for _, s := range servers {
		present[s.ID] = s
		before, ok := c.present[s.ID]
		if !ok || !balancer.StartedAgain(before, s) {
			continue
		}
		c.starts.Record(now, s)
		delete(c.totalInFlight, s.ID)
		delete(c.totalPaces, s.ID)
		for _, m := range c.members {
			m.inFlight, m.paces = without(m.inFlight, s.ID), without(m.paces, s.ID)
		}
	}
	c.present = present
}

// without returns figures without those of a server. It does not change them: they belong to a report.
func without[T any](figures map[string]T, id string) map[string]T {
	if _, ok := figures[id]; !ok {
		return figures
	}
	rest := maps.Clone(figures)
	delete(rest, id)
	return rest
}

// ofPresentStarts returns the figures, by server ID, that are of the present starts of the servers, by
// the starts that a report names. c.mu must be held.
func ofPresentStarts[T any](c *clusterState, now time.Time, figures map[string]T, with balancer.Starts) map[string]T {
	for id := range figures {
		if s, ok := c.present[id]; ok && !c.starts.Accepts(now, id, s.Incarnation, with) {
			figures = without(figures, id)
		}
	}
	return figures
}
