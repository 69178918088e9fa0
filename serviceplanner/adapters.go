package serviceplanner

import (
	"fmt"
	"maps"
	"slices"

	"primrosehook/balancer"
)

// adapterPass says which adapters loadMissingAdapters loads.
type adapterPass int

const (
	// inDemand adapters are loaded into free slots, which takes some milliseconds.
	inDemand adapterPass = iota
	// inDemandReplacing adapters may replace others in clearly less demand, whose requests have to end
	// first.
	inDemandReplacing
	// withoutDemand adapters are loaded into free slots.
	withoutDemand
)

// loadMissingAdapters loads adapters that no server has loaded.
func (p *planner) loadMissingAdapters(pass adapterPass) {
	for _, m := range p.models {
		if p.replicas[m] == 0 {
			continue
		}
		loaded := map[string]bool{}
		for _, s := range p.servers {
			for _, a := range s.planned[m] {
				loaded[a] = true
			}
		}
		for i := range p.Engine.Models[m].Adapters {
			a := fmt.Sprintf("a%d", i+1)
			key := balancer.Key(m, a)
			demanded := p.Demand[key] > 0 || p.Waiting[key] > 0
			if loaded[a] || demanded != (pass != withoutDemand) {
				continue
			}
			p.loadAdapter(m, a, "", pass == inDemandReplacing)
		}
	}
}

// loadAdapter orders the load of an adapter at a server of a build, or if mayEvict is set
// the unload that makes room for it.
func (p *planner) loadAdapter(m, a, build string, mayEvict bool) {
	spec := p.Engine.Models[m]
	var best *server
	room := 0
	for _, s := range p.servers {
		list, ok := s.planned[m]
		if !ok || slices.Contains(list, a) || s.Busy || !s.runs(build) || p.usedMemory(s)+spec.AdapterSizeMB > p.Engine.MemoryMB {
			continue
		}
		if n := p.freeSlots(s); n > room {
			best, room = s, n
		}
	}
	if best != nil {
		p.orders = append(p.orders, Order{Server: best.ID, Op: Load, Model: m, Adapter: a, Reason: "no server has the adapter loaded"})
		best.planned[m] = append(slices.Clone(best.planned[m]), a)
		best.Busy = true
		return
	}
	if mayEvict {
		p.evictAdapter(m, a, build)
	}
}

// evictAdapter unloads an adapter at a replica of m of a build, to make room for the adapter
// a of m. It does nothing unless there is one in clearly less demand than a. That
// may be the only copy of the adapter: there may be more adapters than slots, and
// it is loaded again within milliseconds where a slot is free.
func (p *planner) evictAdapter(m, a, build string) {
	var best *server
	var model, adapter string
	key := balancer.Key(m, a)
	least := p.Demand[key] + float64(p.Waiting[key]+p.WaitingBuilds[BuildKey{key, build}])*demandPerWaiting
	for _, s := range p.servers {
		if _, ok := s.planned[m]; !ok || s.Busy || !s.runs(build) {
			continue
		}
		free := p.Engine.MemoryMB - p.usedMemory(s)
		for _, vm := range slices.Sorted(maps.Keys(s.planned)) {
			for _, va := range s.planned[vm] {
				if p.Engine.Models[m].AdapterSizeMB > free+p.Engine.Models[vm].AdapterSizeMB {
					continue
				}
				d := p.Demand[balancer.Key(vm, va)] / float64(1+p.adapterReplicasExcept(s, vm, va))
				if d*minDemandRatio < least {
					best, model, adapter, least = s, vm, va, d
				}
			}
		}
	}
	if best == nil {
		return
	}
	next := Order{Server: best.ID, Op: Load, Model: m, Adapter: a, Reason: "no server has the adapter loaded"}
	order := Order{Server: best.ID, Op: Unload, Model: model, Adapter: adapter, Requested: p.Demand[balancer.Key(model, adapter)] > 0, Next: &next, Reason: "room for " + m + "/" + a}
	p.orders = append(p.orders, order)
	best.apply(order)
	best.apply(next)
	best.Busy = true
}
