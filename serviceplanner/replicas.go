package serviceplanner

import (
	"fmt"
	"slices"

	"primrosehook/balancer"
)

const (
	// replicaDemand is the demand per replica, in requests a second, above which
	// another replica noticeably shortens the wait for a first token: at some
	// 70 ms of prefill per request, prefill takes a fifth of an engine's time.
	replicaDemand = 2.5
	// replicaCapacity is the demand per replica, in requests a second, above which requests are
	// refused: at some 70 ms of prefill, that takes four tenths of an engine's time, and with
	// pauses of its running streams as long as they may be it has no more.
	replicaCapacity = 6.0
	// slotShare is the share of a server's slots up to which requests come and go without
	// waiting for one: arrivals come in clumps.
	slotShare = 0.7
	// minDemandRatio is how many times the demand of the replica that it
	// replaces a new replica must get.
	minDemandRatio = 1.5
	// lastReplicaRatio is how many times the demand for a model the demand that is not served
	// must be for its last replica to make room.
	lastReplicaRatio = 8.0
)

// capacityOf returns the demand per replica above which requests are refused. Prefill limits it on
// engines with many slots, and the slots on those with few.
func capacityOf(s State) float64 {
	if s.HoldingTime <= 0 || s.Engine.Slots <= 0 {
		return replicaCapacity
	}
	return min(replicaCapacity, slotShare*float64(s.Engine.Slots)/s.HoldingTime.Seconds())
}

// addUnserved adds replicas of the models with most demand that no replica has room for,
// which is all of it for a model that no server has loaded.
func (p *planner) addUnserved() {
	tried := map[string]bool{}
	for range len(p.servers) {
		best, most := "", 0.0
		for _, m := range p.models {
			if u := p.unserved(m); u > most && !tried[m] && p.replicas[m] < len(p.servers) {
				best, most = m, u
			}
		}
		if best == "" {
			return
		}
		reason := "no server has the model loaded"
		if n := p.replicas[best]; n > 0 {
			reason = fmt.Sprintf("%.1f requests/s per replica", p.modelDemand[best]/float64(n))
		}
		if !p.addReplica(best, "", reason, (*planner).anyVictim) {
			tried[best] = true
		}
	}
}

// unserved returns the demand for a model that its replicas have no room for.
func (p *planner) unserved(m string) float64 {
	return max(p.modelDemand[m]-float64(p.replicas[m])*p.capacity, 0)
}

// addReplicas adds replicas of the models in most demand per replica.
func (p *planner) addReplicas() {
	for range len(p.servers) {
		best, most := "", p.comfort
		for _, m := range p.models {
			if n := p.replicas[m]; n > 0 && n < len(p.servers) {
				if d := p.modelDemand[m] / float64(n); d > most {
					best, most = m, d
				}
			}
		}
		if best == "" || !p.addReplica(best, "", fmt.Sprintf("%.1f requests/s per replica", most), (*planner).lessWanted) {
			return
		}
	}
}

// noVictim makes no room for a model.
func noVictim(*planner, *server, string) (string, bool) { return "", false }

// anyVictim returns the model to unload from a server to make room for m: that with the least
// demand per remaining replica, or one whose last replica may go.
func (p *planner) anyVictim(s *server, m string) (string, bool) {
	return p.victim(s, m, func(v string, others int, after float64) bool {
		return others > 0 && (p.replicas[m] == 0 || after*minDemandRatio <= p.modelDemand[m]/float64(p.replicas[m]+1)) || others < 1 && p.mayLoseLast(v, m)
	})
}

// lessWanted is anyVictim for a model whose demand its replicas have room for. No last replica
// makes room for it.
func (p *planner) lessWanted(s *server, m string) (string, bool) {
	return p.victim(s, m, func(_ string, others int, after float64) bool {
		return others > 0 && after*minDemandRatio <= p.modelDemand[m]/float64(p.replicas[m]+1)
	})
}

