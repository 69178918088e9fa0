package balancer

import (
	"maps"
	"math"
	"time"

	"primrosehook/admitter"
	"primrosehook/decayer"
)

const (
	// trafficHalfLife is the half-life of the rates by which it is decided whether requests on time
	// need all capacity. It spans several bursts of about a second.
	trafficHalfLife = 5 * time.Second
	// holdingWeight is the weight of the latest request in the mean time for which requests hold a
	// slot.
	holdingWeight = 0.05
	// capacityMargin is the share of the capacity by that mean that is counted on: requests hold
	// their slots for longer while all are in use.
	capacityMargin = 0.8
	// minTrafficRate is the rate per second below which nothing is remembered of a key.
	minTrafficRate = 0.001
	// reviewInterval is the pause between reviews of the requests that wait although they will be
	// late. It is the share of a client's time that one is held in vain at most.
	reviewInterval = 100 * time.Millisecond
)

// competes reports whether capacity that requests on time leave is given out among those that will be
// late, and slots are kept free for urgent ones: where client accounts share the servers. Elsewhere
// requests that waited to be answered late made others late.
func (q Request) competes() bool { return q.Account != "" }

// traffic is what is known of the requests of one key that got a server.
type traffic struct {
	// granted counts those of this instance, onTime those of them that could be on time. Both
	// decay with trafficHalfLife, and peers is a mean of the peers' rates over that time.
	granted, onTime decayer.Counter
	peers           float64
	peersAt         time.Time
	// urgent counts those of this instance that were not patient, and decays alike.
	urgent decayer.Counter
	// holding is the mean time in seconds for which requests hold a slot, zero if it is not known.
	holding float64
	returns admitter.Returns
	use     accountUse
}

// updatePeers records the peers' rate of grants.
func (t *traffic) updatePeers(now time.Time, rate float64) {
	weight := 1.0
	if !t.peersAt.IsZero() {
		weight = 1 - math.Exp2(-now.Sub(t.peersAt).Seconds()/trafficHalfLife.Seconds())
	}
	t.peers, t.peersAt = t.peers+weight*(rate-t.peers), now
}

// peersRate returns the mean of the peers' rate of grants, zero once it is too old.
func (t *traffic) peersRate(now time.Time) float64 {
	if now.Sub(t.peersAt) >= peersTTL {
		return 0
	}
	return t.peers
}

// onTimeRate returns the rate at which requests that could be on time got a server, at all
// instances. The peers' share of such requests is taken to be this instance's. Without any, all
// are taken to have been on time.
func (t *traffic) onTimeRate(now time.Time) float64 {
	share := (t.onTime.Value(now, trafficHalfLife) + 1) / (t.granted.Value(now, trafficHalfLife) + 1)
	return share * (t.granted.Rate(now, trafficHalfLife) + t.peersRate(now))
}

// ownRate returns the rate at which requests of this instance can get a server, of the rate of all.
func (t *traffic) ownRate(now time.Time, rate float64) float64 {
	own := t.granted.Rate(now, trafficHalfLife)
	return rate * (own + minReportedRate) / (own + t.peersRate(now) + minReportedRate)
}

func (t *traffic) recordHolding(held time.Duration) {
	if t.holding == 0 {
		t.holding = held.Seconds()
		return
	}
	t.holding += holdingWeight * (held.Seconds() - t.holding)
}

// traffic returns what is known of the requests of a key.
func (wq *WaitQueue) traffic(key string) *traffic {
	t, ok := wq.keys[key]
	if !ok {
		t = &traffic{}
		wq.keys[key] = t
	}
	return t
}

// forgetIdle drops what is known of keys that were not requested for long.
func (wq *WaitQueue) forgetIdle(now time.Time) {
	waits := map[string]bool{}
	for _, w := range wq.waiters {
		waits[w.queueKey()] = true
	}
	maps.DeleteFunc(wq.keys, func(key string, t *traffic) bool {
		return !waits[key] && t.granted.Rate(now, trafficHalfLife)+t.peersRate(now) < minTrafficRate
	})
}

