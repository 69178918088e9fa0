package balancer

import "time"

const (
	// crowdedShare is the share of a server's slots that are taken from which on its cost grows
	// faster than its load: with six slots, from the fifth request on.
	crowdedShare = 0.8
	// crowdingFactor scales the extra cost of a crowded server. A server with twice as many
	// requests as slots costs nine mean latencies more, so that a burst goes to other zones
	// before the server refuses requests, and one with all slots taken a quarter of one more.
	crowdingFactor = 6.0
	// refusalPause is how long a server that refused a request for want of room is avoided. In
	// two service times of some 30 ms it frees several places.
	refusalPause = 60 * time.Millisecond
	// refusalCost is the cost of a server that is avoided. It is more than any load costs, so
	// that such a server is chosen only if all others are avoided too or can't be used.
	refusalCost = 20000.0
)

// crowdingCost returns the extra cost, in milliseconds, of a server whose slots are nearly all
// taken or that has a queue. It is based on the mean latency of all servers where the server is
// faster than that: a fast server has no more places than a slow one.
func (c *Core) crowdingCost(s *server, requests int) float64 {
	if s.Slots <= 0 {
		return 0
	}
	excess := float64(requests)/float64(s.Slots) - crowdedShare
	if excess <= 0 {
		return 0
	}
	return crowdingFactor * excess * excess * max(s.latency, c.latency)
}

// refusalCost returns the extra cost of a server that has just refused a request for want of room.
func (s *server) refusalCost(now time.Time) float64 {
	if now.Before(s.refusedUntil) {
		return refusalCost
	}
	return 0
}

// MarkRefused records that a server refused a request, which did not run, for want of room.
func (c *Core) MarkRefused(now time.Time, id string) {
	if s, ok := c.servers[id]; ok {
		s.refusedUntil = now.Add(refusalPause)
	}
}

// MarkRefused records that the server refused the request, which did not run, for want of room.
func (a *Assignment) MarkRefused() {
	f := a.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if c, ok := f.cores[a.service]; ok {
		c.MarkRefused(f.clock.Now(), a.ID)
	}
}
