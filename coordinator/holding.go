package coordinator

import (
	"time"

	"primrosehook/balancer"
)

// minHeldRequests is how many finished requests there must be before they tell how long a request
// holds a slot.
const minHeldRequests = 20

// addHolding adds the finished requests of a report. c.mu must be held.
func (c *clusterState) addHolding(now time.Time, d balancer.Demand) {
	if d.Done <= 0 || d.Held <= 0 {
		return
	}
	h, ok := c.holdings[d.Service]
	if !ok {
		h = &holding{}
		c.holdings[d.Service] = h
	}
	h.done.Add(now, holdingHalfLife, float64(d.Done))
	h.seconds.Add(now, holdingHalfLife, d.Held.Seconds())
}

// holdingTime returns for how long a request of a service holds a slot of a server, zero if that is
// not known.
func (c *clusterState) holdingTime(service string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	h, ok := c.holdings[service]
	if !ok {
		return 0
	}
	now := c.clock.Now()
	done := h.done.Value(now, holdingHalfLife)
	if done < minHeldRequests {
		return 0
	}
	return time.Duration(h.seconds.Value(now, holdingHalfLife) / done * float64(time.Second))
}
