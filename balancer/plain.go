package balancer

import (
	"time"

	"primrosehook/admitter"
	"primrosehook/decayer"
)

const (
	// plainReview is the pause between offers to requests that wait for plain servers, a fraction of
	// the time by which the tightest objective of such requests exceeds their work.
	plainReview = 20 * time.Millisecond
	// crowdedAfter is how long after the last request that met a free slot the holding time is derived from
	// requests that met a queue. The number of requests before these is known late, and tends to be
	// too low where the server was chosen for it.
	crowdedAfter = 10 * time.Second
	// evenReports is in how many intervals of the peers' reports differences between the servers are
	// evened out: e times their mean age or more, since differences that are evened out faster than
	// they are seen swing.
	evenReports = 3.3
	// minReports and maxReports bound that interval, which intervalWeight smooths.
	minReports, maxReports = 150 * time.Millisecond, time.Second
	intervalWeight         = 0.1
	// arrivalHalfLife is the half-life of the rate of arrivals, of which an instance sees some five a second.
	arrivalHalfLife = 2 * time.Second
	// arrivalsKey is the key of a queue whose rate is that of arrivals for plain servers.
	arrivalsKey = "@arrivals"
)

// plainState is what is known of the requests of client accounts for the plain servers of a service.
type plainState struct {
	// used is set once such a request came, offering while servers are offered again to waiting ones.
	used, offering bool
	arrivals       decayer.Counter
	credit         admitter.Credit
	// freeSlotAt is when a request last met a free slot.
	freeSlotAt time.Time
}

// plainChoice is what the choice of a plain server for a request of a client account depends on.
type plainChoice struct {
	holding, left, objective time.Duration
	late                     bool
	// credit is this instance's credit, share its share of all requests.
	credit *admitter.Credit
	share  float64
}

// isPlain reports whether a request is for a plain server whose places are given out by what they
// are worth.
func (q Request) isPlain() bool { return q.Model == "" && q.competes() && q.Objective > 0 }

// withPlainChoice returns the request with what its choice depends on, if it is for a plain server that
// can answer on time. f.mu must be held.
func (f *Fleet) withPlainChoice(now time.Time, service string, q Request) Request {
	if !q.isPlain() {
		return q
	}
	wq := f.queue(service)
	holding, left := time.Duration(wq.traffic(q.queueKey()).holding*float64(time.Second)), q.TargetTime.Sub(now)
	if holding <= 0 || holding > q.Objective {
		// Nothing is known, or no request can be on time, so that none is displaced.
		return q
	}
	q.plain = &plainChoice{
		holding: holding, left: left, objective: q.Objective, late: q.late || left < holding,
		credit: &wq.plain.credit, share: wq.arrivalShare(now),
	}
	return q
}

// recordPlainArrival counts a request of a client account for plain servers. f.mu must be held.
func (wq *WaitQueue) recordPlainArrival(now time.Time, q Request) {
	if q.isPlain() {
		wq.plain.used = true
		wq.plain.arrivals.Add(now, arrivalHalfLife, 1)
	}
}

// arrivalShare returns which share of the requests for plain servers arrives at this instance, 1 if that
// of the peers is not known.
func (wq *WaitQueue) arrivalShare(now time.Time) float64 {
	own := wq.plain.arrivals.Rate(now, arrivalHalfLife) + minReportedRate
	return own / (own + wq.peerArrivalRate(now))
}

// peerArrivalRate returns the rate of requests for plain servers at the peers, as far as it is known.
func (wq *WaitQueue) peerArrivalRate(now time.Time) float64 {
	if p, ok := wq.peers[arrivalsKey]; ok && now.Sub(wq.peersAt) < peersTTL {
		return p.Granted
	}
	return 0
}

// arrivalRate returns the rate of requests for plain servers at all instances.
func (wq *WaitQueue) arrivalRate(now time.Time) float64 {
	return wq.plain.arrivals.Rate(now, arrivalHalfLife) + wq.peerArrivalRate(now)
}

