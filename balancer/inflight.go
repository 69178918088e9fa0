package balancer

import (
	"maps"
	"time"
)

// RecordSent counts a request that is sent to a server.
func (c *Core) RecordSent(now time.Time, id string, q Request) {
	if s, ok := c.servers[id]; ok {
		s.recentPrompts.Add(now, recentHalfLife, float64(c.prefillTokens(now, s, q)))
		if q.NeedsReservation {
			// Request one reservation at a time: the reply applies to all
			// waiting requests.
			s.closedUntil = now.Add(reservationTimeout)
		}
		s.own = s.own.Add(InFlight{PrefillTokens: q.PromptTokens, CacheTokens: q.PromptTokens + q.OutputTokens, Requests: 1})
	}
}

// Cancel removes a request that was not sent after all from the in-flight counts.
func (c *Core) Cancel(id string, q Request) {
	if s, ok := c.servers[id]; ok {
		s.own = s.own.Sub(InFlight{PrefillTokens: q.unread(), CacheTokens: q.PromptTokens + q.OutputTokens, Requests: 1})
	}
}

// RecordFirstEvent records the first event of an answer and the delay after which
// it arrived.
func (c *Core) RecordFirstEvent(id string, q Request, delay time.Duration) {
	if s, ok := c.servers[id]; ok {
		s.own.PrefillTokens = max(s.own.PrefillTokens-q.unread(), 0)
		s.own.RunningStreams++
		c.recordLatency(s, delay)
	}
}

// RecordDone records the outcome of a request. First says whether
// RecordFirstEvent was called for it.
func (c *Core) RecordDone(now time.Time, id string, q Request, first, failed bool, delay time.Duration) {
	s, ok := c.servers[id]
	if !ok {
		return
	}
	ended := InFlight{CacheTokens: q.PromptTokens + q.OutputTokens, Requests: 1}
	if first {
		ended.RunningStreams = 1
	} else {
		ended.PrefillTokens = q.unread()
	}
	s.own = s.own.Sub(ended)
	rate := s.failureRate(now) * (1 - failureWeight)
	if failed {
		rate += failureWeight
	}
	s.lastFailureRate, s.lastOutcome = rate, now
	if !first && !failed {
		c.recordLatency(s, delay)
	}
}

func (c *Core) recordLatency(s *server, delay time.Duration) {
	ms := float64(delay) / float64(time.Millisecond)
	s.latency += latencyWeight * (ms - s.latency)
	c.latency += latencyWeight / 4 * (ms - c.latency)
}

// OwnInFlight returns this instance's in-flight work by server ID.
func (c *Core) OwnInFlight(now time.Time) map[string]InFlight {
	m := make(map[string]InFlight, len(c.servers))
	for id, s := range c.servers {
		f := s.own
		f.RecentPromptTokens = int(s.recentPrompts.Value(now, recentHalfLife))
		if f != (InFlight{}) {
			m[id] = f
		}
	}
	return m
}

// UpdatePeers replaces the in-flight counts of the peers, by server ID.
func (c *Core) UpdatePeers(now time.Time, inFlight map[string]InFlight) {
	c.recordReports(now)
	for id, s := range c.servers {
		s.peers = inFlight[id]
	}
}

// OwnInFlight returns this instance's in-flight work by server ID.
func (f *Fleet) OwnInFlight() map[string]InFlight {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	all := map[string]InFlight{}
	for _, c := range f.cores {
		maps.Copy(all, c.OwnInFlight(now))
	}
	return all
}

// UpdatePeers replaces the in-flight counts of the peers, by server ID. Those of earlier starts of a
// server are passed over.
func (f *Fleet) UpdatePeers(inFlight map[string]InFlight, starts Starts) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	for _, c := range f.cores {
		c.UpdatePeers(now, filterStarts(c, now, inFlight, starts))
	}
	f.dispatchAll()
}
