package poolplanner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"primrosehook/driver"
)

// CostPlanner is a Planner that weighs the cost of each move against its gain.
//
// The objective is the number of requests served in time. The first replica of a
// model gains all its demand. A further replica gains the requests that the
// present ones cannot take, over the horizon for which recent demand is trusted.
// A move costs time on the weight store, scaled by the weight of moves in the
// rule list. A plain cooldown against churn would delay the loads that a burst
// needs as much as unnecessary ones.
type CostPlanner struct {
	options
	models map[driver.Weights]*demandHistory
	// evictions holds the replicas that are being unloaded over several plans:
	// their adapters go first, the model in a later plan.
	evictions  map[replicaKey]eviction
	lastPlanAt time.Time
	// lastSwapAt is when a replica was last evicted for a busier model.
	lastSwapAt time.Time
}

// demandHistory is the demand for a model, kept between plans.
type demandHistory struct {
	// peak and peakUrgent follow rising demand at once, and falling demand with
	// an exponential decay.
	peak         float64
	peakUrgent   float64
	updatedAt    time.Time
	lastDemandAt time.Time
}

// eviction is the unloading of a replica in favour of another model.
type eviction struct {
	startedAt   time.Time
	replacement driver.Weights
}

type replicaKey struct {
	engine string
	driver.Weights
}

type options struct {
	horizon  time.Duration
	halfLife time.Duration
	moveCost float64
	minIdle  time.Duration
}

// Option configures a CostPlanner.
type Option func(*options)

// WithHorizon sets the time for which recent demand is assumed to last.
func WithHorizon(d time.Duration) Option { return func(o *options) { o.horizon = d } }

// WithHalfLife sets the half-life of past demand peaks.
func WithHalfLife(d time.Duration) Option { return func(o *options) { o.halfLife = d } }

// WithMoveCost sets how many requests a move must save when attainment and moves
// have equal weights.
func WithMoveCost(requests float64) Option { return func(o *options) { o.moveCost = requests } }

// WithMinIdle sets how long a model must have had no demand before its last
// replica may be evicted, which happens only if the models exceed the memory.
func WithMinIdle(d time.Duration) Option { return func(o *options) { o.minIdle = d } }

// New returns a planner without demand history.
func New(opts ...Option) *CostPlanner {
	o := options{
		horizon:  2 * time.Minute,
		halfLife: time.Minute,
		moveCost: 40,
		minIdle:  time.Minute,
	}
	for _, option := range opts {
		option(&o)
	}
	return &CostPlanner{options: o, models: map[driver.Weights]*demandHistory{}, evictions: map[replicaKey]eviction{}}
}

var _ Planner = (*CostPlanner)(nil)

// Plan implements Planner.
func (c *CostPlanner) Plan(now time.Time, state State) []Move {
	c.updateDemand(now, state.Models)
	p := newPlan(now, c, state)
	p.continueEvictions()
	for _, filter := range []func(*Model) bool{p.hasDemand, p.always} {
		p.loadMissing(filter)
		p.loadAdapters(filter)
	}
	p.loadReady()
	p.relieveOverload()
	p.addSecondReplicas()
	c.lastPlanAt = now
	return p.moves
}

// updateDemand updates the demand histories, and drops those of models that are
// no longer listed.
func (c *CostPlanner) updateDemand(now time.Time, models []Model) {
	kept := make(map[driver.Weights]*demandHistory, len(models))
	for _, m := range models {
		r, ok := c.models[m.Weights]
		if !ok {
			r = &demandHistory{updatedAt: now, lastDemandAt: now}
		}
		fade := math.Exp2(-now.Sub(r.updatedAt).Seconds() / c.halfLife.Seconds())
		r.peak = max(m.Demand, r.peak*fade)
		r.peakUrgent = max(m.Urgent, r.peakUrgent*fade)
		r.updatedAt = now
		if m.Demand > idleDemand {
			r.lastDemandAt = now
		}
		kept[m.Weights] = r
	}
	c.models = kept
}

