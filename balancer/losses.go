package balancer

import (
	"maps"
	"time"
)

const (
	// lossWindow is how long a lost server counts.
	lossWindow = 10 * time.Second
	// unsettledShare is the part of a service's servers, one of so many, whose loss makes the
	// service unsettled.
	unsettledShare = 3
)

// recordLoss records that an incarnation of a server has gone without notice, or takes no
// connections.
func (c *Core) recordLoss(now time.Time, incarnation string) {
	maps.DeleteFunc(c.lost, func(_ string, at time.Time) bool { return now.Sub(at) >= lossWindow })
	c.lost[incarnation] = now
}

// Unsettled reports whether a third of the servers, or more, has been lost of late.
func (c *Core) Unsettled(now time.Time) bool {
	if len(c.lost) == 0 {
		return false
	}
	maps.DeleteFunc(c.lost, func(_ string, at time.Time) bool { return now.Sub(at) >= lossWindow })
	return len(c.lost) > 0 && len(c.lost)*unsettledShare >= len(c.sorted)
}

// Unsettled reports whether a third of the servers of a service, or more, has been lost of
// late: gone without notice, or taking no connections.
func (f *Fleet) Unsettled(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	c, ok := f.cores[service]
	return ok && c.Unsettled(f.clock.Now())
}
