// Package router chooses the engine for a request among those that have its
// weights loaded. It does no I/O, reads no clock and is not safe for concurrent
// use.
//
// Its state of an engine is stale: reports lag, and peers send requests that it
// does not see. It therefore keeps the last report with its time, adds the
// requests that it has sent itself since then, and compares only a few engines
// sampled at random, so that instances with the same stale report do not all
// pick the same engine.
package router

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"primrosehook/driver"
	"primrosehook/lister"
)

// Request describes a request to be routed.
type Request struct {
	driver.Weights
	// Prefixes are the hashes of the prompt's prefixes, shortest first.
	Prefixes []uint64
	// Prompt is the prompt's length in bytes.
	Prompt int
	// Priority is higher for more important requests.
	Priority int
	// Session is equal for requests that belong together.
	Session uint64
	// Deferred work uses only the share of a batch set by WithDeferredShare.
	Deferred bool
	// Exclude names engines that must not be chosen.
	Exclude []string
	// Crashes is how many engines were lost while they ran the request. If it is
	// not zero, the request is suspected of crashing engines.
	Crashes int
}

// Engine is the known state of an engine.
type Engine struct {
	lister.Instance
	Report driver.Report
	// At is the time of the report by this instance's clock.
	At time.Time
}

// Candidate is an engine that Choose considered.
type Candidate struct {
	Engine string
	// Score is the estimated time to first token plus costs, in seconds, unless
	// another score is in use. The lowest wins; zero if the engine was ruled
	// out.
	Score float64
	// Why is the reason for the engine's choice or rejection.
	Why string
}

// Status tells whether Choose found an engine.
type Status int

// The statuses of a choice.
const (
	// Found means that Choice.Engine is set.
	Found Status = iota
	// Full means that engines have the weights loaded but none may take the
	// request.
	Full
	// Loading means that no engine has the weights loaded yet, but one is loading
	// them.
	Loading
	// Absent means that no engine has the weights loaded or is loading them.
	Absent
)

// Choice is the result of Choose.
type Choice struct {
	Status Status
	Engine lister.Instance
	// FirstToken is the estimated time to first token.
	FirstToken time.Duration
	// Candidates lists the engines that were considered.
	Candidates []Candidate
}

// Values of Candidate.Why.
const (
	whyChosen   = "chosen"
	whyLater    = "a later first token"
	whyLeaving  = "leaving"
	whyExcluded = "excluded"
	whyEjected  = "ejected after failures"
	whyProbing  = "on probation with a request in flight"
	whyNoSlot   = "no free place"
	whyLimited  = "at its concurrency limit"
)

type options struct {
	seed           uint64
	zone           string
	sampleSize     int
	remoteCost     time.Duration
	queueShare     float64
	deferredShare  float64
	prefillPerByte time.Duration
	initialService time.Duration
	baseEjection   time.Duration
	maxFailures    int
	limit          func() Limit
	score          func(Signals) float64
}

// Limit is an adaptive limit on the requests that this instance has in flight on
// one engine.
type Limit interface {
	// Allow reports whether another request may be sent.
	Allow(inFlight int) bool
	// Observe records the time to first token of a completed request.
	Observe(now time.Time, firstToken time.Duration, inFlight int)
}

// Option configures a Router.
type Option func(*options)

// WithSeed seeds the random number generator.
func WithSeed(seed uint64) Option { return func(o *options) { o.seed = seed } }

// WithZone sets the availability zone of this instance.
func WithZone(zone string) Option { return func(o *options) { o.zone = zone } }

// WithSampleSize sets how many engines are sampled and compared; zero compares all.
func WithSampleSize(count int) Option { return func(o *options) { o.sampleSize = count } }

// WithRemote sets the cost added to the score of an engine in another zone.
func WithRemote(cost time.Duration) Option { return func(o *options) { o.remoteCost = cost } }

// WithQueueShare sets how much urgent work may queue inside an engine, as a share of
// its batch. Engines honour priorities, so a short queue there costs urgent work
// little and saves a round trip whenever a slot becomes free.
func WithQueueShare(share float64) Option { return func(o *options) { o.queueShare = share } }

