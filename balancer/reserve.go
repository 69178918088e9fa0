package balancer

import (
	"math"
	"time"
)

const (
	// patientTime is how far off the target time of a request is at least that yields to urgent
	// ones: three times the objective of interactive work, which is about a second.
	patientTime = 3 * time.Second
	// yieldTime is how long before patientTime the slots that are kept free for urgent requests
	// begin to be given to a patient one. It then has the time of several services to start.
	yieldTime = 3 * time.Second
	// reserveTime bounds the time for whose urgent arrivals slots are kept free. In that time
	// slots become free, and the peers' counts are updated.
	reserveTime = 500 * time.Millisecond
	// maxReservedShare is the largest share of a server's slots that is kept free.
	maxReservedShare = 0.5
)

// isPatient reports whether a request has a target time far enough off to yield to urgent ones.
func (q Request) isPatient(now time.Time) bool { return q.TargetTime.Sub(now) > patientTime }

// urgentRate returns the rate at which urgent requests got a server, at all instances. The peers'
// share of them is taken to be this instance's.
func (t *traffic) urgentRate(now time.Time) float64 {
	granted := t.granted.Value(now, trafficHalfLife)
	if granted <= 0 {
		return 0
	}
	share := t.urgent.Value(now, trafficHalfLife) / granted
	return share * (t.granted.Rate(now, trafficHalfLife) + t.peersRate(now))
}

// reservedSlots returns how many slots of each server a patient request must leave free for the
// urgent requests that are expected there, nil for an urgent request. f.mu must be held.
func (f *Fleet) reservedSlots(now time.Time, c *Core, service string, q Request) map[string]int {
	if !q.patient || !q.isPatient(now) {
		return nil
	}
	// Near its target time the request takes the slots that were kept free.
	share := min(float64(q.TargetTime.Sub(now)-patientTime)/float64(yieldTime), 1)
	replicas := map[string]int{}
	for _, s := range c.sorted {
		if !s.Draining {
			for key := range s.loaded {
				replicas[key]++
			}
		}
	}
	wq := f.queue(service)
	reserved := map[string]int{}
	for _, s := range c.sorted {
		if s.Slots <= 0 || !s.loaded[q.Key()] {
			continue
		}
		expected := 0.0
		for key := range s.loaded {
			t, ok := wq.keys[key]
			if !ok || replicas[key] == 0 {
				continue
			}
			period := reserveTime.Seconds()
			if t.holding > 0 {
				period = min(period, t.holding)
			}
			expected += t.urgentRate(now) / float64(replicas[key]) * period
		}
		if n := math.Min(math.Ceil(share*expected-minExpected), maxReservedShare*float64(s.Slots)); n >= 1 {
			reserved[s.ID] = int(n)
		}
	}
	return reserved
}

// minExpected is the number of expected urgent requests up to which no slot is kept free.
const minExpected = 0.1

// recordUrgent counts a request that got a server if it is urgent.
func (t *traffic) recordUrgent(now time.Time, q Request, count float64) {
	if !q.patient {
		t.urgent.Add(now, trafficHalfLife, max(count, -t.urgent.Value(now, trafficHalfLife)))
	}
}
