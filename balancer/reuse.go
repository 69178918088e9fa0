package balancer

import (
	"strconv"
	"time"

	"primrosehook/reuser"
)

// replicaRanks are the replicas that come first in the rendezvous order of a prefix. All instances
// agree on it, so the preferred replica is sent the prefix more often than the others.
type replicaRanks [reuser.MaxRank]*server

// of returns the rank of a server, reuser.MaxRank if it is none of the first ones.
func (r *replicaRanks) of(s *server) int {
	for rank, replica := range r {
		if replica == s {
			return rank
		}
	}
	return reuser.MaxRank
}

// hasPrefix reports whether the prompt shares its beginning with other prompts.
func (q Request) hasPrefix() bool { return q.SessionHash != 0 && q.SharedTokens > 0 && q.Prompt != nil }

// rankReplicas returns q with the rendezvous order of its prefix. Full and excluded replicas count, so
// that the others keep their ranks.
func (c *Core) rankReplicas(q Request) Request {
	if !q.hasPrefix() || q.ranks != nil {
		return q
	}
	key, prefix := q.Key(), strconv.FormatUint(q.SessionHash, 16)
	q.ranks = new(replicaRanks)
	var weights [reuser.MaxRank]uint64
	for _, s := range c.sorted {
		if s.Draining || !s.loaded[key] || !s.fits(q) {
			continue
		}
		w, replica := Hash(prefix+s.ID), s
		for i := range weights {
			if w > weights[i] {
				w, weights[i] = weights[i], w
				replica, q.ranks[i] = q.ranks[i], replica
			}
		}
	}
	return q
}

// preferred returns the first replica in the rendezvous order, nil if the prompt has no prefix.
func (q Request) preferred() *server {
	if q.ranks == nil {
		return nil
	}
	return q.ranks[0]
}

// HeldTokens returns how many tokens of a request's prompt a server is taken to hold, given its rank
// in the rendezvous order of the prefix.
type HeldTokens func(now time.Time, id string, rank int, q Request) float64

// SetHeldTokens replaces the estimate of what servers hold, and with it the choice among servers of
// equal cost, by a function, nil for the estimate. The baselines of the fleet model use it.
func (c *Core) SetHeldTokens(f HeldTokens) { c.heldTokens = f }

// expectedHeld returns how many tokens of the prompt a server is expected to hold. q is a result of
// rankReplicas. Where the parts are not known, it is half of the shared tokens.
func (c *Core) expectedHeld(now time.Time, s *server, q Request) float64 {
	if q.ranks == nil {
		return float64(q.PromptTokens - q.PrefillTokens())
	}
	if c.heldTokens != nil {
		return c.heldTokens(now, s.ID, q.ranks.of(s), q)
	}
	return min(c.reuse.Expected(now, &s.known, q.Key(), q.Prompt, q.ranks.of(s)), float64(q.PromptTokens))
}

// prefillTokens returns how many tokens of the prompt are expected to need prefill at a server.
func (c *Core) prefillTokens(now time.Time, s *server, q Request) int {
	return q.PromptTokens - int(min(c.expectedHeld(now, s, c.rankReplicas(q)), float64(q.PromptTokens)))
}

// reuseGain returns how much sooner, in milliseconds, a server of a speed makes the first token since
// it holds a number of tokens. Each token that it reads evicts one of others, which is worth as much as
// the tokens in caches are on average.
func (c *Core) reuseGain(now time.Time, held, speed float64) float64 {
	if held == 0 {
		return 0
	}
	return held * (1 + c.reuse.HeldShare(now)) / PrefillRate / speed
}

// maxDetour is how much more, in milliseconds, a server may cost than the cheapest one to be taken for
// its rank. In the model of the fleet fewer shared parts are read again up to 30 ms, half the prefill of
// a prompt's own part; beyond that waits grow.
const maxDetour = 30.0

// holderBelow returns the first replica in the rendezvous order of the prefix that costs less than a
// level, nil if none does or if it costs more than maxDetour above the cheapest. By the time that the
// prompt gets there, all candidates below the level that pick expects cost the same. So the replica
// that has probably read the prefix is taken rather than one at random, and if that is full or slow,
// the next one in the order.
func (c *Core) holderBelow(candidates []candidate, level, cheapest float64, q Request) *server {
	if q.ranks == nil || c.heldTokens != nil {
		return nil
	}
	for _, replica := range q.ranks {
		for _, x := range candidates {
			if x.server != replica || x.cost >= level {
				continue
			}
			if x.cost >= cheapest+maxDetour {
				return nil
			}
			return replica
		}
	}
	return nil
}

// recordLoaded records what a server has loaded after a change. What is loaded when the server is seen
// for the first time was loaded when it joined, or long ago.
func (s *server) recordLoaded(now time.Time) {
	since := now
	if !s.known.Seen() {
		since = s.joinedAt
	}
	s.known.UpdateLoaded(s.loaded, since)
}

// freeCache returns how many tokens of a server's cache running requests leave, at least 1, and zero if
// the capacity is not known.
func (c *Core) freeCache(f InFlight) int {
	if c.cacheTokens == 0 {
		return 0
	}
	return max(c.cacheTokens-f.CacheTokens, 1)
}

// unread returns how many tokens of the prompt have to be prefilled, by the owner's reply if there is
// one.
func (q Request) unread() int { return q.PromptTokens - q.held }

// RecordHeld records that a request is sent to a server, after RecordSent. held is how many tokens of
// its prompt the server holds according to the owner of its schedule, if known is set. It returns the
// request as RecordFirstEvent, RecordDone and Cancel need it from now on, and what was believed.
func (c *Core) RecordHeld(now time.Time, id string, q Request, held int, known bool) (Request, reuser.Outcome) {
	s, ok := c.servers[id]
	q = c.rankReplicas(q)
	if !ok || q.ranks == nil {
		return q, reuser.Outcome{}
	}
	var o reuser.Outcome
	if known {
		held = min(held, q.PromptTokens)
		counted := c.prefillTokens(now, s, q)
		o = c.reuse.Learn(now, &s.known, q.Key(), q.Prompt, q.ranks.of(s), held)
		correction := float64(q.PromptTokens - held - counted)
		s.recentPrompts.Add(now, recentHalfLife, max(correction, -s.recentPrompts.Value(now, recentHalfLife)))
		s.own.PrefillTokens = max(s.own.PrefillTokens-(held-q.held), 0)
		q.held = held
	}
	s.known.RecordSent(now, q.Key(), q.Prompt)
	return q, o
}

// RecordHeld records that the request is sent, and how many tokens of its prompt the server holds
// according to the owner of its schedule, if known is set.
func (a *Assignment) RecordHeld(held int, known bool) reuser.Outcome {
	f := a.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	c, ok := a.core()
	if !ok || !a.request.hasPrefix() {
		return reuser.Outcome{}
	}
	var o reuser.Outcome
	a.request, o = c.RecordHeld(f.clock.Now(), a.ID, a.request, held, known)
	a.Inputs.HeldTokens, a.Inputs.HeldKnown = o.Held, known
	return o
}
