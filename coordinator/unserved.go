package coordinator

import (
	"time"

	"go.uber.org/zap"

	"primrosehook/balancer"
	"primrosehook/tallier"
)

// unservedInterval is the pause between checks for models and adapters that are not served.
const unservedInterval = 500 * time.Millisecond

// unserved records which models and adapters are requested and not served, by the reports that this
// instance has received.
type unserved struct {
	tallies map[string]*tallier.Tally
	// first are the models and adapters that were served for the first time since the last check.
	first     []modelKey
	checkedAt time.Time
}

// addServed adds what became of the requests of a report. c.mu must be held.
func (c *clusterState) addServed(now time.Time, d balancer.Demand) {
	t, ok := c.unserved.tallies[d.Service]
	if !ok {
		t = tallier.New()
		c.unserved.tallies[d.Service] = t
	}
	if t.Add(now, d.Key, tallier.Counts{Asked: d.Arrived, Served: d.Served, Absent: d.Absent, Full: d.Full}) {
		c.unserved.first = append(c.unserved.first, modelKey{d.Service, d.Key})
	}
}

// setAbsent records what of a service is in demand and not loaded, and why.
func (c *clusterState) setAbsent(service string, reasons map[string]string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t, ok := c.unserved.tallies[service]; ok {
		t.SetAbsent(c.clock.Now(), reasons)
	}
}

// clearAbsent discards what was planned in an earlier term. c.mu must be held.
func (c *clusterState) clearAbsent() {
	for _, t := range c.unserved.tallies {
		t.SetAbsent(c.clock.Now(), nil)
	}
}

// takeUnserved returns what was served for the first time, and what is not served, by service, since
// the last check. Both are empty if that was a short time ago.
func (c *clusterState) takeUnserved() (first []modelKey, due map[string][]tallier.Unserved) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if now.Sub(c.unserved.checkedAt) < unservedInterval {
		return nil, nil
	}
	due = map[string][]tallier.Unserved{}
	for service, t := range c.unserved.tallies {
		due[service] = t.Due(now)
	}
	first, c.unserved.first, c.unserved.checkedAt = c.unserved.first, nil, now
	return first, due
}

// Unserved returns how many models and adapters are requested and not served, by the reports that
// this instance has received.
func (c *Coordinator) Unserved() int64 {
	c.cluster.mu.Lock()
	defer c.cluster.mu.Unlock()
	n := 0
	for _, t := range c.cluster.unserved.tallies {
		n += t.Count(c.Clock.Now())
	}
	return int64(n)
}

// logUnserved logs which models and adapters are not served. Each report reaches one instance only, so
// the lines of all instances together name each of them.
func (c *Coordinator) logUnserved() {
	first, due := c.cluster.takeUnserved()
	now, holds := c.Clock.Now(), c.lease.Valid()
	for _, k := range first {
		c.Log.Info("demand: first served", zap.String("service", k.service), zap.String("key", k.model))
	}
	for service, list := range due {
		for _, u := range list {
			fields := []zap.Field{
				zap.String("service", service), zap.String("key", u.Key), zap.Int("asked", u.Asked), zap.Int("absent", u.Absent), zap.Int("full", u.Full),
				zap.Duration("for", now.Sub(u.Since)), zap.Bool("served_before", u.Ever), zap.Bool("holder", holds),
			}
			// An instance that plans no more does not know what is loaded.
			if holds && !u.AbsentSince.IsZero() {
				fields = append(fields, zap.Duration("no_replica_for", now.Sub(u.AbsentSince)), zap.String("why", u.Reason))
			}
			c.Log.Info("demand: not served", fields...)
		}
	}
}