// comesTooLate reports whether a request will be served only after its client has left. Load has
// the requests of this instance that go before it.
func (wq *WaitQueue) comesTooLate(now time.Time, w *Waiter, l admitter.Load) bool {
	if p, ok := wq.peers[w.queueKey()]; ok && now.Sub(wq.peersAt) < peersTTL {
		// Of the peers' late requests half go before it, as far as is known.
		onTime := float64(p.ahead(w.Priority, false))
		l.LateAhead += onTime + (float64(p.ahead(w.Priority, true))-onTime)/2
	}
	wait, ok := admitter.LateWait(l)
	return ok && wait > w.Deadline.Sub(now) || !ok && (l.LateAhead >= 1 || w.isPlain())
}

// capacity returns the capacity of the servers for the requests of a key, and what those on time
// take of it. InFlight is the number of requests in flight at the replicas.
func (wq *WaitQueue) capacity(now time.Time, key string, inFlight int) admitter.Load {
	t := wq.traffic(key)
	l := admitter.Load{OnTimeRate: t.onTimeRate(now)}
	if t.holding > 0 {
		l.Capacity = capacityMargin * float64(inFlight) / t.holding
	}
	return l
}

// load returns what a request meets.
func (wq *WaitQueue) load(now time.Time, q Request, inFlight int) admitter.Load {
	late := q
	late.late = true
	l := wq.capacity(now, q.queueKey(), inFlight)
	l.Ahead, l.Rate = wq.ahead(now, q)
	l.LateAhead, _ = wq.ahead(now, late)
	return l
}

// decide decides whether a request that no server has room for now waits. f.mu must be held.
func (f *Fleet) decide(now time.Time, service string, q Request) (admitter.Decision, admitter.Load) {
	_, inFlight, _, _ := f.core(service).sumReplicas(now, q.Key())
	load := f.queue(service).load(now, q, inFlight)
	if !q.competes() {
		// Only requests on time wait then.
		load.Capacity = 0
	}
	onTime := q.MaxWait
	if q.isPlain() {
		onTime = f.plainLoad(now, service, q, &load)
	}
	return admitter.Decide(admitter.Request{OnTimeWait: onTime, LongestWait: q.Deadline.Sub(now)}, load), load
}

// returnDelay returns after how long a request that was refused for want of room should come back.
// f.mu must be held.
func (f *Fleet) returnDelay(now time.Time, service string, q Request) time.Duration {
	d, load := f.decide(now, service, q)
	if !q.competes() {
		return d.RetryAfter
	}
	t := f.queue(service).traffic(q.queueKey())
	return t.returns.Reserve(now, d.RetryAfter, t.ownRate(now, load.Rate))
}

// refuseHopeless refuses the waiting requests that will be late and whose turn, as it looks now,
// comes only after their clients have left: to hold them on costs more than to refuse them.
// f.mu must be held.
func (f *Fleet) refuseHopeless(now time.Time, service string) {
	wq := f.queue(service)
	if len(wq.waiters) == 0 || now.Sub(wq.reviewedAt) < reviewInterval {
		return
	}
	wq.reviewedAt = now
	var hopeless []*Waiter
	loads := map[string]admitter.Load{}
	for _, r := range wq.order(now) {
		w := r.waiter
		key := w.queueKey()
		l, ok := loads[key]
		if !ok {
			_, inFlight, _, _ := f.core(service).sumReplicas(now, w.Key())
			l = wq.capacity(now, key, inFlight)
			if w.isPlain() {
				f.plainLoad(now, service, w.Request, &l)
			}
		}
		if r.late > 0 && w.competes() && !w.awaitsReplica && wq.comesTooLate(now, w, l) {
			hopeless = append(hopeless, w)
			continue
		}
		l.LateAhead++
		loads[key] = l
	}
	for _, w := range hopeless {
		wq.Remove(w)
		wq.reviewed++
		w.granted <- nil
	}
}

// Late reports whether the request waited although it was predicted to be late.
func (a *Assignment) Late() bool { return a.request.late }
