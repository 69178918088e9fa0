package poolplanner

import (
	"math"
	"time"

	"primrosehook/driver"
)

// estimateLoads estimates the load of each engine. The demand for a model is
// distributed over its replicas in proportion to their headroom, which a few
// rounds approximate.
func (p *plan) estimateLoads() {
	for range loadRounds {
		for _, h := range p.engines {
			h.nextLoad = 0
		}
		for i := range p.state.Models {
			p.distribute(&p.state.Models[i])
		}
		for _, h := range p.engines {
			h.load = h.nextLoad
		}
	}
}

const loadRounds = 3

func (p *plan) distribute(m *Model) {
	replicas := p.replicasOf(m.Weights)
	sum := 0.0
	for _, h := range replicas {
		sum += headroom(h, h.shares[m.Weights])
	}
	slots := p.slotsNeeded(m)
	for _, h := range replicas {
		part := slots * headroom(h, h.shares[m.Weights]) / sum
		h.shares[m.Weights] = part
		h.nextLoad += part
	}
}

// headroom returns the free slots of a host if part of its load were gone. It is
// never zero, since demand is distributed in proportion to it.
func headroom(h *host, part float64) float64 {
	return max(float64(max(h.Batch, 1))-h.load+part, minHeadroom)
}

const minHeadroom = 0.5

// slotsNeeded returns how many slots the demand for a model occupies. The demand
// for its adapters is counted with these, since it runs only on their replicas.
func (p *plan) slotsNeeded(m *Model) float64 {
	rate := max(p.CostPlanner.models[m.Weights].peak-p.adapterDemand[m.Weights], 0)
	return rate * p.serviceTime(m).Seconds()
}

func (p *plan) serviceTime(m *Model) time.Duration {
	if m.ServiceTime <= 0 {
		return defaultService
	}
	return m.ServiceTime
}

const defaultService = 2 * time.Second

// overflow returns the expected number of requests beyond an engine's batch when
// the mean number of concurrent requests is load. The number at any moment is
// assumed to be normally distributed, with the variance of a Poisson process.
func overflow(load float64, batch int) float64 {
	if load <= 0 {
		return 0
	}
	deviation := math.Sqrt(load)
	z := (float64(max(batch, 1)) - load) / deviation
	density := math.Exp(-z*z/2) / math.Sqrt(2*math.Pi)
	tail := math.Erfc(z/math.Sqrt2) / 2
	return deviation * (density - z*tail)
}

// gain returns how many more requests are served within the horizon with a new
// replica. A second replica of a model is credited with the demand for its
// adapters, which can follow it. Later ones are not, since loading just the
// adapter is cheaper.
func (p *plan) gain(to *host, m *Model) float64 {
	replicas := p.replicasOf(m.Weights)
	moved := make([]float64, len(replicas))
	total, before := 0.0, overflow(to.load, to.Batch)
	for i, h := range replicas {
		moved[i] = h.shares[m.Weights]
		if m.Adapter == "" && len(replicas) == 1 {
			moved[i] = p.loadWithAdapters(h, m)
		}
		total += moved[i]
		before += overflow(h.load, h.Batch)
	}
	headroomSum := headroom(to, 0)
	for i, h := range replicas {
		headroomSum += headroom(h, moved[i])
	}
	after := overflow(to.load+total*headroom(to, 0)/headroomSum, to.Batch)
	for i, h := range replicas {
		after += overflow(h.load-moved[i]+total*headroom(h, moved[i])/headroomSum, h.Batch)
	}
	return (before - after) / p.serviceTime(m).Seconds() * p.horizon.Seconds()
}

// loadWithAdapters returns a host's load from a model and its adapters, in slots.
func (p *plan) loadWithAdapters(h *host, m *Model) float64 {
	sum := 0.0
	for _, r := range h.Loaded {
		if r.Weights == m.Weights || (m.Adapter == "" && r.Model == m.Model) {
			sum += h.shares[r.Weights]
		}
	}
	return sum
}

// loss returns how many requests are lost within the horizon if a replica is
// unloaded and its load moves to the other replicas.
func (p *plan) loss(h *host, w driver.Weights) float64 {
	m, ok := p.models[w]
	if !ok {
		return 0
	}
	part := p.loadWithAdapters(h, m)
	before, after := overflow(h.load, h.Batch), overflow(h.load-part, h.Batch)
	headroomSum := 0.0
	for _, o := range p.replicasOf(w) {
		if o != h {
			headroomSum += headroom(o, 0)
		}
	}
	for _, o := range p.replicasOf(w) {
		if o != h {
			before += overflow(o.load, o.Batch)
			after += overflow(o.load+part*headroom(o, 0)/headroomSum, o.Batch)
		}
	}
	lost := max(after-before, 0) / p.serviceTime(m).Seconds() * p.horizon.Seconds()
	return lost + p.slotsNeeded(m)*idleLossWeight
}

// idleLossWeight makes the replica with less demand go first if neither causes an
// overflow.
const idleLossWeight = 0.01
