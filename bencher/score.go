package bencher

import (
	"math"
	"time"

	hdrhistogram "github.com/HdrHistogram/hdrhistogram-go"

	"primrosehook/driver"
	"primrosehook/poolplanner"
)

// ClassResult is what became of one class.
type ClassResult struct {
	Class    string `json:"class"`
	Offered  int    `json:"offered"`
	Attained int    `json:"attained"`
	Late     int    `json:"late"`
	// Never is how many got no first token at all.
	Never    int  `json:"never"`
	Rejected int  `json:"rejected"`
	Deferred bool `json:"deferred"`
}

// Quantiles are in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Result is what one run measured.
type Result struct {
	Deployment string        `json:"deployment"`
	Shape      string        `json:"shape"`
	Policy     string        `json:"policy"`
	Seed       uint64        `json:"seed"`
	Classes    []ClassResult `json:"classes"`
	// Urgent is the share of the urgent requests to models whose first token
	// came within the deadline; Service is the same for plain services.
	Urgent  float64 `json:"urgent"`
	Service float64 `json:"service"`
	// Bound is the offline bound of Urgent.
	Bound float64 `json:"bound"`
	// PerEngine is attained urgent requests to models, for each engine and
	// minute of arrivals.
	PerEngine float64 `json:"perengine"`
	// Deferred is the share of due deferred work that was done in time.
	Deferred float64 `json:"deferred"`
	// Expired is how many urgent requests were refused only after they had
	// waited in vain, rather than at once.
	Expired int `json:"expired"`
	// Moves counts the orders for models, Adapters those for adapters.
	Moves    int       `json:"moves"`
	Adapters int       `json:"adapters"`
	First    Quantiles `json:"first"`
	Between  Quantiles `json:"between"`
	// Fairness is Jain's index of the callers' attainment, from 0 to 1.
	Fairness float64 `json:"fairness"`
	// Recovery is how many seconds after the fault attainment was back.
	Recovery float64 `json:"recovery"`
	// Unreachable is how many model-seconds had no ready copy.
	Unreachable float64 `json:"unreachable"`
	// Overcommitted counts the times engine memory was overcommitted.
	Overcommitted int `json:"overcommitted"`
	// Course is the attainment in each interval of courseStep.
	Course []float64 `json:"course"`
}

// courseStep is the grain of a Course.
const courseStep = 5 * time.Second

type outcome struct {
	attained bool
	came     bool
	rejected int
	finished time.Duration
}

// score gathers what happens in a run.
type score struct {
	world       *world
	outcomes    []outcome
	firsts      *hdrhistogram.Histogram
	gaps        *hdrhistogram.Histogram
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
		gaps:     hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
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

// first counts the first token that a caller gets.
func (s *score) first(a *arrival, took time.Duration) {
	o := &s.outcomes[a.id]
	if o.came {
		return
	}
	o.came = true
	o.attained = took <= a.class.Deadline && !a.class.Deferred
	if !a.class.Deferred && a.class.Service == "" {
		_ = s.firsts.RecordValue(took.Microseconds())
	}
}

func (s *score) between(gap time.Duration) { _ = s.gaps.RecordValue(gap.Microseconds()) }

func (s *score) done(a *arrival, at time.Duration) {
	o := &s.outcomes[a.id]
	o.finished = at
	if a.class.Deferred {
		o.attained = at-a.at <= a.class.Deadline
	}
}

// watch counts the models that no engine has ready.
func (s *score) watch() {
	for _, m := range s.world.catalogue.models {
		if !s.isReady(m) {
			s.unreachable += reportEvery / 2
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
		Expired: s.expired, Moves: s.moves, Adapters: s.adapters, First: quantiles(s.firsts), Between: quantiles(s.gaps),
		Unreachable: s.unreachable.Seconds(), Bound: bound(w),
	}
	for _, e := range w.engines {
		r.Overcommitted += e.over
	}
	for i := range w.Deployment.Classes {
		r.Classes = append(r.Classes, s.class(&w.Deployment.Classes[i]))
	}
	urgent := s.share(func(a *arrival) bool { return isUrgent(a) && !a.flood })
	r.Urgent = urgent.share()
	r.Service = s.share(func(a *arrival) bool { return a.class.Service != "" }).share()
	r.PerEngine = float64(urgent.attained) / float64(w.Deployment.Engines) / w.Length.Minutes()
	r.Deferred = s.share(s.isDue).share()
	r.Fairness = s.fairness()
	r.Course = s.course()
	r.Recovery = recovery(r.Course, w.Shape.Fault)
	return r
}

// isUrgent reports whether a caller waits for a model's answer.
func isUrgent(a *arrival) bool { return !a.class.Deferred && a.class.Service == "" }

// isDue reports whether deferred work was due before the run ended.
func (s *score) isDue(a *arrival) bool {
	return a.class.Deferred && a.at+a.class.Deadline <= s.world.Length+settleTime
}

type tally struct{ offered, attained int }

func (t tally) share() float64 {
	if t.offered == 0 {
		return 1
	}
	return float64(t.attained) / float64(t.offered)
}

func (s *score) share(counts func(a *arrival) bool) tally {
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
		case o.came:
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
		// Sums of shares in whole thousandths do not depend on map order.
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

// recovery returns the seconds from a fault's end until attainment stays above
// 95% of what it was before the fault.
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

// recoveryWindow is how long after a fault its traces are looked for.
const recoveryWindow = 2 * time.Minute

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: ms(50), P95: ms(95), P99: ms(99)}
}
