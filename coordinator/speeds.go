package coordinator

import (
	"math"

	"primrosehook/balancer"
)

// addPaces adds a member's evidence of the speed of servers to the total. c.mu must be held.
func (c *clusterState) addPaces(m *member) {
	for id, p := range m.paces {
		c.totalPaces[id] = c.totalPaces[id].Add(p)
	}
}

// subtractPaces subtracts a member's evidence of the speed of servers from the total. c.mu must be
// held.
func (c *clusterState) subtractPaces(m *member) {
	for id, p := range m.paces {
		if rest := c.totalPaces[id].Sub(p); rest != (balancer.Pace{}) {
			c.totalPaces[id] = rest
		} else {
			delete(c.totalPaces, id)
		}
	}
}

// speeds returns the speeds of the servers that are not as fast as usual, in per cent. c.mu must be
// held.
func (c *clusterState) speeds() map[string]int {
	var percent map[string]int
	for id, p := range c.totalPaces {
		if v := p.Speed(); v != 1 {
			if percent == nil {
				percent = map[string]int{}
			}
			percent[id] = int(math.Round(100 * v))
		}
	}
	return percent
}

// applySpeeds applies the speeds of servers in a reply, unless its sender does not know any.
func (c *Coordinator) applySpeeds(r Reply) {
	if r.SpeedsKnown {
		c.Fleet.UpdateSpeeds(r.Speeds, r.Starts)
	}
}
