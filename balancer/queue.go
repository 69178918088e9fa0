package balancer

import (
	"slices"
	"time"

	"primrosehook/decayer"
)

const (
	// grantHalfLife is the half-life of the count of grants, from which the wait
	// of a further request is predicted.
	grantHalfLife = time.Second
	// minGrantRate is the lowest rate of grants per second that is assumed, so
	// that the first requests to wait are not refused for lack of a history.
	minGrantRate = 4.0
	// minReportedRate is the rate of grants per second below which peers are not told.
	minReportedRate = 0.05
)

// Waiter is a request that waits for a server.
type Waiter struct {
	Request
	service string
	granted chan *Assignment
	// awaitsReplica is set if no replica of the model was available when the
	// request arrived.
	awaitsReplica bool
	// since is when the request began to wait, zero if that is not known.
	since time.Time
}

// WaitQueue holds the requests of one service that wait for a server. They are
// served by priority, then those that can still meet their latency objective
// before those that can't, then fairly by account, then by target time. Serving late requests first would
// make the next ones late as well. Package admitter decides which requests are queued.
// It is not safe for concurrent use.
type WaitQueue struct {
	waiters []*Waiter
	grants  map[string]*decayer.Counter
	// keys is what is known of the requests of each key.
	keys map[string]*traffic
	// reviewedAt is when waiting requests were last reviewed, reviewed how many were refused then.
	reviewedAt time.Time
	reviewed   int
	// peers are the queues of the peers by key as of peersAt.
	peers   map[string]Queue
	peersAt time.Time
	plain   plainState
}

// NewWaitQueue returns an empty queue.
func NewWaitQueue() *WaitQueue {
	return &WaitQueue{grants: map[string]*decayer.Counter{}, keys: map[string]*traffic{}}
}

// Len returns how many requests wait.
func (wq *WaitQueue) Len() int { return len(wq.waiters) }

// Predict returns how long a request would wait, from the number of requests for
// the same model that would go before it and the recent rate of grants, here and at the peers.
func (wq *WaitQueue) Predict(now time.Time, q Request) time.Duration {
	ahead, rate := wq.ahead(now, q)
	return time.Duration(ahead / rate * float64(time.Second))
}

// Add adds a request to the queue.
func (wq *WaitQueue) Add(w *Waiter) {
	wq.waiters = append(wq.waiters, w)
	wq.traffic(w.queueKey()).use.enter(w.Request)
}

// Remove removes a request from the queue and reports whether it was there.
func (wq *WaitQueue) Remove(w *Waiter) bool {
	i := slices.Index(wq.waiters, w)
	if i < 0 {
		return false
	}
	wq.waiters = slices.Delete(wq.waiters, i, i+1)
	wq.traffic(w.queueKey()).use.leave(w.Request)
	return true
}

// Serve calls offer for the waiting requests in order. Offer reports whether the
// request was granted a server; it then leaves the queue. Once a request could
// not be served, the others with the same key are not offered, but for urgent ones
// after a patient one.
func (wq *WaitQueue) Serve(now time.Time, offer func(w *Waiter) bool) {
	if len(wq.waiters) == 0 {
		return
	}
	ordered := wq.order(now)
	wq.waiters = wq.waiters[:0]
	for _, r := range ordered {
		wq.waiters = append(wq.waiters, r.waiter)
	}
	type group struct {
		key     string
		patient bool
	}
	blocked := map[group]bool{}
	wq.waiters = slices.DeleteFunc(wq.waiters, func(w *Waiter) bool {
		key := w.queueKey()
		if blocked[group{key, w.patient}] {
			return false
		}
		if !offer(w) {
			// Slots that a patient request leaves free are for the urgent ones.
			blocked[group{key, true}] = true
			blocked[group{key, false}] = blocked[group{key, false}] || !w.patient
			return false
		}
		wq.RecordGrant(now, w.Request)
		wq.traffic(key).use.leave(w.Request)
		return true
	})
}

// RecordGrant counts a request that was granted a server.
func (wq *WaitQueue) RecordGrant(now time.Time, q Request) {
	key := q.queueKey()
	t := wq.traffic(key)
	t.use.serve(q)
	t.recordUrgent(now, q, 1)
	t.granted.Add(now, trafficHalfLife, 1)
	if lateRank(now, q) == 0 {
		t.onTime.Add(now, trafficHalfLife, 1)
	}
	g, ok := wq.grants[key]
	if !ok {
		g = &decayer.Counter{}
		wq.grants[key] = g
	}
	g.Add(now, grantHalfLife, 1)
}

// RevokeGrant reverts RecordGrant for a request that was not sent after all.
func (wq *WaitQueue) RevokeGrant(now time.Time, q Request) {
	key := q.queueKey()
	t := wq.traffic(key)
	t.recordUrgent(now, q, -1)
	t.granted.Add(now, trafficHalfLife, -min(1, t.granted.Value(now, trafficHalfLife)))
	if lateRank(now, q) == 0 {
		t.onTime.Add(now, trafficHalfLife, -min(1, t.onTime.Value(now, trafficHalfLife)))
	}
	if g, ok := wq.grants[key]; ok {
		g.Add(now, grantHalfLife, -min(1, g.Value(now, grantHalfLife)))
	}
}

// lateRank is 1 for a request that can't be on time.
func lateRank(now time.Time, q Request) int {
	if q.late || now.After(q.TargetTime) {
		return 1
	}
	return 0
}
