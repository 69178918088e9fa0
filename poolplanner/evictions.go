package poolplanner

import (
	"cmp"
	"slices"
	"time"

	"primrosehook/driver"
)

// unload plans the unload of weights. The adapters of a model go first, one per
// plan, since an engine takes one order at a time.
func (p *plan) unload(h *host, w driver.Weights, reason string) {
	victim := driver.LoadedWeights{}
	for _, r := range h.Loaded {
		if r.Weights == w {
			victim = r
		}
	}
	if w.Adapter == "" {
		for _, r := range h.Loaded {
			if r.Model == w.Model && r.Adapter != "" {
				victim = r
				break
			}
		}
	}
	if h.Busy || victim.State != driver.StateReady {
		return
	}
	p.moves = append(p.moves, Move{
		Engine: h.Name, Op: driver.OpUnload, Weights: victim.Weights, Memory: victim.MemoryMB, Reason: reason,
	})
	h.Busy = true
}

// continueEvictions continues the evictions of earlier plans, and drops those that
// are no longer safe or needed. An adapter may have lost its other replicas since
// an eviction began, and is then loaded elsewhere first.
func (p *plan) continueEvictions() {
	keys := make([]replicaKey, 0, len(p.evictions))
	for key := range p.evictions {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b replicaKey) int {
		return cmp.Or(cmp.Compare(a.engine, b.engine), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	for _, key := range keys {
		h, ok := p.byName[key.engine]
		if ok && h.Busy {
			// The unload may be under way, so the replica must not count as ready.
			continue
		}
		if !ok || h.stateOf(key.Weights) != driver.StateReady || !p.canUnload(h, key.Weights) || p.isEvictionObsolete(p.evictions[key]) {
			delete(p.evictions, key)
			continue
		}
		if !p.moveAdapters(victim{host: h, weights: key.Weights}) {
			p.unload(h, key.Weights, "makes room for "+p.evictions[key].replacement.Model)
		}
	}
}

// isEvictionObsolete reports whether an eviction is too old, or its replacement is
// no longer listed or fits without it, since lost engines may have come back.
// Without this check, a replica of the model with the most demand was unloaded
// four seconds after a zone had returned with empty engines, because the unloads
// of its adapters had begun before.
func (p *plan) isEvictionObsolete(c eviction) bool {
	m, known := p.models[c.replacement]
	return !known || p.now.Sub(c.startedAt) > maxEvictionTime || p.bestHost(m, p.footprint(m)) != nil
}

// maxEvictionTime is the maximum duration of an eviction.
const maxEvictionTime = time.Minute

// canUnload reports whether a replica may be unloaded: another one is ready, and
// the rules do not require it. If the models exceed the memory, the last replica
// of a model that has been idle may be unloaded too, unless the rules require it.
// Models that are no longer listed may always be unloaded.
func (p *plan) canUnload(h *host, w driver.Weights) bool {
	if p.readyCount(w, h) > 0 {
		m, known := p.models[w]
		return !known || p.readyCount(w, h) >= m.MinReplicas
	}
	m, known := p.models[w]
	if !known {
		return true
	}
	return p.exceedsMemory() && m.MinReplicas == 0 && p.now.Sub(p.CostPlanner.models[w].lastDemandAt) >= p.minIdle
}

// exceedsMemory reports whether the engines lack the memory for one replica of each
// model. Some models are then loaded only on demand.
func (p *plan) exceedsMemory() bool {
	memory := int64(0)
	for _, h := range p.engines {
		if h.Leaving {
			continue
		}
		memory += h.Free
		for _, r := range h.Loaded {
			memory += r.MemoryMB
		}
	}
	need := int64(0)
	for _, m := range p.state.Models {
		need += m.Memory
	}
	return need > memory
}

// makeRoom evicts the replica with the lowest loss among those whose engine then
// has the memory for a model.
func (p *plan) makeRoom(m *Model) {
	v := p.cheapestVictim(m)
	if v.host != nil {
		p.evict(v, m)
	}
}

// victim is a replica that may be evicted. loss is the number of requests lost
// without it within the horizon, memory its size in MB, which only
// findIdleReplicas sets.
type victim struct {
	host    *host
	weights driver.Weights
	loss    float64
	memory  int64
}

// cheapestVictim returns the replica with the lowest loss among those whose engine
// then has the memory for a model; its host is nil if there is none.
func (p *plan) cheapestVictim(m *Model) victim {
	var best victim
	for _, h := range p.engines {
		if h.Busy || h.Leaving || h.stateOf(m.Weights) != "" {
			continue
		}
		for _, r := range h.Loaded {
			if r.Adapter != "" || r.State != driver.StateReady || h.Free+r.MemoryMB < p.footprint(m) || !p.canUnload(h, r.Weights) {
				continue
			}
			if loss := p.loss(h, r.Weights); best.host == nil || loss < best.loss {
				best = victim{host: h, weights: r.Weights, loss: loss}
			}
		}
	}
	return best
}

// evict starts to replace a replica by a model. Adapters that are ready nowhere
// else are loaded elsewhere first, and the eviction waits for a later plan.
func (p *plan) evict(v victim, m *Model) {
	if p.moveAdapters(v) {
		return
	}
	p.evictions[replicaKey{v.host.Name, v.weights}] = eviction{startedAt: p.now, replacement: m.Weights}
	p.unload(v.host, v.weights, "makes room for "+m.Model)
}

// moveAdapters loads a victim's adapters that are ready nowhere else on other
// engines. It reports whether there are any such adapters.
func (p *plan) moveAdapters(v victim) bool {
	found := false
	for _, r := range v.host.Loaded {
		m, known := p.models[r.Weights]
		if !known || r.Adapter == "" || r.Model != v.weights.Model || p.readyCount(r.Weights, v.host) > 0 {
			continue
		}
		if p.readyCount(v.weights, v.host) == 0 {
			// This is the last replica of the model, so its adapters go too.
			continue
		}
		found = true
		if p.isLoading(m.Weights) || !p.canLoad(m) {
			continue
		}
		if h := p.bestHost(m, m.Memory); h != nil {
			p.load(h, m, "its engine makes room")
		}
	}
	return found
}

// findIdleReplicas returns the idle replicas, those with the lowest loss first. It
// computes them once per plan. Replicas of busy models are excluded: with many
// replicas each has a low loss, so two busy models would keep replacing each
// other.
func (p *plan) findIdleReplicas() []victim {
	if p.idleReplicas != nil {
		return *p.idleReplicas
	}
	all := []victim{}
	for _, h := range p.engines {
		if h.Busy || h.Leaving {
			continue
		}
		for _, r := range h.Loaded {
			if v := (victim{host: h, weights: r.Weights, memory: r.MemoryMB}); r.State == driver.StateReady && p.isIdle(&v) {
				all = append(all, v)
			}
		}
	}
	slices.SortStableFunc(all, func(a, b victim) int { return cmp.Compare(a.loss, b.loss) })
	p.idleReplicas = &all
	return all
}

// isIdle reports whether a replica has a low loss, another ready replica and a model
// with little demand. It sets the victim's loss.
func (p *plan) isIdle(v *victim) bool {
	m, known := p.models[v.weights]
	if !known || m.Adapter != "" || p.readyCount(v.weights, v.host) == 0 || !p.canUnload(v.host, v.weights) {
		return false
	}
	if p.slotsNeeded(m) > maxIdleShare*float64(v.host.Batch) {
		return false
	}
	v.loss = p.loss(v.host, v.weights)
	return v.loss < p.minGain(m)
}

// maxIdleShare is the highest demand of an idle model, as a share of a batch.
const maxIdleShare = 0.15
