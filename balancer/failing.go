package balancer

import (
	"math"
	"time"

	"primrosehook/decayer"
)

const (
	// outcomeHalfLife is the half-life of the outcomes of requests at a server. A server that gets no
	// requests any more counts as failing for two half-lives: some seconds, for which such servers
	// fail.
	outcomeHalfLife = 2 * time.Second
	// minFailing is how many requests of late a server must have failed, of all instances together,
	// to count as failing. It gets requests again below endFailing, or below endShare of the most.
	minFailing, endFailing, endShare = 3.0, 1.0, 0.25
	// maxFailingAnswered is the largest share of requests that a failing server answers.
	maxFailingAnswered = 0.1
	// maxWitnesses is how many instances must see a server fail, two in a fleet of up to four: the
	// failures of one instance may be those of its links.
	maxWitnesses = 3
	// minReported is the least count of failures that an instance reports, witnessCount the one
	// from which it counts as a witness.
	minReported, witnessCount = 0.1, 0.3
	// suspicionTime is how long a server must have failed some requests at least before it counts as
	// failing. With many instances it is suspicionPerInstance times their number: two reports of each,
	// which tell of its answers.
	suspicionTime        = 500 * time.Millisecond
	suspicionPerInstance = 8 * time.Millisecond
	// failingTTL is for how long an instance believes that servers fail.
	failingTTL = 3 * time.Second
	// outcomeScale is the scale of Outcomes.
	outcomeScale = 100.0
)

// Outcomes is what became of requests at a server: decaying sums with half-life outcomeHalfLife,
// which can be added up over instances. It is encoded as an array of its fields.
type Outcomes struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by reflection
	// Answered and Failed are in hundredths of a request. A refusal counts as an answer. Witnesses
	// is the number of instances that saw the server fail, and not answer.
	Answered, Failed, Witnesses int
}

// Add returns the sum of o and p.
func (o Outcomes) Add(p Outcomes) Outcomes {
	return Outcomes{Answered: o.Answered + p.Answered, Failed: o.Failed + p.Failed, Witnesses: o.Witnesses + p.Witnesses}
}

// Sub returns o without p.
func (o Outcomes) Sub(p Outcomes) Outcomes {
	return Outcomes{Answered: o.Answered - p.Answered, Failed: o.Failed - p.Failed, Witnesses: o.Witnesses - p.Witnesses}
}

// failing reports whether a server fails all its requests by the outcomes of a number of instances.
func (o Outcomes) failing(instances int) bool {
	witnesses := min(maxWitnesses, max((instances+1)/2, 2), instances)
	return float64(o.Failed) >= minFailing*outcomeScale && o.Witnesses >= witnesses && !o.answers()
}

// answers reports whether a server answers more than a few of its requests.
func (o Outcomes) answers() bool {
	return float64(o.Answered) > maxFailingAnswered*float64(o.Answered+o.Failed)
}

// suspicion is what a FailureTracker keeps of a server that fails requests.
type suspicion struct {
	since time.Time
	// most is the most failures so far, in the scale of Outcomes.
	most    int
	failing bool
}

// FailureTracker decides which servers fail all their requests, by the outcomes of all instances. The
// zero value knows of none. It is not safe for concurrent use.
type FailureTracker struct {
	suspicions map[string]suspicion
	// began is when it got the first outcomes.
	began time.Time
}

// Known reports whether outcomes have come for long enough to tell which servers fail.
func (t *FailureTracker) Known(now time.Time, instances int) bool {
	return !t.began.IsZero() && now.Sub(t.began) >= 2*suspicionOf(instances)
}

func suspicionOf(instances int) time.Duration {
	return max(suspicionTime, time.Duration(instances)*suspicionPerInstance)
}

// Update applies the present sums of the outcomes of a number of instances, by server ID. It returns
// the servers that fail some requests, and whether they fail all: instances report what these answer,
// so that they count as failing only once such reports would have come.
func (t *FailureTracker) Update(now time.Time, total map[string]Outcomes, instances int) map[string]bool {
	if t.began.IsZero() {
		t.began = now
	}
	next := map[string]suspicion{}
	for id, o := range total {
		if float64(o.Failed) < endFailing*outcomeScale {
			continue
		}
		s, ok := t.suspicions[id]
		if !ok {
			s.since = now
		}
		s.most = max(s.most, o.Failed)
		if s.failing {
			s.failing = float64(o.Failed) >= endShare*float64(s.most) && !o.answers()
		} else {
			s.failing = now.Sub(s.since) >= suspicionOf(instances) && o.failing(instances)
		}
		if !s.failing {
			s.most = 0
		}
		next[id] = s
	}
	t.suspicions = next
	if len(next) == 0 {
		return nil
	}
	failing := make(map[string]bool, len(next))
	for id, s := range next {
		failing[id] = s.failing
	}
	return failing
}