// plainServer returns a server as package admitter has it.
func (c *Core) plainServer(now time.Time, s *server, p *plainChoice) admitter.PlainServer {
	return admitter.PlainServer{Slots: c.slots(now, s), Holding: p.holding, Speed: c.speed(now, s) / s.slowdown(now) * s.ramp(now)}
}

// plainRequests returns the expected number of requests at a plain server: what it reported if that is
// newer than the counts of the peers, with what this instance has sent since then.
func (c *Core) plainRequests(now time.Time, s *server) float64 {
	l := &s.load
	if !l.at.IsZero() && now.Sub(l.at) < excessTTL && l.at.Add(reportAge).After(c.peersAt) {
		return float64(max(l.report.Running+l.report.Waiting+s.own.Requests-l.own, s.own.Requests))
	}
	return float64(c.totalInFlight(now, s).Requests)
}

// plainFull reports whether a plain server holds so many requests that it would answer a further one late,
// if that has its whole time left. What is left of the time of one that has waited does not count: those
// would all go to the server that seemed the least busy.
func (c *Core) plainFull(now time.Time, s *server, q Request) bool {
	if now.Before(s.load.fullUntil) {
		return true
	}
	p := c.plainServer(now, s, q.plain)
	return p.Slots > 0 && c.plainRequests(now, s) >= p.Places(q.plain.objective)
}

// plainBusy reports whether the candidates for a plain request are so busy that it should wait. The sum
// over all candidates decides: if one of them is busier than the others, that is for pick to even out.
func (c *Core) plainBusy(now time.Time, candidates []candidate, q Request) bool {
	if q.plain == nil || now.Sub(c.peersAt) >= peersTTL {
		return false
	}
	all := admitter.Plain{Interval: c.reportInterval()}
	for _, x := range candidates {
		p := c.plainServer(now, x.server, q.plain)
		if p.Slots <= 0 {
			return false
		}
		all.Add(p, c.plainRequests(now, x.server), q.plain.objective)
	}
	q.plain.credit.Update(now, q.plain.share*all.SendRate(), all.MaxCredit())
	if q.plain.late {
		return !all.Spare() || !q.plain.credit.Suffices()
	}
	return all.Busy() && !q.plain.credit.Suffices()
}

// recordReports records that the peers' counts came again.
func (c *Core) recordReports(now time.Time) {
	if !c.peersAt.IsZero() && now.Sub(c.peersAt) < peersTTL {
		interval := now.Sub(c.peersAt)
		if c.peersEvery == 0 {
			c.peersEvery = interval
		}
		c.peersEvery += time.Duration(intervalWeight * float64(interval-c.peersEvery))
	}
	c.peersAt = now
}

// reportInterval returns the mean time between reports of the peers' counts.
func (c *Core) reportInterval() time.Duration { return min(max(c.peersEvery, minReports), maxReports) }

// refuses reports whether a server should not get a request for now.
func (c *Core) refuses(now time.Time, s *server, q Request) bool {
	if q.Model != "" {
		return c.full(now, s, q)
	}
	return q.plain != nil && c.plainFull(now, s, q)
}

// plainCost returns the time until a request is answered at a plain server, in milliseconds, with that
// of the requests which run there: those end at any time.
func (c *Core) plainCost(now time.Time, s *server, q Request) float64 {
	p := c.plainServer(now, s, q.plain)
	return float64(p.Sojourn(c.plainRequests(now, s)+float64(p.Slots))) / float64(time.Millisecond)
}

// unseenPlainWork returns the work, in milliseconds of a server, that all instances send to the candidates
// within evenTime: as much as the servers do meanwhile.
func (c *Core) unseenPlainWork(now time.Time, candidates []candidate) float64 {
	if now.Sub(c.peersAt) >= peersTTL {
		return 0
	}
	work := 0.0
	for _, x := range candidates {
		if slots := c.slots(now, x.server); slots > 0 {
			work += min(float64(x.server.peers.Requests)/float64(slots), 1) * x.speed
		}
	}
	return work * evenReports * float64(c.reportInterval()) / float64(time.Millisecond)
}

