package balancer

import (
	"math"
	"time"

	"primrosehook/estimator"
)

const (
	// paceHalfLife is the half-life of the evidence of a server's speed: some tens of streams per
	// server, and short compared with the time for which servers slow down.
	paceHalfLife = 6 * time.Second
	// minPaceEvents is the least number of events of a stream whose pace counts.
	minPaceEvents = 6
	// sharedSpeedTTL is how long speeds by the evidence of all instances take precedence over this
	// instance's own: they change slowly, and one instance sees few streams of each server.
	sharedSpeedTTL = 10 * time.Second
	// residualScale is the scale of Pace.Residuals.
	residualScale = 1000.0
	// sampleScale is the scale of Pace.Samples.
	sampleScale = 100.0
)

// Pace is what complete streams tell of a server's speed, as package estimator has it: decaying sums
// with half-life paceHalfLife, which can be added up over instances. It is encoded as an array of its
// fields.
type Pace struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by reflection
	// Samples is in hundredths of a stream, Residuals in thousandths.
	Samples, Residuals int
}

// Add returns the sum of p and o.
func (p Pace) Add(o Pace) Pace {
	return Pace{Samples: p.Samples + o.Samples, Residuals: p.Residuals + o.Residuals}
}

// Sub returns p without o.
func (p Pace) Sub(o Pace) Pace {
	return Pace{Samples: p.Samples - o.Samples, Residuals: p.Residuals - o.Residuals}
}

// Speed returns the speed that the streams tell of, 1 for the usual one.
func (p Pace) Speed() float64 {
	return estimator.Speed(float64(p.Samples)/sampleScale, float64(p.Residuals)/residualScale)
}

// pace returns this instance's evidence of a server's speed.
func (s *server) pace(now time.Time) Pace {
	return Pace{
		Samples:   int(math.Round(sampleScale * s.paceSamples.Value(now, paceHalfLife))),
		Residuals: int(math.Round(residualScale * s.paceResiduals.Value(now, paceHalfLife))),
	}
}

// speed returns how fast a server is compared with the usual one.
func (c *Core) speed(now time.Time, s *server) float64 {
	if !s.sharedAt.IsZero() && now.Sub(s.sharedAt) < sharedSpeedTTL {
		return s.sharedSpeed
	}
	return s.pace(now).Speed()
}

// RecordPace records a complete stream of a number of events, the last of which came a time after
// the first.
func (c *Core) RecordPace(now time.Time, id string, q Request, events int, took time.Duration) {
	s, ok := c.servers[id]
	if !ok || q.Model == "" || events < minPaceEvents {
		return
	}
	residual, ok := c.paces.Residual(q.Model, took/time.Duration(events-1), c.speed(now, s))
	if !ok {
		return
	}
	s.paceSamples.Add(now, paceHalfLife, 1)
	s.paceResiduals.Add(now, paceHalfLife, residual)
}

// OwnPaces returns this instance's evidence by server ID.
func (c *Core) OwnPaces(now time.Time) map[string]Pace {
	m := map[string]Pace{}
	for id, s := range c.servers {
		if p := s.pace(now); p.Samples > 0 {
			m[id] = p
		}
	}
	return m
}

// UpdateSpeeds replaces the speeds by the evidence of all instances, in per cent by server ID.
// Servers that are not listed are as fast as usual.
func (c *Core) UpdateSpeeds(now time.Time, percent map[string]int) {
	for id, s := range c.servers {
		s.sharedSpeed, s.sharedAt = 1, now
		if p := percent[id]; p > 0 {
			s.sharedSpeed = float64(p) / 100
		}
	}
}

// slowSpeed is the speed below which a server counts as slow for operators.
const slowSpeed = 0.8

// SlowServers returns how many servers are slower than the usual one of their service.
func (f *Fleet) SlowServers() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	n := 0
	for _, c := range f.cores {
		for _, s := range c.sorted {
			if c.speed(now, s) < slowSpeed {
				n++
			}
		}
	}
	return n
}

// RecordPace records that the server sent all of a stream of a number of events, the last of which
// has just come.
func (a *Assignment) RecordPace(events int) {
	f := a.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if c, ok := a.core(); ok && a.firstEventSeen {
		now := f.clock.Now()
		c.RecordPace(now, a.ID, a.request, events, now.Sub(a.firstEventAt))
	}
}

// OwnPaces returns this instance's evidence of the speed of servers, by server ID.
func (f *Fleet) OwnPaces() map[string]Pace {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	all := map[string]Pace{}
	for _, c := range f.cores {
		for id, p := range c.OwnPaces(now) {
			all[id] = p
		}
	}
	return all
}

// UpdateSpeeds replaces the speeds by the evidence of all instances, in per cent by server ID. Those
// of earlier starts of a server are passed over.
func (f *Fleet) UpdateSpeeds(percent map[string]int, starts Starts) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	for _, c := range f.cores {
		c.UpdateSpeeds(now, filterStarts(c, now, percent, starts))
	}
}
