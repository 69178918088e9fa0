package sparer

import "time"

const (
	// settleTime is how long it takes until a refusal is known: the way to the server and
	// back, and from there to the owner of the gate.
	settleTime = 10 * time.Millisecond
	// pauseRefusals divided by the refusals that a server bears in a second is for how many
	// seconds its gate is closed after one. So a quarter of them can happen in a second, and
	// still half with two owners. After calmTime without one the first closes it only until
	// others that are under way are known: the lower limit may be enough.
	pauseRefusals = 4.0
	maxPause      = time.Minute
	calmTime      = 1500 * time.Millisecond
	// burstShare is the share of the refusals that a server bears that may be under way, not
	// known yet.
	burstShare = 0.125
	// decrease is the factor by which a refusal lowers the number of requests in flight,
	// growInterval how long it takes to rise by one.
	decrease     = 0.75
	growInterval = 2 * time.Second
	// holdTTL is how long a request counts as in flight whose end is not reported.
	holdTTL = 20 * time.Second
)

// Gate lets requests of all instances through to one brittle server. It keeps the number of
// those in flight below that at which the server last refused one, and lets few through after
// a refusal. It does no I/O and is not safe for concurrent use.
type Gate struct {
	// inFlight is when each request in flight was let through, the oldest first.
	inFlight []time.Time
	// limit is the most requests in flight as of limitedAt, zero while no refusal has shown
	// one.
	limit       int
	limitedAt   time.Time
	closedUntil time.Time
	// knownAt is from when on the server has no requests that were not let through here, as far
	// as the first end of one tells; zero before that.
	knownAt time.Time
}

// Take lets a request through to a server that bears so many refusals in a second. If not now,
// it returns the time until another one may be.
func (g *Gate) Take(now time.Time, bears int) (wait time.Duration, ok bool) {
	g.expire(now)
	if wait := g.closedUntil.Sub(now); wait > 0 {
		return wait, false
	}
	if limit := g.currentLimit(now); limit > 0 && len(g.inFlight) >= limit {
		return settleTime, false
	}
	burst := max(1, int(burstShare*float64(bears)))
	if n := len(g.inFlight); n >= burst {
		if wait := g.inFlight[n-burst].Add(settleTime).Sub(now); wait > 0 {
			return wait, false
		}
	}
	g.inFlight = append(g.inFlight, now)
	return 0, true
}

// Full reports whether the limit is reached, so that the next request may be let through when
// one ends.
func (g *Gate) Full(now time.Time) bool {
	limit := g.currentLimit(now)
	return limit > 0 && len(g.inFlight) >= limit && !now.Before(g.closedUntil)
}

// Release records the end of a request that was let through.
func (g *Gate) Release(now time.Time) {
	if g.knownAt.IsZero() && len(g.inFlight) > 0 {
		// What the server had before has been started by now, and takes no longer.
		g.knownAt = now.Add(now.Sub(g.inFlight[0]))
	}
	g.remove()
}

func (g *Gate) remove() {
	if len(g.inFlight) > 0 {
		g.inFlight = g.inFlight[1:]
	}
}

// Refuse records that the server refused a request that was let through, for want of room.
// While the server may have requests that were not let through here, that shows no limit.
func (g *Gate) Refuse(now time.Time, bears int) {
	pause := time.Duration(pauseRefusals / float64(max(bears, 1)) * float64(time.Second))
	if !g.knownAt.IsZero() && now.After(g.knownAt) {
		if bears > 1 && now.Sub(g.limitedAt) > calmTime {
			pause = settleTime
		}
		g.limit, g.limitedAt = max(1, int(decrease*float64(len(g.inFlight)))), now
	}
	g.remove()
	if until := now.Add(min(pause, maxPause)); until.After(g.closedUntil) {
		g.closedUntil = until
	}
}

// Idle reports whether nothing is in flight and no refusal of late matters.
func (g *Gate) Idle(now time.Time) bool {
	g.expire(now)
	return len(g.inFlight) == 0 && now.Sub(g.limitedAt) > holdTTL && now.After(g.closedUntil)
}

// currentLimit returns the most requests in flight now, zero for any number.
func (g *Gate) currentLimit(now time.Time) int {
	if g.limit == 0 {
		return 0
	}
	return g.limit + int(now.Sub(g.limitedAt)/growInterval)
}

func (g *Gate) expire(now time.Time) {
	for len(g.inFlight) > 0 && now.Sub(g.inFlight[0]) > holdTTL {
		g.inFlight = g.inFlight[1:]
	}
}
