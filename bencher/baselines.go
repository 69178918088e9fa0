package bencher

import (
	"cmp"
	"slices"
	"time"

	"primrosehook/driver"
	"primrosehook/poolplanner"
)

// stationary keeps what is placed, and loads again only what was lost.
type stationary struct{}

// Plan implements poolplanner.Planner.
func (stationary) Plan(_ time.Time, s poolplanner.State) []poolplanner.Move {
	b := board{state: s}
	for i := range s.Models {
		if m := &s.Models[i]; len(b.holders(m.Weights)) == 0 {
			b.load(m)
		}
	}
	return b.moves
}

type copyName struct {
	engine string
	driver.Weights
}

// recent loads a model when it is asked for and evicts the least recently used
// copy, as a cache does.
type recent struct{ used map[copyName]time.Time }

// Plan implements poolplanner.Planner.
func (r *recent) Plan(now time.Time, s poolplanner.State) []poolplanner.Move {
	b := board{state: s}
	for i := range s.Models {
		m := &s.Models[i]
		for _, e := range b.holders(m.Weights) {
			if m.Demand > 0 {
				r.used[copyName{e.Name, m.Weights}] = now
			}
		}
	}
	for i := range s.Models {
		m := &s.Models[i]
		if m.Demand <= 0 || len(b.holders(m.Weights)) > 0 || b.load(m) {
			continue
		}
		b.evict(m, func(e *poolplanner.Engine, w driver.Weights) float64 {
			return float64(r.used[copyName{e.Name, w}].Sub(epoch))
		}, true)
	}
	return b.moves
}

// backlog gives the model with the most demand for each copy one more, at the
// expense of the one with the least, as long as they differ.
type backlog struct{}

// Plan implements poolplanner.Planner.
func (backlog) Plan(_ time.Time, s poolplanner.State) []poolplanner.Move {
	b := board{state: s}
	demand := map[driver.Weights]float64{}
	for _, m := range s.Models {
		demand[m.Weights] = m.Demand
	}
	each := func(w driver.Weights) float64 {
		return demand[w] / max(float64(len(b.holders(w))), 0.1)
	}
	models := slices.Clone(s.Models)
	slices.SortStableFunc(models, func(x, y poolplanner.Model) int { return cmp.Compare(each(y.Weights), each(x.Weights)) })
	for i := range models {
		m := &models[i]
		if len(b.holders(m.Weights)) > 0 && each(m.Weights) < greedyRate {
			continue
		}
		if !b.load(m) {
			b.evict(m, func(_ *poolplanner.Engine, w driver.Weights) float64 { return each(w) }, false)
		}
	}
	return b.moves
}

// greedyRate is the demand of one copy beyond which another is loaded.
const greedyRate = 2

// board is a state while moves are made.
type board struct {
	state poolplanner.State
	moves []poolplanner.Move
}

func (b *board) holders(w driver.Weights) []*poolplanner.Engine {
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

// load puts a model where most memory is free; an adapter where its model is.
func (b *board) load(m *poolplanner.Model) bool {
	var best *poolplanner.Engine
	all := make([]*poolplanner.Engine, 0, len(b.state.Engines))
	for i := range b.state.Engines {
		all = append(all, &b.state.Engines[i])
	}
	if m.Adapter != "" {
		all = b.holders(driver.Weights{Model: m.Model})
	}
	have := b.holders(m.Weights)
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

// evict makes room for a model by the copy of least worth. The last copy of a
// model goes only where that is allowed.
func (b *board) evict(m *poolplanner.Model, worth func(*poolplanner.Engine, driver.Weights) float64, last bool) {
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
			if !last && len(b.holders(r.Weights)) < 2 {
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
