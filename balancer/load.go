package balancer

import (
	"math"
	"time"
)

const (
	// excessTTL is how long the counts that a server reports are used: by then the counts of the
	// peers show what the server said.
	excessTTL = 300 * time.Millisecond
	// slownessTTL is how long the slowness that a server reports is used. It changes many times a
	// second.
	slownessTTL = 200 * time.Millisecond
	// usualWeight is the weight of the latest figure in the usual slowness of a server.
	usualWeight = 0.05
	// maxSlowdown bounds what a figure of slowness does to the cost.
	maxSlowdown = 4.0
	// fullPause is how long a server counts as full after it refused a request as full: a few
	// engine steps, in which a slot may become free.
	fullPause = 40 * time.Millisecond
	// fullCost is the cost of a server without a free slot where requests don't wait for a busy one.
	// It is that of a server that failed all its latest requests: one that may work and has room is
	// the better choice.
	fullCost = failureCost
)

// LoadReport is the load that a server reports with an answer.
type LoadReport struct {
	// Running and Waiting are the requests at the server, and Slots how many it runs at most, zero
	// if it does not say. Known is set if either of the former is.
	Known                   bool
	Running, Waiting, Slots int
	// Slowness is how long work takes at this moment, 1 as usual, zero if the server does not say.
	Slowness float64
	// Refused is set if the answer refuses a request, which is not among the server's.
	Refused bool
}

// serverLoad is the latest load that a server has reported. The zero value is none.
type serverLoad struct {
	report LoadReport
	// at is when the counts were reported, own how many requests of this instance were among them.
	at  time.Time
	own int
	// slowAt is when slowness was reported, logUsual the logarithm of what the server usually says.
	slowAt   time.Time
	slowness float64
	logUsual float64
	// fullUntil is until when the server counts as full since it refused a request.
	fullUntil time.Time
}

// RecordLoad records the load that a server reports.
func (c *Core) RecordLoad(now time.Time, id string, r LoadReport) {
	s, ok := c.servers[id]
	if !ok {
		return
	}
	l := &s.load
	if r.Known {
		l.report, l.at, l.own = r, now, s.own.Requests
		if r.Refused {
			l.own = max(l.own-1, 0)
		}
	}
	if r.Slowness > 0 {
		l.slowness, l.slowAt = r.Slowness, now
		l.logUsual += usualWeight * (math.Log(r.Slowness) - l.logUsual)
	}
}

// MarkFull records that a server refused a request as full.
func (c *Core) MarkFull(now time.Time, id string) {
	if s, ok := c.servers[id]; ok {
		s.load.fullUntil = now.Add(fullPause)
	}
}

// excess returns the requests that a server has beyond those that this instance and its peers
// account for, and how many of them wait there. The current counts of the peers are subtracted, so
// that a request which they report after the server did does not count twice.
func (c *Core) excess(now time.Time, s *server) (requests, waiting int) {
	l := &s.load
	if l.at.IsZero() || now.Sub(l.at) >= excessTTL {
		return 0, 0
	}
	accounted := l.own
	if now.Sub(c.peersAt) < peersTTL {
		accounted += s.peers.Requests
	}
	requests = max(l.report.Running+l.report.Waiting-accounted, 0)
	return requests, min(requests, l.report.Waiting)
}

// slowdown returns how much longer work takes at a server at this moment than usually, at least 1.
// A figure that differs from the observed pace for good becomes the usual one, so that the observed
// pace alone counts.
func (s *server) slowdown(now time.Time) float64 {
	if s.load.slowAt.IsZero() || now.Sub(s.load.slowAt) >= slownessTTL {
		return 1
	}
	return min(max(s.load.slowness/math.Exp(s.load.logUsual), 1), maxSlowdown)
}

// expectedLoad returns the in-flight work at a server with what it reports beyond that. The prompts
// that wait there are taken to be as long as that of the request.
func (c *Core) expectedLoad(now time.Time, s *server, q Request) InFlight {
	f := c.totalInFlight(now, s)
	requests, waiting := c.excess(now, s)
	return f.Add(InFlight{Requests: requests, RunningStreams: requests - waiting, PrefillTokens: waiting * q.PrefillTokens()})
}

// slots returns how many requests a server runs at most, zero if that is not known. It is the same
// at any speed: a server that gets prompts in proportion to its speed, and whose streams take as much
// longer, runs as many at a time as the others.
func (c *Core) slots(now time.Time, s *server) int {
	if s.Slots == 0 && now.Sub(s.load.at) < excessTTL {
		return s.load.report.Slots
	}
	return s.Slots
}

// RecordLoad records the load that the server reports.
func (a *Assignment) RecordLoad(r LoadReport) {
	f := a.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if c, ok := a.core(); ok {
		a.answered = a.answered || r.Known && !r.Refused
		a.noneWaited = r.Known && r.Waiting == 0
		c.RecordLoad(f.clock.Now(), a.ID, r)
	}
}

// MarkFull records that the server refused the request as full.
func (a *Assignment) MarkFull() {
	f := a.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if c, ok := a.core(); ok {
		c.MarkFull(f.clock.Now(), a.ID)
		f.dispatchAfter(a.service, fullPause)
	}
}
