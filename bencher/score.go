package bencher

import (
	"math"
	"time"

	hdrhistogram "github.com/HdrHistogram/hdrhistogram-go"

	"primrosehook/driver"
	"primrosehook/poolplanner"
)

// ClassResult counts the outcomes of the requests of one class.
type ClassResult struct {
	Class    string `json:"class"`
	Offered  int    `json:"offered"`
	Attained int    `json:"attained"`
	Late     int    `json:"late"`
	// Never is the number of requests that received no token.
	Never    int  `json:"never"`
	Rejected int  `json:"rejected"`
	Deferred bool `json:"deferred"`
}

// Quantiles are quantiles of a latency in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Result holds the measurements of one run.
type Result struct {
	Deployment string        `json:"deployment"`
	Shape      string        `json:"shape"`
	Policy     string        `json:"policy"`
	Seed       uint64        `json:"seed"`
	Classes    []ClassResult `json:"classes"`
	// Urgent is the share of urgent requests to models whose first token arrived
	// within the deadline; Service is the same for plain services.
	Urgent  float64 `json:"urgent"`
	Service float64 `json:"service"`
	// Bound is the offline upper bound of Urgent.
	Bound float64 `json:"bound"`
	// PerEngine is the number of attained urgent requests to models per engine and
	// minute of arrivals.
	PerEngine float64 `json:"perengine"`
	// Deferred is the share of deferred work with a deadline before the run's end
	// that was done in time.
	Deferred float64 `json:"deferred"`
	// Expired is the number of refusals of non-deferred requests that expired in
	// the queue instead of being refused on arrival.
	Expired int `json:"expired"`
	// Moves is the number of orders for models, Adapters that for adapters. First
	// is the time to the first token, InterToken the time between tokens.
	Moves      int       `json:"moves"`
	Adapters   int       `json:"adapters"`
	First      Quantiles `json:"first"`
	InterToken Quantiles `json:"between"`
	// Fairness is Jain's fairness index of the callers' attainment, from 0 to 1.
	Fairness float64 `json:"fairness"`
	// Recovery is the time in seconds from the end of the fault until attainment
	// has recovered.
	Recovery float64 `json:"recovery"`
	// Unreachable is the time without a ready replica, summed over the models, in
	// seconds.
	Unreachable float64 `json:"unreachable"`
	// Overcommitted is the number of times that engine memory was overcommitted.
	Overcommitted int `json:"overcommitted"`
	// Timeline is the attainment of urgent requests in each interval of courseStep,
	// by arrival.
	Timeline []float64 `json:"course"`
}

// courseStep is the length of the intervals of a Timeline.
const courseStep = 5 * time.Second

// outcome is the result of one arrival; responded is set once its first token has
// reached the caller.
type outcome struct {
	attained  bool
	responded bool
	rejected  int
	finished  time.Duration
}

// score collects the measurements of a run.
type score struct {
	world       *world
	outcomes    []outcome
	firsts      *hdrhistogram.Histogram
	betweens    *hdrhistogram.Histogram
	moves       int
	adapters    int
	expired     int
	unreachable time.Duration
}

func newScore(w *world) *score {
	return &score{
		world:    w,
		outcomes: make([]outcome, len(w.arrivals)),
		firsts:   hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3),
		betweens: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
	}
}

func (s *score) move(m poolplanner.Move) {
	if m.Adapter == "" {
		s.moves++
		return
	}
	s.adapters++
}

func (s *score) rejected(a *arrival) { s.outcomes[a.id].rejected++ }

// first records the time to the first token of a request; only the first call for
// an arrival counts.
func (s *score) first(a *arrival, took time.Duration) {
	o := &s.outcomes[a.id]
	if o.responded {
		return
	}
	o.responded = true
	o.attained = took <= a.class.Deadline && !a.class.Deferred
	if !a.class.Deferred && a.class.Service == "" {
		_ = s.firsts.RecordValue(took.Microseconds())
	}
}

func (s *score) between(gap time.Duration) { _ = s.betweens.RecordValue(gap.Microseconds()) }

func (s *score) done(a *arrival, at time.Duration) {
	o := &s.outcomes[a.id]
	o.finished = at
	if a.class.Deferred {
		o.attained = at-a.at <= a.class.Deadline
	}
}

// countUnreachable adds the interval between two snapshots to unreachable for each
// model that is ready on no engine.
func (s *score) countUnreachable() {
	for _, m := range s.world.catalogue.models {
		if !s.isReady(m) {
			s.unreachable += reportInterval / 2
		}
	}
}

func (s *score) isReady(m driver.Weights) bool {
	for _, e := range s.world.pool() {
		if e.up && e.has(m) {
			return true
		}
	}
	return false
}

