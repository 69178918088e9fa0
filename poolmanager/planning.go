package poolmanager

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"primrosehook/dispatcher"
	"primrosehook/driver"
	"primrosehook/lister"
	"primrosehook/orderchecker"
	"primrosehook/poolplanner"
	"primrosehook/ruler"
)

const (
	// demandTTL is how long an instance's demand counts after it was received.
	demandTTL = 10 * time.Second
	// maxRecentMoves is how many moves are kept for the operator.
	maxRecentMoves = 50
)

// demands is the last demand that each instance has reported, by instance.
type demands map[string]instanceDemand

type instanceDemand struct {
	receivedAt time.Time
	demands    []dispatcher.Demand
}

// weightsDemand is the demand for a model or adapter of any version. Rates are
// requests per second.
type weightsDemand struct {
	rate, urgent float64
	service      time.Duration
}

type weightsKey struct{ model, adapter string }

// merged returns the sum of all instances' demand and removes demand older than
// demandTTL. The service time is the mean, weighted by the rates.
func (d demands) merged(now time.Time) map[weightsKey]weightsDemand {
	all := map[weightsKey]weightsDemand{}
	for from, t := range d {
		if now.Sub(t.receivedAt) > demandTTL {
			delete(d, from)
			continue
		}
		for _, one := range t.demands {
			key := weightsKey{one.Model, one.Adapter}
			w := all[key]
			if sum := w.rate + one.Rate; sum > 0 && one.Service > 0 {
				w.service = time.Duration((float64(w.service)*w.rate + float64(one.Service)*one.Rate) / sum)
			}
			w.rate += one.Rate
			if !one.Deferred {
				w.urgent += one.Rate
			}
			all[key] = w
		}
	}
	return all
}

// MoveRecord is a move of the planner and what became of it, for the operator.
type MoveRecord struct {
	At     time.Time `json:"at"`
	Engine string    `json:"engine"`
	Op     string    `json:"op"`
	driver.Weights
	Why string `json:"why"`
	// Order is the id of the order, for Manager.Explain; empty if none was given.
	Order string `json:"order,omitempty"`
	// Refused is why no order was given; empty if one was.
	Refused string `json:"refused,omitempty"`
}

// moveHistory is the newest moves, oldest first.
type moveHistory []MoveRecord

// add records a move, unless the same move was refused before for the same reason.
func (r *moveHistory) add(m MoveRecord) {
	for _, old := range *r {
		again := m
		again.At = old.At
		if m.Refused != "" && again == old {
			return
		}
	}
	*r = append(*r, m)
	if len(*r) > maxRecentMoves {
		*r = append(moveHistory(nil), (*r)[len(*r)-maxRecentMoves:]...)
	}
}

// tokenBucket limits how many loads start per second.
type tokenBucket struct {
	tokens float64
	at     time.Time
}

