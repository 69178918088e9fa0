package coordinator

import (
	"time"

	"primrosehook/balancer"
)

// addOutcomes adds a member's outcomes of requests at servers to the total. c.mu must be held.
func (c *clusterState) addOutcomes(m *member) {
	for id, o := range m.outcomes {
		c.totalOutcomes[id] = c.totalOutcomes[id].Add(o)
	}
}

// subtractOutcomes subtracts a member's outcomes of requests at servers from the total. c.mu must be
// held.
func (c *clusterState) subtractOutcomes(m *member) {
	for id, o := range m.outcomes {
		if rest := c.totalOutcomes[id].Sub(o); rest != (balancer.Outcomes{}) {
			c.totalOutcomes[id] = rest
		} else {
			delete(c.totalOutcomes, id)
		}
	}
}

// failingServers returns the servers that fail some requests, and whether they fail all. c.mu must be
// held.
func (c *clusterState) failingServers(now time.Time) map[string]bool {
	return c.failures.Update(now, c.totalOutcomes, len(c.members))
}