// outcomes counts what became of this instance's requests at a server.
type outcomes struct {
	answered, failed decayer.Counter
	// suspected is set if the server fails some requests by the outcomes of all instances as of
	// failingAt, failing if it fails all of them.
	suspected, failing bool
	failingAt          time.Time
}

// record counts a request.
func (o *outcomes) record(now time.Time, failed bool) {
	if failed {
		o.failed.Add(now, outcomeHalfLife, 1)
	} else {
		o.answered.Add(now, outcomeHalfLife, 1)
	}
}

// own returns this instance's outcomes.
func (o *outcomes) own(now time.Time) Outcomes {
	answered, failed := o.answered.Value(now, outcomeHalfLife), o.failed.Value(now, outcomeHalfLife)
	sum := Outcomes{Answered: int(math.Round(outcomeScale * answered)), Failed: int(math.Round(outcomeScale * failed))}
	if failed >= witnessCount && answered < witnessCount {
		sum.Witnesses = 1
	}
	return sum
}

// fails reports whether the server fails all its requests as far as is known. What it answers to
// this instance takes precedence.
func (o *outcomes) fails(now time.Time) bool {
	return o.failing && now.Sub(o.failingAt) < failingTTL && o.answered.Value(now, outcomeHalfLife) < witnessCount
}

// RecordOutcome records that a server has answered a request, or failed it.
func (c *Core) RecordOutcome(now time.Time, id string, answered bool) {
	if s, ok := c.servers[id]; ok {
		s.outcomes.record(now, !answered)
	}
}

// OwnOutcomes returns this instance's outcomes by the ID of servers that failed requests of late,
// here or at others.
func (c *Core) OwnOutcomes(now time.Time) map[string]Outcomes {
	var m map[string]Outcomes
	for id, s := range c.servers {
		o := s.outcomes.own(now)
		if float64(o.Failed) < minReported*outcomeScale && (!s.outcomes.suspected || o.Answered == 0) {
			continue
		}
		if m == nil {
			m = map[string]Outcomes{}
		}
		m[id] = o
	}
	return m
}

// UpdateFailing replaces the servers that fail some requests by the outcomes of all instances, and
// whether they fail all. If those that fail all are more than half of the service, the cause is
// probably not theirs, and none counts as failing.
func (c *Core) UpdateFailing(now time.Time, failing map[string]bool) {
	count := 0
	for id := range c.servers {
		if failing[id] {
			count++
		}
	}
	for id, s := range c.servers {
		_, s.outcomes.suspected = failing[id]
		s.outcomes.failing, s.outcomes.failingAt = failing[id] && 2*count <= len(c.servers), now
	}
}

// RecordOutcome records that the server has answered the request, if only with a refusal, or has failed
// it. What says nothing of the server, such as a client that left, is not recorded.
func (a *Assignment) RecordOutcome(answered bool) {
	f := a.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if c, ok := a.core(); ok && !a.firstEventSeen {
		c.RecordOutcome(f.clock.Now(), a.ID, answered)
	}
}

// OwnOutcomes returns this instance's outcomes of requests by the ID of servers that failed requests
// of late.
func (f *Fleet) OwnOutcomes() map[string]Outcomes {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	var all map[string]Outcomes
	for _, c := range f.cores {
		for id, o := range c.OwnOutcomes(now) {
			if all == nil {
				all = map[string]Outcomes{}
			}
			all[id] = o
		}
	}
	return all
}

// UpdateFailing replaces the servers that fail by the outcomes of all instances. Those of earlier
// starts of a server are passed over.
func (f *Fleet) UpdateFailing(failing map[string]bool, starts Starts) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	for _, c := range f.cores {
		c.UpdateFailing(now, filterStarts(c, now, failing, starts))
	}
}

// FailingServers returns how many servers count as failing.
func (f *Fleet) FailingServers() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	n := 0
	for _, c := range f.cores {
		for _, s := range c.sorted {
			if s.outcomes.fails(now) {
				n++
			}
		}
	}
	return n
}