// WithDeferredShare sets the share of a batch up to which deferred work is sent to an
// engine.
func WithDeferredShare(share float64) Option { return func(o *options) { o.deferredShare = share } }

// WithService sets the initial estimate of how long a request occupies a slot.
func WithService(d time.Duration) Option { return func(o *options) { o.initialService = d } }

// WithPrefill sets the estimated prefill time per byte of prompt.
func WithPrefill(perByte time.Duration) Option {
	return func(o *options) { o.prefillPerByte = perByte }
}

// WithEjection sets for how long a failing engine is ejected at first. The time
// doubles with each further ejection.
func WithEjection(d time.Duration) Option { return func(o *options) { o.baseEjection = d } }

// WithLimit adds a concurrency limit per engine.
func WithLimit(limit func() Limit) Option { return func(o *options) { o.limit = limit } }

// WithScore replaces the score that engines are compared by; the lowest wins.
func WithScore(score func(Signals) float64) Option { return func(o *options) { o.score = score } }

// Signals is the input of a score.
type Signals struct {
	Engine  string
	Session uint64
	// Reported is the load in the last report, InFlight the number of this
	// instance's requests in flight, and Load the estimate from both.
	Reported int
	InFlight int
	Load     int
	Batch    int
	// CacheHit is the share of the prompt that is estimated to be cached.
	CacheHit float64
	// Remote is set if the engine is in another zone.
	Remote bool
	// FirstToken is the estimated time to first token.
	FirstToken time.Duration
	// Draw is a random number in [0,1), drawn for each candidate.
	Draw float64
}

// Router chooses engines.
type Router struct {
	options
	random  *rand.Rand
	engines map[string]*engine
	ready   map[driver.Weights][]*engine
	loading map[driver.Weights]int
	// serviceTimes is the mean time that a request occupies a slot, by model.
	serviceTimes map[string]time.Duration
	scratch      []*engine
	// isPeerDominated is set while peers send nearly all requests.
	isPeerDominated bool
}

// New returns a router without engines.
func New(opts ...Option) *Router {
	o := options{
		sampleSize:     3,
		remoteCost:     2 * time.Millisecond,
		queueShare:     0.5,
		deferredShare:  0.25,
		prefillPerByte: 10 * time.Microsecond,
		initialService: 2 * time.Second,
		baseEjection:   2 * time.Second,
		maxFailures:    3,
	}
	for _, option := range opts {
		option(&o)
	}
	return &Router{
		options:      o,
		random:       rand.New(rand.NewPCG(o.seed, 0x9e3779b97f4a7c15)),
		engines:      map[string]*engine{},
		ready:        map[driver.Weights][]*engine{},
		loading:      map[driver.Weights]int{},
		serviceTimes: map[string]time.Duration{},
	}
}

// Update replaces the set of engines. Engines that remain keep their counts.
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
	r.isPeerDominated = r.score == nil && r.peersDominate()
}

// peersDominate reports whether peers send nearly all the requests that the
// engines have. An instance's own counts then barely correct a stale report, and
// all instances that compare engines by the same report pick the same ones.
func (r *Router) peersDominate() bool {
	own, all := 0, 0
	for _, e := range r.engines {
		own += e.inFlight
		all += e.reportedLoad
	}
	return all >= minPeerDominatedLoad && float64(own) < peerDominatedShare*float64(all)
}

// The minimum total load, and the share of this instance's own requests in it
// below which engines are scored by freeSlotScore.
const (
	minPeerDominatedLoad = 64
	peerDominatedShare   = 0.03
)

func (r *Router) newEngine() *engine {
	e := &engine{prefillRatio: 1}
	if r.limit != nil {
		e.limit = r.limit()
	}
	return e
}