// idleDemand is the rate in requests per second up to which a model counts as
// idle.
const idleDemand = 0.01

// plan is the state of one call of Plan.
type plan struct {
	*CostPlanner
	now      time.Time
	state    State
	engines  []*host
	byName   map[string]*host
	models   map[driver.Weights]*Model
	replicas map[driver.Weights][]*host
	// adapterMemory is the memory of all adapters of a model, in MB.
	adapterMemory map[driver.Weights]int64
	// adapterDemand is the part of a model's demand that is for its adapters.
	adapterDemand map[driver.Weights]float64
	// loadSlots is the number of model loads, and loadStarts the number of loads
	// of any kind, that the store can still take.
	loadSlots  int
	loadStarts int
	moves      []Move
	// idleReplicas caches the result of findIdleReplicas; nil means not computed.
	idleReplicas *[]victim
}

// host is an engine in a plan.
type host struct {
	Engine
	// load is the estimated number of slots that the demand occupies. nextLoad
	// accumulates it during a round of estimateLoads, and shares is the part of
	// it for each of the weights.
	load     float64
	nextLoad float64
	shares   map[driver.Weights]float64
}

func newPlan(now time.Time, c *CostPlanner, state State) *plan {
	p := &plan{
		CostPlanner:   c,
		now:           now,
		state:         state,
		byName:        map[string]*host{},
		models:        map[driver.Weights]*Model{},
		replicas:      map[driver.Weights][]*host{},
		adapterMemory: map[driver.Weights]int64{},
		adapterDemand: map[driver.Weights]float64{},
		loadSlots:     max(state.Store.Slots-state.Store.Loading, 0),
	}
	for _, e := range state.Engines {
		h := &host{Engine: e, shares: map[driver.Weights]float64{}}
		h.Loaded = slices.Clone(e.Loaded)
		p.engines = append(p.engines, h)
		p.byName[e.Name] = h
	}
	slices.SortFunc(p.engines, func(a, b *host) int { return cmp.Compare(a.Name, b.Name) })
	for i := range state.Models {
		m := &state.Models[i]
		p.models[m.Weights] = m
		if m.Adapter != "" {
			base := baseOf(m.Weights)
			p.adapterMemory[base] += m.Memory
			p.adapterDemand[base] += c.models[m.Weights].peak
		}
	}
	p.loadStarts = p.maxLoadStarts()
	p.index()
	p.estimateLoads()
	return p
}

// maxLoadStarts returns how many loads may start now: loads beyond the store's
// rate would only queue there.
func (p *plan) maxLoadStarts() int {
	if p.state.Store.Rate <= 0 {
		return maxStartsWithoutRate
	}
	passed := min(p.now.Sub(p.lastPlanAt), maxCreditedTime)
	if p.lastPlanAt.IsZero() {
		passed = maxCreditedTime
	}
	return max(1, int(passed.Seconds()*p.state.Store.Rate))
}

// maxStartsWithoutRate is the limit of loads per plan for a store without a rate.
// maxCreditedTime is the longest time since the last plan that counts towards
// the rate.
const (
	maxStartsWithoutRate = 64
	maxCreditedTime      = 2 * time.Second
)

// canLoad reports whether the store can take another load. Adapters are small
// and need no load slot.
func (p *plan) canLoad(m *Model) bool {
	return p.loadStarts > 0 && (p.loadSlots > 0 || m.Adapter != "")
}

// stateOf returns the state of weights on a host, or "" if they are not there.
func (h *host) stateOf(w driver.Weights) string {
	for _, r := range h.Loaded {
		if r.Weights == w {
			return r.State
		}
	}
	return ""
}

// replicasOf returns the engines that have the weights loaded or are loading them.
func (p *plan) replicasOf(w driver.Weights) []*host { return p.replicas[w] }

// index lists the replicas of all weights.
func (p *plan) index() {
	for _, h := range p.engines {
		if h.Leaving {
			continue
		}
		for _, r := range h.Loaded {
			if r.State == driver.StateReady || r.State == driver.StateLoading {
				p.replicas[r.Weights] = append(p.replicas[r.Weights], h)
			}
		}
	}
}