// plainLoad adapts what a request for a plain server meets: slots that are in use do the work, and the
// wait at the server counts. It returns the longest wait with which the answer is on time.
// f.mu must be held.
func (f *Fleet) plainLoad(now time.Time, service string, q Request, l *admitter.Load) time.Duration {
	c := f.core(service)
	q = f.withPlainChoice(now, service, q)
	if q.plain == nil {
		return q.MaxWait
	}
	l.Capacity = 0
	var all admitter.Plain
	for _, s := range c.sorted {
		if s.Draining {
			continue
		}
		if p := c.plainServer(now, s, q.plain); p.Slots > 0 {
			l.Capacity += capacityMargin * float64(p.Slots) / p.Holding.Seconds() * p.Speed
			all.Add(p, c.plainRequests(now, s), q.Objective)
		}
	}
	l.OnTimeRate = max(l.OnTimeRate, f.queue(service).arrivalRate(now))
	if all.Busy() {
		// Whatever the rates, which follow the load with a delay.
		l.Capacity = 0
	}
	return q.plain.left - time.Duration(float64(all.Sojourn())/capacityMargin)
}

// recordPlainHolding records how long a request held a slot of a plain server that answered it.
func (f *Fleet) recordPlainHolding(a *Assignment, took time.Duration) {
	slots := a.Slots
	if !a.answered || slots <= 0 || !a.request.isPlain() {
		return
	}
	met := float64(a.Inputs.InFlight.Requests + a.Inputs.Excess)
	turns := max(met+1-float64(slots), 0) / float64(slots)
	sample := took.Seconds() / (1 + turns)
	wq, now := f.queue(a.service), f.clock.Now()
	if turns == 0 && a.noneWaited {
		wq.plain.freeSlotAt = now
	} else if now.Sub(wq.plain.freeSlotAt) < crowdedAfter {
		return
	}
	wq.traffic(a.request.queueKey()).recordHolding(time.Duration(sample * float64(time.Second)))
}

// refuseHopelessPlain refuses the waiting requests for plain servers that can't be on time any more,
// unless requests on time leave capacity for them. f.mu must be held.
func (f *Fleet) refuseHopelessPlain(now time.Time, service string) {
	wq := f.queue(service)
	if !wq.plain.used {
		return
	}
	var hopeless []*Waiter
	for _, w := range wq.waiters {
		if !w.isPlain() || w.awaitsReplica || w.late {
			continue
		}
		d, load := f.decide(now, service, w.Request)
		if f.plainLoad(now, service, w.Request, &load) >= 0 {
			continue
		}
		if w.late = d.Verdict == admitter.Late; !w.late {
			hopeless = append(hopeless, w)
		}
	}
	for _, w := range hopeless {
		wq.Remove(w)
		wq.reviewed++
		w.granted <- nil
	}
}

// offerAgain offers the servers again to the requests that wait for plain ones, until none waits.
// f.mu must be held.
func (f *Fleet) offerAgain(service string) {
	wq := f.queue(service)
	if wq.plain.offering || !wq.plain.used || wq.Len() == 0 {
		return
	}
	wq.plain.offering = true
	f.clock.AfterFunc(plainReview, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		wq.plain.offering = false
		f.dispatch(service)
		f.offerAgain(service)
	})
}

// goesAfterPlain reports whether a request that has just arrived for a plain server must wait after
// others. f.mu must be held.
func (f *Fleet) goesAfterPlain(now time.Time, service string, q Request) bool {
	wq := f.queue(service)
	if !q.isPlain() || wq.Len() == 0 {
		return false
	}
	f.dispatch(service)
	added := &Waiter{Request: q}
	return wq.ranks(now, q.queueKey(), added)[0].waiter != added
}
