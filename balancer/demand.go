package balancer

import (
	"maps"
	"time"
)

// Demand is the demand for a model or adapter since the last report.
type Demand struct {
	Service string `msgpack:"s"`
	Key     string `msgpack:"k"`
	// Arrived counts the requests that arrived, Waiting those that wait for a
	// replica now, or were refused since none is there in time.
	Arrived int `msgpack:"a"`
	Waiting int `msgpack:"w"`
	// Build is the only build whose replicas are of use, empty for any.
	Build string `msgpack:"b,omitempty"`
	// Done counts the requests that servers have finished, Held is for how long they held a slot
	// in all.
	Done int           `msgpack:"d,omitempty"`
	Held time.Duration `msgpack:"h,omitempty"`
}

type demandKey struct{ service, key, build string }

// finishedRequests counts requests and sums how long each held a slot of a server.
type finishedRequests struct {
	count int
	held  time.Duration
}

// RecordArrival counts a request for a model as demand.
func (f *Fleet) RecordArrival(service string, q Request) {
	if q.Model == "" {
		return
	}
	f.mu.Lock()
	f.arrived[demandKey{service, q.Key(), ""}]++
	f.mu.Unlock()
}

// recordFinished records that a server has finished a request. f.mu must be held.
func (f *Fleet) recordFinished(a *Assignment, held time.Duration) {
	if a.request.Model == "" || !a.firstEventSeen {
		return
	}
	key := demandKey{a.service, a.request.Key(), ""}
	done := f.finished[key]
	f.finished[key] = finishedRequests{done.count + 1, done.held + held}
	f.queue(a.service).traffic(a.request.queueKey()).recordHolding(held)
}

// TakeDemand returns the demand since the last call, and resets the counts of
// arrivals.
func (f *Fleet) TakeDemand() []Demand {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := maps.Clone(f.arrived)
	clear(f.arrived)
	for k := range f.awaitingReplica {
		all[k] += 0
	}
	missed := maps.Clone(f.missed)
	clear(f.missed)
	for k := range missed {
		all[k] += 0
	}
	finished := maps.Clone(f.finished)
	clear(f.finished)
	for k := range finished {
		all[k] += 0
	}
	list := make([]Demand, 0, len(all))
	for k, n := range all {
		list = append(list, Demand{Service: k.service, Key: k.key, Arrived: n, Waiting: f.awaitingReplica[k] + missed[k], Build: k.build, Done: finished[k].count, Held: finished[k].held})
	}
	return list
}
