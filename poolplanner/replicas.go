package poolplanner

import (
	"time"

	"primrosehook/driver"
)

// This file plans replicas beyond the first: their gain, and the memory that must
// stay free.

// relieveOverload adds replicas of models whose engines are overloaded, as long as
// one saves more requests than the move costs.
func (p *plan) relieveOverload() {
	for p.loadStarts > 0 {
		best := p.bestCandidate()
		if best.model == nil {
			return
		}
		if best.from != nil {
			p.evict(*best.from, best.model)
			p.lastSwapAt = p.now
			return
		}
		p.load(best.to, best.model, "its engines are asked for more than they can take")
		p.estimateLoads()
	}
}

// addSecondReplicas loads a second replica of models and adapters that have one,
// where memory is free and preferably in another zone, so that no model becomes
// unreachable when an engine is lost. It runs last, so that it takes neither
// memory nor load slots from current demand. It pauses after a replica was
// evicted for a busier model: without the pause, second replicas were unloaded
// and loaded in turns, with 157 moves instead of 59 in one run. It does nothing
// while a model has no replica.
func (p *plan) addSecondReplicas() {
	if p.now.Sub(p.lastSwapAt) < swapCooldown {
		return
	}
	var models, adapters []*Model
	size, largest := p.maxHostMemory(), int64(0)
	for i := range p.state.Models {
		m := &p.state.Models[i]
		if m.Memory > size {
			continue
		}
		largest = max(largest, m.Memory)
		switch count := len(p.replicasOf(m.Weights)); {
		case m.Adapter == "" && count == 0:
			return
		case m.Adapter == "" && count == 1:
			models = append(models, m)
		case m.Adapter != "" && count == 1:
			adapters = append(adapters, m)
		}
	}
	p.sortUrgent(models)
	for _, m := range models {
		if !p.canLoad(m) {
			break
		}
		if h := p.bestHost(m, p.footprint(m)); h != nil && p.keepsRoom(h, m.Memory, largest) {
			p.load(h, m, "a single copy would be lost with its engine")
		}
	}
	p.sortUrgent(adapters)
	for _, m := range adapters {
		if !p.canLoad(m) {
			return
		}
		if h := p.bestHost(m, m.Memory); h != nil {
			p.load(h, m, "a single copy would be lost with its engine")
		}
	}
}

// maxHostMemory returns the memory of the largest engine, in MB. A model that is
// too large for all engines must not prevent second replicas of others.
func (p *plan) maxHostMemory() int64 {
	most := int64(0)
	for _, h := range p.engines {
		memory := h.Free
		for _, r := range h.Loaded {
			memory += r.MemoryMB
		}
		if !h.Leaving {
			most = max(most, memory)
		}
	}
	return most
}

// swapCooldown is the pause of second replicas after an eviction for a busier
// model. reservedShare is the share of the engines that keep memory free for the
// largest model, so that rising demand can be met without an unload first.
const (
	swapCooldown  = time.Minute
	reservedShare = 0.1
)

// keepsRoom reports whether enough engines can still take the largest model after
// a host has used taken more MB.
func (p *plan) keepsRoom(to *host, taken, largest int64) bool {
	live, roomy := 0, 0
	for _, h := range p.engines {
		if h.Leaving {
			continue
		}
		live++
		free := h.Free
		if h == to {
			free -= taken
		}
		if free >= largest {
			roomy++
		}
	}
	return float64(roomy) >= reservedShare*float64(live)
}

// candidate is a possible further replica. gain is the number of requests that it
// saves within the horizon, less the cost of the moves.
type candidate struct {
	model *Model
	to    *host
	gain  float64
	// from is the replica to be evicted first, or nil.
	from *victim
}

// bestCandidate returns the candidate with the highest gain; its model is nil if
// no gain is positive.
func (p *plan) bestCandidate() candidate {
	var best candidate
	seen := map[driver.Weights]bool{}
	for _, h := range p.engines {
		if h.Leaving || overflow(h.load, h.Batch) < minOverflow {
			continue
		}
		for _, r := range h.Loaded {
			m, ok := p.models[r.Weights]
			if !ok || seen[r.Weights] || r.State == driver.StateUnloading || !p.canLoad(m) || p.isLoading(m.Weights) {
				continue
			}
			// The gain counts all replicas, so each model is considered once.
			seen[r.Weights] = true
			if x := p.candidateFor(m); x.gain > best.gain {
				best = x
			}
		}
	}
	return best
}

// candidateFor computes a further replica of a model, in free memory or else in
// the memory of an idle replica, which is evicted first.
func (p *plan) candidateFor(m *Model) candidate {
	if t := p.bestHost(m, p.footprint(m)); t != nil {
		return candidate{model: m, to: t, gain: p.gain(t, m) - p.minGain(m)}
	}
	if m.Adapter != "" {
		return candidate{}
	}
	for _, v := range p.findIdleReplicas() {
		if v.host.Busy || v.host.stateOf(m.Weights) != "" || v.host.Free+v.memory < p.footprint(m) {
			continue
		}
		return candidate{model: m, to: v.host, from: &v, gain: p.gain(v.host, m) - swapCostFactor*p.minGain(m) - v.loss}
	}
	return candidate{}
}

// swapCostFactor is the cost of replacing a replica, in moves: an unload and a
// load, doubled since the gain is only an estimate.
const swapCostFactor = 4

// minOverflow is the overflow in slots below which an engine does not count as
// overloaded.
const minOverflow = 0.02

// isLoading reports whether a replica of the weights is being loaded. No other is
// added until its effect is known.
func (p *plan) isLoading(w driver.Weights) bool {
	for _, h := range p.replicas[w] {
		if h.stateOf(w) == driver.StateLoading {
			return true
		}
	}
	return false
}

// minGain returns how many requests a move must save. It is lower for adapters,
// since they are small.
func (p *plan) minGain(m *Model) float64 {
	cost := p.moveCost * max(p.state.Moves, minObjectiveWeight) / max(p.state.Attainment, minObjectiveWeight)
	if m.Adapter != "" {
		cost *= adapterCostShare
	}
	return cost
}

// The lowest effective weight of an objective, and the cost of moving an adapter
// as a share of that of a model.
const (
	minObjectiveWeight = 0.01
	adapterCostShare   = 0.2
)