// index lists the replicas of all weights. Weights with a version are also
// indexed without it, so that a request may name a version or accept any.
func (r *Router) index(all []Engine) {
	clear(r.ready)
	clear(r.loading)
	for i := range all {
		e := r.engines[all[i].Name]
		for _, w := range e.Report.Loaded {
			keys := []driver.Weights{{Model: w.Model, Adapter: w.Adapter}}
			if w.Version != "" {
				keys = append(keys, w.Weights)
			}
			for _, key := range keys {
				r.addReplica(e, key, w.State)
			}
		}
	}
}

// addReplica adds an engine to the replicas of weights, by their state. A leaving
// engine counts only for weights that it has ready.
func (r *Router) addReplica(e *engine, key driver.Weights, state string) {
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

// Choose picks an engine for a request. It does not change any counts: call Sent
// when the request is sent.
func (r *Router) Choose(now time.Time, q *Request) Choice {
	replicas := r.replicas(q.Weights)
	if len(replicas) == 0 {
		if r.loading[q.Weights] > 0 {
			return Choice{Status: Loading}
		}
		return Choice{Status: Absent}
	}
	eligible, rejected := r.eligible(now, replicas, q)
	if len(eligible) == 0 {
		return Choice{Status: Full, Candidates: rejected}
	}
	if q.Crashes > 0 {
		eligible = fewestSuspects(eligible)
	}
	return r.pickBest(r.sample(eligible, q), q, rejected)
}

// fewestSuspects keeps the engines that run the fewest suspects. Suspects that
// are lost together again stay indistinguishable. Run apart, the harmless ones
// complete and only the one that crashes engines stays suspect.
func fewestSuspects(eligible []*engine) []*engine {
	least := eligible[0].suspects
	for _, e := range eligible {
		least = min(least, e.suspects)
	}
	return slices.DeleteFunc(eligible, func(e *engine) bool { return e.suspects > least })
}

// replicas returns the engines that have the weights loaded. An adapter needs its
// model on the same engine. The result is valid until the next call.
func (r *Router) replicas(w driver.Weights) []*engine {
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

// eligible returns the engines that may take the request, and the reasons against
// the others. If all replicas are ejected, those without requests in flight are
// probed: otherwise the request would certainly be refused.
func (r *Router) eligible(now time.Time, replicas []*engine, q *Request) ([]*engine, []Candidate) {
	eligible := make([]*engine, 0, len(replicas))
	var ejected []*engine
	rejected := make([]Candidate, 0, len(replicas))
	for _, e := range replicas {
		reason := r.ineligibleReason(now, e, q)
		switch reason {
		case "":
			eligible = append(eligible, e)
		case whyEjected:
			ejected = append(ejected, e)
			rejected = append(rejected, Candidate{Engine: e.Name, Why: reason})
		default:
			rejected = append(rejected, Candidate{Engine: e.Name, Why: reason})
		}
	}
	if len(eligible) == 0 && len(ejected) == len(replicas) {
		for _, e := range ejected {
			if e.inFlight == 0 {
				eligible = append(eligible, e)
			}
		}
	}
	return eligible, rejected
}

// ineligibleReason returns why an engine may not take the request, or "".
func (r *Router) ineligibleReason(now time.Time, e *engine, q *Request) string {
	switch {
	case e.State == lister.StateLeaving:
		return whyLeaving
	case slices.Contains(q.Exclude, e.Name):
		return whyExcluded
	case now.Before(e.ejectedUntil):
		return whyEjected
	case e.ejections > 0 && e.inFlight > 0:
		return whyProbing
	case e.load() >= r.maxRequests(e, q.Deferred):
		return whyNoSlot
	case e.limit != nil && !e.limit.Allow(e.inFlight):
		return whyLimited
	}
	return ""
}

// maxRequests is how many requests an engine may have, running and waiting.
func (r *Router) maxRequests(e *engine, deferred bool) int {
	batch := float64(max(e.Report.MaxBatch, 1))
	if deferred {
		return max(int(batch*r.deferredShare), 1)
	}
	return int(batch * (1 + r.queueShare))
}

// sample draws the engines to compare. Among up to maxPrefixScan engines, the one
// estimated to have cached most of the prompt is always included, since a cache
// hit outweighs a few requests of load.
func (r *Router) sample(eligible []*engine, q *Request) []*engine {
	if r.sampleSize <= 0 || len(eligible) <= r.sampleSize || r.isPeerDominated {
		return eligible
	}
	cached := -1
	if len(q.Prefixes) > 0 && len(eligible) <= maxPrefixScan {
		cached = longestCached(eligible, q.Prefixes)
	}
	for i := range r.sampleSize {
		j := i + r.random.IntN(len(eligible)-i)
		eligible[i], eligible[j] = eligible[j], eligible[i]
		switch cached {
		case i:
			cached = j
		case j:
			cached = i
		}
	}
	if cached >= r.sampleSize {
		eligible[r.sampleSize-1], eligible[cached] = eligible[cached], eligible[r.sampleSize-1]
	}
	return eligible[:r.sampleSize]
}

// maxPrefixScan is the maximum number of engines searched for cached prefixes.
const maxPrefixScan = 16

// longestCached returns the index of the engine that has cached the longest prefix,
// or -1 if none has any.
func longestCached(eligible []*engine, prefixes []uint64) int {
	best, most := -1, 0
	for i, e := range eligible {
		if hit := e.prefixes.countCached(prefixes); hit > most {
			best, most = i, hit
		}
	}
	return best
}

func (r *Router) pickBest(candidates []*engine, q *Request, considered []Candidate) Choice {
	var best *engine
	var lowest float64
	choice := Choice{Status: Found}
	start := len(considered)
	for _, e := range candidates {
		s := r.signals(e, q)
		score := r.scoreOf(s)
		considered = append(considered, Candidate{Engine: e.Name, Score: score, Why: whyLater})
		if best == nil || score < lowest {
			best, lowest = e, score
			choice.FirstToken = s.FirstToken
		}
	}
	for i := start; i < len(considered); i++ {
		if considered[i].Engine == best.Name {
			considered[i].Why = whyChosen
		}
	}
	choice.Engine = best.Instance
	choice.Candidates = considered
	return choice
}

func (r *Router) signals(e *engine, q *Request) Signals {
	s := Signals{
		Engine:   e.Name,
		Session:  q.Session,
		Reported: e.reportedLoad,
		InFlight: e.inFlight,
		Load:     e.load(),
		Batch:    max(e.Report.MaxBatch, 1),
		Remote:   e.Zone != r.zone,
		Draw:     r.random.Float64(),
	}
	if len(q.Prefixes) > 0 {
		s.CacheHit = float64(e.prefixes.countCached(q.Prefixes)) / float64(len(q.Prefixes))
	}
	s.FirstToken = r.estimateFirstToken(e, q, s)
	return s
}

// scoreOf returns the score of an engine. The default is the time to first token,
// the cost of leaving the zone, and a small penalty for load, since a fuller
// batch has a longer time between tokens.
func (r *Router) scoreOf(s Signals) float64 {
	if r.score != nil {
		return r.score(s)
	}
	if r.isPeerDominated {
		return freeSlotScore(s)
	}
	score := s.FirstToken.Seconds()
	if s.Remote {
		score += r.remoteCost.Seconds()
	}
	fullness := float64(s.Load) / float64(s.Batch)
	return score + fullness*fullBatchCost.Seconds() + s.Draw*tieBreakCost.Seconds()
}

// freeSlotScore draws a score at random. The probability of the lowest score is
// proportional to the square root of the free slots, so that many instances with
// the same report spread over all engines. A probability proportional to the free
// slots relies too much on a stale report: with 65 instances, 0.7643 of the
// requests met their deadline instead of 0.7941.
func freeSlotScore(s Signals) float64 {
	return -math.Log(1-s.Draw) / math.Sqrt(max(float64(s.Batch-s.Load), minFreeSlots))
}

// minFreeSlots is used as the free slots of a full engine.
const minFreeSlots = 0.25

// The cost of a full batch, and the largest random cost, which breaks ties.
const (
	fullBatchCost = 200 * time.Millisecond
	tieBreakCost  = 5 * time.Millisecond
)