// readyCount counts the ready replicas of weights on hosts other than except,
// without those being evicted. Replicas that are still loading do not count,
// since a load may fail.
func (p *plan) readyCount(w driver.Weights, except *host) int {
	count := 0
	for _, h := range p.replicasOf(w) {
		if h != except && !p.isEvicting(h, w) && h.stateOf(w) == driver.StateReady {
			count++
		}
	}
	return count
}

// isEvicting reports whether a host is evicting weights, adapters along with their
// model.
func (p *plan) isEvicting(h *host, w driver.Weights) bool {
	_, itself := p.evictions[replicaKey{h.Name, w}]
	_, withBase := p.evictions[replicaKey{h.Name, baseOf(w)}]
	return itself || withBase
}

// baseOf returns the model of an adapter, and a model itself.
func baseOf(w driver.Weights) driver.Weights {
	return driver.Weights{Model: w.Model, Version: w.Version}
}

// loadMissing loads the models that pass the filter and have no replica, those
// with the highest density first. Models go before adapters: the store has few
// slots for them, while an adapter can follow in the next plan.
func (p *plan) loadMissing(filter func(*Model) bool) {
	var missing []*Model
	for i := range p.state.Models {
		m := &p.state.Models[i]
		if m.Adapter == "" && len(p.replicasOf(m.Weights)) == 0 && filter(m) {
			missing = append(missing, m)
		}
	}
	p.sortUrgent(missing)
	for i, m := range missing {
		if !p.canLoad(m) && i >= p.maxPrepared() {
			return
		}
		h := p.findHost(m)
		switch {
		case h == nil:
			// An unload does not use the store, so the memory can be free by the
			// time a load slot is.
			p.makeRoom(m)
		case p.canLoad(m):
			p.load(h, m, "no engine holds the model")
		}
	}
}

// maxPrepared returns for how many models memory is freed before the store can
// take their loads.
func (p *plan) maxPrepared() int { return max(p.state.Store.Slots, 1) }

// findHost returns an engine for a new replica, preferably one that also has
// memory for the model's adapters, or nil.
func (p *plan) findHost(m *Model) *host {
	if h := p.bestHost(m, p.footprint(m)); h != nil {
		return h
	}
	return p.bestHost(m, m.Memory)
}

// sortUrgent sorts models by density, required replicas and memory, highest
// first.
func (p *plan) sortUrgent(models []*Model) {
	slices.SortStableFunc(models, func(a, b *Model) int {
		return cmp.Or(
			cmp.Compare(p.density(b), p.density(a)),
			cmp.Compare(b.MinReplicas, a.MinReplicas),
			cmp.Compare(b.Memory, a.Memory),
		)
	})
}

// footprint returns the memory of a model with all its adapters in MB. Replicas
// go where all of it fits: if a model fills its engine, its adapters cannot be
// loaded anywhere.
func (p *plan) footprint(m *Model) int64 {
	if m.Adapter != "" {
		return m.Memory
	}
	return m.Memory + p.adapterMemory[baseOf(m.Weights)]
}

// density returns the urgent demand that a load serves per MB, since the time of
// a load on the store grows with its size.
func (p *plan) density(m *Model) float64 {
	return p.CostPlanner.models[m.Weights].peakUrgent / float64(max(m.Memory, 1))
}

// bestHost returns the best engine for a new replica among those with need MB
// free, or nil. It prefers low load and a zone without a replica.
func (p *plan) bestHost(m *Model, need int64) *host {
	zones := map[string]bool{}
	for _, h := range p.replicasOf(m.Weights) {
		zones[h.Zone] = true
	}
	var best *host
	var lowest float64
	for _, h := range p.engines {
		if h.Busy || h.Leaving || h.Free < need || h.stateOf(m.Weights) != "" || !p.hasBase(h, m) {
			continue
		}
		score := h.load / float64(max(h.Batch, 1))
		if zones[h.Zone] {
			score += sameZonePenalty
		}
		// Best fit breaks ties, which keeps large blocks of memory free for
		// large models.
		score += looseFitPenalty * float64(h.Free-need) / float64(max(need, 1))
		if best == nil || score < lowest {
			best, lowest = h, score
		}
	}
	return best
}