func (s *score) result() Result {
	w := s.world
	r := Result{
		Deployment: w.Deployment.Name, Shape: w.Shape.Name, Policy: w.Policy.Name, Seed: w.Seed,
		Expired: s.expired, Moves: s.moves, Adapters: s.adapters, First: quantiles(s.firsts), InterToken: quantiles(s.betweens),
		Unreachable: s.unreachable.Seconds(), Bound: bound(w),
	}
	for _, e := range w.engines {
		r.Overcommitted += e.overcommits
	}
	for i := range w.Deployment.Classes {
		r.Classes = append(r.Classes, s.class(&w.Deployment.Classes[i]))
	}
	urgent := s.attained(func(a *arrival) bool { return isUrgent(a) && !a.flood })
	r.Urgent = urgent.share()
	r.Service = s.attained(func(a *arrival) bool { return a.class.Service != "" }).share()
	r.PerEngine = float64(urgent.attained) / float64(w.Deployment.Engines) / w.Length.Minutes()
	r.Deferred = s.attained(s.isDue).share()
	r.Fairness = s.fairness()
	r.Timeline = s.course()
	r.Recovery = recovery(r.Timeline, w.Shape.Fault)
	return r
}

// isUrgent reports whether a request goes to a model and is not deferred.
func isUrgent(a *arrival) bool { return !a.class.Deferred && a.class.Service == "" }

// isDue reports whether a request is deferred work with a deadline before the run's
// end.
func (s *score) isDue(a *arrival) bool {
	return a.class.Deferred && a.at+a.class.Deadline <= s.world.Length+drainTime
}

type tally struct{ offered, attained int }

func (t tally) share() float64 {
	if t.offered == 0 {
		return 1
	}
	return float64(t.attained) / float64(t.offered)
}

// attained counts the arrivals that a predicate selects, and the attained ones
// among them.
func (s *score) attained(counts func(a *arrival) bool) tally {
	var t tally
	for i := range s.world.arrivals {
		if !counts(&s.world.arrivals[i]) {
			continue
		}
		t.offered++
		if s.outcomes[i].attained {
			t.attained++
		}
	}
	return t
}

func (s *score) class(class *Class) ClassResult {
	r := ClassResult{Class: class.Name, Deferred: class.Deferred}
	for i := range s.world.arrivals {
		if s.world.arrivals[i].class != class {
			continue
		}
		o := s.outcomes[i]
		r.Offered++
		r.Rejected += o.rejected
		switch {
		case o.attained:
			r.Attained++
		case o.responded:
			r.Late++
		default:
			r.Never++
		}
	}
	return r
}

func (s *score) fairness() float64 {
	callers := map[string]*tally{}
	for i := range s.world.arrivals {
		a := &s.world.arrivals[i]
		if !isUrgent(a) || a.flood {
			continue
		}
		t, ok := callers[a.caller]
		if !ok {
			t = &tally{}
			callers[a.caller] = t
		}
		t.offered++
		if s.outcomes[i].attained {
			t.attained++
		}
	}
	sum, squares := 0.0, 0.0
	for _, t := range callers {
		// Shares are rounded to whole thousandths because sums of integers do not
		// depend on map iteration order.
		share := math.Round(t.share() * 1000)
		sum += share
		squares += share * share
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (float64(len(callers)) * squares)
}

func (s *score) course() []float64 {
	bins := make([]tally, int(s.world.Length/courseStep)+1)
	for i := range s.world.arrivals {
		a := &s.world.arrivals[i]
		if !isUrgent(a) || a.flood {
			continue
		}
		b := &bins[int(a.at/courseStep)]
		b.offered++
		if s.outcomes[i].attained {
			b.attained++
		}
	}
	shares := make([]float64, len(bins))
	for i, b := range bins {
		shares[i] = b.share()
	}
	return shares
}

// recovery returns the time in seconds from a fault's end until attainment stays at
// or above 95% of its mean before the fault, within recoveryWindow.
func recovery(course []float64, f Fault) float64 {
	if f.From == 0 || f.Until == 0 {
		return 0
	}
	from, until := int(f.From/courseStep), int(f.Until/courseStep)
	if until >= len(course) {
		return 0
	}
	before := 0.0
	for _, share := range course[from/2 : from] {
		before += share / float64(from-from/2)
	}
	last := until
	for i := until; i < min(len(course), until+int(recoveryWindow/courseStep)); i++ {
		if course[i] < 0.95*before {
			last = i + 1
		}
	}
	return (time.Duration(last-until) * courseStep).Seconds()
}

// recoveryWindow is how long after a fault low attainment counts towards recovery.
const recoveryWindow = 2 * time.Minute

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: ms(50), P95: ms(95), P99: ms(99)}
}
