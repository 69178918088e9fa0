package balancer

import (
	"slices"
	"time"
)

const (
	// rampTime is how long a server that has joined gets less than its share: its first answers
	// show whether it works and how fast it is.
	rampTime = 2 * time.Second
	// minRamp is the share of the usual pace that a server is taken to have when it joins.
	minRamp = 0.1
	// maxJoinAge is how long after its start a server that is seen for the first time counts as
	// new. A registration may also expire and come back.
	maxJoinAge = 10 * time.Second
	// minPenalty is the failure rate from which a server counts as taken out of its service, and
	// spareShare the capacity, as a multiple of what the load takes, that must remain then.
	minPenalty = 0.05
	spareShare = 1.25
)

// joined returns when a server that is seen for the first time began to join the service, the zero
// time if it is not new: all servers are seen for the first time when the instance starts.
func (c *Core) joined(now time.Time, startedAt time.Time) time.Time {
	if len(c.servers) == 0 || !startedAt.IsZero() && now.Sub(startedAt) > maxJoinAge {
		return time.Time{}
	}
	return now
}

// ramp returns the share of its pace that a server which has joined lately is taken to have.
func (s *server) ramp(now time.Time) float64 {
	if s.joinedAt.IsZero() {
		return 1
	}
	return min(max(float64(now.Sub(s.joinedAt))/float64(rampTime), minRamp), 1)
}

// addFailureCosts adds the costs of failed requests to those of the candidates, the highest failure
// rates first, as long as the capacity of the others suffices for the load of all. Failures that have
// a common cause, such as a broken link of this instance, then don't overload the servers that are
// left.
func (c *Core) addFailureCosts(now time.Time, candidates []candidate) {
	var failed []int
	for i, x := range candidates {
		if x.server.failureRate(now) > 0 {
			failed = append(failed, i)
		}
	}
	if len(failed) == 0 {
		return
	}
	removable := 0.0
	for _, x := range candidates {
		removable += x.speed - spareShare*c.demandOn(now, x.server)
	}
	slices.SortFunc(failed, func(i, j int) int {
		if candidates[i].server.failureRate(now) > candidates[j].server.failureRate(now) {
			return -1
		}
		return 1
	})
	for _, i := range failed {
		x := &candidates[i]
		rate := x.server.failureRate(now)
		if rate >= minPenalty {
			if removable < x.speed {
				continue
			}
			removable -= x.speed
		}
		x.cost += failureCost * rate
	}
}

// demandOn returns the load of a server in servers of the usual speed that it would keep busy. What
// was sent to it lately does not count: a server that fails at once is sent much and has nothing to do.
func (c *Core) demandOn(now time.Time, s *server) float64 {
	f := c.totalInFlight(now, s)
	demand := float64(f.PrefillTokens) / prefillLimit
	if slots := c.slots(now, s); slots > 0 {
		demand = max(demand, float64(f.Requests)/float64(slots))
	}
	return demand
}