// victim returns the model to unload from a server to make room for m, and whether there is
// one: of those that may be, that with the least demand per remaining replica, with the demand
// for the adapters that are lost.
func (p *planner) victim(s *server, m string, may func(v string, others int, after float64) bool) (string, bool) {
	best, least := "", 0.0
	for v := range s.planned {
		if p.usedMemory(s)-p.Engine.Models[v].SizeMB+p.Engine.Models[m].SizeMB > p.Engine.MemoryMB {
			continue
		}
		others := p.keptElsewhere(s, v)
		after := p.modelDemand[v]/float64(max(others, 1)) + p.lostAdapterDemand(s, v)
		if may(v, others, after) && (best == "" || after < least || after == least && v < best) {
			best, least = v, after
		}
	}
	return best, best != ""
}

// mayLoseLast reports whether the last replica of a model may make room for m: the demand for m
// that is not served is clearly more. A model that was not requested for a time may still be
// requested about once in that time. Its requests then wait for its load.
func (p *planner) mayLoseLast(v, m string) bool {
	since, ok := p.Unrequested[v]
	if !ok || since <= 0 {
		return false
	}
	demand := max(p.modelDemand[v], 1/since.Seconds())
	return p.waiting[v] == 0 && p.unserved(m) > lastReplicaRatio*demand
}

// keptElsewhere returns the number of servers other than one that keep a model loaded.
func (p *planner) keptElsewhere(s *server, m string) int {
	if s.keeps(m) {
		return p.kept[m] - 1
	}
	return p.kept[m]
}

// addAdapterReplicas loads adapters in demand at further servers that have their model loaded
// and less to do.
func (p *planner) addAdapterReplicas() {
	loads, holders := p.adapterLoads()
	for _, m := range p.models {
		for i := range p.Engine.Models[m].Adapters {
			a := fmt.Sprintf("a%d", i+1)
			key := balancer.Key(m, a)
			if n := float64(len(holders[key])); n > 0 && p.Demand[key]/n > p.comfort {
				p.addAdapterReplica(m, a, loads, holders[key])
			}
		}
	}
}

// adapterLoads returns the demand for what each server will have loaded, in requests a second,
// and the servers that will have each adapter loaded.
func (p *planner) adapterLoads() (loads map[*server]float64, holders map[string][]*server) {
	loads, holders = map[*server]float64{}, map[string][]*server{}
	for _, s := range p.servers {
		for m, adapters := range s.planned {
			loads[s] += p.Demand[m] / float64(p.replicas[m])
			for _, a := range adapters {
				key := balancer.Key(m, a)
				holders[key] = append(holders[key], s)
			}
		}
	}
	for key, list := range holders {
		for _, s := range list {
			loads[s] += p.Demand[key] / float64(len(list))
		}
	}
	return loads, holders
}

// addAdapterReplica loads an adapter at one further server, unless one of those that have it
// has little enough to do.
func (p *planner) addAdapterReplica(m, a string, loads map[*server]float64, holders []*server) {
	key := balancer.Key(m, a)
	share := p.Demand[key] / float64(len(holders))
	least := loads[holders[0]]
	for _, s := range holders {
		least = min(least, loads[s])
	}
	var best *server
	for _, s := range p.servers {
		if _, ok := s.planned[m]; !ok || slices.Contains(holders, s) || s.Busy || !s.keeps(m) || p.freeSlots(s) <= 0 ||
			p.usedMemory(s)+p.Engine.Models[m].AdapterSizeMB > p.Engine.MemoryMB {
			continue
		}
		if best == nil || loads[s] < loads[best] {
			best = s
		}
	}
	moved := p.Demand[key] / float64(len(holders)+1)
	if best == nil || least < minDemandRatio*(loads[best]+moved) {
		return
	}
	best.Busy = true
	best.planned[m] = append(slices.Clone(best.planned[m]), a)
	loads[best] += moved
	p.orders = append(p.orders, Order{Server: best.ID, Op: Load, Model: m, Adapter: a, Reason: fmt.Sprintf("%.1f requests/s per replica", share)})
}
