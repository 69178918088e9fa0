package balancer

import (
	"math"
	"time"
)

// reportAge is the mean age of the peers' counts when they arrive: an interval of the exchange and
// its transit.
const reportAge = 150 * time.Millisecond

// recentShare is the weight of the prompts that were sent lately in the expected queue: who sent
// them probably sends more.
const recentShare = 0.3

// maxUnseen bounds the time without an exchange for which the peers are assumed to send as before.
const maxUnseen = 500 * time.Millisecond

// candidate is a server that may get a request, and the cost of that.
type candidate struct {
	server *server
	cost   float64
	speed  float64
}

// pick returns one of the candidates. The peers see nearly the same costs as this instance, so if
// each of them took the cheapest server, what they send until the next exchange would all go to it.
// pick therefore expects that work to be spread such that the costs even out, and takes each server
// with its share of that work. A prompt with a prefix goes to the first server in the order of its
// prefix instead (holderBelow). An instance without peers takes the cheapest one, and so does a request whose
// preferred replica is the cheapest one, or that names no model and no account.
func (c *Core) pick(now time.Time, candidates []candidate, q Request) *server {
	cheapest := 0
	for i, x := range candidates {
		if x.cost < candidates[cheapest].cost {
			cheapest = i
		}
	}
	best := candidates[cheapest].server
	unseen := c.unseenWork(now, candidates)
	if q.plain != nil {
		unseen = c.unseenPlainWork(now, candidates)
	}
	if q.Model == "" && q.plain == nil || best == q.preferred() || unseen <= 0 {
		return best
	}
	level := levelOf(candidates, unseen)
	if s := c.holderBelow(candidates, level, candidates[cheapest].cost, q); s != nil {
		return s
	}
	share := c.random.Float64() * unseen
	for _, x := range candidates {
		share -= max(level-x.cost, 0) * x.speed
		if share < 0 {
			return x.server
		}
	}
	return best
}

// unseenWork returns the expected work, in milliseconds of prefill at the usual speed, that peers
// have sent to the candidates since their counts were taken.
func (c *Core) unseenWork(now time.Time, candidates []candidate) float64 {
	age := now.Sub(c.peersAt)
	if age >= peersTTL {
		return 0
	}
	tokens := 0
	for _, x := range candidates {
		tokens += x.server.peers.RecentPromptTokens
	}
	perMilli := float64(tokens) * math.Ln2 / float64(recentHalfLife.Milliseconds())
	return perMilli * float64(min(age, maxUnseen)+reportAge) / float64(time.Millisecond) / PrefillRate
}

// prefillQueue returns the expected work that waits at a server with in-flight work f, in
// milliseconds of prefill at the usual speed. The peers' prompts that were waiting when they were
// counted are partly done by now.
func (c *Core) prefillQueue(now time.Time, s *server, f InFlight, speed float64) float64 {
	tokens := float64(f.PrefillTokens) + recentShare*float64(f.RecentPromptTokens)
	if age := now.Sub(c.peersAt); age < peersTTL {
		done := PrefillRate * speed * float64(age+reportAge) / float64(time.Millisecond)
		tokens -= min(float64(s.peers.PrefillTokens), done)
	}
	return tokens / PrefillRate
}

// tolerablePause returns for how long, in milliseconds, the prefill may stop running streams.
func (q Request) tolerablePause() float64 {
	if q.MaxEventGap > 0 {
		return tolerableShare * float64(q.MaxEventGap) / float64(time.Millisecond)
	}
	return tolerableShare * defaultEventGap
}

// levelOf returns the cost up to which the candidates can be filled with an amount of work.
func levelOf(candidates []candidate, work float64) float64 {
	low, high := math.Inf(1), math.Inf(-1)
	for _, x := range candidates {
		low, high = min(low, x.cost), max(high, x.cost+work/x.speed)
	}
	// The work that fits below a level grows with it; 30 halvings are exact to a millionth.
	for range 30 {
		level, sum := (low+high)/2, 0.0
		for _, x := range candidates {
			sum += max(level-x.cost, 0) * x.speed
		}
		if sum < work {
			low = level
		} else {
			high = level
		}
	}
	return high
}
