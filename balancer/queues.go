package balancer

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// maxPriority is the least urgent priority that is told apart.
const maxPriority = 9

// Queue is what waits at an instance, or at several, for busy servers. It is encoded as an array
// of its fields.
type Queue struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by reflection
	Service  string
	// Key is what the requests have in common of which either all or none can be sent.
	Key string
	// Waiting is the number of requests by priority, without the last ones that are zero. After
	// those of maxPriority come, by priority too, the requests that wait although they will be
	// late. Builds that do not know of these pass over them.
	Waiting []int
	// Granted is how many requests got a server lately, per second.
	Granted float64
}

// ahead returns how many requests of a queue go before one of a priority, which will be late or not.
func (q Queue) ahead(priority int, late bool) int {
	n := 0
	for i, count := range q.Waiting {
		p, isLate := i%lateIndex, i >= lateIndex
		if p < priority || p == priority && (late || !isLate) {
			n += count
		}
	}
	return n
}

// lateIndex is the index in Queue.Waiting of the late requests of priority zero.
const lateIndex = maxPriority + 1

// waiting returns how many requests wait.
func (q Queue) waiting() int { return q.ahead(maxPriority, true) }

// queueID identifies a queue of all instances.
type queueID struct{ service, key string }

// Queues sums queues of several instances.
type Queues map[queueID]Queue

// Add adds the queues of an instance.
func (q Queues) Add(list []Queue) { q.add(list, 1) }

// Remove removes the queues of an instance that were added before.
func (q Queues) Remove(list []Queue) { q.add(list, -1) }

func (q Queues) add(list []Queue, times int) {
	for _, x := range list {
		id := queueID{x.Service, x.Key}
		sum := q[id]
		sum.Service, sum.Key, sum.Granted = x.Service, x.Key, max(sum.Granted+float64(times)*x.Granted, 0)
		waiting := make([]int, max(len(sum.Waiting), len(x.Waiting)))
		copy(waiting, sum.Waiting)
		for p, n := range x.Waiting {
			waiting[p] = max(waiting[p]+times*n, 0)
		}
		sum.Waiting = waiting
		if sum.Granted < minReportedRate && sum.waiting() == 0 {
			delete(q, id)
			continue
		}
		q[id] = sum
	}
}

// Without returns the queues but for those of one instance, whose requests are among them.
func (q Queues) Without(own []Queue) Queues {
	rest := maps.Clone(q)
	rest.Remove(own)
	return rest
}

// List returns the queues in which requests wait, and the rates of arrivals for plain servers.
func (q Queues) List() []Queue {
	var list []Queue
	for _, x := range q {
		if x.waiting() > 0 || x.Key == arrivalsKey {
			list = append(list, x)
		}
	}
	slices.SortFunc(list, func(a, b Queue) int { return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Key, b.Key)) })
	return list
}

// list returns the queues by key, with those of which requests were granted a server lately.
func (wq *WaitQueue) list(now time.Time, service string) []Queue {
	wq.forgetIdle(now)
	byKey := map[string]*Queue{}
	get := func(key string) *Queue {
		q, ok := byKey[key]
		if !ok {
			q = &Queue{Service: service, Key: key}
			byKey[key] = q
		}
		return q
	}
	for key, g := range wq.grants {
		rate := g.Rate(now, grantHalfLife)
		if rate < minReportedRate {
			delete(wq.grants, key)
			continue
		}
		get(key).Granted = rate
	}
	if rate := wq.plain.arrivals.Rate(now, arrivalHalfLife); rate >= minReportedRate {
		get(arrivalsKey).Granted = rate
	}
	for _, w := range wq.waiters {
		q := get(w.queueKey())
		p := min(max(w.Priority, 0), maxPriority)
		if wq.lateRank(now, w) > 0 {
			p += lateIndex
		}
		for len(q.Waiting) <= p {
			q.Waiting = append(q.Waiting, 0)
		}
		q.Waiting[p]++
	}
	var list []Queue
	for _, key := range slices.Sorted(maps.Keys(byKey)) {
		list = append(list, *byKey[key])
	}
	return list
}

// OwnQueues returns the requests that wait on this instance for busy servers, and the rates at
// which they and others got one.
func (f *Fleet) OwnQueues() []Queue {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	var list []Queue
	for _, service := range slices.Sorted(maps.Keys(f.queues)) {
		if c, ok := f.cores[service]; ok && (c.hasModels() || f.queues[service].plain.used) {
			list = append(list, f.queues[service].list(now, service)...)
		}
	}
	return list
}

// UpdatePeerQueues replaces the queues of the peers.
func (f *Fleet) UpdatePeerQueues(list []Queue) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	for _, wq := range f.queues {
		wq.peers = nil
	}
	for _, q := range list {
		wq := f.queue(q.Service)
		if wq.peers == nil {
			wq.peers = map[string]Queue{}
		}
		wq.peers[q.Key], wq.peersAt = q, now
		wq.traffic(q.Key).updatePeers(now, q.Granted)
	}
}
