package balancer

const (
	// crowdedShare is the share of a server's slots that are taken from which on its cost grows
	// faster than its load: with six slots, from the fifth request on.
	crowdedShare = 0.8
	// crowdingFactor scales the extra cost of a crowded server. A server with twice as many
	// requests as slots costs nine mean latencies more, so that a burst goes to other zones
	// before the server refuses requests, and one with all slots taken a quarter of one more.
	crowdingFactor = 6.0
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
