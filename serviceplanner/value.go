package serviceplanner

import (
	"math"
	"time"
)

const (
	// coldReloadPrice is how many requests are lost if a model that no server keeps the weights of
	// is requested after its last replica went: its load takes 5 to 8.6 s, in which clients that
	// come back after a refusal are refused again.
	coldReloadPrice = 8.0
	// warmReloadPrice is the same for a model whose weights some server keeps: its load takes 1.2
	// to 1.7 s, so that the first requests are late, which leaves a tenth to a third of their
	// value, and the replica that went for it has to come back as well.
	warmReloadPrice = 2.0
	// comfortShare is the share of the demand above what replicas serve without noticeable waits
	// that comes late.
	comfortShare = 0.2
	// minIdle is how long nobody must have requested a model before its last replica makes room
	// for one that is served, but slowly: about the time in which a replica in demand has gained
	// more than the two loads cost.
	minIdle = 10 * time.Second
	// noiseFactor times the root of a rate is how much the fast rate exceeds the slow one by
	// chance: with a half-life of one second its standard deviation is 0.6 of the root.
	noiseFactor = 1.2
	// maxGrowth bounds the forecast, in multiples of the fast rate.
	maxGrowth = 1.5
)

// Forecast returns the demand, in requests a second, that is expected once a load that is ordered
// now is complete, from rates with a fast and a slow half-life of one and three seconds. If demand
// grows steadily, they differ by as much as it grows in the time of a load from host memory or disk
// beside the lag of the fast one. A difference that may be chance does not count.
func Forecast(fast, slow float64) float64 {
	growth := max(fast-slow-noiseFactor*math.Sqrt(max(fast, 0)), 0)
	return max(min(fast+growth, maxGrowth*fast), slow)
}

// gain returns how many requests a second are served by one more replica of a model that are not
// served now. Those that wait for a model that no server has loaded, or were refused, come first.
func (p *planner) gain(m string) float64 {
	served := min(p.unserved(m), p.capacity)
	if p.replicas[m] == 0 {
		served = max(served, demandPerWaiting*float64(p.waiting[m]))
	}
	return served
}

// comfortGain returns how many requests a second are no longer late with one more replica of a
// model whose replicas serve all its demand, but slowly.
func (p *planner) comfortGain(m string) float64 {
	return comfortShare * min(max(p.modelDemand[m]-float64(p.replicas[m])*p.comfort, 0), p.comfort)
}

// mayLoseLast reports whether the last replica of a model may make room for one that gains a number
// of requests a second: that is more than the requests that are lost while the model is loaded
// again, from where its weights are. A model that was not requested for a time may still be
// requested about once in that time. Nothing makes room while a request waits for it.
func (p *planner) mayLoseLast(v string, gain float64) bool {
	since, ok := p.Unrequested[v]
	if !ok || since <= 0 || p.waiting[v] > 0 {
		return false
	}
	return gain > p.lossOfLast(v, since)
}

// lossOfLast returns how many requests a second are lost without the last replica of a model.
func (p *planner) lossOfLast(v string, since time.Duration) float64 {
	price := coldReloadPrice
	if p.warm[v] {
		price = warmReloadPrice
	}
	if since <= 0 {
		return price * p.modelDemand[v]
	}
	return price * max(p.modelDemand[v], 1/since.Seconds())
}

// loss returns how many requests a second are lost, or come late, without the replica of a model on
// a server.
func (p *planner) loss(s *server, v string) float64 {
	others, demand := float64(p.keptElsewhere(s, v)), p.modelDemand[v]
	adapters := p.lostAdapterDemand(s, v)
	if others < 1 {
		return p.lossOfLast(v, p.Unrequested[v]) + adapters
	}
	served := min(demand, others*p.capacity)
	// Without a loss the replica of the model with less demand goes.
	const tieBreak = 0.01
	return demand - served + comfortShare*max(served-others*p.comfort, 0) + adapters + tieBreak*demand/others
}
