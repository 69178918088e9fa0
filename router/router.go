// Package router chooses the engine for a request among those that hold its
// weights. It does no I/O, reads no clock and is not safe for concurrent use.
//
// What it knows of an engine is old: a report lags, and other entry instances
// send work that it does not see. It therefore keeps the last report with the
// time it was made, adds what it has sent itself since, and compares only a
// few engines drawn at random, so that instances that share a stale report do
// not all pick the same engine.
package router

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"primrosehook/driver"
	"primrosehook/lister"
)

// Request is what the router needs to know of a request.
type Request struct {
	driver.Weights
	// Prefixes are the hashes of the prompt's prefixes, the shortest first.
	Prefixes []uint64
	// Prompt is the prompt's length in bytes.
	Prompt int
	// Priority is higher for what goes first.
	Priority int
	// Session is the same for requests that belong together.
	Session uint64
	// Deferred work takes only places that urgent work leaves free.
	Deferred bool
	// Exclude names engines that must not be chosen.
	Exclude []string
	// Losses is how many engines were lost while they ran the request. From
	// the first on it is suspected of crashing them.
	Losses int
}

// Engine is what is known of one engine.
type Engine struct {
	lister.Instance
	Report driver.Report
	// At is when the report was made, on this instance's clock.
	At time.Time
}

// Candidate is one engine that was weighed.
type Candidate struct {
	Engine string
	// Score is the estimated time to the first token plus costs, in seconds.
	Score float64
	Why   string
}

// Status says whether a choice found an engine.
type Status int

// The statuses of a choice.
const (
	// Found means that Engine is set.
	Found Status = iota
	// Full means that engines hold the weights but none has room.
	Full
	// Loading means that no engine holds the weights yet, but one loads them.
	Loading
	// Absent means that no engine holds or loads the weights.
	Absent
)

// Choice is the outcome of Choose.
type Choice struct {
	Status Status
	Engine lister.Instance
	// First is the estimated time to the first token.
	First time.Duration
	Why   []Candidate
}

// The reasons that a Candidate may give.
const (
	whyChosen   = "chosen"
	whyLater    = "a later first token"
	whyLeaving  = "leaving"
	whyExcluded = "excluded"
	whyEjected  = "ejected after failures"
	whyProbing  = "on probation with a request in flight"
	whyFull     = "no free place"
	whyLimited  = "at its concurrency limit"
)

type options struct {
	seed     uint64
	zone     string
	choices  int
	remote   time.Duration
	slack    float64
	filling  float64
	perByte  time.Duration
	service  time.Duration
	eject    time.Duration
	failures int
	limit    func() Limit
	score    func(Signals) float64
}

// Limit bounds the requests that this instance has in flight on one engine.
type Limit interface {
	// Allow reports whether one more may be sent.
	Allow(flight int) bool
	// Observe takes the time to the first token of a request that ended.
	Observe(now time.Time, first time.Duration, flight int)
}

// Option changes a Router.
type Option func(*options)

// WithSeed seeds the draws.
func WithSeed(seed uint64) Option { return func(o *options) { o.seed = seed } }

// WithZone names the zone of this instance.
func WithZone(zone string) Option { return func(o *options) { o.zone = zone } }

// WithChoices sets how many engines are compared; zero compares all.
func WithChoices(count int) Option { return func(o *options) { o.choices = count } }

// WithRemote sets the cost of an engine in another zone.
func WithRemote(cost time.Duration) Option { return func(o *options) { o.remote = cost } }

// WithSlack sets how much urgent work may wait inside an engine, as a share of
// its batch. Engines honour priorities, so a short queue there costs urgent
// work little and saves a round trip whenever a place becomes free.
func WithSlack(share float64) Option { return func(o *options) { o.slack = share } }

// WithFilling sets the share of a batch up to which deferred work is sent.
func WithFilling(share float64) Option { return func(o *options) { o.filling = share } }

// WithService sets the first guess of how long a request holds a place.
func WithService(d time.Duration) Option { return func(o *options) { o.service = d } }

// WithPrefill sets the first guess of the prefill time for a byte of prompt.
func WithPrefill(perByte time.Duration) Option { return func(o *options) { o.perByte = perByte } }

// WithEjection sets the first time for which a failing engine is left out. It
// doubles with every further ejection.
func WithEjection(d time.Duration) Option { return func(o *options) { o.eject = d } }

// WithLimit adds a concurrency limit for each engine.
func WithLimit(limit func() Limit) Option { return func(o *options) { o.limit = limit } }

// WithScore replaces how engines are compared; the lowest score wins.
func WithScore(score func(Signals) float64) Option { return func(o *options) { o.score = score } }

// Signals is what a score is made from.
type Signals struct {
	Engine  string
	Session uint64
	// Reported is the load in the last report, Flight this instance's own
	// requests and Load the estimate made from both.
	Reported int
	Flight   int
	Load     int
	Batch    int
	// Hit is the share of the prompt that is believed to be cached.
	Hit float64
	// Remote is set if the engine is in another zone.
	Remote bool
	// First is the estimated time to the first token.
	First time.Duration
	// Draw is uniform in [0,1) and new for each candidate.
	Draw float64
}

