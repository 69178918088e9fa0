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
	// Served counts those of them that did not fail, Absent the requests that were refused since no
	// server had what they need loaded in time, Full those that were refused for want of room.
	Served int `msgpack:"sv,omitempty"`
	Absent int `msgpack:"ab,omitempty"`
	Full   int `msgpack:"fl,omitempty"`
}

type demandKey struct{ service, key, build string }

// finishedRequests counts requests and sums how long each held a slot of a server.
type finishedRequests struct {
	count, served int
	held          time.Duration
}

// refusedRequests counts requests that got no server.
type refusedRequests struct{ absent, full int }

// RecordRefusal counts a request for a model that got no server.
func (f *Fleet) RecordRefusal(service string, q Request, status Status) {
	if q.Model == "" {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	key := demandKey{service, q.Key(), ""}
	refused := f.refused[key]
	switch status {
	case NotLoaded:
		refused.absent++
	case Full, RateLimited:
		refused.full++
	default:
		return
	}
	f.refused[key] = refused
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
func (f *Fleet) recordFinished(a *Assignment, held time.Duration, failed bool) {
	if a.request.Model == "" || !a.firstEventSeen {
		return
	}
	key := demandKey{a.service, a.request.Key(), ""}
	done := f.finished[key]
	done.count, done.held = done.count+1, done.held+held
	if !failed {
		done.served++
	}
	f.finished[key] = done
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
	refused := maps.Clone(f.refused)
	clear(f.refused)
	for k := range refused {
		all[k] += 0
	}
	list := make([]Demand, 0, len(all))
	for k, n := range all {
		list = append(list, Demand{
			Service: k.service, Key: k.key, Arrived: n, Waiting: f.awaitingReplica[k] + missed[k], Build: k.build, Done: finished[k].count, Held: finished[k].held,
			Served: finished[k].served, Absent: refused[k].absent, Full: refused[k].full,
		})
	}
	return list
}