// take takes a token and reports whether there was one. Rate is in tokens per
// second; without a positive rate there is no limit.
func (b *tokenBucket) take(now time.Time, rate float64) bool {
	if rate <= 0 {
		return true
	}
	b.tokens = min(b.tokens+now.Sub(b.at).Seconds()*rate, max(rate, 1))
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// plan runs the planner and proposes its moves as orders.
func (p *pool) plan(ctx context.Context, now time.Time) {
	rules := p.manager.deps.Rules()
	if rules == nil {
		return
	}
	store := p.manager.storeShare()
	var state poolplanner.State
	p.withMachine(func(m *orderchecker.Machine) { state = p.plannerState(now, m, rules, store) })
	for _, move := range p.planner.Plan(now, state) {
		p.propose(ctx, now, move, store)
	}
}

func (p *pool) propose(ctx context.Context, now time.Time, move poolplanner.Move, store poolplanner.WeightStore) {
	i := orderchecker.Intent{
		Engine: move.Engine, Why: move.Reason,
		Order: driver.Order{Op: move.Op, Weights: move.Weights, MemoryMB: move.Memory},
	}
	var entry orderchecker.Append
	var reason orderchecker.Reason
	target, _ := p.findEngine(move.Engine)
	p.withMachine(func(m *orderchecker.Machine) {
		if reason = p.loadRejection(now, m, move, target, store); reason == "" {
			entry, reason = p.controller.Propose(now, m, i)
		}
		var order string
		if intent, ok := entry.Body.(orderchecker.Intent); ok {
			order = intent.Order.ID
			p.orders.add(OrderRecord{
				Order: order, Pool: p.name, At: now, Engine: move.Engine, Op: move.Op,
				Weights: move.Weights, Memory: move.Memory, Why: move.Reason,
			})
		}
		p.moves.add(MoveRecord{
			At: now, Engine: move.Engine, Op: move.Op, Weights: move.Weights, Why: move.Reason,
			Order: order, Refused: string(reason),
		})
	})
	if reason != "" {
		p.log.Debug("holder: move was not ordered", zap.String("engine", move.Engine), zap.String("reason", string(reason)))
		return
	}
	p.orderedAt = now
	p.submit(ctx, []orderchecker.Append{entry})
}

// Reasons for which a load is not proposed.
const (
	reasonStore   orderchecker.Reason = "the weight store takes no more loads now"
	reasonLeaving orderchecker.Reason = "the engine is leaving"
)

// loadRejection returns why a load is not proposed now, or empty.
func (p *pool) loadRejection(now time.Time, m *orderchecker.Machine, move poolplanner.Move, target lister.Instance, store poolplanner.WeightStore) orderchecker.Reason {
	switch {
	case move.Op != driver.OpLoad:
		return ""
	case target.State != lister.StateLive:
		return reasonLeaving
	case move.Adapter == "" && openLoads(m) >= store.Slots:
		return reasonStore
	case !p.loadLimit.take(now, store.Rate):
		return reasonStore
	}
	return ""
}

// openLoads returns how many loads of models may be in progress in the pool under
// the current lease. Adapters are small and do not use a slot of the store for
// long.
func openLoads(m *orderchecker.Machine) int {
	count := 0
	for _, e := range m.Engines() {
		for _, t := range e.Open() {
			if t.Order.Op == driver.OpLoad && t.Order.Adapter == "" && t.Order.Fence == int64(m.Lease().Fence) {
				count++
			}
		}
	}
	return count
}

// plannerState returns the planner's input. An engine without an account cannot
// be given an order yet, so it is left out.
func (p *pool) plannerState(now time.Time, m *orderchecker.Machine, rules *ruler.List, store poolplanner.WeightStore) poolplanner.State {
	s := poolplanner.State{
		Store: store, Attainment: rules.Weights.Attainment, Moves: rules.Weights.Moves,
	}
	s.Store.Loading = openLoads(m)
	replicas := map[weightsKey]int{}
	for _, i := range p.engines() {
		account := m.Engine(i.Name)
		entry, ok := p.table.entries[i.Name]
		if account == nil || !ok {
			continue
		}
		leaving := i.State != lister.StateLive
		loaded := withOpenUnloads(entry.report.Loaded, account)
		s.Engines = append(s.Engines, poolplanner.Engine{
			Name: i.Name, Zone: i.Zone, Free: account.Free(), Busy: p.controller.Busy(m, i.Name),
			Leaving: leaving, Loaded: loaded,
			Running: entry.report.Running, Waiting: entry.report.Waiting, Batch: entry.report.MaxBatch,
		})
		for _, r := range loaded {
			if !leaving && r.State == driver.StateReady {
				replicas[weightsKey{r.Model, r.Adapter}]++
			}
		}
	}
	s.Models = p.models(now, rules, replicas)
	return s
}

// withOpenUnloads returns what an engine has reported as loaded, with the weights
// that an open order unloads as unloading: the report may be older than the order.
func withOpenUnloads(loaded []driver.LoadedWeights, account *orderchecker.Engine) []driver.LoadedWeights {
	all := slices.Clone(loaded)
	for _, t := range account.Open() {
		if t.Order.Op != driver.OpUnload {
			continue
		}
		for i := range all {
			if all[i].Weights == t.Order.Weights {
				all[i].State = driver.StateUnloading
			}
		}
	}
	return all
}

// withBaseModels adds the demand for each adapter to the demand for its model,
// because an adapter cannot be used without its model.
func withBaseModels(demand map[weightsKey]weightsDemand) map[weightsKey]weightsDemand {
	all := maps.Clone(demand)
	for key, d := range demand {
		if key.adapter == "" {
			continue
		}
		base := all[weightsKey{model: key.model}]
		base.rate += d.rate
		base.urgent += d.urgent
		base.service = max(base.service, d.service)
		all[weightsKey{model: key.model}] = base
	}
	return all
}

// models returns the pool's models and adapters with the demand for them.
func (p *pool) models(now time.Time, rules *ruler.List, replicas map[weightsKey]int) []poolplanner.Model {
	var all []poolplanner.Model
	demand := withBaseModels(p.demand.merged(now))
	add := func(w driver.Weights, memory int64) {
		key := weightsKey{w.Model, w.Adapter}
		d := demand[key]
		then := rules.Decide(rules.WithTime(now, ruler.Situation{
			Kind: ruler.KindModel, Model: w.Model, Adapter: w.Adapter,
			Demand: d.rate, Copies: replicas[key],
		})).Then
		all = append(all, poolplanner.Model{
			Weights: w, Memory: memory, MinReplicas: then.Ready,
			Demand: d.rate, Urgent: d.urgent, ServiceTime: d.service,
		})
	}
	for _, m := range rules.Models {
		if m.Pool != p.name {
			continue
		}
		add(driver.Weights{Model: m.Name, Version: m.Version}, m.Memory)
		for _, a := range m.Adapters {
			add(driver.Weights{Model: m.Name, Adapter: a.Name, Version: m.Version}, a.Memory)
		}
	}
	return all
}