// Router chooses engines.
type Router struct {
	options
	random  *rand.Rand
	engines map[string]*engine
	ready   map[driver.Weights][]*engine
	loading map[driver.Weights]int
	// services holds the mean time that a request holds a place.
	services map[string]time.Duration
	scratch  []*engine
	// isCrowded is set while others send nearly all the work.
	isCrowded bool
}

// New returns a router that knows no engines yet.
func New(opts ...Option) *Router {
	o := options{
		choices:  3,
		remote:   2 * time.Millisecond,
		slack:    0.5,
		filling:  0.25,
		perByte:  10 * time.Microsecond,
		service:  2 * time.Second,
		eject:    2 * time.Second,
		failures: 3,
	}
	for _, option := range opts {
		option(&o)
	}
	return &Router{
		options:  o,
		random:   rand.New(rand.NewPCG(o.seed, 0x9e3779b97f4a7c15)),
		engines:  map[string]*engine{},
		ready:    map[driver.Weights][]*engine{},
		loading:  map[driver.Weights]int{},
		services: map[string]time.Duration{},
	}
}

// Update replaces the set of engines. Engines that stay keep their counts.
func (r *Router) Update(all []Engine) {
	known := make(map[string]*engine, len(all))
	for i := range all {
		e, ok := r.engines[all[i].Name]
		if !ok {
			e = r.newEngine()
		}
		e.update(all[i])
		known[all[i].Name] = e
	}
	r.engines = known
	r.index(all)
	r.isCrowded = r.score == nil && r.crowded()
}

// crowded reports whether others send nearly all the work that the engines
// have. An instance's own counts then say almost nothing between two reports,
// and all instances that compare engines by the same report pick the same ones.
func (r *Router) crowded() bool {
	own, all := 0, 0
	for _, e := range r.engines {
		own += e.flight
		all += e.reported
	}
	return all >= crowdedLoad && float64(own) < crowdedShare*float64(all)
}

// The load from which on, and the own share of it below which, engines are
// drawn in proportion to their free places.
const (
	crowdedLoad  = 64
	crowdedShare = 0.03
)

func (r *Router) newEngine() *engine {
	e := &engine{pace: 1}
	if r.limit != nil {
		e.limit = r.limit()
	}
	return e
}

// index lists the engines for each weights. Entries with the version and
// without it are kept, so that a request may name a version or leave it open.
func (r *Router) index(all []Engine) {
	clear(r.ready)
	clear(r.loading)
	for i := range all {
		e := r.engines[all[i].Name]
		for _, w := range e.Report.Residents {
			keys := []driver.Weights{{Model: w.Model, Adapter: w.Adapter}}
			if w.Version != "" {
				keys = append(keys, w.Weights)
			}
			for _, key := range keys {
				r.place(e, key, w.State)
			}
		}
	}
}

func (r *Router) place(e *engine, key driver.Weights, state string) {
	switch {
	case e.State == lister.StateLeaving && state != driver.StateReady:
	case state == driver.StateReady:
		if !slices.Contains(r.ready[key], e) {
			r.ready[key] = append(r.ready[key], e)
		}
	case state == driver.StateLoading:
		r.loading[key]++
	}
}

// Choose picks an engine for a request. It changes no counts: call Sent when
// the request is sent.
func (r *Router) Choose(now time.Time, q *Request) Choice {
	all := r.holders(q.Weights)
	if len(all) == 0 {
		if r.loading[q.Weights] > 0 {
			return Choice{Status: Loading}
		}
		return Choice{Status: Absent}
	}
	open, why := r.open(now, all, q)
	if len(open) == 0 {
		return Choice{Status: Full, Why: why}
	}
	if q.Losses > 0 {
		open = leastSuspects(open)
	}
	return r.best(r.sample(open, q), q, why)
}

// leastSuspects keeps the engines that run the fewest suspects. Suspects that
// are lost together again stay indistinguishable; apart, the innocent one ends
// well and the guilty one is accused alone.
func leastSuspects(open []*engine) []*engine {
	least := open[0].suspects
	for _, e := range open {
		least = min(least, e.suspects)
	}
	return slices.DeleteFunc(open, func(e *engine) bool { return e.suspects > least })
}

// holders returns the engines that hold the weights. An adapter needs its
// model on the same engine.
func (r *Router) holders(w driver.Weights) []*engine {
	if w.Adapter == "" {
		return r.ready[w]
	}
	base := r.ready[driver.Weights{Model: w.Model, Version: w.Version}]
	both := r.scratch[:0]
	for _, e := range r.ready[driver.Weights{Model: w.Model, Adapter: w.Adapter}] {
		if slices.Contains(base, e) {
			both = append(both, e)
		}
	}
	r.scratch = both
	return both
}

