package bencher

import (
	"cmp"
	"slices"
	"time"

	"primrosehook/driver"
	"primrosehook/poolplanner"
)

// staticPlanner is a static placement: it loads only models that have no replica.
type staticPlanner struct{}

// Plan implements poolplanner.Planner.
func (staticPlanner) Plan(_ time.Time, s poolplanner.State) []poolplanner.Move {
	b := draft{state: s}
	for i := range s.Models {
		if m := &s.Models[i]; len(b.replicas(m.Weights)) == 0 {
			b.load(m)
		}
	}
	return b.moves
}

// replicaKey identifies a replica.
type replicaKey struct {
	engine string
	driver.Weights
}

// lruPlanner is an LRU placement: it loads a model on demand and evicts the least
// recently used replica to make room.
type lruPlanner struct{ used map[replicaKey]time.Time }

// Plan implements poolplanner.Planner.
func (r *lruPlanner) Plan(now time.Time, s poolplanner.State) []poolplanner.Move {
	b := draft{state: s}
	for i := range s.Models {
		m := &s.Models[i]
		for _, e := range b.replicas(m.Weights) {
			if m.Demand > 0 {
				r.used[replicaKey{e.Name, m.Weights}] = now
			}
		}
	}
	for i := range s.Models {
		m := &s.Models[i]
		if m.Demand <= 0 || len(b.replicas(m.Weights)) > 0 || b.load(m) {
			continue
		}
		b.evict(m, func(e *poolplanner.Engine, w driver.Weights) float64 {
			return float64(r.used[replicaKey{e.Name, w}].Sub(epoch))
		}, true)
	}
	return b.moves
}

// greedyPlanner is a greedy placement: in the order of demand per replica, it adds a
// replica to each model without one or at greedyRate or above, and evicts the replica
// with the least demand if there is no room.
type greedyPlanner struct{}

// Plan implements poolplanner.Planner.
func (greedyPlanner) Plan(_ time.Time, s poolplanner.State) []poolplanner.Move {
	b := draft{state: s}
	demand := map[driver.Weights]float64{}
	for _, m := range s.Models {
		demand[m.Weights] = m.Demand
	}
	each := func(w driver.Weights) float64 {
		return demand[w] / max(float64(len(b.replicas(w))), 0.1)
	}
	models := slices.Clone(s.Models)
	slices.SortStableFunc(models, func(x, y poolplanner.Model) int { return cmp.Compare(each(y.Weights), each(x.Weights)) })
	for i := range models {
		m := &models[i]
		if len(b.replicas(m.Weights)) > 0 && each(m.Weights) < greedyRate {
			continue
		}
		if !b.load(m) {
			b.evict(m, func(_ *poolplanner.Engine, w driver.Weights) float64 { return each(w) }, false)
		}
	}
	return b.moves
}

// greedyRate is the demand per replica, in requests per second, from which
// greedyPlanner adds another replica.
const greedyRate = 2

// draft is a placement state with the moves that were planned on it so far.
type draft struct {
	state poolplanner.State
	moves []poolplanner.Move
}

// replicas returns the engines that have a model or adapter loaded or loading.
func (b *draft) replicas(w driver.Weights) []*poolplanner.Engine {
	var all []*poolplanner.Engine
	for i := range b.state.Engines {
		e := &b.state.Engines[i]
		if slices.ContainsFunc(e.Loaded, func(r driver.LoadedWeights) bool {
			return r.Weights == w && r.State != driver.StateUnloading
		}) {
			all = append(all, e)
		}
	}
	return all
}

// load plans a load on the idle engine with the most free memory, for an adapter
// among the replicas of its model. It reports whether there was one.
func (b *draft) load(m *poolplanner.Model) bool {
	var best *poolplanner.Engine
	all := make([]*poolplanner.Engine, 0, len(b.state.Engines))
	for i := range b.state.Engines {
		all = append(all, &b.state.Engines[i])
	}
	if m.Adapter != "" {
		all = b.replicas(driver.Weights{Model: m.Model})
	}
	have := b.replicas(m.Weights)
	for _, e := range all {
		if !e.Busy && e.Free >= m.Memory && !slices.Contains(have, e) && (best == nil || e.Free > best.Free) {
			best = e
		}
	}
	if best == nil {
		return false
	}
	best.Busy = true
	best.Free -= m.Memory
	best.Loaded = append(slices.Clone(best.Loaded), driver.LoadedWeights{Weights: m.Weights, State: driver.StateLoading})
	b.moves = append(b.moves, poolplanner.Move{Engine: best.Name, Op: driver.OpLoad, Weights: m.Weights, Memory: m.Memory})
	return true
}

// evict plans the unload of the replica of least worth that makes room for a model.
// The last replica of a model is evicted only if last is set.
func (b *draft) evict(m *poolplanner.Model, worth func(*poolplanner.Engine, driver.Weights) float64, last bool) {
	var best *poolplanner.Engine
	var victim driver.Weights
	lowest := 0.0
	for i := range b.state.Engines {
		e := &b.state.Engines[i]
		if e.Busy {
			continue
		}
		for _, r := range e.Loaded {
			if r.Adapter != "" || r.State != driver.StateReady || r.Model == m.Model || e.Free+r.MemoryMB < m.Memory {
				continue
			}
			if !last && len(b.replicas(r.Weights)) < 2 {
				continue
			}
			if value := worth(e, r.Weights); best == nil || value < lowest {
				best, victim, lowest = e, r.Weights, value
			}
		}
	}
	if best != nil {
		best.Busy = true
		b.moves = append(b.moves, poolplanner.Move{Engine: best.Name, Op: driver.OpUnload, Weights: victim})
	}
}