// hasBase reports whether a host has an adapter's model ready and is not evicting
// it. It is true for models.
func (p *plan) hasBase(h *host, m *Model) bool {
	if m.Adapter == "" {
		return true
	}
	base := baseOf(m.Weights)
	return !p.isEvicting(h, base) && h.stateOf(base) == driver.StateReady
}

// The score penalties of a zone that already has a replica, and of free memory
// left over, in units of a full batch.
const (
	sameZonePenalty = 0.5
	looseFitPenalty = 0.01
)

func (p *plan) load(h *host, m *Model, reason string) {
	p.moves = append(p.moves, Move{Engine: h.Name, Op: driver.OpLoad, Weights: m.Weights, Memory: m.Memory, Reason: reason})
	h.Free -= m.Memory
	h.Busy = true
	h.Loaded = append(h.Loaded, driver.LoadedWeights{Weights: m.Weights, State: driver.StateLoading, MemoryMB: m.Memory})
	p.replicas[m.Weights] = append(p.replicas[m.Weights], h)
	p.loadStarts--
	if m.Adapter == "" {
		p.loadSlots--
	}
}

// hasDemand reports whether a model has urgent demand. Such models are loaded
// first: after a cold start, the first client would otherwise wait for most of
// the catalogue to load.
func (p *plan) hasDemand(m *Model) bool {
	return p.CostPlanner.models[m.Weights].peakUrgent > idleDemand
}

// always is the filter that passes all models.
func (p *plan) always(*Model) bool { return true }

// loadAdapters loads the adapters that pass the filter and have too few replicas
// onto engines that have their model loaded.
func (p *plan) loadAdapters(filter func(*Model) bool) {
	var wanted []*Model
	for i := range p.state.Models {
		if m := &p.state.Models[i]; m.Adapter != "" && filter(m) {
			wanted = append(wanted, m)
		}
	}
	slices.SortStableFunc(wanted, func(a, b *Model) int {
		return cmp.Compare(p.CostPlanner.models[b.Weights].peakUrgent, p.CostPlanner.models[a.Weights].peakUrgent)
	})
	for _, m := range wanted {
		if !p.canLoad(m) {
			return
		}
		if len(p.replicasOf(m.Weights)) >= max(m.MinReplicas, 1) {
			continue
		}
		if h := p.bestHost(m, m.Memory); h != nil {
			p.load(h, m, "no engine holds the adapter")
			continue
		}
		p.loadBase(m)
	}
}

// loadBase loads another replica of an adapter's model, with memory for the
// adapter, because all present ones are full.
func (p *plan) loadBase(m *Model) {
	base, ok := p.models[baseOf(m.Weights)]
	if !ok || !p.canLoad(base) || p.isLoading(base.Weights) || p.hasPendingHost(base.Weights) {
		return
	}
	if h := p.bestHost(base, p.footprint(base)); h != nil {
		p.load(h, base, "an adapter has no room where its model is")
		return
	}
	p.makeRoom(base)
}

// hasPendingHost reports whether a replica of the weights with free memory has an
// unresolved order: it may have room for an adapter afterwards.
func (p *plan) hasPendingHost(w driver.Weights) bool {
	return slices.ContainsFunc(p.replicas[w], func(h *host) bool { return h.Busy && h.Free > 0 })
}

// loadReady loads models up to the number of replicas that the rules require.
func (p *plan) loadReady() {
	for i := range p.state.Models {
		m := &p.state.Models[i]
		if m.Adapter != "" || !p.canLoad(m) || len(p.replicasOf(m.Weights)) >= m.MinReplicas {
			continue
		}
		if h := p.bestHost(m, p.footprint(m)); h != nil {
			p.load(h, m, "the rules ask for more copies")
			continue
		}
		p.makeRoom(m)
	}
}