// open returns the engines that may take the request, and why others may not.
// If failures have ejected every engine, all of them are probed: a request
// that is surely refused gains nothing from the caution.
func (r *Router) open(now time.Time, all []*engine, q *Request) ([]*engine, []Candidate) {
	open := make([]*engine, 0, len(all))
	var ejected []*engine
	why := make([]Candidate, 0, len(all))
	for _, e := range all {
		reason := r.obstacle(now, e, q)
		switch reason {
		case "":
			open = append(open, e)
		case whyEjected:
			ejected = append(ejected, e)
			why = append(why, Candidate{Engine: e.Name, Why: reason})
		default:
			why = append(why, Candidate{Engine: e.Name, Why: reason})
		}
	}
	if len(open) == 0 && len(ejected) == len(all) {
		for _, e := range ejected {
			if e.flight == 0 {
				open = append(open, e)
			}
		}
	}
	return open, why
}

// obstacle says why an engine may not take the request, or nothing.
func (r *Router) obstacle(now time.Time, e *engine, q *Request) string {
	switch {
	case e.State == lister.StateLeaving:
		return whyLeaving
	case slices.Contains(q.Exclude, e.Name):
		return whyExcluded
	case now.Before(e.ejectedUntil):
		return whyEjected
	case e.ejections > 0 && e.flight > 0:
		return whyProbing
	case e.load() >= r.room(e, q.Deferred):
		return whyFull
	case e.limit != nil && !e.limit.Allow(e.flight):
		return whyLimited
	}
	return ""
}

// room is how many requests an engine may have, running and waiting.
func (r *Router) room(e *engine, deferred bool) int {
	batch := float64(max(e.Report.Batch, 1))
	if deferred {
		return max(int(batch*r.filling), 1)
	}
	return int(batch * (1 + r.slack))
}

// sample draws the engines to compare. One that is believed to hold most of
// the prompt is always compared, since a hit outweighs a few requests.
func (r *Router) sample(open []*engine, q *Request) []*engine {
	if r.choices <= 0 || len(open) <= r.choices || r.isCrowded {
		return open
	}
	warm := -1
	if len(q.Prefixes) > 0 && len(open) <= maxWarmScan {
		warm = warmest(open, q.Prefixes)
	}
	for i := range r.choices {
		j := i + r.random.IntN(len(open)-i)
		open[i], open[j] = open[j], open[i]
		switch warm {
		case i:
			warm = j
		case j:
			warm = i
		}
	}
	if warm >= r.choices {
		open[r.choices-1], open[warm] = open[warm], open[r.choices-1]
	}
	return open[:r.choices]
}

// maxWarmScan bounds the engines that are searched for a cached prefix.
const maxWarmScan = 16

func warmest(open []*engine, prefixes []uint64) int {
	best, most := -1, 0
	for i, e := range open {
		if hit := e.prefixes.match(prefixes); hit > most {
			best, most = i, hit
		}
	}
	return best
}

func (r *Router) best(open []*engine, q *Request, why []Candidate) Choice {
	var best *engine
	var lowest float64
	choice := Choice{Status: Found}
	start := len(why)
	for _, e := range open {
		s := r.signals(e, q)
		score := r.weigh(s)
		why = append(why, Candidate{Engine: e.Name, Score: score, Why: whyLater})
		if best == nil || score < lowest {
			best, lowest = e, score
			choice.First = s.First
		}
	}
	for i := start; i < len(why); i++ {
		if why[i].Engine == best.Name {
			why[i].Why = whyChosen
		}
	}
	choice.Engine = best.Instance
	choice.Why = why
	return choice
}

func (r *Router) signals(e *engine, q *Request) Signals {
	s := Signals{
		Engine:   e.Name,
		Session:  q.Session,
		Reported: e.reported,
		Flight:   e.flight,
		Load:     e.load(),
		Batch:    max(e.Report.Batch, 1),
		Remote:   e.Zone != r.zone,
		Draw:     r.random.Float64(),
	}
	if len(q.Prefixes) > 0 {
		s.Hit = float64(e.prefixes.match(q.Prefixes)) / float64(len(q.Prefixes))
	}
	s.First = r.estimate(e, q, s)
	return s
}

// weigh is the default score: the time to the first token, the cost of
// leaving the zone, and a small preference for the emptier engine, which
// gives the shorter time between tokens.
func (r *Router) weigh(s Signals) float64 {
	if r.score != nil {
		return r.score(s)
	}
	if r.isCrowded {
		return byFree(s)
	}
	score := s.First.Seconds()
	if s.Remote {
		score += r.remote.Seconds()
	}
	crowding := float64(s.Load) / float64(s.Batch)
	return score + crowding*crowdingCost.Seconds() + s.Draw*drawCost.Seconds()
}

// byFree draws an engine with a chance that grows with the root of its free
// places, so that many instances with the same report spread over all engines.
// A chance in proportion to them follows a report that is old by now too far:
// with 65 instances 0.7643 of the requests came in time instead of 0.7941.
func byFree(s Signals) float64 {
	return -math.Log(1-s.Draw) / math.Sqrt(max(float64(s.Batch-s.Load), minFree))
}

// minFree stands for the free places of a full engine.
const minFree = 0.25

// The costs of a full batch, and of the random part that breaks ties.
const (
	crowdingCost = 200 * time.Millisecond
	drawCost     = 5 * time.Millisecond
)
